package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// largeStep returns a step that fills one host for six seconds.
func largeStep(checkpoint bool) work.Step {
	return work.Step{Count: 1, Resources: work.Resources{MilliCPU: 16_000, MemMB: 1000}, Estimate: 6 * time.Second, Checkpoint: checkpoint}
}

func (e *env) submitWithPriority(m *runningManager, priority int, steps ...work.Step) string {
	e.t.Helper()
	record := e.record(steps...)
	record.Queue.Priority = priority
	must.EqOp(e.t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
	return record.ID
}

// An urgent job finds every host full. A lower-priority task with checkpoints
// must be preempted and resume from its checkpoint afterwards, rather than make
// the urgent job wait 6 s.
func TestUrgentJobPreemptsCheckpointedTask(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 1, func(e *env) {
		m := e.takeOver(true)
		lowPriority := e.submitWithPriority(m, 1, largeStep(true))
		time.Sleep(3 * time.Second)
		urgent := e.submitWithPriority(m, 0, shortStep(2))
		e.waitForState(m, urgent, work.Done, 2500*time.Millisecond)
		e.waitForState(m, lowPriority, work.Done, 6*time.Second)
		must.EqOp(t, 4, e.workers.Checker.Starts())
	})
}

// A task without checkpoints would have to start over, and a task of the same
// priority is as urgent: neither may be preempted.
func TestUrgentJobDoesNotPreempt(t *testing.T) {
	for name, other := range map[string]struct {
		priority   int
		checkpoint bool
	}{"without progress to save": {1, false}, "of the same priority": {0, true}} {
		t.Run(name, func(t *testing.T) {
			runEnv(t, emulate.WorkersConfig{Seed: 1}, 1, func(e *env) {
				m := e.takeOver(true)
				e.submitWithPriority(m, other.priority, largeStep(other.checkpoint))
				time.Sleep(time.Second)
				urgent := e.submitWithPriority(m, 0, shortStep(2))
				time.Sleep(3 * time.Second)
				must.EqOp(t, work.Queued, e.state(m, urgent))
				e.waitForState(m, urgent, work.Done, 6*time.Second)
				must.EqOp(t, 3, e.workers.Checker.Starts())
			})
		})
	}
}

// The capacity freed by a preemption must not go to other waiting jobs of lower
// priority, which would be preempted again and again.
func TestPreemptedCapacityIsReserved(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 1, func(e *env) {
		m := e.takeOver(true)
		e.submitWithPriority(m, 1, largeStep(true))
		time.Sleep(time.Second)
		for range 3 {
			e.submitWithPriority(m, 1, work.Step{
				Count: 4, Resources: work.Resources{MilliCPU: 3000, MemMB: 1000}, Estimate: 3 * time.Second, Checkpoint: true,
			})
		}
		urgent := e.submitWithPriority(m, 0, shortStep(6))
		e.waitForState(m, urgent, work.Done, 3*time.Second)
	})
}
