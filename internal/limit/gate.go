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

// Dialer opens connections to endpoints.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// ConnectionsFullError says that no connection may be opened to an endpoint:
// this gateway's share of its connections is in use.
type ConnectionsFullError struct{ Address string }

func (e *ConnectionsFullError) Error() string {
	return fmt.Sprintf("endpoint %s: this gateway's share of its connections is in use", e.Address)
}

// gateWait is how long a dial waits for a connection to close. A request only
// holds a slot meanwhile, and takes an idle connection if one comes free.
const gateWait = time.Second

// gate keeps the open connections to each endpoint, idle ones included, within
// this gateway's share.
type gate struct {
	shares  Shares
	metrics *metrics

	mu        sync.Mutex
	endpoints map[string]*gatedEndpoint
	// lent is how many connections of this gateway's share others may open, and
	// borrowed how many of theirs may be opened here.
	lent, borrowed map[hostOf]int
}

// hostOf names one endpoint.
type hostOf struct{ service, host string }

type gatedEndpoint struct {
	endpoint endpoint.Endpoint
	open     int
	// closed is closed and replaced when a connection closes.
	closed chan struct{}
}

func newGate(shares Shares, m *metrics) *gate {
	return &gate{
		shares: shares, metrics: m, endpoints: make(map[string]*gatedEndpoint),
		lent: make(map[hostOf]int), borrowed: make(map[hostOf]int),
	}
}

// know remembers whose address it is that is going to be dialled.
func (g *gate) know(e endpoint.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.endpoints[e.Address]
	if known == nil {
		g.endpoints[e.Address] = &gatedEndpoint{endpoint: e, closed: make(chan struct{})}
		return
	}
	known.endpoint = e
}

// Dialer wraps dial so that it waits for this gateway's share of the
// endpoint's connections. It returns *ConnectionsFullError when none came free.
func (l *Limiter) Dialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, gateWait)
		defer cancel()
		if err := l.gate.enter(ctx, address); err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			l.gate.leave(address)
			return nil, err
		}
		return &gatedConn{Conn: conn, leave: sync.OnceFunc(func() { l.gate.leave(address) })}, nil
	}
}

func (g *gate) enter(ctx context.Context, address string) error {
	for {
		closed, entered := g.tryEnter(address)
		if entered {
			return nil
		}
		select {
		case <-closed:
		case <-ctx.Done():
			g.metrics.connectionsFull.Inc()
			return &ConnectionsFullError{Address: address}
		}
	}
}

func (g *gate) tryEnter(address string) (closed <-chan struct{}, entered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.endpoints[address]
	if known == nil {
		// Nothing is dialled without a slot, which makes the address known.
		return nil, false
	}
	if known.open >= g.limit(known) {
		return known.closed, false
	}
	known.open++
	return nil, true
}

func (g *gate) limit(known *gatedEndpoint) int {
	e := known.endpoint
	of := hostOf{service: e.Service, host: e.Host}
	return g.shares.Allocation(e.Service, e.Host).Connections - g.lent[of] + g.borrowed[of]
}

func (g *gate) leave(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.endpoints[address]
	known.open--
	close(known.closed)
	known.closed = make(chan struct{})
}

// within reports whether no endpoint has more connections open than of allows.
func (g *gate) within(of func(service, host string) share.Allocation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, known := range g.endpoints {
		e := known.endpoint
		key := hostOf{service: e.Service, host: e.Host}
		if max(known.open-g.borrowed[key], 0)+g.lent[key] > of(e.Service, e.Host).Connections {
			return false
		}
	}
	for key, count := range g.lent {
		if count > of(key.service, key.host).Connections {
			return false
		}
	}
	return true
}

// gatedConn counts as open until it is closed.
type gatedConn struct {
	net.Conn
	leave func()
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	c.leave()
	return err
}

// Within reports whether slots and connections in use are at most what of
// allows. Shares that have shrunk take effect at once for what comes; what is
// in use already ends on its own.
func (l *Limiter) Within(of func(service, host string) share.Allocation) bool {
	for name, state := range l.states() {
		if !state.within(name, of) {
			return false
		}
	}
	return l.gate.within(of)
}

func (s *serviceState) within(name string, of func(service, host string) share.Allocation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, used := range s.inUse {
		if used > of(name, host).Slots {
			return false
		}
	}
	return true
}
