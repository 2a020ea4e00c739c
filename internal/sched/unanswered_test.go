package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// startLasting orders the one task of a lasting job and lets its start go
// unanswered.
func startLasting(t *testing.T) (p *Pool, order Order, now time.Time) {
	t.Helper()
	p, _, now = oneHost(t)
	p.Accept(&work.Record{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1}},
	}}, now, now)
	orders := p.Plan(now, now).Orders
	must.Len(t, 1, orders)
	now = now.Add(time.Second)
	p.StartOutcome("w", orders[0].Task, orders[0].Run, worker.Unknown, now, now)
	return p, orders[0], now
}

// All entry hosts were lost, and a new holder on a thin link starts many lasting
// tasks at once. Answers to starts come too late, while the tasks are at work
// already: stopped as unanswered, several of one step went missing together.
func TestALastingTaskThatRunsIsNotStoppedForItsUnansweredStart(t *testing.T) {
	p, order, now := startLasting(t)
	must.SliceEmpty(t, p.Plan(now, now).Orders)
	later := now.Add(200 * time.Millisecond)
	p.ApplyHeartbeat("w", now.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 1200, Running: []worker.Report{{Task: order.Task, Run: order.Run, Percent: 100}}}, later, later)
	must.SliceEmpty(t, p.Plan(later, later).Orders)
	must.EqOp(t, running, p.hosts["w"].runs[order.Task].state)
}

// The start never came: a hold that was sent after it was given up doesn't show
// the task. It is stopped, so that it can't begin any more, and starts anew.
func TestALastingTaskWhoseStartWasLostIsStoppedAndStartsAnew(t *testing.T) {
	p, order, now := startLasting(t)
	early := now.Add(100 * time.Millisecond)
	p.ApplyHeartbeat("w", now.Add(-time.Millisecond), worker.HeartbeatReply{ClockMs: 1100}, early, early)
	must.SliceEmpty(t, p.Plan(early, early).Orders, must.Sprint("that hold was sent before"))
	later := now.Add(200 * time.Millisecond)
	p.ApplyHeartbeat("w", now.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 1200}, later, later)
	orders := p.Plan(later, later).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, Stop, orders[0].Verb)
	p.StopOutcome("w", order.Task, order.Run, worker.Accepted, later, later)
	after := later.Add(200 * time.Millisecond)
	p.ApplyHeartbeat("w", later.Add(time.Millisecond), worker.HeartbeatReply{ClockMs: 1400}, after, after)
	orders = p.Plan(after, after).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, Start, orders[0].Verb)
	must.Greater(t, order.Run, orders[0].Run)
}
