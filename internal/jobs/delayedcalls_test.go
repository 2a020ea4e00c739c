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

// workerLink is a controller's connection to the workers. It can be cut, or delay
// Starts until deliverDelayed is called.
type workerLink struct {
	*fakeworkers.Workers
	cut         atomic.Bool
	delayStarts atomic.Bool
	delayed     chan func()
}

func newWorkerLink(workers *fakeworkers.Workers) *workerLink {
	return &workerLink{Workers: workers, delayed: make(chan func(), 100)}
}

// Start implements fleet.Workers.
func (w *workerLink) Start(ctx context.Context, host string, task fleet.Task) error {
	switch {
	case w.cut.Load():
		return &fleet.UnreachableError{Op: "start", Host: host, Cause: &fakeworkers.FaultError{Reason: "cut"}}
	case w.delayStarts.Load():
		w.delayed <- func() { _ = w.Workers.Start(context.Background(), host, task) }
		<-ctx.Done()
		return &fleet.UnreachableError{Op: "start", Host: host, MaybeSent: true, Cause: ctx.Err()}
	}
	return w.Workers.Start(ctx, host, task)
}

// Reports implements fleet.Workers.
func (w *workerLink) Reports(ctx context.Context, host string) ([]fleet.TaskReport, error) {
	if w.cut.Load() {
		return nil, &fleet.UnreachableError{Op: "reports", Host: host, Cause: &fakeworkers.FaultError{Reason: "cut"}}
	}
	return w.Workers.Reports(ctx, host)
}

// deliverDelayed delivers all delayed Starts.
func (w *workerLink) deliverDelayed() {
	w.delayStarts.Store(false)
	for len(w.delayed) > 0 {
		(<-w.delayed)()
	}
}

func oneTask() *record.Job {
	return &record.Job{Pool: "p", Team: "t", Resources: amount(1000, 1000), ExpectedSeconds: 60}
}

// A Start is delayed while its host begins to drain. The task is placed and runs on
// another host; then the Start arrives. The first host must refuse it because it
// received a Stop for the task. If "not running" in reply to the checkpoint counted
// as the task's end, the task would run twice.
func TestDelayedStartAfterTaskMovedIsRefused(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 2, amount(4000, 4000), runsFor(10*time.Minute))
		b.pool("p", b.hosts...)
		b.phase("h01", "p", hostrecord.Verifying)
		w := newWorkerLink(b.workers)
		w.delayStarts.Store(true)
		c := b.startWith(w)
		b.put("j", oneTask())
		b.within(time.Minute, "start on its way", func() bool { return len(w.delayed) > 0 })
		time.Sleep(callTimeout + 100*time.Millisecond)
		delayed := len(w.delayed)
		w.delayStarts.Store(false)
		b.phase("h00", "p", hostrecord.Draining)
		b.phase("h01", "p", hostrecord.Serving)
		b.within(time.Minute, "runs on the other host", func() bool { return b.workers.InFlight("h01") == 1 })
		must.Positive(t, delayed)
		w.deliverDelayed()
		must.Zero(t, b.workers.InFlight("h00"))
		b.finish(c)
	})
}

// A former owner of the shard still acts as owner, can't reach a worker and retries
// a Start. Its successor starts the task and moves it to another worker; the first
// worker reboots and loses its records. When the former owner reaches the worker, it
// must first check that its state is current, or the task runs twice.
func TestFormerOwnerDoesNotRetryStart(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 2, amount(4000, 4000), runsFor(10*time.Minute))
		b.pool("p", b.hosts...)
		b.phase("h01", "p", hostrecord.Verifying)
		w := newWorkerLink(b.workers)
		w.cut.Store(true)
		old := b.startWith(w)
		b.put("j", oneTask())
		b.within(time.Minute, "placed", func() bool { return len(b.state("p").Tasks) == 1 })
		old.loseLease()
		old.stopConfigWatch()
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

// Two controllers act as owner. The first placed a task but couldn't send it; the
// second read the state and sent it. The first then loses a write and reads the
// state again. When the host drains, the first must not treat the running task as
// unsent and place it again.
func TestTaskSentByAnotherControllerIsNotTreatedAsUnsent(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 2, amount(4000, 4000), runsFor(10*time.Minute))
		b.pool("p", b.hosts...)
		b.phase("h01", "p", hostrecord.Verifying)
		w := newWorkerLink(b.workers)
		w.cut.Store(true)
		old := b.startWith(w)
		b.put("j", oneTask())
		b.within(time.Minute, "placed", func() bool { return len(b.state("p").Tasks) == 1 })
		old.loseLease()
		successor := b.start()
		b.within(time.Minute, "started by the successor", func() bool { return b.workers.InFlight("h00") == 1 })
		successor.stopConfigWatch()
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
