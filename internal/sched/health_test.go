package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// After a quarantine a host gets one task at a time until one succeeds. Guards
// against counting a long-running task from before the quarantine as that one: it
// never ends, so the host would get no further task, and a gang that needs the host
// would wait forever.
func TestLongRunningTaskDoesNotBlockTrialAfterQuarantine(t *testing.T) {
	p, _, now := oneHost(t)
	p.Accept(&work.JobRecord{ID: "0000000000000002", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true}},
	}}, now, now)
	must.Len(t, 1, p.Plan(now, now).Orders)
	p.hosts["w"].health.startQuarantine(now)
	longRunning := worker.Report{Task: work.TaskName{Job: "0000000000000002"}, Run: 1, Percent: 100}
	heartbeat := func(at time.Time, reports ...worker.Report) {
		p.ApplyHeartbeat("w", at, worker.HeartbeatReply{ClockMs: at.Sub(now).Milliseconds() + 2, Running: reports}, at, at)
	}
	later := now.Add(baseQuarantine + time.Second)
	heartbeat(later, longRunning)
	accept(p, later)
	must.Len(t, 1, p.Plan(later, later).Orders, must.Sprint("the trial starts"))
	p.Accept(&work.JobRecord{ID: "0000000000000003", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true}},
	}}, later, later)
	must.Len(t, 0, p.Plan(later, later).Orders, must.Sprint("one at a time"))
	done := later.Add(time.Second)
	p.ApplyHeartbeat("w", done, worker.HeartbeatReply{
		ClockMs: done.Sub(now).Milliseconds() + 2, Running: []worker.Report{longRunning},
		Ended: []worker.RunEnd{{Seq: 1, Task: work.TaskName{Job: "0000000000000001"}, Run: 1, Reason: work.EndDone}},
	}, done, done)
	must.Len(t, 1, p.Plan(done, done).Orders, must.Sprint("the trial has succeeded"))
}

// Guards against taking runs for hung because replies arrive late. On a slow link,
// replies sent half a second apart arrive two seconds apart; measured by their
// arrival, the runs of several hosts would be stopped together, among them
// long-running tasks of one step. Progress is measured by the host's clock.
func TestLateRepliesDoNotCountAsHungRuns(t *testing.T) {
	p, _, now := oneHost(t)
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		p.Accept(&work.JobRecord{ID: id, Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
			Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: 4 * time.Second}},
		}}, now, now)
	}
	must.Len(t, 2, p.Plan(now, now).Orders)
	heartbeat := func(at time.Duration, clockMs int64) {
		var reports []worker.Report
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			reports = append(reports, worker.Report{Task: work.TaskName{Job: id}, Run: 1, Percent: 10})
		}
		p.ApplyHeartbeat("w", now.Add(at), worker.HeartbeatReply{ClockMs: clockMs, Running: reports}, now.Add(at), now.Add(at))
		p.Tick(now.Add(at), now.Add(at))
	}
	heartbeat(100*time.Millisecond, 1000)
	heartbeat(2100*time.Millisecond, 1500)
	must.SliceEmpty(t, p.Plan(now.Add(2100*time.Millisecond), now).Orders)
	heartbeat(2200*time.Millisecond, 2600)
	must.Len(t, 2, p.Plan(now.Add(2200*time.Millisecond), now).Orders, must.Sprint("no progress by the host's own clock"))
}
