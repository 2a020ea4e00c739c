package entryhost_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The host manager's entry host shuts down gracefully and continues to serve for 2 s
// until the load balancer has noticed. Guards against an entry host that takes the
// deletion of its own claim for a store fault and restores the claim, so that no entry
// host moved hosts in the meantime.
func TestGracefulShutdownReleasesHostManager(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		node := dep.hostManagerEntry()
		dep.entries[node].Leave(dep.ctx)
		time.Sleep(time.Second)
		must.NotEqOp(t, node, dep.hostManagerEntry())
		must.NotEqOp(t, "", dep.hostManagerEntry())
		time.Sleep(time.Second)
		must.NotEqOp(t, node, dep.hostManagerEntry())
	})
}

// A pool's holder shuts down gracefully under load. Guards against a holder that
// releases the pool only once nothing is left to store: under load that never happens,
// the process terminated while still holding the pool, and no job started until the
// lease had expired.
func TestGracefulShutdownReleasesBusyPool(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		node := dep.holder("day")
		other := dep.other("day")
		stop := make(chan struct{})
		accepted := make(chan []string)
		go func() {
			var ids []string
			for {
				select {
				case <-stop:
					accepted <- ids
					return
				case <-time.After(20 * time.Millisecond):
					step := quick(1)
					step.Estimate = 100 * time.Millisecond
					ids = append(ids, dep.accept(other, "day", step))
				}
			}
		}()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(dep.ctx, 3*time.Second)
		defer cancel()
		began := time.Now()
		dep.entries[node].Leave(ctx)
		must.Less(t, time.Second, time.Since(began))
		time.Sleep(time.Second)
		must.NotEqOp(t, node, dep.holder("day"))
		must.NotEqOp(t, "", dep.holder("day"))
		close(stop)
		dep.kill(node)
		for _, id := range <-accepted {
			dep.done(other, "day", id, 5*time.Second)
		}
	})
}
