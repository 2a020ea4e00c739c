package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// maxAway is how long a long-running task may be without a run: the platform counts it as
// lost when it has had none for 3 s from 6 s after its last run.
const maxAway = 9 * time.Second

// confirm keeps confirming the claim.
func confirm(e *env, m *runningManager) {
	go func() {
		for e.ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			m.ConfirmClaim(time.Now())
		}
	}()
}

// awaitHost waits until a job runs and returns its host.
func (e *env) awaitHost(id string) string {
	e.t.Helper()
	for range 600 {
		if host := e.hostOf(id); host != "" {
			return host
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.t.Fatalf("job %s has not run for 30 s", id)
	return ""
}

// crashInTurn has the host of a job crash each time that the job has run there for a while,
// and waits until it runs again.
func (e *env) crashInTurn(id string, times int, running time.Duration) {
	e.t.Helper()
	for range times {
		host := e.awaitHost(id)
		time.Sleep(running)
		e.workers.Crash(host)
	}
	e.awaitHost(id)
}

// Guards against a long-running task whose pause after crashes adds up with the time until
// the loss of its host is believed: its hosts go for good in turn.
func TestLongRunningTaskWhoseHostsAreLostInTurn(t *testing.T) {
	for name, refuses := range map[string]bool{"silent": false, "refuse": true} {
		t.Run(name, func(t *testing.T) {
			runEnv(t, emulate.WorkersConfig{Seed: 1}, 9, func(e *env) {
				m := e.takeOver(true)
				confirm(e, m)
				id := e.submit(m, longRunningStep(1))
				for range 7 {
					host := e.awaitHost(id)
					time.Sleep(4 * time.Second)
					e.workers.Lose(host, refuses)
				}
				e.awaitHost(id)
				must.Less(t, maxAway, e.workers.Checker.LongestAway(id))
			})
		})
	}
}

// Guards against a long-running task that is held back for good: its hosts crash soon
// after it has started on them, for another reason.
func TestLongRunningTaskWhoseHostsCrashSoonAfterItsStarts(t *testing.T) {
	for name, length := range map[string]time.Duration{"at once": 200 * time.Millisecond, "after 1 s": time.Second} {
		t.Run(name, func(t *testing.T) {
			runEnv(t, emulate.WorkersConfig{Seed: 1}, 8, func(e *env) {
				m := e.takeOver(true)
				confirm(e, m)
				id := e.submit(m, longRunningStep(1))
				e.crashInTurn(id, 16, length)
				must.Less(t, maxAway, e.workers.Checker.LongestAway(id))
				must.EqOp(t, work.Running, e.state(m, id))
			})
		})
	}
}

// feed submits a job at each interval until stop is called.
func feed(e *env, m *runningManager, interval time.Duration, steps ...work.Step) (stop func()) {
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(interval):
				e.submit(m, steps...)
			}
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// Guards against a long-running task under suspicion that waits for a host without young
// runs, of which a busy pool has none.
func TestLongRunningSuspectStartsInABusyPool(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		confirm(e, m)
		id := e.submit(m, longRunningStep(1))
		young := shortStep(4)
		young.Resources, young.MaxPerHost = work.Resources{MilliCPU: 500, MemMB: 100}, 1
		stop := feed(e, m, 300*time.Millisecond, young)
		e.crashInTurn(id, 4, 2500*time.Millisecond)
		stop()
		must.Less(t, maxAway, e.workers.Checker.LongestAway(id))
	})
}

// Guards against long-running tasks that each wait for a host without other suspects when
// there are more of them than hosts.
func TestLongRunningSuspectsThatOutnumberTheHosts(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 8, func(e *env) {
		m := e.takeOver(true)
		confirm(e, m)
		var jobs []string
		for range 4 {
			jobs = append(jobs, e.submit(m, longRunningStep(5)))
		}
		time.Sleep(12 * time.Second)
		for range 3 {
			e.workers.Crash(e.workers.IDs(pool)[:4]...)
			time.Sleep(8 * time.Second)
		}
		time.Sleep(8 * time.Second)
		for _, id := range jobs {
			must.EqOp(t, 5, e.workers.Checker.Running(id))
			must.Less(t, maxAway, e.workers.Checker.LongestAway(id))
		}
	})
}

// Guards against a long-running task that finds no host while jobs that always fail have
// all hosts of its pool under suspicion.
func TestLongRunningTaskStartsWhileAllHostsAreUnderSuspicion(t *testing.T) {
	fails := func(name work.TaskName, _ int) bool { return name.Step == 1 }
	runEnv(t, emulate.WorkersConfig{Seed: 1, Fails: fails}, 3, func(e *env) {
		m := e.takeOver(true)
		confirm(e, m)
		id := e.submit(m, longRunningStep(1))
		first, faulty := shortStep(1), after(shortStep(6), 0)
		first.Estimate, faulty.Estimate = 100*time.Millisecond, 200*time.Millisecond
		stop := feed(e, m, 150*time.Millisecond, first, faulty)
		time.Sleep(6 * time.Second)
		e.crashInTurn(id, 4, 3*time.Second)
		stop()
		must.Less(t, maxAway, e.workers.Checker.LongestAway(id))
	})
}
