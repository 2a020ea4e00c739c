package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// large fills a host of this world, for a long time.
func large(saves bool) work.Step {
	return work.Step{Count: 1, Resources: work.Resources{MilliCPU: 16_000, MemMB: 1000}, Estimate: 6 * time.Second, Checkpoint: saves}
}

func (w *world) submitAt(k *kept, priority int, steps ...work.Step) string {
	w.t.Helper()
	record := w.record(steps...)
	record.Queue.Priority = priority
	must.EqOp(w.t, poolmanager.Stored, k.Submit(w.ctx, record))
	return record.ID
}

// Urgent work finds every host full. Lesser work that saves its progress makes
// room and goes on from there afterwards: its client waits a little longer, the
// urgent one not six seconds.
func TestUrgentWorkDisplacesWhatSaves(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 1, func(w *world) {
		k := w.take(true)
		lesser := w.submitAt(k, 1, large(true))
		time.Sleep(3 * time.Second)
		urgent := w.submitAt(k, 0, quick(2))
		w.shown(k, urgent, work.Done, 2500*time.Millisecond)
		w.shown(k, lesser, work.Done, 6*time.Second)
		must.EqOp(t, 4, w.workers.Checker.Starts())
	})
}

// Work that saves nothing would have to begin anew, and work of the same
// priority is as urgent: neither is stopped.
func TestUrgentWorkWaitsForWhatItMayNotDisplace(t *testing.T) {
	for name, other := range map[string]struct {
		priority int
		saves    bool
	}{"without progress to save": {1, false}, "of the same priority": {0, true}} {
		t.Run(name, func(t *testing.T) {
			play(t, emulate.WorkersConfig{Seed: 1}, 1, func(w *world) {
				k := w.take(true)
				w.submitAt(k, other.priority, large(other.saves))
				time.Sleep(time.Second)
				urgent := w.submitAt(k, 0, quick(2))
				time.Sleep(3 * time.Second)
				must.EqOp(t, work.Queued, w.state(k, urgent))
				w.shown(k, urgent, work.Done, 6*time.Second)
				must.EqOp(t, 3, w.workers.Checker.Starts())
			})
		})
	}
}

// The room that was made isn't taken by other lesser work that waits: it would
// be stopped again, over and over.
func TestRoomThatWasMadeIsKept(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 1, func(w *world) {
		k := w.take(true)
		w.submitAt(k, 1, large(true))
		time.Sleep(time.Second)
		for range 3 {
			w.submitAt(k, 1, work.Step{
				Count: 4, Resources: work.Resources{MilliCPU: 3000, MemMB: 1000}, Estimate: 3 * time.Second, Checkpoint: true,
			})
		}
		urgent := w.submitAt(k, 0, quick(6))
		w.shown(k, urgent, work.Done, 3*time.Second)
	})
}
