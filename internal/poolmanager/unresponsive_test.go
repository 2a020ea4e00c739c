package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// A host with a long-running task becomes unresponsive, and the holder fails 3 s
// later. The old holder might still have renewed the host's leases, so the next
// one would wait 11 s; the store records when the renewals stopped, and the wait
// must be shortened accordingly.
func TestNextHolderHonoursStoredUnresponsiveTime(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(1))
		time.Sleep(time.Second)
		e.workers.SetFaults(e.hostOf(id), emulate.HostFaults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		m.kill()
		<-m.ended
		e.startTakeover(false)
		time.Sleep(6 * time.Second)
		must.EqOp(t, 1, e.workers.Checker.Running(id))
		must.EqOp(t, 2, e.workers.Checker.Starts())
	})
}

// A host becomes unresponsive, responds again, and the holder fails right after.
// The stored unresponsive time must not make the next holder start the host's
// task elsewhere while it still runs.
func TestRecoveredHostIsWaitedForInFull(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(1))
		time.Sleep(time.Second)
		host := e.hostOf(id)
		e.workers.SetFaults(host, emulate.HostFaults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		e.workers.SetFaults(host, emulate.HostFaults{})
		for i := range 20 {
			time.Sleep(time.Duration(100+13*i) * time.Millisecond)
			if i == 12 {
				// Unresponsive again, while the commit of the roster that lists
				// the host as in use may be in flight.
				e.workers.SetFaults(host, emulate.HostFaults{Unresponsive: true})
				m.kill()
				<-m.ended
				m = e.startTakeover(false)
			}
		}
		time.Sleep(15 * time.Second)
		must.EqOp(t, 1, e.workers.Checker.Running(id))
		must.EqOp(t, work.Running, e.state(m, id))
	})
}
