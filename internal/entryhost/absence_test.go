package entryhost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxAway is how long a long-running task may be without a run: the platform counts it as
// lost when it has had none for 3 s from 6 s after its last run.
const maxAway = 9 * time.Second

// hostOf returns the host of a pool that runs a task of a job, or empty.
func (dep *deployment) hostOf(pool, job string) string {
	for _, id := range dep.workers.IDs(pool) {
		if dep.workers.Checker.RunsOn(id, job) > 0 {
			return id
		}
	}
	return ""
}

// Guards against a long-running task that is not started again in time, as its host is
// lost with the pool's holder and the next holder waits for the leases of both.
func TestLongRunningTaskOfAHostLostWithItsHolder(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for _, after := range []time.Duration{-time.Second, -300 * time.Millisecond, 0, time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s after the holder, refuses %t", after, refuses), func(t *testing.T) {
				runTest(t, 3, func(dep *deployment) {
					id := dep.accept(dep.entries["entry-1"], "day", longRunning(2))
					time.Sleep(6 * time.Second)
					if after < 0 {
						dep.workers.Lose(dep.hostOf("day", id), refuses)
					}
					time.Sleep(max(0, -after))
					dep.kill(dep.holder("day"))
					time.Sleep(max(0, after))
					if after >= 0 {
						dep.workers.Lose(dep.hostOf("day", id), refuses)
					}
					time.Sleep(20 * time.Second)
					must.EqOp(t, 2, dep.workers.Checker.Running(id))
					must.Less(t, maxAway, dep.workers.Checker.LongestAway(id))
				})
			})
		}
	}
}
