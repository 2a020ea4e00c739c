package hostmanager

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store/memstore"
)

// manyHosts is a platform with a slow list of hosts that records the calls for hosts.
// All its hosts are empty.
type manyHosts struct {
	mu         sync.Mutex
	hosts      []Host
	lists      int
	calls      []time.Time
	drainCalls int
}

const (
	listLatency       = 500 * time.Millisecond
	callLatency       = 40 * time.Millisecond
	maxCallsPerSecond = 200
)

func newManyHosts(count int) *manyHosts {
	m := &manyHosts{}
	for i := range count {
		m.hosts = append(m.hosts, Host{Name: fmt.Sprintf("h-%d", i), Pool: "from", Up: true, Worker: fmt.Sprintf("w-%d", i)})
	}
	return m
}

func (m *manyHosts) List(ctx context.Context) ([]Host, error) {
	m.mu.Lock()
	m.lists++
	hosts := append([]Host(nil), m.hosts...)
	m.mu.Unlock()
	pause.For(ctx, listLatency)
	return hosts, nil
}

func (m *manyHosts) Move(ctx context.Context, host, pool string, _ int64) Outcome {
	m.mu.Lock()
	m.calls = append(m.calls, time.Now())
	for i := range m.hosts {
		if m.hosts[i].Name == host {
			m.hosts[i].Pool, m.hosts[i].Worker = pool, m.hosts[i].Worker+"'"
		}
	}
	m.mu.Unlock()
	pause.For(ctx, callLatency)
	return Done
}

func (m *manyHosts) Maintain(context.Context, string, int64, int64) Outcome { return Refused }

func (m *manyHosts) Drain(_ context.Context, _ string, workers []string) ([]DrainState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainCalls++
	states := make([]DrainState, len(workers))
	for i := range states {
		states[i] = DrainState{Known: true, Empty: true}
	}
	return states, true
}

func (m *manyHosts) Load(context.Context, string, []string) (Load, bool) { return Load{}, false }

// counts returns how many list, move and drain calls were made.
func (m *manyHosts) counts() (lists, calls, drains int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists, len(m.calls), m.drainCalls
}

// busiestSecond returns the maximum number of calls within one second.
func (m *manyHosts) busiestSecond() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	peak := 0
	for i, from := range m.calls {
		count := 0
		for _, at := range m.calls[i:] {
			if at.Sub(from) < time.Second {
				count++
			}
		}
		peak = max(peak, count)
	}
	return peak
}

// moveAll moves all hosts and returns how long that took.
func (m *manyHosts) moveAll(t *testing.T) time.Duration {
	manager := New(Config{
		Fleet: m, Pools: m, Store: memstore.New(), HasHolder: func(string) bool { return true }, CallsPerSecond: maxCallsPerSecond,
	}, 1, 1, nil)
	go func() {
		for range 100 {
			manager.ConfirmClaim(time.Now())
			time.Sleep(200 * time.Millisecond)
		}
	}()
	must.NoError(t, manager.list(t.Context()))
	start := time.Now()
	for _, h := range m.hosts {
		manager.startMove(t.Context(), Move{Host: h, To: "to"})
	}
	for {
		time.Sleep(50 * time.Millisecond)
		manager.mu.Lock()
		left := len(manager.operations)
		manager.mu.Unlock()
		if left == 0 {
			return time.Since(start)
		}
	}
}

// Three hundred hosts move at the start of a demand burst. With a drain call of its
// own for each host, and a whole list read by each until its return, one after the
// other, the moves were slow. They have to share drain calls and lists, so that only
// the platform's rate limit slows them down.
func TestConcurrentMovesShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManyHosts(300)
		took := m.moveAll(t)
		lists, calls, drains := m.counts()
		must.Less(t, 4*time.Second, took)
		must.EqOp(t, 300, calls)
		must.Less(t, 15, lists)
		must.Less(t, 150, drains)
		time.Sleep(time.Minute)
	})
}

// The platform refuses calls for hosts beyond its rate limit, including those that a
// wave needs.
func TestPlatformCallsKeepToRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManyHosts(500)
		m.moveAll(t)
		must.LessEq(t, maxCallsPerSecond, m.busiestSecond())
		time.Sleep(time.Minute)
	})
}

// The platform takes half a second to list its hosts. Meanwhile, reconciliations have
// to use a recent list, but not an old one.
func TestReconcileDoesNotWaitForFreshList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManyHosts(3)
		manager := New(Config{Fleet: m, Pools: m}, 1, 1, nil)
		start := time.Now()
		must.NoError(t, manager.ensureRecentList(t.Context()))
		must.EqOp(t, listLatency, time.Since(start))
		time.Sleep(reconcileInterval)
		must.NoError(t, manager.ensureRecentList(t.Context()))
		must.EqOp(t, listLatency+reconcileInterval, time.Since(start))
		time.Sleep(listLatency)
		lists, _, _ := m.counts()
		must.EqOp(t, 2, lists)
		time.Sleep(maxListAge)
		must.NoError(t, manager.ensureRecentList(t.Context()))
		must.EqOp(t, 3*listLatency+reconcileInterval+maxListAge, time.Since(start))
	})
}
