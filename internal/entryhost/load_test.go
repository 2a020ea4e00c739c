package entryhost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// Guards against a pool that stalls while a thousand hosts join it within 1 s, and
// against joined hosts that stay idle.
func TestThousandHostsJoinInOneSecond(t *testing.T) {
	const joining = 1000
	runTest(t, 3, func(dep *deployment) {
		e := dep.other("day")
		before := dep.accept(e, "day", quick(8))
		for i := range joining {
			dep.fleet.Add("day", fmt.Sprintf("n%d", i/20), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
			time.Sleep(time.Second / joining)
		}
		dep.done(e, "day", before, 5*time.Second)
		// Needs more capacity than the pool had before.
		wide := dep.accept(e, "day", quick(2000))
		dep.done(e, "day", wide, 5*time.Second)
	})
}

// Guards against a job with very many tasks that is lost, completed only in part or
// restarted when its pool's holder fails.
func TestJobWithThousandTasksSurvivesLossOfHolder(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		small := quick(1000)
		small.Resources, small.Estimate = work.Resources{MilliCPU: 500, MemMB: 100}, 300*time.Millisecond
		second := small
		second.After = []int{0}
		id := dep.accept(dep.other("day"), "day", small, second)
		time.Sleep(1500 * time.Millisecond)
		dep.kill(dep.holder("day"))
		dep.done(dep.anyEntry(), "day", id, 60*time.Second)
		must.True(t, dep.workers.Checker.Finished(id))
	})
}

// anyEntry returns the first running entry host.
func (dep *deployment) anyEntry() *entry {
	for _, node := range nodes {
		if e := dep.entries[node]; e != nil {
			return e
		}
	}
	return nil
}

// Guards against accepted jobs that are lost or starve while clients submit several
// times more work than the hosts can run, for the length of a random scenario.
func TestLoadFarAboveCapacity(t *testing.T) {
	const (
		length = 25 * time.Second
		pause  = 50 * time.Millisecond
	)
	runTest(t, 3, func(dep *deployment) {
		var accepted []string
		for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
			record := dep.record("day", quick(12))
			asked := time.Now()
			result := dep.anyEntry().Jobs.SubmitJob(dep.ctx, record).Result
			must.Less(t, 2*time.Second, time.Since(asked))
			if result == poolmanager.Stored {
				accepted = append(accepted, record.ID)
			}
			must.NotEqOp(t, poolmanager.ResultUnknown, result)
		}
		// The pool's own hosts run 32 of these tasks at a time, for 1 s each.
		must.Greater(t, 100, len(accepted))
		for until := time.Now().Add(5 * time.Minute); time.Now().Before(until) && !dep.finished(accepted); {
			time.Sleep(time.Second)
		}
		must.True(t, dep.finished(accepted))
	})
}

// finished reports whether all tasks of all jobs have succeeded.
func (dep *deployment) finished(jobs []string) bool {
	for _, id := range jobs {
		if !dep.workers.Checker.Finished(id) {
			return false
		}
	}
	return true
}
