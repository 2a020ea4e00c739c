package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// An urgent job arrives while long tasks fill every worker. It must run within
// 1.5 s: a task of lower priority is checkpointed for it and resumes later from
// its checkpoint.
func TestUrgentTaskStartsInTimeAndPreemptedTaskResumes(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 3, amount(4000, 4000), runsFor(time.Minute))
		b.pool("p", b.hosts...)
		b.put("long", &record.Job{Pool: "p", Team: "t", Tasks: 3, Resources: amount(4000, 4000), ExpectedSeconds: 60})
		c := b.start()
		b.within(10*time.Second, "long tasks run", func() bool { return b.workers.Counts().Placed == 3 })
		time.Sleep(20 * time.Second)
		b.put("now", &record.Job{Pool: "p", Team: "t", Priority: record.PriorityUrgent, Resources: amount(4000, 4000), ExpectedSeconds: 60})
		took := b.within(1500*time.Millisecond, "urgent task runs", func() bool { return b.workers.Counts().Placed == 4 })
		t.Logf("urgent start after %s", took)
		must.Eq(t, 1, b.workers.Counts().Checkpoints)
		b.within(3*time.Minute, "all finish", func() bool { return b.workers.Counts().Finished == 4 })
		b.finish(c)
	})
}

// A host is drained for maintenance. Its tasks are checkpointed and resume on other
// hosts, and no new task starts on it.
func TestTasksAreMovedOffDrainingHost(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 2, amount(4000, 4000), runsFor(time.Minute))
		b.pool("p", b.hosts...)
		b.put("j", &record.Job{Pool: "p", Team: "t", Tasks: 2, Resources: amount(1000, 1000), ExpectedSeconds: 60})
		c := b.start()
		b.within(10*time.Second, "tasks run", func() bool { return b.workers.Counts().Placed == 2 })
		host := b.workers.Starts()[0].Host
		b.phase(host, "p", hostrecord.Draining)
		b.within(2*time.Second, "host empty", func() bool { return b.workers.InFlight(host) == 0 })
		b.within(3*time.Minute, "all finish", func() bool { return b.workers.Counts().Finished == 2 })
		for _, started := range b.workers.Starts()[2:] {
			must.NotEq(t, host, started.Host)
		}
		b.finish(c)
	})
}

// The owner of the shard stops without releasing it. The next owner reads the state
// and renews the leases in time, so no task is lost or restarted.
func TestFailoverLosesNoTask(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 3, amount(4000, 4000), runsFor(2*time.Minute))
		b.pool("p", b.hosts...)
		b.put("j", &record.Job{Pool: "p", Team: "t", Tasks: 6, Resources: amount(1000, 1000), ExpectedSeconds: 60})
		first := b.start()
		b.within(10*time.Second, "tasks run", func() bool { return b.workers.Counts().Placed == 6 })
		second := b.start()
		first.stop()
		b.within(3*time.Minute, "all finish", func() bool { return b.workers.Counts().Finished == 6 })
		must.Eq(t, 6, b.workers.Counts().Placed)
		b.finish(second)
	})
}

// The store is unavailable for ten minutes. Tasks keep running under their leases,
// which the last owner keeps renewing; no new task starts until the store is back.
func TestStoreOutageEndsNoTask(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 2, amount(4000, 4000), runsFor(8*time.Minute))
		b.pool("p", b.hosts...)
		b.put("j", &record.Job{Pool: "p", Team: "t", Tasks: 4, Resources: amount(1000, 1000), ExpectedSeconds: 60})
		first, second := b.start(), b.start()
		b.within(10*time.Second, "tasks run", func() bool { return b.workers.Counts().Placed == 4 })
		b.store.SetDown(true)
		time.Sleep(10 * time.Minute)
		must.Eq(t, 4, b.workers.Counts().Finished)
		must.Zero(t, b.workers.Counts().LeaseEnds)
		b.store.SetDown(false)
		b.within(time.Minute, "task ends recorded", func() bool { return len(b.state("p").Tasks) == 0 })
		must.Eq(t, 4, b.workers.Counts().Placed)
		b.finish(first, second)
	})
}

// A host with a running task becomes unreachable. The task may still be running, so
// it starts on another host only after its lease has certainly expired.
func TestTaskOnUnreachableHostRestartsOnlyAfterLeaseExpiry(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 2, amount(4000, 4000), runsFor(10*time.Minute))
		b.pool("p", b.hosts...)
		b.put("j", &record.Job{Pool: "p", Team: "t", Resources: amount(1000, 1000), ExpectedSeconds: 60})
		c := b.start()
		b.within(10*time.Second, "task runs", func() bool { return b.workers.Counts().Placed == 1 })
		b.workers.SetUnreachable(b.workers.Starts()[0].Host, true)
		took := b.within(2*time.Minute, "task runs elsewhere", func() bool { return b.workers.Counts().Placed == 2 })
		must.Greater(t, testTTL, took)
		must.Eq(t, 1, b.workers.Counts().LeaseEnds)
		b.finish(c)
	})
}

// A host is unreachable until its tasks count as lost, then becomes reachable with
// no tasks. It must get tasks again although it has none to report.
func TestHostReachableAgainGetsTasks(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 1, amount(4000, 4000), runsFor(time.Minute))
		b.pool("p", b.hosts...)
		b.put("j", &record.Job{Pool: "p", Team: "t", Resources: amount(1000, 1000), ExpectedSeconds: 60})
		c := b.start()
		b.within(10*time.Second, "task runs", func() bool { return b.workers.Counts().Placed == 1 })
		b.workers.SetUnreachable("h00", true)
		b.within(2*time.Minute, "tasks count as lost", func() bool { return len(b.state("p").Tasks) == 0 })
		b.workers.SetUnreachable("h00", false)
		b.within(2*time.Minute, "finishes", func() bool { return b.workers.Counts().Finished == 1 })
		b.finish(c)
	})
}

// One worker fails every task and, being always empty, attracts new ones. It must be
// quarantined after a few failures and reinstated by a successful probe after its
// repair, and no job may be considered faulty.
func TestFailingWorkerIsQuarantinedAndReinstated(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 4, amount(4000, 4000), runsFor(5*time.Second))
		b.pool("p", b.hosts...)
		b.workers.SetBlackHole("h00", true)
		for i := range 8 {
			b.put(fmt.Sprintf("j%d", i), &record.Job{Pool: "p", Team: "t", Tasks: 40, Resources: amount(1000, 1000), ExpectedSeconds: 5})
		}
		c := b.start()
		b.within(time.Minute, "quarantine", func() bool { q, _ := b.state("p").Failures.Quarantined("h00"); return q })
		failed := b.workers.Counts().Failed
		must.LessEq(t, 12, failed)
		time.Sleep(30 * time.Second)
		must.Eq(t, failed, b.workers.Counts().Failed)
		b.workers.SetBlackHole("h00", false)
		b.within(3*time.Minute, "worker reinstated", func() bool { q, _ := b.state("p").Failures.Quarantined("h00"); return !q })
		b.within(10*time.Minute, "all finish", func() bool { return b.workers.Counts().Finished == 320 })
		must.MapEmpty(t, b.state("p").Failures.FaultyJobs)
		b.finish(c)
	})
}

// A job fails on every worker while other jobs succeed there. It must be parked with
// the reason, no worker may be quarantined, and an update lets the job run again.
func TestFaultyJobIsParkedUntilUpdated(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		behave := func(task fleet.Task) fakeworkers.Behaviour {
			done := runsFor(2 * time.Second)(task)
			if task.Job == "bad" && len(task.Command) == 0 {
				done.FailReason = "exit 1"
			}
			return done
		}
		b := newTestCluster(t, 4, amount(4000, 4000), behave)
		b.pool("p", b.hosts...)
		bad := &record.Job{Pool: "p", Team: "t", Resources: amount(1000, 1000), ExpectedSeconds: 5}
		b.put("bad", bad)
		b.put("good", &record.Job{Pool: "p", Team: "t", Tasks: 30, Resources: amount(1000, 1000), ExpectedSeconds: 5})
		c := b.start()
		b.within(2*time.Minute, "parked", func() bool { return b.state("p").Parked["bad"] != "" })
		must.StrContains(t, b.state("p").Parked["bad"], "exit 1")
		must.Eq(t, 3, b.workers.Counts().Failed)
		for _, host := range b.hosts {
			quarantined, _ := b.state("p").Failures.Quarantined(host)
			must.False(t, quarantined)
		}
		bad.Command = []string{"mended"}
		b.put("bad", bad)
		b.within(time.Minute, "all finish", func() bool { return b.workers.Counts().Finished == 31 })
		b.finish(c)
	})
}

// Tasks need twice the memory that was declared. Each is killed once or twice before
// the estimate is large enough; none is abandoned or counted against a worker.
func TestTasksThatRunOutOfMemoryAreGivenMore(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		behave := func(fleet.Task) fakeworkers.Behaviour {
			return fakeworkers.Behaviour{Used: amount(500, 2000), Work: 5 * time.Second}
		}
		b := newTestCluster(t, 2, amount(8000, 8000), behave)
		b.pool("p", b.hosts...)
		b.put("j", &record.Job{Pool: "p", Team: "t", Tasks: 20, Resources: amount(1000, 1000), ExpectedSeconds: 5})
		c := b.start()
		b.within(5*time.Minute, "all finish", func() bool { return b.workers.Counts().Finished == 20 })
		must.MapEmpty(t, b.state("p").Failures.Workers)
		b.finish(c)
	})
}

// 200 jobs are cancelled at once. Jobs that haven't started need no call, and all
// cancellations together need a few writes, not one per job.
func TestMassCancellationNeedsFewWrites(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		b := newTestCluster(t, 4, amount(4000, 4000), runsFor(10*time.Minute))
		b.pool("p", b.hosts...)
		job := func(cancelled bool) *record.Job {
			return &record.Job{Pool: "p", Team: "t", Resources: amount(1000, 1000), ExpectedSeconds: 60, Cancelled: cancelled}
		}
		for i := range 200 {
			b.put(fmt.Sprintf("j%03d", i), job(false))
		}
		c := b.start()
		b.within(30*time.Second, "workers full", func() bool { return b.workers.Counts().Placed == 16 })
		time.Sleep(10 * time.Second)
		before := b.store.Counts().Writes
		for i := range 200 {
			b.put(fmt.Sprintf("j%03d", i), job(true))
		}
		b.within(5*time.Second, "all stopped", func() bool { return b.workers.Counts().Stops == 16 })
		time.Sleep(5 * time.Second)
		must.Eq(t, 16, b.workers.Counts().Placed)
		must.LessEq(t, 10, b.store.Counts().Writes-before-200)
		b.finish(c)
	})
}
