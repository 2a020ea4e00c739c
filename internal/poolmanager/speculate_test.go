package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

func speculative(s work.Step) work.Step {
	s.Speculative = true
	return s
}

// A host with a task becomes unresponsive. Without speculative execution the
// client waits about 6 s until the task's lease has certainly expired; with it,
// the task must start elsewhere at once.
func TestSpeculativeRunStartsWhenHostIsUnresponsive(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, speculative(shortStep(1)))
		time.Sleep(300 * time.Millisecond)
		e.workers.SetFaults(e.hostOf(id), emulate.HostFaults{Unresponsive: true})
		e.waitForState(m, id, work.Done, 3500*time.Millisecond)
	})
}

// A host runs a task ten times slower than others. The speculative run ends
// first, the slow run must be stopped, and its end must have no further effect.
func TestSpeculativeRunOvertakesSlowRun(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, speculative(shortStep(1)))
		time.Sleep(100 * time.Millisecond)
		e.workers.SetFaults(e.hostOf(id), emulate.HostFaults{SlowFactor: 10})
		e.waitForState(m, id, work.Done, 4*time.Second)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 0, e.workers.Checker.Running(id))
		must.EqOp(t, 2, e.workers.Checker.Starts())
	})
}

// A run that is late only by the error of its estimate does not justify a
// speculative run.
func TestNoSpeculativeRunNearCompletion(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1, RunTime: func(work.TaskName) time.Duration { return 1800 * time.Millisecond }}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, speculative(shortStep(1)))
		e.waitForState(m, id, work.Done, 4*time.Second)
		must.EqOp(t, 1, e.workers.Checker.Starts())
	})
}

// A job with a speculative run is cancelled: both runs of its task must end.
func TestCancelStopsSpeculativeRuns(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, speculative(shortStep(1)))
		time.Sleep(100 * time.Millisecond)
		e.workers.SetFaults(e.hostOf(id), emulate.HostFaults{SlowFactor: 30})
		time.Sleep(1300 * time.Millisecond)
		must.EqOp(t, 2, e.workers.Checker.Running(id))
		must.EqOp(t, poolmanager.Stored, m.Cancel(e.ctx, work.JobRef{ID: id}))
		e.workers.Checker.Cancelled(id)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 0, e.workers.Checker.Running(id))
	})
}

// The holder fails, and the next one cannot reach a host with a task. It cannot
// tell whether the task still runs there and must start a speculative run without
// waiting to find out.
func TestNextHolderStartsSpeculativeRunForUnreachableHost(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, speculative(shortStep(1)))
		time.Sleep(300 * time.Millisecond)
		e.workers.SetFaults(e.hostOf(id), emulate.HostFaults{Unresponsive: true})
		m.kill()
		m = e.startTakeover(true)
		e.waitForState(m, id, work.Done, 3*time.Second)
	})
}
