package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const timedInterval = 10 * time.Second

// timedJob restores a job of two occurrences, the second of which was due for the holder
// before and is due in 2 s by the time of day of this one.
func timedJob(t *testing.T, stored ...work.TaskProgress) (p *Pool, now, wall time.Time) {
	t.Helper()
	p, _, now = oneHost(t)
	wall = time.UnixMilli(1_700_000_000_000)
	spec := work.Spec{Repeats: 2, FirstMs: wall.Add(2*time.Second - timedInterval).UnixMilli(), Interval: timedInterval,
		Steps: []work.Step{{Count: 2, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}}
	record := &work.JobRecord{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 2}, Spec: spec}
	p.Restore(record, &work.Progress{OccurrencesDone: []int{0}, Tasks: stored}, now, wall)
	return p, now, wall
}

func timedTask(index int) work.TaskName {
	return work.TaskName{Job: "0000000000000001", Occurrence: 1, Index: index}
}

// Guards against a timed task that runs again after its success was acknowledged: the
// holder's time of day is behind that of the one before, and it drops the end.
func TestEndOfAnOccurrenceThatIsNotDueHereIsApplied(t *testing.T) {
	p, now, wall := timedJob(t)
	reply := worker.HeartbeatReply{ClockMs: 100, Ended: []worker.RunEnd{{Seq: 1, Task: timedTask(0), Run: 1, Reason: work.EndDone}}}
	p.ApplyHeartbeat("w", now, reply, now, wall)
	heartbeat, _ := p.NextHeartbeat("w", 0, now)
	must.EqOp(t, 0, heartbeat.AckedEnd)
	changes := p.Changes(1, nil)
	must.Len(t, 1, changes)
	must.True(t, changes[0].Progress.Tasks[0].Done)
	p.ChangesStored(changes)
	heartbeat, _ = p.NextHeartbeat("w", 0, now)
	must.EqOp(t, 1, heartbeat.AckedEnd)
}

// Guards against a run of such an occurrence that is stopped as if nobody had asked for it.
func TestRunOfAnOccurrenceThatIsNotDueHereGoesOn(t *testing.T) {
	p, now, wall := timedJob(t)
	p.ApplyHeartbeat("w", now, worker.HeartbeatReply{ClockMs: 100, Running: []worker.Report{{Task: timedTask(0), Run: 1, Percent: 10}}}, now, wall)
	for _, order := range p.Plan(now, wall).Orders {
		must.NotEqOp(t, Stop, order.Verb)
	}
}

// Guards against stored progress of such an occurrence that is lost with the next write.
func TestProgressOfAnOccurrenceThatIsNotDueHereIsKept(t *testing.T) {
	p, _, _ := timedJob(t, work.TaskProgress{Occurrence: 1, Index: 1, Done: true, Run: 1})
	kept := slices.ContainsFunc(p.jobs["0000000000000001"].progress().Tasks, func(task work.TaskProgress) bool {
		return task.Occurrence == 1 && task.Index == 1 && task.Done
	})
	must.True(t, kept)
}

// Guards against an occurrence that starts before its time, since the holder before was
// ahead of it.
func TestOccurrenceKnownBeforeItsTimeStartsInTime(t *testing.T) {
	p, now, wall := timedJob(t, work.TaskProgress{Occurrence: 1, Index: 1, Done: true, Run: 1})
	for wait := time.Duration(0); wait < 3*time.Second; wait += 500 * time.Millisecond {
		at := now.Add(wait)
		p.ApplyHeartbeat("w", at, worker.HeartbeatReply{ClockMs: 100 + wait.Milliseconds()}, at, wall.Add(wait))
		starts := 0
		for _, order := range p.Plan(at, wall.Add(wait)).Orders {
			if order.Verb == Start {
				starts++
			}
		}
		must.EqOp(t, wait == 2*time.Second, starts > 0, must.Sprint(wait))
	}
}
