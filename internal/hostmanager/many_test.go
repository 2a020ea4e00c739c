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

// manyHosts is a platform whose list of hosts takes half a second, and which
// takes so many calls for hosts a second. All its hosts are empty.
type manyHosts struct {
	mu    sync.Mutex
	hosts []Host
	lists int
	calls []time.Time
	asked int
}

const (
	listTakes = 500 * time.Millisecond
	callTakes = 40 * time.Millisecond
	callsTake = 200
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
	pause.For(ctx, listTakes)
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
	pause.For(ctx, callTakes)
	return Done
}

func (m *manyHosts) Maintain(context.Context, string, int64, int64) Outcome { return Refused }

func (m *manyHosts) Drain(_ context.Context, _ string, workers []string) ([]DrainState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	emptied := make([]DrainState, len(workers))
	for i := range emptied {
		emptied[i] = DrainState{Known: true, Empty: true}
	}
	return emptied, true
}

func (m *manyHosts) Load(context.Context, string, []string) (Load, bool) { return Load{}, false }

// counts are how often hosts were listed, moved and asked for.
func (m *manyHosts) counts() (lists, calls, asked int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists, len(m.calls), m.asked
}

// busiestSecond is the most calls that any second saw.
func (m *manyHosts) busiestSecond() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := 0
	for i, from := range m.calls {
		count := 0
		for _, at := range m.calls[i:] {
			if at.Sub(from) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// moveAll moves hosts until all errands are done, and returns how long it took.
func (m *manyHosts) moveAll(t *testing.T) time.Duration {
	k := New(Config{
		Fleet: m, Pools: m, Store: memstore.New(), HasHolder: func(string) bool { return true }, CallsPerSecond: callsTake,
	}, 1, 1, nil)
	go func() {
		for range 100 {
			k.ConfirmClaim()
			time.Sleep(200 * time.Millisecond)
		}
	}()
	must.NoError(t, k.list(t.Context()))
	began := time.Now()
	for _, h := range m.hosts {
		k.move(t.Context(), Move{h, "to"})
	}
	for {
		time.Sleep(50 * time.Millisecond)
		k.mu.Lock()
		left := len(k.busy)
		k.mu.Unlock()
		if left == 0 {
			return time.Since(began)
		}
	}
}

// A turn of demand begins and three hundred hosts are to move. Each of them used
// to ask its pool by itself and to read the whole list until it was back, one in
// turn after the other; now they share the questions and the lists, and come as
// fast as the platform takes the calls.
func TestManyHostsMoveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManyHosts(300)
		took := m.moveAll(t)
		lists, calls, asked := m.counts()
		must.Less(t, 4*time.Second, took)
		must.EqOp(t, 300, calls)
		must.Less(t, 15, lists)
		must.Less(t, 150, asked)
		time.Sleep(time.Minute)
	})
}

// The platform refuses calls for hosts beyond a number a second, also those of a
// wave that are due.
func TestCallsForHostsKeepToThePlatformsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManyHosts(500)
		m.moveAll(t)
		must.LessEq(t, callsTake, m.busiestSecond())
		time.Sleep(time.Minute)
	})
}

// The platform takes half a second to list its hosts. A round of moves goes by a
// list of a moment ago meanwhile, but by none that is old.
func TestARoundDoesNotWaitForAFreshList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManyHosts(3)
		k := New(Config{Fleet: m, Pools: m}, 1, 1, nil)
		began := time.Now()
		must.NoError(t, k.refresh(t.Context()))
		must.EqOp(t, listTakes, time.Since(began))
		time.Sleep(roundEvery)
		must.NoError(t, k.refresh(t.Context()))
		must.EqOp(t, listTakes+roundEvery, time.Since(began))
		time.Sleep(listTakes)
		lists, _, _ := m.counts()
		must.EqOp(t, 2, lists)
		time.Sleep(listOld)
		must.NoError(t, k.refresh(t.Context()))
		must.EqOp(t, 3*listTakes+roundEvery+listOld, time.Since(began))
	})
}
