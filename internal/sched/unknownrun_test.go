package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

func replyWithRun(job string) worker.HeartbeatReply {
	return worker.HeartbeatReply{ClockMs: 2, Running: []worker.Report{{Task: work.TaskName{Job: job}, Run: 1, Percent: 10}}}
}

// Guards against overcommitting a host after a takeover: one host reports that a
// speculative run has completed the job, then another host lists the slower run of
// the same task. The resources of that run must stay reserved until it ends.
func TestRunOfAnEndedTaskReservesItsResources(t *testing.T) {
	p, _, now := oneHost(t)
	p.Restore(&work.JobRecord{ID: "0000000000000009", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 7500}, Estimate: time.Second, Speculative: true}},
	}}, nil, now, now)
	p.Plan(now, now)
	j := p.jobs["0000000000000009"]
	p.taskSucceeded(j.occurrences[0].steps[0].tasks[0], now, now)
	p.ApplyHeartbeat("w", now, replyWithRun("0000000000000009"), now, now)
	accept(p, now)
	for _, order := range p.Plan(now, now).Orders {
		must.EqOp(t, Stop, order.Verb)
	}
}

// A host lists a run of a job that is not in the store. Its resources are unknown and
// may be all of the host's, so nothing may start there until the run has ended.
func TestNoStartBesideARunOfUnknownSize(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	p.ApplyHeartbeat("w", now, replyWithRun("00000000000000ff"), now, now)
	orders := p.Plan(now, now).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, Stop, orders[0].Verb)
	ended := worker.HeartbeatReply{ClockMs: 3, Ended: []worker.RunEnd{{Seq: 1, Task: work.TaskName{Job: "00000000000000ff"}, Run: 1, Reason: work.EndStopped}}}
	p.ApplyHeartbeat("w", now, ended, now, now)
	later := now.Add(time.Second)
	p.ApplyHeartbeat("w", later, worker.HeartbeatReply{ClockMs: 4}, later, later)
	orders = p.Plan(later, later).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, Start, orders[0].Verb)
}
