package entryhost_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
)

// Guards against tasks that last and are never started again: no queue goes to their pool
// any more, and the entry hosts restart.
func TestPoolWithoutAQueueIsHeldWhileItHasJobs(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		record := dep.record("day", longRunning(3))
		must.EqOp(t, poolmanager.Stored, dep.anyEntry().Jobs.SubmitJob(dep.ctx, record).Result)
		time.Sleep(3 * time.Second)
		dep.setRouted("night")
		dep.restartAll()
		must.NotEqOp(t, "", dep.holder("day"))
		time.Sleep(10 * time.Second)
		must.EqOp(t, 3, dep.workers.Checker.Running(record.ID))
		must.EqOp(t, poolmanager.Stored, dep.anyEntry().Jobs.CancelJob(dep.ctx, refOf(record, "night")))
		dep.workers.Checker.Cancelled(record.ID)
		time.Sleep(bounds.StatusRetention + 30*time.Second)
		dep.restartAll()
		must.EqOp(t, "", dep.holder("day"))
	})
}

// Guards against the same for jobs accepted just before: the pool's holder is lost right
// after the configuration has changed.
func TestPoolThatHasJustLostItsQueueIsHeld(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		record := dep.record("day", longRunning(2))
		must.EqOp(t, poolmanager.Stored, dep.anyEntry().Jobs.SubmitJob(dep.ctx, record).Result)
		dep.setRouted("night")
		dep.kill(dep.holder("day"))
		time.Sleep(15 * time.Second)
		must.NotEqOp(t, "", dep.holder("day"))
		must.EqOp(t, 2, dep.workers.Checker.Running(record.ID))
	})
}
