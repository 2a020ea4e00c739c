package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// crashing lets the first task of the first job crash each host that starts it.
func crashing() emulate.WorkersConfig {
	return emulate.WorkersConfig{Seed: 1, Crashes: func(name work.TaskName) bool {
		return name == work.TaskName{Job: "0000000000000001"}
	}}
}

// rest lets time pass while the store shows the keeper as the pool's holder.
func rest(k *kept, length time.Duration) {
	for range length / time.Second {
		time.Sleep(time.Second)
		k.ConfirmClaim()
	}
}

// Guards against a task that crashes its hosts and is started for ever.
func TestATaskThatCrashesItsHostsIsGivenUp(t *testing.T) {
	saving := quick(4)
	saving.Checkpoint = true
	gang := quick(3)
	gang.Gang = true
	for name, step := range map[string]work.Step{
		"plain": quick(4), "alone": quick(1), "with copies": copied(quick(4)), "saving its progress": saving, "in a gang": gang,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, crashing(), 8, func(w *world) {
				k := w.take(true)
				id, other := w.submit(k, step), w.submit(k, quick(4))
				w.shown(k, id, work.Failed, 20*time.Second)
				w.shown(k, other, work.Done, 10*time.Second)
				rest(k, 20*time.Second)
				must.EqOp(t, 0, w.workers.Checker.Running(id))
			})
		})
	}
}

// Guards against a lasting task that crashes its hosts and is started for ever,
// and against the loss of its step's other tasks.
func TestALastingTaskThatCrashesItsHostsIsHeldBack(t *testing.T) {
	play(t, crashing(), 8, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(3))
		rest(k, 60*time.Second)
		must.EqOp(t, 2, w.workers.Checker.Running(id))
	})
}

// Guards against crashes that are forgotten with the holder that saw them.
func TestCrashesAreCountedOverTakeovers(t *testing.T) {
	for name, step := range map[string]work.Step{"plain": quick(2), "with copies": copied(quick(2)), "lasting": lasting(2)} {
		t.Run(name, func(t *testing.T) {
			play(t, crashing(), 8, func(w *world) {
				k := w.take(true)
				id := w.submit(k, step)
				for range 6 {
					time.Sleep(2500 * time.Millisecond)
					k.kill()
					<-k.ended
					k = w.take(true)
				}
				rest(k, 20*time.Second)
				if !step.LongRunning {
					must.EqOp(t, work.Failed, w.state(k, id))
				}
			})
		})
	}
}

// Guards against a lasting task that finds no room in a full pool for good after its
// host was lost.
func TestALastingTaskOfALostHostGetsRoomInAFullPool(t *testing.T) {
	// Ends are spread over time, so that room never comes free in one piece.
	spread := func(name work.TaskName) time.Duration {
		return time.Duration(700+37*name.Index) * time.Millisecond
	}
	play(t, emulate.WorkersConfig{Seed: 1, RunTime: spread}, 3, func(w *world) {
		k := w.take(true)
		large := lasting(1)
		large.Resources = work.Resources{MilliCPU: 9000, MemMB: 9000}
		id := w.submit(k, large)
		for range 16 {
			w.submit(k, quick(40))
		}
		time.Sleep(500 * time.Millisecond)
		w.workers.Kill(w.hostOf(id))
		time.Sleep(6 * time.Second)
		must.EqOp(t, 1, w.workers.Checker.Running(id))
	})
}
