package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// crowd is a pool of one host with eight cores, and jobs that were handed in at
// the same moment.
type crowd struct {
	*Pool
	now time.Time
}

func newCrowd(t *testing.T) *crowd {
	p, _, now := oneHost(t)
	return &crowd{p, now}
}

// handIn hands in a job of tasks of one core.
func (c *crowd) handIn(number, tasks int, estimate time.Duration, slack time.Duration) string {
	return c.handInAgo(0, number, tasks, estimate, slack)
}

// handInAgo hands in a job that arrived some time ago.
func (c *crowd) handInAgo(ago time.Duration, number, tasks int, estimate time.Duration, slack time.Duration) string {
	id := fmt.Sprintf("%016x", number)
	c.Accept(&work.Record{
		ID: id, ArrivedMs: c.now.Add(-ago).UnixMilli(), Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: slack},
		Spec: work.Spec{Steps: []work.Step{{Count: tasks, Resources: work.Resources{MilliCPU: 1000}, Estimate: estimate}}},
	}, c.now, c.now)
	return id
}

// started counts the starts that a plan orders, by job.
func (c *crowd) started() map[string]int {
	counts := make(map[string]int)
	for _, order := range c.Plan(c.now, c.now).Orders {
		if order.Verb == Start {
			counts[order.Task.Job]++
		}
	}
	return counts
}

// A large job and many small ones arrive together, and there is time for all of
// them. With the least work first, the large one waited until it was late.
func TestALargeJobIsNotStarvedWhileThereIsTimeForAll(t *testing.T) {
	c := newCrowd(t)
	large := c.handIn(1, 8, time.Second, 1200*time.Millisecond)
	for i := range 4 {
		c.handIn(2+i, 2, 400*time.Millisecond, 3*time.Second)
	}
	must.EqOp(t, 8, c.started()[large])
}

// Twice as much arrives as can be done in time. With the least slack first, each
// job that was given its turn made the next one late, and nearly all were; the
// largest wait behind the others instead, and these are in time.
func TestTooMuchWorkCostsFewJobs(t *testing.T) {
	c := newCrowd(t)
	large := c.handIn(1, 16, time.Second, 500*time.Millisecond)
	for i := range 4 {
		c.handIn(2+i, 2, time.Second, 600*time.Millisecond)
	}
	counts := c.started()
	must.EqOp(t, 0, counts[large])
	must.MapLen(t, 4, counts)
}

// A late job will soon be worth nothing and goes first, on half of the cores. Of
// the two that could be in time only the small one fits beside it. Reckoned on
// all cores both were taken, the large one began with too few of its tasks, and
// both were late.
func TestLateWorkAtRiskIsReckonedWith(t *testing.T) {
	c := newCrowd(t)
	atRisk := c.handInAgo(3*time.Second, 1, 4, time.Second, 500*time.Millisecond)
	large := c.handIn(2, 5, time.Second, 800*time.Millisecond)
	small := c.handIn(3, 2, time.Second, 900*time.Millisecond)
	counts := c.started()
	must.EqOp(t, 4, counts[atRisk])
	must.EqOp(t, 2, counts[small])
	must.EqOp(t, 2, counts[large])
}

// A job has begun and more arrives than can be done in time. It isn't put back
// for smaller ones: what is done of it would be lost for its client.
func TestAJobThatHasBegunGoesOn(t *testing.T) {
	c := newCrowd(t)
	begun := c.handIn(1, 8, 500*time.Millisecond, time.Second)
	must.EqOp(t, 8, c.started()[begun])
	for i := range 3 {
		c.handIn(2+i, 4, 500*time.Millisecond, 900*time.Millisecond)
	}
	c.started()
	must.True(t, c.jobs[begun].occurrences[0].admitted)
}

// Clients of a queue declare a third of what their tasks take. Once some have
// ended, what is left of a job is reckoned by what they really took, and so are
// its slack and the hosts that the pool asks for.
func TestRunTimesAreLearned(t *testing.T) {
	f := &runtimeModel{}
	must.EqOp(t, time.Second, f.estimate(time.Second))
	for range 300 {
		f.add(time.Second, 3*time.Second)
	}
	must.Between(t, 2500*time.Millisecond, f.estimate(time.Second), 3500*time.Millisecond)
}

// What clients declare says nothing: tasks take a second whether they declare a
// tenth of one or ten. It is believed no more.
func TestDeclaredTimesThatSayNothingAreIgnored(t *testing.T) {
	f := &runtimeModel{}
	for i := range 900 {
		f.add([]time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}[i%3], time.Second)
	}
	must.Between(t, 900*time.Millisecond, f.estimate(100*time.Millisecond), 1300*time.Millisecond)
	must.Between(t, 900*time.Millisecond, f.estimate(10*time.Second), 1300*time.Millisecond)
}

// Jobs of a queue come every 20 ms in its turn, and cease. The rate shows within
// a few of them and falls as the last one grows old.
func TestArrivalsFollowATurn(t *testing.T) {
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

// A pool of a large site stores eight jobs each 60 ms. Its demand was taken for
// that of the last six, all of one bunch, and its hosts went elsewhere.
func TestArrivalsInBunchesAreCountedWhole(t *testing.T) {
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

// A new holder takes a pool over in its turn and finds the jobs of the last
// seconds in the store, in the order of their ids. It knows how often they came:
// otherwise the pool's hosts went elsewhere for the seconds that it took to see.
func TestArrivalsAreKnownAfterATakeover(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 2, StatusRetention: time.Minute}, Roster{}, now)
	for _, ago := range []time.Duration{60, 20, 100, 40, 80} {
		p.Restore(&work.Record{
			ID: fmt.Sprintf("%016x", ago), ArrivedMs: now.Add(-ago * time.Millisecond).UnixMilli(), Queue: work.Queue{Name: "q", MaxAttempts: 1},
			Spec: work.Spec{Steps: []work.Step{{Count: 5, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
		}, &work.Progress{State: work.Done, EndedMs: now.UnixMilli()}, now, now)
	}
	must.Between(t, 150, p.Load(now).Offered/milli, 300)
}

// Two lasting jobs run in a pool. Their tasks share hosts, so that the others can
// go where demand rises: with each job's tasks on hosts of their own, nearly all
// hosts of a small pool were bound to it.
func TestLastingTasksShareHosts(t *testing.T) {
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
	bound := make(map[string]bool)
	for i := range 3 {
		p.Accept(&work.Record{ID: fmt.Sprintf("%016x", i+1), Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
			Steps: []work.Step{{Count: 4, Resources: work.Resources{MilliCPU: 1500, MemMB: 4000}, LongRunning: true, MaxPerHost: 1}},
		}}, now, now)
		for _, order := range p.Plan(now, now).Orders {
			bound[order.To.ID] = true
		}
	}
	must.MapLen(t, 4, bound)
}

// A pool tells the most that arrived lately and when it last was half as much;
// one large job alone makes no peak, and what is two minutes old is forgotten.
func TestHistoryTellsTheLastPeak(t *testing.T) {
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
