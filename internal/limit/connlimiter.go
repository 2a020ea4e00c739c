package limit

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/share"
)

// Dialer opens a connection to an endpoint.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// ConnectionLimitError reports that no connection to the endpoint could be opened
// because this gateway's share of the endpoint's connections is in use.
type ConnectionLimitError struct{ Address string }

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("endpoint %s: this gateway's share of its connections is in use", e.Address)
}

// connWaitTimeout bounds how long a dial waits for an open connection to close. The
// request holds only its slot in the meantime and uses an idle connection if one
// becomes free.
const connWaitTimeout = time.Second

// connLimiter keeps the number of open connections to each endpoint, including idle
// ones, within this gateway's share.
type connLimiter struct {
	shares  Shares
	metrics *metrics

	mu        sync.Mutex
	endpoints map[string]*endpointConns
	// lent counts the connections of this gateway's share that other gateways may open;
	// borrowed counts the connections of their shares that this gateway may open.
	lent, borrowed map[endpointKey]int
}

// endpointKey identifies an endpoint by service and host.
type endpointKey struct{ service, host string }

type endpointConns struct {
	endpoint endpoint.Endpoint
	open     int
	// closed is closed and replaced each time a connection closes.
	closed chan struct{}
}

func newConnLimiter(shares Shares, m *metrics) *connLimiter {
	return &connLimiter{
		shares: shares, metrics: m, endpoints: make(map[string]*endpointConns),
		lent: make(map[endpointKey]int), borrowed: make(map[endpointKey]int),
	}
}

// register records the endpoint of an address before the address is dialled.
func (c *connLimiter) register(e endpoint.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.endpoints[e.Address]
	if conns == nil {
		c.endpoints[e.Address] = &endpointConns{endpoint: e, closed: make(chan struct{})}
		return
	}
	conns.endpoint = e
}

// Dialer wraps dial so that each new connection stays within this gateway's share of
// the endpoint's connections. It waits up to connWaitTimeout for a connection to close
// and then returns *ConnectionLimitError.
func (l *Limiter) Dialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connWaitTimeout)
		defer cancel()
		if err := l.conns.acquire(ctx, address); err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			l.conns.release(address)
			return nil, err
		}
		return &trackedConn{Conn: conn, release: sync.OnceFunc(func() { l.conns.release(address) })}, nil
	}
}

func (c *connLimiter) acquire(ctx context.Context, address string) error {
	for {
		closed, acquired := c.tryAcquire(address)
		if acquired {
			return nil
		}
		select {
		case <-closed:
		case <-ctx.Done():
			c.metrics.connectionsFull.Inc()
			return &ConnectionLimitError{Address: address}
		}
	}
}

func (c *connLimiter) tryAcquire(address string) (closed <-chan struct{}, acquired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.endpoints[address]
	if conns == nil {
		// An endpoint is registered when a slot on it is acquired, which always precedes the
		// dial.
		return nil, false
	}
	if conns.open >= c.limit(conns) {
		return conns.closed, false
	}
	conns.open++
	return nil, true
}

func (c *connLimiter) limit(conns *endpointConns) int {
	e := conns.endpoint
	key := endpointKey{service: e.Service, host: e.Host}
	return c.shares.Allocation(e.Service, e.Host).Connections - c.lent[key] + c.borrowed[key]
}

func (c *connLimiter) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.endpoints[address]
	conns.open--
	close(conns.closed)
	conns.closed = make(chan struct{})
}

// withinAllocation reports whether the open and lent connections of every endpoint are
// within what allocation returns for it.
func (c *connLimiter) withinAllocation(allocation func(service, host string) share.Allocation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.endpoints {
		e := conns.endpoint
		key := endpointKey{service: e.Service, host: e.Host}
		if max(conns.open-c.borrowed[key], 0)+c.lent[key] > allocation(e.Service, e.Host).Connections {
			return false
		}
	}
	for key, count := range c.lent {
		if count > allocation(key.service, key.host).Connections {
			return false
		}
	}
	return true
}

// trackedConn counts towards the connection limit until it is closed.
type trackedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// WithinAllocation reports whether the slots and connections in use are within what allocation
// returns for each endpoint. A reduced share applies to new requests immediately;
// requests in progress run to completion.
func (l *Limiter) WithinAllocation(allocation func(service, host string) share.Allocation) bool {
	for name, state := range l.states() {
		if !state.withinAllocation(name, allocation) {
			return false
		}
	}
	return l.conns.withinAllocation(allocation)
}

func (s *serviceState) withinAllocation(name string, allocation func(service, host string) share.Allocation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, used := range s.inUse {
		if used > allocation(name, host).Slots {
			return false
		}
	}
	return true
}
