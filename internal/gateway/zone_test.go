package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/outcome"
)

// pipeNetwork is a network of in-memory endpoints in virtual time. It counts the
// connections dialled and the requests run.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	servers   []*http.Server
	// dialError, if set, returns the error of dialling an address, or nil to connect.
	dialError func(address string) error
	dials     map[string]int
	runs      atomic.Int64
}

type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: make(map[string]*pipeListener), dials: make(map[string]int)}
}

func (n *pipeNetwork) serve(address string, handler http.HandlerFunc) {
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.runs.Add(1)
		handler(w, r)
	})}
	n.listeners[address] = listener
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials[address]++
	dialError := n.dialError
	n.mu.Unlock()
	if dialError != nil {
		if err := dialError(address); err != nil {
			return nil, err
		}
	}
	near, far := net.Pipe()
	select {
	case n.listeners[address].conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *pipeNetwork) close() {
	for _, server := range n.servers {
		_ = server.Close()
	}
}

// pipeGateway serves /offers/ from three endpoints in each of three zones.
func pipeGateway(t *testing.T, network *pipeNetwork, handler func(zone string) http.HandlerFunc) *Gateway {
	t.Helper()
	service := offersAt()
	for i := range 9 {
		zone := "zone-" + string(rune('a'+i%3))
		e := endpoint.Endpoint{Service: "offers", Host: fmt.Sprint("host-", i), Zone: zone, Address: fmt.Sprintf("%s.%d:80", zone, i), TakesWork: true}
		network.serve(e.Address, handler(zone))
		service.Endpoints = append(service.Endpoints, e)
	}
	checker := invariant.New(zerolog.Nop(), nil)
	t.Cleanup(func() { must.SliceEmpty(t, checker.Violations()) })
	g := New(Config{Zone: testZone, Invariant: checker, Log: zerolog.Nop(), Dial: network.dial})
	g.Install(map[string]endpoint.Service{"offers": service})
	return g
}

// callStats counts the outcomes that callers got.
type callStats struct {
	requests, answered, notRun, unknown atomic.Int64
	slowest                             atomic.Int64
}

func (c *callStats) call(g *Gateway, method string) {
	began := time.Now()
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequest(method, "/offers/x", nil))
	took := int64(time.Since(began))
	for seen := c.slowest.Load(); took > seen && !c.slowest.CompareAndSwap(seen, took); seen = c.slowest.Load() {
	}
	c.requests.Add(1)
	switch outcome.Outcome(recorder.Header().Get(outcome.Header)) {
	case outcome.Answered:
		c.answered.Add(1)
	case outcome.NotRun:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// callFor runs concurrent callers for the given time. Each calls again 10 ms after
// its last response.
func (c *callStats) callFor(g *Gateway, callers int, duration time.Duration) {
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for time.Now().Before(end) {
				c.call(g, []string{http.MethodGet, http.MethodPost}[i%2])
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
}

// A zone fails under load: its endpoints refuse connections, or dialling them times
// out. Callers must be served from the other zones, and the number of attempts must
// stay close to one per request: a gateway may probe failed endpoints occasionally,
// but not with every request.
func TestZoneLossCausesNoRetryStorm(t *testing.T) {
	refuse := func() error { return syscall.ECONNREFUSED }
	timeOut := func() error {
		time.Sleep(500 * time.Millisecond)
		return context.DeadlineExceeded
	}
	for name, dialError := range map[string]func() error{"refuses": refuse, "swallows": timeOut} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runZoneLoss(t, dialError) })
		})
	}
}

func runZoneLoss(t *testing.T, dialError func() error) {
	network := newPipeNetwork()
	g := pipeGateway(t, network, func(string) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) }
	})
	new(callStats).callFor(g, 30, time.Second)
	g.CloseIdle()
	network.mu.Lock()
	network.dials, network.dialError = make(map[string]int), func(address string) error {
		if address[:len(testZone)] == testZone {
			return dialError()
		}
		return nil
	}
	network.mu.Unlock()
	network.runs.Store(0)
	var seen callStats
	seen.callFor(g, 30, 4*time.Second)
	failedDials := 0
	for address, dials := range network.dials {
		if address[:len(testZone)] == testZone {
			failedDials += dials
		}
	}
	attempts := float64(network.runs.Load()+int64(failedDials)) / float64(seen.requests.Load())
	t.Logf("requests %d, answered %d, dials of lost endpoints %d, attempts a request %.4f, slowest %s",
		seen.requests.Load(), seen.answered.Load(), failedDials, attempts, time.Duration(seen.slowest.Load()))
	must.EqOp(t, seen.requests.Load(), seen.answered.Load())
	must.Less(t, 1.02, attempts)
	g.CloseIdle()
	network.close()
}

// Under load, the endpoints of the gateway's zone start accepting requests without
// responding. Requests sent to them must end with the outcome "unknown", and the
// endpoints must get no further requests once they are found to be unresponsive,
// although they refuse nothing.
func TestUnresponsiveEndpointsGetNoMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newPipeNetwork()
		var hang atomic.Bool
		var hung atomic.Int64
		g := pipeGateway(t, network, func(zone string) http.HandlerFunc {
			return func(_ http.ResponseWriter, r *http.Request) {
				time.Sleep(20 * time.Millisecond)
				if zone == testZone && hang.Load() {
					hung.Add(1)
					<-r.Context().Done()
				}
			}
		})
		const callers = 60
		new(callStats).callFor(g, callers, time.Second)
		hang.Store(true)
		var seen callStats
		seen.callFor(g, callers, 4*time.Second)
		t.Logf("requests %d, answered %d, unknown %d, reached hung endpoints %d", seen.requests.Load(), seen.answered.Load(), seen.unknown.Load(), hung.Load())
		must.EqOp(t, seen.requests.Load(), seen.answered.Load()+seen.unknown.Load())
		must.EqOp(t, hung.Load(), seen.unknown.Load())
		must.Less(t, callers/2, hung.Load())
		g.CloseIdle()
		network.close()
	})
}
