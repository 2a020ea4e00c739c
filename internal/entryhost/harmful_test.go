package entryhost_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// acceptHarmful hands in a job whose first task crashes its hosts.
func (w *world) acceptHarmful(e *entry, pool string, steps ...work.Step) string {
	w.t.Helper()
	record := w.record(pool, steps...)
	w.harmful(record.ID)
	must.EqOp(w.t, poolmanager.Stored, e.Jobs.SubmitJob(w.ctx, record))
	return record.ID
}

// startAll starts all entry hosts' processes again.
func (w *world) startAll() {
	for _, node := range nodes {
		w.start(node)
	}
}

// Guards against crashes that are forgotten when all entry hosts are lost at once,
// again and again.
func TestCrashesAreCountedWhenAllEntryHostsAreLost(t *testing.T) {
	copied := quick(3)
	copied.Speculative = true
	for name, step := range map[string]work.Step{"plain": quick(3), "with copies": copied, "lasting": lasting(2)} {
		t.Run(name, func(t *testing.T) {
			play(t, 3, func(w *world) {
				id := w.acceptHarmful(w.entries["entry-1"], "day", step)
				for range 5 {
					time.Sleep(4500 * time.Millisecond)
					for node := range w.entries {
						w.kill(node)
					}
					time.Sleep(500 * time.Millisecond)
					w.startAll()
				}
				time.Sleep(25 * time.Second)
				if !step.LongRunning {
					state, _, _ := w.entries["entry-2"].Jobs.JobState(w.ctx, "day", id)
					must.EqOp(t, work.Failed, state)
				}
				must.Less(t, 6, w.workers.Checker.Crashes(id))
			})
		})
	}
}

// Guards against a wave, and moves for other pools' demand, that take a host away
// with a task that crashes hosts counted anew on each.
func TestAWaveBesideALastingTaskThatCrashesHosts(t *testing.T) {
	play(t, 3, func(w *world) {
		harmful := w.acceptHarmful(w.entries["entry-1"], "day", lasting(2))
		sound := w.accept(w.entries["entry-1"], "day", lasting(2))
		hosts, err := w.fleet.List(w.ctx)
		must.NoError(t, err)
		wave := hostmanager.Wave{Number: 1, TimeLimit: 60 * time.Second, MaxDown: 2}
		for _, h := range hosts {
			wave.Hosts = append(wave.Hosts, h.Name)
		}
		w.demand(wave)
		time.Sleep(90 * time.Second)
		must.EqOp(t, 2, w.workers.Checker.Running(sound))
		must.Less(t, 6, w.workers.Checker.Crashes(harmful))
	})
}

// Guards against a host that is given more than is left of it after it shrank, and
// against one that stays empty after it has grown again.
func TestAHostThatShrinksGetsNoMoreThanIsLeft(t *testing.T) {
	play(t, 1, func(w *world) {
		e := w.entries["entry-1"]
		for _, id := range w.workers.IDs("day") {
			w.workers.Resize(id, work.Resources{MilliCPU: 3000, MemMB: 3000})
		}
		first := w.accept(e, "day", quick(12))
		time.Sleep(6 * time.Second)
		for _, id := range w.workers.IDs("day") {
			must.LessEq(t, 1, w.workers.Running(id))
			w.workers.Resize(id, work.Resources{MilliCPU: 16_000, MemMB: 32_000})
		}
		second := w.accept(e, "day", quick(24))
		w.done(e, "day", first, 12*time.Second)
		w.done(e, "day", second, 12*time.Second)
	})
}

// Guards against a report that names a host which says it has nothing left.
func TestAHostThatShrinksToNothingIsLeftAlone(t *testing.T) {
	play(t, 1, func(w *world) {
		e := w.entries["entry-1"]
		lost := w.workers.IDs("day")[0]
		w.workers.Resize(lost, work.Resources{})
		time.Sleep(6 * time.Second)
		id := w.accept(e, "day", quick(6))
		w.done(e, "day", id, 8*time.Second)
		must.EqOp(t, 0, w.workers.Checker.RunsOn(lost, id))
	})
}
