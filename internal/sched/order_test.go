package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// jobBurst is a pool of one host with eight cores and jobs submitted at the same
// time.
type jobBurst struct {
	*Pool
	now time.Time
}

func newJobBurst(t *testing.T) *jobBurst {
	p, _, now := oneHost(t)
	return &jobBurst{p, now}
}

// submit submits a job with tasks of one core each.
func (c *jobBurst) submit(number, tasks int, estimate time.Duration, slack time.Duration) string {
	return c.submitAgo(0, number, tasks, estimate, slack)
}

// submitAgo adds a job that was submitted some time ago.
func (c *jobBurst) submitAgo(ago time.Duration, number, tasks int, estimate time.Duration, slack time.Duration) string {
	id := fmt.Sprintf("%016x", number)
	c.Accept(&work.JobRecord{
		ID: id, ArrivedMs: c.now.Add(-ago).UnixMilli(), Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: slack},
		Spec: work.Spec{Steps: []work.Step{{Count: tasks, Resources: work.Resources{MilliCPU: 1000}, Estimate: estimate}}},
	}, c.now, c.now)
	return id
}

// plannedStarts returns the number of starts in a new plan, by job.
func (c *jobBurst) plannedStarts() map[string]int {
	counts := make(map[string]int)
	for _, order := range c.Plan(c.now, c.now).Orders {
		if order.Verb == Start {
			counts[order.Task.Job]++
		}
	}
	return counts
}

// Guards against starvation of a large job that arrives together with many small
// ones while all can finish in time: ordered by least work first, the large one
// waits until it is late.
func TestLargeJobIsNotStarvedWhenAllCanFinishInTime(t *testing.T) {
	c := newJobBurst(t)
	large := c.submit(1, 8, time.Second, 1200*time.Millisecond)
	for i := range 4 {
		c.submit(2+i, 2, 400*time.Millisecond, 3*time.Second)
	}
	must.EqOp(t, 8, c.plannedStarts()[large])
}

// Guards against nearly all jobs being late when twice as much work arrives as can
// be done in time: ordered by least slack only, each job that starts makes the next
// one late. The largest jobs must wait so that the others finish in time.
func TestOverloadMakesFewJobsLate(t *testing.T) {
	c := newJobBurst(t)
	large := c.submit(1, 16, time.Second, 500*time.Millisecond)
	for i := range 4 {
		c.submit(2+i, 2, time.Second, 600*time.Millisecond)
	}
	counts := c.plannedStarts()
	must.EqOp(t, 0, counts[large])
	must.MapLen(t, 4, counts)
}

// Guards against admission that ignores the cores taken by a late job at risk. That
// job starts first, on half of the cores, and only the small one of the two other
// jobs fits beside it. If both are admitted, the large one starts with too few tasks
// and both are late.
func TestAdmissionCountsLateJobsAtRisk(t *testing.T) {
	c := newJobBurst(t)
	atRisk := c.submitAgo(3*time.Second, 1, 4, time.Second, 500*time.Millisecond)
	large := c.submit(2, 5, time.Second, 800*time.Millisecond)
	small := c.submit(3, 2, time.Second, 900*time.Millisecond)
	counts := c.plannedStarts()
	must.EqOp(t, 4, counts[atRisk])
	must.EqOp(t, 2, counts[small])
	must.EqOp(t, 2, counts[large])
}

// Guards against a started job being put behind smaller ones when more work arrives
// than can be done in time: the work done for it would be lost for its client.
func TestStartedJobKeepsItsAdmission(t *testing.T) {
	c := newJobBurst(t)
	started := c.submit(1, 8, 500*time.Millisecond, time.Second)
	must.EqOp(t, 8, c.plannedStarts()[started])
	for i := range 3 {
		c.submit(2+i, 4, 500*time.Millisecond, 900*time.Millisecond)
	}
	c.plannedStarts()
	must.True(t, c.jobs[started].occurrences[0].admitted)
}

// Clients of a queue declare a third of the real run time. After some runs have
// ended, the estimate must follow the measured times: remaining work, slack and the
// number of hosts that the pool requests are derived from it.
func TestRuntimeModelLearnsFromRuns(t *testing.T) {
	f := &runtimeModel{}
	must.EqOp(t, time.Second, f.estimate(time.Second))
	for range 300 {
		f.add(time.Second, 3*time.Second)
	}
	must.Between(t, 2500*time.Millisecond, f.estimate(time.Second), 3500*time.Millisecond)
}

// Declared run times that don't correlate with the real ones must be ignored: tasks
// take a second whether a tenth of a second or ten seconds are declared.
func TestUncorrelatedEstimatesAreIgnored(t *testing.T) {
	f := &runtimeModel{}
	for i := range 900 {
		f.add([]time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}[i%3], time.Second)
	}
	must.Between(t, 900*time.Millisecond, f.estimate(100*time.Millisecond), 1300*time.Millisecond)
	must.Between(t, 900*time.Millisecond, f.estimate(10*time.Second), 1300*time.Millisecond)
}

// A queue receives a job every 20 ms during a demand burst, and then none. The rate
// must be right after a few jobs and fall with the age of the last one.
func TestArrivalsFollowADemandBurst(t *testing.T) {
	a := &arrivals{}
	now := time.Now()
	for range 10 {
		a.note(now, 5)
		now = now.Add(20 * time.Millisecond)
	}
	must.Between(t, 150, a.cores(now), 300)
	must.Less(t, 15, a.cores(now.Add(time.Second)))
	must.Less(t, 15, a.recentCores(now.Add(time.Second)))
}

// Guards against a wrong rate when jobs are stored in batches, as in the pools of a
// large site, here eight jobs every 60 ms: measured over the last six jobs, all of
// one batch, the rate is wrong and the pool's hosts are moved to other pools.
func TestArrivalsInBatchesAreAveraged(t *testing.T) {
	a := &arrivals{}
	now := time.Now()
	for range 20 {
		for range 8 {
			a.note(now, 1)
		}
		now = now.Add(60 * time.Millisecond)
	}
	must.Between(t, 90, a.cores(now), 170)
	must.Between(t, 60, a.recentCores(now), 250)
}

// After a takeover during a demand burst, the rate must be restored from the jobs of
// the last seconds in the store, which are listed in the order of their IDs.
// Otherwise the pool's hosts are moved away for the seconds it takes to measure the
// rate anew.
func TestArrivalsAreRestoredAfterATakeover(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 2, StatusRetention: time.Minute}, Roster{}, now)
	for _, ago := range []time.Duration{60, 20, 100, 40, 80} {
		p.Restore(&work.JobRecord{
			ID: fmt.Sprintf("%016x", ago), ArrivedMs: now.Add(-ago * time.Millisecond).UnixMilli(), Queue: work.Queue{Name: "q", MaxAttempts: 1},
			Spec: work.Spec{Steps: []work.Step{{Count: 5, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
		}, &work.Progress{State: work.Done, EndedMs: now.UnixMilli()}, now, now)
	}
	must.Between(t, 150, p.Load(now).Offered/milli, 300)
}

// Tasks of several long-running jobs must share hosts, so that the other hosts can
// move to pools with rising demand. With separate hosts for each job, nearly all
// hosts of a small pool are pinned to it.
func TestLongRunningTasksShareHosts(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Minute}, Roster{}, now)
	var list []worker.Host
	var ids []string
	for i := range 8 {
		id := fmt.Sprint("w", i)
		ids = append(ids, id)
		list = append(list, worker.Host{ID: id, Address: id, Rack: fmt.Sprint(i / 2), Capacity: work.Resources{MilliCPU: 16_000, MemMB: 32_000}})
	}
	p.SetHosts(list, now)
	for _, id := range ids {
		p.ApplyHeartbeat(id, now, worker.HeartbeatReply{ClockMs: 1}, now, now)
	}
	p.RosterStored(Roster{InUse: ids})
	usedHosts := make(map[string]bool)
	for i := range 3 {
		p.Accept(&work.JobRecord{ID: fmt.Sprintf("%016x", i+1), Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
			Steps: []work.Step{{Count: 4, Resources: work.Resources{MilliCPU: 1500, MemMB: 4000}, LongRunning: true, MaxPerHost: 1}},
		}}, now, now)
		for _, order := range p.Plan(now, now).Orders {
			usedHosts[order.To.ID] = true
		}
	}
	must.MapLen(t, 4, usedHosts)
}

// The history reports the recent peak of arriving work and how long ago the work was
// last at half of it. A single large job is no peak, and work older than two minutes
// is dropped.
func TestHistoryReportsTheLastPeak(t *testing.T) {
	origin := time.Now()
	h := newHistory(origin)
	for second := range 8 {
		h.note(origin.Add(time.Duration(second)*time.Second), 100)
	}
	h.note(origin.Add(-3*time.Second), 20)
	h.note(origin.Add(20*time.Second), 150)
	cores, ago := h.peak(origin.Add(30 * time.Second))
	must.EqOp(t, 100, cores)
	must.Between(t, 20*time.Second, ago, 23*time.Second)
	h.forget(origin.Add(historyWindow + time.Minute))
	must.MapLen(t, 0, h.work)
	cores, _ = h.peak(origin.Add(historyWindow + time.Minute))
	must.EqOp(t, 0, cores)
}
