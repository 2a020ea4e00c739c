package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// startLongRunning starts the only task of a long-running job and reports no response
// to the start.
func startLongRunning(t *testing.T) (p *Pool, order Order, now time.Time) {
	t.Helper()
	p, _, now = oneHost(t)
	p.Accept(&work.JobRecord{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1}},
	}}, now, now)
	orders := p.Plan(now, now).Orders
	must.Len(t, 1, orders)
	now = now.Add(time.Second)
	p.StartOutcome(worker.Target{ID: "w"}, orders[0].Task, orders[0].Run, worker.Unknown, now, now)
	return p, orders[0], now
}

// Guards against stopping long-running tasks whose starts got no response in time
// although they are running, as when a new holder on a slow link starts many of them
// after the loss of all entry hosts: several tasks of one step would be unavailable
// together.
func TestRunningTaskIsNotStoppedForItsUnansweredStart(t *testing.T) {
	p, order, now := startLongRunning(t)
	must.SliceEmpty(t, p.Plan(now, now).Orders)
	later := now.Add(200 * time.Millisecond)
	p.ApplyHeartbeat("w", now.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 1200, Running: []worker.Report{{Task: order.Task, Run: order.Run, Percent: 100}}}, later, later)
	must.SliceEmpty(t, p.Plan(later, later).Orders)
	must.EqOp(t, running, p.hosts["w"].runs[order.Task].state)
}

// A start was lost: the reply to a heartbeat sent after the start's timeout doesn't
// list the task. The run is stopped, so that it can't start late, and then the task
// is started anew.
func TestLongRunningTaskIsRestartedAfterALostStart(t *testing.T) {
	p, order, now := startLongRunning(t)
	early := now.Add(100 * time.Millisecond)
	p.ApplyHeartbeat("w", now.Add(-time.Millisecond), worker.HeartbeatReply{ClockMs: 1100}, early, early)
	must.SliceEmpty(t, p.Plan(early, early).Orders, must.Sprint("that heartbeat was sent before the start's timeout"))
	later := now.Add(200 * time.Millisecond)
	p.ApplyHeartbeat("w", now.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 1200}, later, later)
	orders := p.Plan(later, later).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, Stop, orders[0].Verb)
	p.StopOutcome(worker.Target{ID: "w"}, order.Task, order.Run, worker.Accepted, later, later)
	after := later.Add(200 * time.Millisecond)
	p.ApplyHeartbeat("w", later.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 1400}, after, after)
	orders = p.Plan(after, after).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, Start, orders[0].Verb)
	must.Greater(t, order.Run, orders[0].Run)
}
