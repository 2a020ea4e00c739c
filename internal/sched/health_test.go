package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// A host with a lasting task was suspected and has to prove itself. It got no
// further task as long as one ran there, and the lasting one never ends: a gang
// that needed the host waited for ever.
func TestALastingTaskIsNoLastingTrial(t *testing.T) {
	p, _, now := oneHost(t)
	p.Accept(&work.Record{ID: "0000000000000002", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true}},
	}}, now, now)
	must.Len(t, 1, p.Plan(now, now).Orders)
	p.hosts["w"].health.startQuarantine(now)
	lasting := worker.Report{Task: work.TaskName{Job: "0000000000000002"}, Run: 1, Percent: 100}
	hear := func(at time.Time, reports ...worker.Report) {
		p.ApplyHeartbeat("w", at, worker.HeartbeatReply{ClockMs: at.Sub(now).Milliseconds() + 2, Running: reports}, at, at)
	}
	later := now.Add(baseQuarantine + time.Second)
	hear(later, lasting)
	accept(p, later)
	must.Len(t, 1, p.Plan(later, later).Orders, must.Sprint("the trial begins"))
	p.Accept(&work.Record{ID: "0000000000000003", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true}},
	}}, later, later)
	must.Len(t, 0, p.Plan(later, later).Orders, must.Sprint("one at a time"))
	done := later.Add(time.Second)
	p.ApplyHeartbeat("w", done, worker.HeartbeatReply{
		ClockMs: done.Sub(now).Milliseconds() + 2, Running: []worker.Report{lasting},
		Ended: []worker.RunEnd{{Number: 1, Task: work.TaskName{Job: "0000000000000001"}, Run: 1, Reason: work.EndDone}},
	}, done, done)
	must.Len(t, 1, p.Plan(done, done).Orders, must.Sprint("it has proved itself"))
}

// An entry host on a thin link hears its hosts late, all at once: what they said
// half a second apart arrives two seconds apart. Their runs haven't stood still for
// as long, and were stopped before, lasting tasks of one step on several hosts
// together.
func TestRunsDoNotStandStillForAnswersThatAreLate(t *testing.T) {
	p, _, now := oneHost(t)
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		p.Accept(&work.Record{ID: id, Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
			Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: 4 * time.Second}},
		}}, now, now)
	}
	must.Len(t, 2, p.Plan(now, now).Orders)
	hear := func(at time.Duration, clockMs int64) {
		var reports []worker.Report
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			reports = append(reports, worker.Report{Task: work.TaskName{Job: id}, Run: 1, Percent: 10})
		}
		p.ApplyHeartbeat("w", now.Add(at), worker.HeartbeatReply{ClockMs: clockMs, Running: reports}, now.Add(at), now.Add(at))
		p.Tick(now.Add(at), now.Add(at))
	}
	hear(100*time.Millisecond, 1000)
	hear(2100*time.Millisecond, 1500)
	must.SliceEmpty(t, p.Plan(now.Add(2100*time.Millisecond), now).Orders)
	hear(2200*time.Millisecond, 2600)
	must.Len(t, 2, p.Plan(now.Add(2200*time.Millisecond), now).Orders, must.Sprint("by its own clock they stand still"))
}
