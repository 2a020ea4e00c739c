package entryhost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// Guards against a pool that stalls while hundreds of hosts join it at once, and
// against hosts that stand empty after they have joined.
func TestAThousandHostsJoinInOneSecond(t *testing.T) {
	const joining = 1000
	play(t, 3, func(w *world) {
		e := w.other("day")
		before := w.accept(e, "day", quick(8))
		for i := range joining {
			w.fleet.Add("day", fmt.Sprintf("n%d", i/20), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
			time.Sleep(time.Second / joining)
		}
		w.done(e, "day", before, 5*time.Second)
		// More than the pool had room for before.
		wide := w.accept(e, "day", quick(2000))
		w.done(e, "day", wide, 5*time.Second)
	})
}

// Guards against a job of very many tasks that is lost, done in part or started over
// with its holder.
func TestAJobOfAThousandTasksOutlivesItsHolder(t *testing.T) {
	play(t, 3, func(w *world) {
		small := quick(1000)
		small.Resources, small.Estimate = work.Resources{MilliCPU: 500, MemMB: 100}, 300*time.Millisecond
		second := small
		second.After = []int{0}
		id := w.accept(w.other("day"), "day", small, second)
		time.Sleep(1500 * time.Millisecond)
		w.kill(w.holder("day"))
		w.done(w.any(), "day", id, 60*time.Second)
		must.True(t, w.workers.Checker.Finished(id))
	})
}

// any returns some entry host that runs.
func (w *world) any() *entry {
	for _, node := range nodes {
		if e := w.entries[node]; e != nil {
			return e
		}
	}
	return nil
}

// Guards against accepted jobs that are lost or never get their turn when several
// times more is handed in than can be done, for as long as a day lasts.
func TestLoadFarOverAllCapacity(t *testing.T) {
	const (
		length = 25 * time.Second
		pause  = 50 * time.Millisecond
	)
	play(t, 3, func(w *world) {
		var accepted []string
		for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
			record := w.record("day", quick(12))
			asked := time.Now()
			result := w.any().Jobs.SubmitJob(w.ctx, record)
			must.Less(t, 2*time.Second, time.Since(asked))
			if result == poolmanager.Stored {
				accepted = append(accepted, record.ID)
			}
			must.NotEqOp(t, poolmanager.ResultUnknown, result)
		}
		// 32 of these tasks run at a time on the pool's own hosts, one second each.
		must.Greater(t, 100, len(accepted))
		for until := time.Now().Add(5 * time.Minute); time.Now().Before(until) && !w.finished(accepted); {
			time.Sleep(time.Second)
		}
		must.True(t, w.finished(accepted))
	})
}

// finished reports whether all tasks of all jobs have ended well.
func (w *world) finished(jobs []string) bool {
	for _, id := range jobs {
		if !w.workers.Checker.Finished(id) {
			return false
		}
	}
	return true
}
