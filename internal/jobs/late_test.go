package jobs

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// wire is a controller's way to the workers: it can be cut, or keep Starts on
// their way for as long as a test likes.
type wire struct {
	*fakeworkers.Workers
	cut  atomic.Bool
	late atomic.Bool
	held chan func()
}

func newWire(workers *fakeworkers.Workers) *wire {
	return &wire{Workers: workers, held: make(chan func(), 100)}
}

// Start implements fleet.Workers.
func (w *wire) Start(ctx context.Context, host string, task fleet.Task) error {
	switch {
	case w.cut.Load():
		return &fleet.UnreachableError{Op: "start", Host: host, Cause: &fakeworkers.FaultError{Reason: "cut"}}
	case w.late.Load():
		w.held <- func() { _ = w.Workers.Start(context.Background(), host, task) }
		<-ctx.Done()
		return &fleet.UnreachableError{Op: "start", Host: host, Sent: true, Cause: ctx.Err()}
	}
	return w.Workers.Start(ctx, host, task)
}

// Reports implements fleet.Workers.
func (w *wire) Reports(ctx context.Context, host string) ([]fleet.TaskReport, error) {
	if w.cut.Load() {
		return nil, &fleet.UnreachableError{Op: "reports", Host: host, Cause: &fakeworkers.FaultError{Reason: "cut"}}
	}
	return w.Workers.Reports(ctx, host)
}

// deliver lets every Start that is on its way arrive.
func (w *wire) deliver() {
	w.late.Store(false)
	for len(w.held) > 0 {
		(<-w.held)()
	}
}

func oneTask() *record.Job {
	return &record.Job{Pool: "p", Team: "t", Resources: amount(1000, 1000), ExpectedSeconds: 60}
}

// A Start is long on its way when its host begins to drain. The task is placed
// on another host and runs there; then the Start arrives. The first host must
// refuse it, because it was told to stop the task although it never had it.
// With the checkpoint's "doesn't run" taken for an end the task runs twice.
func TestStartThatArrivesAfterTheTaskMovedRunsNothing(t *testing.T) {
	play(t, func(t *testing.T) {
		b := newBench(t, 2, amount(4000, 4000), works(10*time.Minute))
		b.pool("p", b.hosts...)
		b.phase("h01", "p", hostrecord.Verifying)
		w := newWire(b.workers)
		w.late.Store(true)
		c := b.startWith(w)
		b.put("j", oneTask())
		b.within(time.Minute, "start on its way", func() bool { return len(w.held) > 0 })
		time.Sleep(callTimeout + 100*time.Millisecond)
		held := len(w.held)
		w.late.Store(false)
		b.phase("h00", "p", hostrecord.Draining)
		b.phase("h01", "p", hostrecord.Serving)
		b.within(time.Minute, "runs on the other host", func() bool { return b.workers.InFlight("h01") == 1 })
		must.Positive(t, held)
		w.deliver()
		must.Zero(t, b.workers.InFlight("h00"))
		b.finish(c)
	})
}

// A holder can't reach a worker and goes on trying a Start while it believes
// that it still holds; no news reaches it. Its successor starts the task, moves it elsewhere, and
// the first worker reboots and forgets. When the old holder gets through, it
// must first look whether its state is still the one in force. Without that
// look the task runs twice.
func TestHolderThatLostItsShardTriesNoOldStart(t *testing.T) {
	play(t, func(t *testing.T) {
		b := newBench(t, 2, amount(4000, 4000), works(10*time.Minute))
		b.pool("p", b.hosts...)
		b.phase("h01", "p", hostrecord.Verifying)
		w := newWire(b.workers)
		w.cut.Store(true)
		old := b.startWith(w)
		b.put("j", oneTask())
		b.within(time.Minute, "placed", func() bool { return len(b.state("p").Tasks) == 1 })
		old.lapse()
		old.blind()
		successor := b.start()
		b.within(time.Minute, "started by the successor", func() bool { return b.workers.InFlight("h00") == 1 })
		b.phase("h01", "p", hostrecord.Serving)
		b.phase("h00", "p", hostrecord.Draining)
		b.within(time.Minute, "moved", func() bool { return b.workers.InFlight("h01") == 1 })
		b.workers.Down("h00")
		b.workers.Up("h00")
		w.cut.Store(false)
		time.Sleep(10 * time.Second)
		must.Zero(t, b.workers.InFlight("h00"))
		b.finish(old, successor)
	})
}

// Two controllers believe to hold. The first placed a task and never got to
// send it; the second read the state and did. The first loses a write and reads
// the state again. When the host drains it must not take the task for never
// sent and place it anew: it still runs.
func TestTaskSentByAnotherControllerIsNotTakenForUnsent(t *testing.T) {
	play(t, func(t *testing.T) {
		b := newBench(t, 2, amount(4000, 4000), works(10*time.Minute))
		b.pool("p", b.hosts...)
		b.phase("h01", "p", hostrecord.Verifying)
		w := newWire(b.workers)
		w.cut.Store(true)
		old := b.startWith(w)
		b.put("j", oneTask())
		b.within(time.Minute, "placed", func() bool { return len(b.state("p").Tasks) == 1 })
		old.lapse()
		successor := b.start()
		b.within(time.Minute, "started by the successor", func() bool { return b.workers.InFlight("h00") == 1 })
		successor.blind()
		b.put("k", oneTask())
		b.within(time.Minute, "placed after reading again", func() bool { return len(b.state("p").Tasks) == 2 })
		b.phase("h01", "p", hostrecord.Serving)
		time.Sleep(time.Second)
		w.cut.Store(false)
		b.phase("h00", "p", hostrecord.Draining)
		b.within(time.Minute, "moved", func() bool { return b.workers.InFlight("h01") == 2 })
		time.Sleep(10 * time.Second)
		b.finish(old, successor)
	})
}
