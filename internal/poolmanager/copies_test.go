package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

func copied(s work.Step) work.Step {
	s.Speculative = true
	return s
}

// A host goes silent with a task on it. Without copies the client waits until
// the task's hold has certainly run out, some six seconds; where copies may run
// side by side, the task starts elsewhere at once.
func TestCopyRunsBesideASilentHost(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, copied(quick(1)))
		time.Sleep(300 * time.Millisecond)
		w.workers.SetFaults(w.hostOf(id), emulate.HostFaults{Unresponsive: true})
		w.shown(k, id, work.Done, 3500*time.Millisecond)
	})
}

// A host works ten times slower than the others. A copy elsewhere ends first,
// the slow run is stopped, and its end changes nothing any more.
func TestCopyOvertakesASlowRun(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, copied(quick(1)))
		time.Sleep(100 * time.Millisecond)
		w.workers.SetFaults(w.hostOf(id), emulate.HostFaults{SlowFactor: 10})
		w.shown(k, id, work.Done, 4*time.Second)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 0, w.workers.Checker.Running(id))
		must.EqOp(t, 2, w.workers.Checker.Starts())
	})
}

// A run that is as slow as its estimate is wrong isn't worth a second one.
func TestNoCopyOfARunThatIsNearlyDone(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1, RunTime: func(work.TaskName) time.Duration { return 1800 * time.Millisecond }}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, copied(quick(1)))
		w.shown(k, id, work.Done, 4*time.Second)
		must.EqOp(t, 1, w.workers.Checker.Starts())
	})
}

// A copied job is cancelled: both runs of its task have to end.
func TestCancelStopsAllCopies(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, copied(quick(1)))
		time.Sleep(100 * time.Millisecond)
		w.workers.SetFaults(w.hostOf(id), emulate.HostFaults{SlowFactor: 30})
		time.Sleep(1300 * time.Millisecond)
		must.EqOp(t, 2, w.workers.Checker.Running(id))
		must.EqOp(t, poolmanager.Stored, k.Cancel(w.ctx, id))
		w.workers.Checker.Cancelled(id)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 0, w.workers.Checker.Running(id))
	})
}

// The holder is lost while a host with a task can't be reached by the next one.
// That one doesn't know whether the task runs, and needn't wait to find out.
func TestNextHolderCopiesWhatItCannotSee(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, copied(quick(1)))
		time.Sleep(300 * time.Millisecond)
		w.workers.SetFaults(w.hostOf(id), emulate.HostFaults{Unresponsive: true})
		k.kill()
		k = w.takeAtOnce(true)
		w.shown(k, id, work.Done, 3*time.Second)
	})
}
