package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// A host leaves a start unanswered and carries it out seconds later. The client
// waits a quarter of a second longer, not two: the same order is sent again, and
// what the host does late changes nothing any more.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 1, func(w *world) {
		k := w.take(true)
		w.workers.SetFaults(w.workers.IDs(pool)[0], emulate.HostFaults{DelayNext: 1})
		id := w.submit(k, quick(1))
		w.shown(k, id, work.Done, 1600*time.Millisecond)
		time.Sleep(15 * time.Second)
		must.EqOp(t, 1, w.workers.Checker.Starts())
	})
}

// A host leaves everything unanswered for a while. Each order is tried a few
// times only, and the task ends elsewhere.
func TestOrdersToASilentHostEnd(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		silent := w.workers.IDs(pool)[0]
		w.workers.SetFaults(silent, emulate.HostFaults{Unresponsive: true})
		id := w.submit(k, quick(1))
		w.shown(k, id, work.Done, 9*time.Second)
	})
}

// A start is left unanswered, and so is the stop that follows, as the client has
// cancelled meanwhile. The start isn't sent again: its host would begin what
// nobody wants, after the cancel was acknowledged.
func TestUnansweredStartThatNobodyWantsIsNotSentAgain(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 1, func(w *world) {
		k := w.take(true)
		w.workers.SetFaults(w.workers.IDs(pool)[0], emulate.HostFaults{DelayNext: 2})
		id := w.submit(k, quick(1))
		time.Sleep(50 * time.Millisecond)
		must.EqOp(t, poolmanager.Stored, k.Cancel(w.ctx, id))
		w.workers.Checker.Cancelled(id)
		time.Sleep(15 * time.Second)
		must.EqOp(t, 0, w.workers.Checker.Starts())
	})
}
