package entryhost_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/work"
)

// moved returns a job as it is submitted once its queue goes to another pool.
func moved(record *work.JobRecord, pool string) *work.JobRecord {
	again := *record
	again.Queue.Pool = pool
	return &again
}

// refOf returns what a client asks for once the job's queue goes to a pool.
func refOf(record *work.JobRecord, pool string) work.JobRef {
	return work.JobRef{Pool: pool, ID: record.ID, Queue: record.Queue.Path}
}

// acceptLong accepts a job that runs throughout a test.
func (dep *deployment) acceptLong(pool string) *work.JobRecord {
	dep.t.Helper()
	step := quick(2)
	step.Estimate = 40 * time.Second
	record := dep.record(pool, step)
	must.EqOp(dep.t, poolmanager.Stored, dep.anyEntry().Jobs.SubmitJob(dep.ctx, record).Result)
	time.Sleep(time.Second)
	return record
}

func (dep *deployment) restartAll() {
	for _, node := range nodes {
		dep.kill(node)
	}
	time.Sleep(500 * time.Millisecond)
	dep.startAll()
	time.Sleep(8 * time.Second)
}

// movedQueueTest plays a test with a job whose queue goes from pool day to pool night, by
// entry hosts that have seen that and by others.
func movedQueueTest(t *testing.T, test func(dep *deployment, record *work.JobRecord)) {
	for name, restart := range map[string]bool{"seen": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			runTest(t, 3, func(dep *deployment) {
				record := dep.acceptLong("day")
				if restart {
					dep.restartAll()
				}
				test(dep, record)
			})
		})
	}
}

// Guards against a job that is answered as unknown while it runs, since its queue goes to
// another pool now.
func TestJobIsKnownAfterItsQueueGoesToAnotherPool(t *testing.T) {
	movedQueueTest(t, func(dep *deployment, record *work.JobRecord) {
		for _, e := range dep.entries {
			state, known, ok := e.Jobs.JobState(dep.ctx, refOf(record, "night"))
			must.True(t, ok)
			must.True(t, known)
			must.EqOp(t, work.Running, state)
		}
		_, known, ok := dep.anyEntry().Jobs.JobState(dep.ctx, work.JobRef{Pool: "night", ID: "00000000000000ff", Queue: record.Queue.Path})
		must.True(t, ok)
		must.False(t, known)
	})
}

// Guards against a job that runs twice: its POST arrives again when its queue goes to
// another pool.
func TestRepeatedSubmissionAfterItsQueueGoesToAnotherPoolIsOneJob(t *testing.T) {
	movedQueueTest(t, func(dep *deployment, record *work.JobRecord) {
		starts := dep.workers.Checker.Starts()
		for _, e := range dep.entries {
			must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, moved(record, "night")).Result)
		}
		time.Sleep(3 * time.Second)
		must.EqOp(t, starts, dep.workers.Checker.Starts())
	})
}

// Guards against a job that runs on after its cancellation was answered as for an unknown
// job.
func TestJobIsCancelledAfterItsQueueGoesToAnotherPool(t *testing.T) {
	movedQueueTest(t, func(dep *deployment, record *work.JobRecord) {
		must.EqOp(t, poolmanager.Stored, dep.anyEntry().Jobs.CancelJob(dep.ctx, refOf(record, "night")))
		dep.workers.Checker.Cancelled(record.ID)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 0, dep.workers.Checker.Running(record.ID))
	})
}

// Guards against the same while nobody can reach the holder of the new pool, so that jobs
// are left in its inbox.
func TestRepeatedSubmissionThroughTheInboxIsOneJob(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		record := dep.acceptLong("day")
		dep.kill(dep.holder("night"))
		e := dep.anyEntry()
		must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, moved(record, "night")).Result)
		time.Sleep(10 * time.Second)
		must.EqOp(t, 2, dep.workers.Checker.Running(record.ID))
	})
}

// Guards against jobs that wait in the pool that the queue had before and are not counted.
func TestWaitingJobsAreCountedInAllPoolsOfTheirQueue(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		e := dep.anyEntry()
		for range 12 {
			step := quick(20)
			step.Estimate = 20 * time.Second
			must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, dep.record("day", step)).Result)
		}
		time.Sleep(3 * time.Second)
		queue := dep.record("day").Queue
		before, ok := e.Jobs.QueueLength(dep.ctx, queue)
		must.True(t, ok)
		must.Positive(t, before)
		queue.Pool = "night"
		after, ok := e.Jobs.QueueLength(dep.ctx, queue)
		must.True(t, ok)
		must.EqOp(t, before, after)
	})
}

// Guards against a count of none while jobs wait in the pool that the queue had before, the
// holder of which is gone.
func TestWaitingJobsOfAFormerPoolWithoutAHolderAreNotLeftOut(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		for range 12 {
			step := quick(20)
			step.Estimate = 20 * time.Second
			must.EqOp(t, poolmanager.Stored, dep.anyEntry().Jobs.SubmitJob(dep.ctx, dep.record("day", step)).Result)
		}
		time.Sleep(3 * time.Second)
		queue := dep.record("day").Queue
		queue.Pool = "night"
		before, ok := dep.anyEntry().Jobs.QueueLength(dep.ctx, queue)
		must.True(t, ok)
		must.Positive(t, before)
		dep.kill(dep.holder("day"))
		for range 60 {
			time.Sleep(200 * time.Millisecond)
			for node, e := range dep.entries {
				if count, ok := e.Jobs.QueueLength(dep.ctx, queue); ok {
					must.GreaterEq(t, before/2, count, must.Sprint(node))
				}
			}
		}
		_, ok = dep.anyEntry().Jobs.QueueLength(dep.ctx, queue)
		must.True(t, ok)
	})
}

// Guards against counts that wait for a store that does not respond.
func TestCountsDoNotWaitForTheStore(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		e := dep.anyEntry()
		queue := dep.record("day").Queue
		_, ok := e.Jobs.QueueLength(dep.ctx, queue)
		must.True(t, ok)
		dep.store.SetLatency(2 * time.Second)
		for range 4 {
			time.Sleep(time.Second)
			began := time.Now()
			_, ok = e.Jobs.QueueLength(dep.ctx, queue)
			must.True(t, ok)
			must.Less(t, 100*time.Millisecond, time.Since(began))
		}
		dep.store.SetLatency(0)
	})
}

// Guards against two pools that both accept a job: entry hosts with different versions of
// the configuration submit it at the same moment.
func TestOneOfTwoPoolsAcceptsAJob(t *testing.T) {
	for _, fault := range []string{"none", "lost responses", "slow store", "holder lost"} {
		t.Run(fault, func(t *testing.T) {
			runTest(t, 3, func(dep *deployment) {
				random := rand.New(rand.NewPCG(1, 14))
				entries := []*entry{dep.entries["entry-1"], dep.entries["entry-2"]}
				switch fault {
				case "lost responses":
					dep.store.SetResponseLossRate(0.2, 1)
				case "slow store":
					dep.store.SetLatency(200 * time.Millisecond)
				case "holder lost":
					time.AfterFunc(2*time.Second, func() { dep.kill("entry-3") })
				}
				var clients sync.WaitGroup
				for range 150 {
					record := dep.record("day", quick(1))
					for i, pool := range []string{"day", "night"} {
						again := moved(record, pool)
						wait := time.Duration(random.IntN(60)) * time.Millisecond
						clients.Go(func() {
							time.Sleep(wait)
							entries[i].Jobs.SubmitJob(dep.ctx, again)
						})
					}
					time.Sleep(30 * time.Millisecond)
				}
				clients.Wait()
				dep.store.SetResponseLossRate(0, 1)
				dep.store.SetLatency(0)
				time.Sleep(20 * time.Second)
				must.SliceEmpty(t, jobsInBothPools(dep))
			})
		})
	}
}

// jobsInBothPools returns the jobs that both pools have in the store.
func jobsInBothPools(dep *deployment) (both []string) {
	inDay := make(map[string]bool)
	for _, entry := range dep.store.Snapshot(poolstore.JobKey("day", "")) {
		inDay[entry.Key[len(poolstore.JobKey("day", "")):]] = true
	}
	for _, entry := range dep.store.Snapshot(poolstore.JobKey("night", "")) {
		if id := entry.Key[len(poolstore.JobKey("night", "")):]; inDay[id] {
			both = append(both, id)
		}
	}
	return both
}

// movingDaysInCI is the default number of days with a queue whose pool changes.
const movingDaysInCI = 12

// The days of large sites on which all jobs are of one queue, which goes to either pool, and
// are submitted again to the other one. No task may run in both, and each pool knows the jobs
// of the other. GLADE_FIRST_MOVING_DAY and GLADE_MOVING_DAYS select others.
func TestRandomDaysWithAQueueOfTwoPools(t *testing.T) {
	runDays(t, envInt(t, "GLADE_FIRST_MOVING_DAY", 0), envInt(t, "GLADE_MOVING_DAYS", movingDaysInCI), func(d *day, seed int) {
		d.siteFaults = rand.New(rand.NewPCG(uint64(seed), 9))
		d.moves = rand.New(rand.NewPCG(uint64(seed), 15))
	})
}

// repeat is a submission that arrives again at a later time.
type repeat struct {
	record *work.JobRecord
	at     time.Time
}

// moveQueue makes a job one of the queue of both pools, and has it submitted again.
func (d *day) moveQueue(record *work.JobRecord) {
	record.Queue.Path = "host/moving/"
	other := map[string]string{"day": "night", "night": "day"}[record.Queue.Pool]
	for range d.moves.IntN(3) {
		d.repeats = append(d.repeats, repeat{moved(record, other), time.Now().Add(time.Duration(d.moves.IntN(5000)) * time.Millisecond)})
	}
}

// repeatDue submits the jobs again that are due, and asks the other pool for those that were
// accepted long enough ago.
func (d *day) repeatDue() {
	var later []repeat
	for _, r := range d.repeats {
		if time.Now().Before(r.at) {
			later = append(later, r)
			continue
		}
		e := d.anyEntry()
		e.Jobs.SubmitJob(d.ctx, r.record)
		_, accepted := d.accepted[r.record.ID]
		if _, known, ok := e.Jobs.JobState(d.ctx, refOf(r.record, r.record.Queue.Pool)); accepted && ok {
			must.True(d.t, known, must.Sprintf("job %s is known to pool %s", r.record.ID, r.record.Queue.Pool))
		}
	}
	d.repeats = later
}

// Guards against a pool that is asked for a queue's jobs for ever, though it has none.
func TestPoolWithoutJobsOfAQueueIsRemovedFromItsRecord(t *testing.T) {
	runTest(t, 1, func(dep *deployment) {
		e := dep.anyEntry()
		record := dep.record("day", quick(1))
		must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, record).Result)
		later := moved(dep.record("day", quick(1)), "night")
		must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, later).Result)
		queue, err := poolstore.ReadQueuePools(dep.ctx, dep.store, record.Queue.Path)
		must.NoError(t, err)
		must.Eq(t, []string{"day", "night"}, queue.Pools)
		time.Sleep(bounds.StatusRetention + 30*time.Second)
		queue, err = poolstore.ReadQueuePools(dep.ctx, dep.store, record.Queue.Path)
		must.NoError(t, err)
		must.SliceEmpty(t, queue.Pools)
		must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, dep.record("day", quick(1))).Result)
		queue, err = poolstore.ReadQueuePools(dep.ctx, dep.store, record.Queue.Path)
		must.NoError(t, err)
		must.Eq(t, []string{"day"}, queue.Pools)
	})
}
