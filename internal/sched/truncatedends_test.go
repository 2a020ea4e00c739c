package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a task that runs again after its end as done: a host has more ends than
// one reply lists, and the next holder takes the first reply for all of them.
func TestTakeoverWaitsForEndsThatTheFirstReplyLeavesOut(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 2, LeaseTTL: 4500 * time.Millisecond, PriorLeaseTTL: 11 * time.Second, StatusRetention: time.Minute}, Roster{InUse: []string{"w"}}, now)
	p.Restore(&work.JobRecord{ID: restartTask.Job, Queue: work.Queue{MaxAttempts: 3}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}}, nil, now, now)
	p.SetHosts([]worker.Host{{ID: "w", Address: "w", Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}}}, now)
	reply := worker.HeartbeatReply{ClockMs: 60_000}
	for i := range worker.MaxEnds {
		reply.Ended = append(reply.Ended, worker.RunEnd{Seq: int64(i + 1), Task: work.TaskName{Job: "other", Index: i}, Run: 1, Reason: work.EndDone})
	}
	p.ApplyHeartbeat("w", now, reply, now, now)
	for _, order := range p.Plan(now, now).Orders {
		must.NotEqOp(t, Start, order.Verb, must.Sprint("the end number 501 of this task may be done"))
	}
}

// A host that has listed its last ends after a takeover is not waited for any longer.
func TestTakeoverGoesOnOnceAllEndsAreListed(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 2, LeaseTTL: time.Second, PriorLeaseTTL: time.Minute}, Roster{InUse: []string{"w"}}, now)
	p.SetHosts([]worker.Host{{ID: "w", Address: "w"}}, now)
	p.ApplyHeartbeat("w", now, worker.HeartbeatReply{ClockMs: 1, Ended: make([]worker.RunEnd, worker.MaxEnds)}, now, now)
	must.MapContainsKey(t, p.unreached, "w")
	p.ApplyHeartbeat("w", now, worker.HeartbeatReply{ClockMs: 2}, now, now)
	must.MapNotContainsKey(t, p.unreached, "w")
}
