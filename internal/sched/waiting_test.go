package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a count of no waiting jobs while none has begun: their starts were refused or
// had no answer.
func TestJobWhoseStartsHadNoAnswerStillWaits(t *testing.T) {
	for name, outcome := range map[string]worker.Outcome{"no answer": worker.Unknown, "refused": worker.Unhealthy, "not sent": worker.NotSent} {
		t.Run(name, func(t *testing.T) {
			p, _, now := oneHost(t)
			accept(p, now)
			must.EqOp(t, 1, p.WaitingJobs(""))
			order := p.Plan(now, now).Orders[0]
			p.StartOutcome(order.To, order.Task, order.Run, outcome, now, now)
			must.EqOp(t, 1, p.WaitingJobs(""))
			p.ApplyHeartbeat("w", now.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 2, Running: []worker.Report{{Task: order.Task, Run: order.Run}}}, now, now)
			must.EqOp(t, 0, p.WaitingJobs(""))
		})
	}
}

// Guards against a job that counts as waiting after it has begun, here or under an earlier
// holder.
func TestJobThatHasBegunDoesNotWait(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome(order.To, order.Task, order.Run, worker.Accepted, now, now)
	must.EqOp(t, 0, p.WaitingJobs(""))
	for name, stored := range map[string]work.TaskProgress{"done": {Done: true, Run: 1}, "failed": {Failed: []int{1}, Run: 1}, "checkpoint": {Checkpoint: "c", Run: 1}} {
		t.Run(name, func(t *testing.T) {
			p, _, now := oneHost(t)
			record := &work.JobRecord{ID: "0000000000000002", Queue: work.Queue{MaxAttempts: 3}, Spec: work.Spec{Steps: []work.Step{{Count: 2, Resources: work.Resources{MilliCPU: 1000}}}}}
			p.Restore(record, &work.Progress{Tasks: []work.TaskProgress{stored}}, now, now)
			must.EqOp(t, 0, p.WaitingJobs(""))
		})
	}
}
