package carrier_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/worker"
)

// world is a pool's router and its carriers in virtual time. Its hosts answer
// after a millisecond, holds after their wait.
type world struct {
	ctx    context.Context
	router *carrier.Router
	update func([]worker.Host)

	mu sync.Mutex
	// servers are the carriers that answer, by address; those that are missing
	// refuse connections, silent ones leave exchanges unanswered.
	servers    map[string]*carrier.Server
	silent     map[string]bool
	candidates []carrier.Candidate
	exchanges  int
	// called counts the calls made to hosts, by who made them.
	called map[string]int
	fences []int64
}

// hopTime is a call between entry hosts, one way, hostTime one to a host.
const hopTime, hostTime = time.Millisecond, time.Millisecond

func play(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{ctx: ctx, servers: make(map[string]*carrier.Server), silent: make(map[string]bool), called: make(map[string]int)}
		w.router = carrier.NewRouter(carrier.Config{
			Pool: "p", Session: "s", CPUShare: 0.4, HostsPerCore: strength, Direct: caller{w, "holder"}, Hosts: w, Peers: w, BatchDelay: carrier.BatchDelay(0),
			Candidates: w.live, Log: zerolog.Nop(), Metrics: carrier.NewMetrics(nil),
		})
		go w.router.Watch(ctx, "p", func([]worker.Host) {})
		synctest.Wait()
		test(w)
		cancel()
		time.Sleep(time.Minute)
	})
}

// add lets a carrier take part.
func (w *world) add(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[name] = carrier.NewServer(caller{w, name}, carrier.BatchDelay(0), carrier.NewMetrics(nil))
	w.candidates = append(w.candidates, candidate(name, "a", 0.8, 0))
}

func (w *world) live() []carrier.Candidate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]carrier.Candidate(nil), w.candidates...)
}

// Watch implements worker.HostSource.
func (w *world) Watch(ctx context.Context, _ string, update func([]worker.Host)) {
	w.update = update
	<-ctx.Done()
}

// Exchange implements carrier.Peers.
func (w *world) Exchange(ctx context.Context, address, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	pause.For(ctx, hopTime)
	w.mu.Lock()
	w.exchanges++
	server, silent := w.servers[address], w.silent[address]
	w.mu.Unlock()
	if server == nil {
		return nil, &carrier.UnsentError{Address: address, Cause: context.Canceled}
	}
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	replies := server.Exchange(ctx, session, calls)
	pause.For(ctx, hopTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent[address] {
		return nil, context.DeadlineExceeded
	}
	return replies, nil
}

// set changes how a carrier behaves.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) calls(by string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.called[by]
}

// exchanged counts the exchanges.
func (w *world) exchanged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.exchanges
}

// caller makes calls to the hosts of a world for one entry host.
type caller struct {
	*world
	name string
}

func (c caller) call(ctx context.Context, fence int64) worker.Outcome {
	c.mu.Lock()
	c.called[c.name]++
	c.fences = append(c.fences, fence)
	c.mu.Unlock()
	pause.For(ctx, hostTime)
	if ctx.Err() != nil {
		return worker.Unknown
	}
	return worker.Accepted
}

func (c caller) Start(ctx context.Context, _ worker.Target, o worker.Start) worker.Outcome {
	return c.call(ctx, o.Fence)
}

func (c caller) Stop(ctx context.Context, _ worker.Target, o worker.Stop) worker.Outcome {
	return c.call(ctx, o.Fence)
}

func (c caller) Throttle(ctx context.Context, _ worker.Target, o worker.Throttle) worker.Outcome {
	return c.call(ctx, o.Fence)
}

func (c caller) Heartbeat(ctx context.Context, _ worker.Target, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	pause.For(ctx, o.Wait)
	return worker.HeartbeatReply{ClockMs: o.AckedEnd}, c.call(ctx, o.Fence)
}
