package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// forecast returns the forecast of a job with tasks of one core and a second each, whose
// objective is two seconds.
func (c *jobBurst) forecast(tasks int, waited time.Duration) Forecast {
	record := &work.JobRecord{
		ID: fmt.Sprintf("%016x", 9999), Organisation: "quiet", Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: time.Second},
		Spec: work.Spec{Steps: []work.Step{{Count: tasks, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
	}
	return c.Forecast(record, c.now.Add(-waited), c.now)
}

// crowded is a pool of eight cores after its warm-up, with jobs of eight core-seconds each
// that are submitted now.
func crowded(t *testing.T, jobs int) *jobBurst {
	c := newJobBurst(t)
	c.now = c.now.Add(warmupPeriod)
	c.ApplyHeartbeat("w", c.now, worker.HeartbeatReply{ClockMs: 1 + warmupPeriod.Milliseconds()}, c.now, c.now)
	for i := range jobs {
		c.submit(1+i, 8, time.Second, time.Second)
	}
	c.Plan(c.now, c.now)
	return c
}

// Guards against jobs that are taken, wait in a backlog for seconds on end and are worth
// nothing when they are done.
func TestHopelessJobIsForecast(t *testing.T) {
	f := crowded(t, 40).forecast(8, 0)
	must.True(t, f.Known)
	must.False(t, f.InTime)
	must.False(t, f.Worthwhile)
	must.EqOp(t, 8.0, f.Own)
	must.EqOp(t, 320.0, f.Ahead)
	must.Greater(t, 0, f.RoomIn)
}

// Guards against refusing a small job for large ones that go after it anyway.
func TestSmallJobIsWorthwhileBesideLargeBacklog(t *testing.T) {
	must.True(t, crowded(t, 40).forecast(1, 0).Worthwhile)
}

// Guards against refusing for an estimate that is wrong by a half: with run times half as
// long, or twice the hosts, the pool does this backlog in time.
func TestBacklogWithinMarginIsWorthwhile(t *testing.T) {
	for jobs := range 8 {
		must.True(t, crowded(t, jobs).forecast(8, 0).Worthwhile, must.Sprint(jobs))
	}
}

// Guards against taking a job whose client has come back so often that it is worth nothing.
func TestJobThatWaitedTooLongIsNotWorthwhile(t *testing.T) {
	must.True(t, crowded(t, 0).forecast(8, 4*time.Second).Worthwhile)
	must.False(t, crowded(t, 0).forecast(8, 6*time.Second).Worthwhile)
}

// Guards against judging jobs by the little that a new holder knows, and jobs that have no
// objective at all.
func TestNothingIsForecastWithoutKnowledge(t *testing.T) {
	c := newJobBurst(t)
	for i := range 40 {
		c.submit(1+i, 8, time.Second, time.Second)
	}
	must.False(t, c.forecast(8, 0).Known)
	c.now = c.now.Add(warmupPeriod)
	record := &work.JobRecord{ID: "a", Spec: work.Spec{Steps: []work.Step{{Count: 1, LongRunning: true}}}}
	must.False(t, c.Forecast(record, c.now, c.now).Known)
}

// Guards against a flood of jobs that the store hasn't taken yet and nobody counts.
func TestJobsOnTheirWayToTheStoreAreForecast(t *testing.T) {
	c := crowded(t, 0)
	must.True(t, c.forecast(8, 0).Worthwhile)
	for i := range 40 {
		c.NoteSubmitted(&work.JobRecord{
			ID: fmt.Sprintf("%016x", 1+i), Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: time.Second},
			Spec: work.Spec{Steps: []work.Step{{Count: 8, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
		}, c.now)
	}
	must.False(t, c.forecast(8, 0).Worthwhile)
	c.now = c.now.Add(2 * backlogMaxAge)
	must.False(t, c.forecast(8, 0).Worthwhile)
}

// Guards against a summary of the backlog that outlives a change of demand.
func TestForecastFollowsBacklog(t *testing.T) {
	c := crowded(t, 40)
	must.False(t, c.forecast(8, 0).Worthwhile)
	for i := range 40 {
		c.Cancel(fmt.Sprintf("%016x", 1+i), c.now, c.now)
	}
	c.now = c.now.Add(2 * backlogMaxAge)
	f := c.forecast(8, 0)
	must.True(t, f.Worthwhile)
	must.EqOp(t, 0, f.Age)
}

// submitUnstored submits a job that isn't stored yet.
func (c *jobBurst) submitUnstored(number, tasks int) string {
	id := fmt.Sprintf("%016x", number)
	c.NoteSubmitted(&work.JobRecord{
		ID: id, Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: time.Second},
		Spec: work.Spec{Steps: []work.Step{{Count: tasks, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
	}, c.now)
	return id
}

// Guards against an idle pool that refuses jobs after an outage of the store, for jobs that
// were never stored.
func TestJobsThatWereNotStoredAreNotForecast(t *testing.T) {
	c := crowded(t, 0)
	for i := range 40 {
		c.submitUnstored(1+i, 8)
	}
	must.False(t, c.forecast(8, 0).Worthwhile)
	for i := range 40 {
		c.NoteNotStored(fmt.Sprintf("%016x", 1+i))
	}
	for _, later := range []time.Duration{0, 2 * backlogMaxAge} {
		c.now = c.now.Add(later)
		f := c.forecast(8, 0)
		must.True(t, f.Worthwhile)
		must.EqOp(t, 0, f.TotalWork)
	}
}

// Guards against refusing a small job for large ones that were submitted a moment before
// and go after it anyway.
func TestSmallJobIsWorthwhileBesideLargeOnesJustHandedIn(t *testing.T) {
	c := crowded(t, 0)
	must.True(t, c.forecast(1, 0).Worthwhile)
	for i := range 40 {
		c.submitUnstored(1+i, 8)
	}
	must.True(t, c.forecast(1, 0).InTime)
	must.False(t, c.forecast(8, 0).Worthwhile)
}

// Guards against a job that its client took back and that still stands in the way of others.
func TestJobTakenBackMakesRoomAtOnce(t *testing.T) {
	c := crowded(t, 0)
	c.forecast(8, 0)
	id := c.submitUnstored(1, 80)
	must.EqOp(t, 80, c.forecast(80, 0).Ahead)
	c.NoteNotStored(id)
	c.NoteNotStored(id)
	must.EqOp(t, 0, c.forecast(80, 0).Ahead)
}

// Guards against a summary that grows with each job while nothing is forecast.
func TestOldSummaryOfBacklogIsForgotten(t *testing.T) {
	c := crowded(t, 0)
	c.forecast(8, 0)
	c.Tick(c.now.Add(2*backlogMaxAge), c.now)
	must.Nil(t, c.backlog)
}

// Guards against refusing a quiet organisation while hosts are idle, for the backlog of one
// that has used up its limit and can't use them.
func TestBacklogBeyondLimitDoesNotStandInTheWay(t *testing.T) {
	c := crowded(t, 0)
	one := work.Resources{MilliCPU: 1000}
	c.SetQuotas(map[string]quota.Quota{"loud": {Limit: one, Held: one}}, "")
	for i := range 40 {
		c.Accept(&work.JobRecord{
			ID: fmt.Sprintf("%016x", 1+i), ArrivedMs: c.now.UnixMilli(), Organisation: "loud",
			Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: time.Second},
			Spec:  work.Spec{Steps: []work.Step{{Count: 8, Resources: one, Estimate: time.Second}}},
		}, c.now, c.now)
	}
	must.Len(t, 1, c.Plan(c.now, c.now).Orders)
	must.True(t, c.forecast(8, 0).Worthwhile)
	for i := range 40 {
		c.submitUnstored(1000+i, 8)
	}
	must.False(t, c.forecast(8, 0).Worthwhile, must.Sprint("idle hosts are taken once"))
}

// Guards against a job that is refused for want of room on an empty pool, since its
// queue's objective is too short for it with any room.
func TestJobThatNoRoomHelpsIsNotForecast(t *testing.T) {
	c := crowded(t, 0)
	for _, queue := range []work.Queue{{Name: "q", MaxAttempts: 1}, {Name: "q", MaxAttempts: 1, Slack: 3 * time.Second}} {
		record := &work.JobRecord{ID: "a", Queue: queue, Spec: work.Spec{
			Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: 10 * time.Second}},
		}}
		must.False(t, c.Forecast(record, c.now, c.now).Known)
	}
}

// Guards against refusing a job of a queue that goes first, for the backlog of one that
// waits for it.
func TestBacklogOfLowerPriorityDoesNotStandInTheWay(t *testing.T) {
	c := crowded(t, 40)
	record := func(priority int) *work.JobRecord {
		return &work.JobRecord{
			ID: "a", Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: time.Second, Priority: priority},
			Spec: work.Spec{Steps: []work.Step{{Count: 8, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
		}
	}
	must.True(t, c.Forecast(record(-1), c.now, c.now).Worthwhile)
	must.False(t, c.Forecast(record(0), c.now, c.now).Worthwhile)
	must.False(t, c.Forecast(record(1), c.now, c.now).Worthwhile)
	for i := range 40 {
		c.submitUnstored(1000+i, 8)
	}
	must.True(t, c.Forecast(record(-1), c.now, c.now).Worthwhile)
	c.now = c.now.Add(2 * backlogMaxAge)
	must.True(t, c.Forecast(record(-1), c.now, c.now).Worthwhile)
}
