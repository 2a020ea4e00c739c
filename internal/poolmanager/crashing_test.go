package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// crashingTask configures hosts to crash when they start the first task of the
// first job.
func crashingTask() emulate.WorkersConfig {
	return emulate.WorkersConfig{Seed: 1, Crashes: func(name work.TaskName) bool {
		return name == work.TaskName{Job: "0000000000000001"}
	}}
}

// confirmFor lets time pass while the store keeps confirming the claim.
func confirmFor(m *runningManager, length time.Duration) {
	for range length / time.Second {
		time.Sleep(time.Second)
		m.ConfirmClaim(time.Now())
	}
}

// Guards against a task that crashes its hosts and is restarted forever.
func TestTaskThatCrashesHostsFails(t *testing.T) {
	checkpointed := shortStep(4)
	checkpointed.Checkpoint = true
	gang := shortStep(3)
	gang.Gang = true
	for name, step := range map[string]work.Step{
		"plain": shortStep(4), "alone": shortStep(1), "with copies": speculative(shortStep(4)), "saving its progress": checkpointed, "in a gang": gang,
	} {
		t.Run(name, func(t *testing.T) {
			runEnv(t, crashingTask(), 8, func(e *env) {
				m := e.takeOver(true)
				id, other := e.submit(m, step), e.submit(m, shortStep(4))
				e.waitForState(m, id, work.Failed, 20*time.Second)
				e.waitForState(m, other, work.Done, 10*time.Second)
				confirmFor(m, 20*time.Second)
				must.EqOp(t, 0, e.workers.Checker.Running(id))
			})
		})
	}
}

// Guards against a long-running task that crashes its hosts and takes one after the other
// without a pause, or is never started again, and against the loss of the other tasks of
// its step.
func TestLongRunningTaskThatCrashesHostsIsStartedAtIntervals(t *testing.T) {
	runEnv(t, crashingTask(), 8, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(3))
		confirmFor(m, 60*time.Second)
		must.GreaterEq(t, 2, e.workers.Checker.Running(id))
		must.Less(t, maxAway, e.workers.Checker.LongestAway(id))
		must.LessEq(t, 15, e.workers.Checker.Crashes(id))
	})
}

// Guards against crash counts that are lost when the holder changes.
func TestCrashCountsSurviveTakeovers(t *testing.T) {
	for name, step := range map[string]work.Step{"plain": shortStep(2), "with copies": speculative(shortStep(2)), "lasting": longRunningStep(2)} {
		t.Run(name, func(t *testing.T) {
			runEnv(t, crashingTask(), 8, func(e *env) {
				m := e.takeOver(true)
				id := e.submit(m, step)
				for range 6 {
					time.Sleep(2500 * time.Millisecond)
					m.kill()
					<-m.ended
					m = e.takeOver(true)
				}
				confirmFor(m, 20*time.Second)
				if !step.LongRunning {
					must.EqOp(t, work.Failed, e.state(m, id))
				}
			})
		})
	}
}

// Guards against a long-running task that never finds room in a full pool after
// its host was lost.
func TestLongRunningTaskOfLostHostRestartsInFullPool(t *testing.T) {
	// Run ends are spread over time, so that capacity is freed in small parts only.
	spread := func(name work.TaskName) time.Duration {
		return time.Duration(700+37*name.Index) * time.Millisecond
	}
	runEnv(t, emulate.WorkersConfig{Seed: 1, RunTime: spread}, 3, func(e *env) {
		m := e.takeOver(true)
		large := longRunningStep(1)
		large.Resources = work.Resources{MilliCPU: 9000, MemMB: 9000}
		id := e.submit(m, large)
		for range 16 {
			e.submit(m, shortStep(40))
		}
		time.Sleep(500 * time.Millisecond)
		e.workers.Kill(e.hostOf(id))
		time.Sleep(6 * time.Second)
		must.EqOp(t, 1, e.workers.Checker.Running(id))
	})
}
