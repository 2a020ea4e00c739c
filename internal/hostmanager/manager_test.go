package hostmanager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// If the store hasn't confirmed the claim for two seconds, another process may hold
// it. The manager must not act on hosts until the claim is confirmed again.
func TestManagerDoesNotActWhileUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{}, 1, 1, nil)
		must.True(t, m.mayAct())
		time.Sleep(maxUnconfirmed)
		must.False(t, m.mayAct())
		m.ConfirmClaim(time.Now())
		must.True(t, m.mayAct())
		m.setFenced()
		must.False(t, m.mayAct())
	})
}

// After a suspension of the process, the monotonic clock shows a recent confirmation
// and the wall clock an old one. The manager must not act.
func TestManagerDoesNotActAfterProcessSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{}, 1, 1, nil)
		// Round removes the monotonic clock reading, so that only the wall clock
		// counts.
		m.confirmedAt = time.Now().Round(0).Add(-maxUnconfirmed)
		must.False(t, m.mayAct())
		m.ConfirmClaim(time.Now())
		must.True(t, m.mayAct())
	})
}

// Guards against two managers that act on one host in turn.
func TestManagerDoesNotActOnceItsClaimIsLost(t *testing.T) {
	m := New(Config{}, 1, 1, nil)
	must.True(t, m.mayAct())
	m.ClaimLost()
	must.False(t, m.mayAct())
	m.ConfirmClaim(time.Now())
	must.False(t, m.mayAct())
}

// poolsWithoutWorkers are pools without any of the workers to be drained.
type poolsWithoutWorkers struct{ Pools }

func (poolsWithoutWorkers) Drain(_ context.Context, _ string, workers []string) ([]DrainState, bool) {
	return make([]DrainState, len(workers)), true
}

// A host of a wave crashes while it is being drained, and returns with another
// instance. Its pool no longer has the old instance, which therefore never becomes
// empty: the drain has to stop, so that the wave can drain the new instance.
func TestDrainStopsWhenHostHasNewInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{Pools: poolsWithoutWorkers{}, HasHolder: func(string) bool { return true }}, 1, 1, nil)
		host := Host{Name: "h", Pool: "p", Up: true, Worker: "first"}
		m.setHosts([]Host{host})
		time.AfterFunc(time.Second, func() {
			m.setHosts([]Host{{Name: "h", Pool: "p", Up: true, Worker: "second"}})
		})
		start := time.Now()
		must.False(t, m.awaitDrained(t.Context(), host, drainTimeout))
		must.Less(t, 1200*time.Millisecond, time.Since(start))
	})
}
