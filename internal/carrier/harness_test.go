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

// testPool is a pool's router and its carriers in virtual time. Its hosts respond
// after 1 ms, to heartbeats after their wait.
type testPool struct {
	ctx    context.Context
	router *carrier.Router
	update func([]worker.Host)

	mu sync.Mutex
	// servers are the running carriers by address; missing ones refuse
	// connections, unresponsive ones leave exchanges unanswered.
	servers      map[string]*carrier.Server
	unresponsive map[string]bool
	// stopped holds the carriers that stand still, with when they go on: they carry out
	// then what has reached them.
	stopped    map[string]time.Time
	candidates []carrier.Candidate
	exchanges  int
	// called counts the calls made to hosts, by the caller's name.
	called map[string]int
	fences []int64
}

// hopTime is the one-way latency between entry hosts, hostTime the duration of a
// call to a host.
const hopTime, hostTime = time.Millisecond, time.Millisecond

func runTest(t *testing.T, test func(p *testPool)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &testPool{ctx: ctx, servers: make(map[string]*carrier.Server), unresponsive: make(map[string]bool), stopped: make(map[string]time.Time), called: make(map[string]int)}
		p.router = carrier.NewRouter(carrier.Config{
			Pool: "p", Session: "s", CPUShare: 0.4, HostsPerCore: hostsPerCore, Direct: caller{p, "holder"}, Hosts: p, Peers: p, BatchDelay: carrier.BatchDelay(0),
			Candidates: p.liveCandidates, Log: zerolog.Nop(), Metrics: carrier.NewMetrics(nil),
		})
		go p.router.Watch(ctx, "p", func([]worker.Host) {})
		synctest.Wait()
		test(p)
		cancel()
		time.Sleep(time.Minute)
	})
}

// add starts a carrier and makes it a candidate.
func (p *testPool) add(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[name] = carrier.NewServer(caller{p, name}, carrier.BatchDelay(0), carrier.NewMetrics(nil))
	p.candidates = append(p.candidates, candidate(name, "a", 0.8, 0))
}

// restart replaces a carrier's process by another one at its address.
func (p *testPool) restart(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[name] = carrier.NewServer(caller{p, name}, carrier.BatchDelay(0), carrier.NewMetrics(nil))
}

func (p *testPool) liveCandidates() []carrier.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]carrier.Candidate(nil), p.candidates...)
}

// Watch implements worker.HostSource.
func (p *testPool) Watch(ctx context.Context, _ string, update func([]worker.Host)) {
	p.update = update
	<-ctx.Done()
}

// Exchange implements carrier.Peers.
func (p *testPool) Exchange(ctx context.Context, address, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	pause.For(ctx, hopTime)
	p.mu.Lock()
	p.exchanges++
	server, unresponsive, resumes := p.servers[address], p.unresponsive[address], p.stopped[address]
	p.mu.Unlock()
	if time.Now().Before(resumes) {
		go func() {
			time.Sleep(time.Until(resumes))
			server.Exchange(context.Background(), session, calls)
		}()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if server == nil {
		return nil, &carrier.UnsentError{Address: address, Cause: context.Canceled}
	}
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	replies := server.Exchange(ctx, session, calls)
	pause.For(ctx, hopTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unresponsive[address] {
		return nil, context.DeadlineExceeded
	}
	return replies, nil
}

// set applies a change under the lock.
func (p *testPool) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *testPool) calls(by string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.called[by]
}

// exchangeCount returns the number of exchanges.
func (p *testPool) exchangeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exchanges
}

// caller calls the hosts of a test pool on behalf of one entry host.
type caller struct {
	*testPool
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
