package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// A host leaves a start unanswered and carries it out seconds later. The order
// must be sent again, so that the client waits 250 ms longer rather than 2 s, and
// the delayed start must have no effect.
func TestUnansweredStartIsResent(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 1, func(e *env) {
		m := e.takeOver(true)
		e.workers.SetFaults(e.workers.IDs(pool)[0], emulate.HostFaults{DelayNext: 1})
		id := e.submit(m, shortStep(1))
		e.waitForState(m, id, work.Done, 1600*time.Millisecond)
		time.Sleep(15 * time.Second)
		must.EqOp(t, 1, e.workers.Checker.Starts())
	})
}

// A host becomes unresponsive. Each order to it must be tried only a few times,
// and the task must complete elsewhere.
func TestOrdersToUnresponsiveHostEnd(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		unresponsive := e.workers.IDs(pool)[0]
		e.workers.SetFaults(unresponsive, emulate.HostFaults{Unresponsive: true})
		id := e.submit(m, shortStep(1))
		e.waitForState(m, id, work.Done, 9*time.Second)
	})
}

// A start is left unanswered, and so is the stop that follows because the client
// has cancelled the job. The start must not be sent again: the host would begin
// an unwanted run after the cancellation was acknowledged.
func TestUnansweredStartOfCancelledJobIsNotResent(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 1, func(e *env) {
		m := e.takeOver(true)
		e.workers.SetFaults(e.workers.IDs(pool)[0], emulate.HostFaults{DelayNext: 2})
		id := e.submit(m, shortStep(1))
		time.Sleep(50 * time.Millisecond)
		must.EqOp(t, poolmanager.Stored, m.Cancel(e.ctx, work.JobRef{ID: id}))
		e.workers.Checker.Cancelled(id)
		time.Sleep(15 * time.Second)
		must.EqOp(t, 0, e.workers.Checker.Starts())
	})
}
