package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// sharedHost is a pool with one host that runs a serving task and a best-effort task.
type sharedHost struct {
	pool       *Pool
	now        time.Time
	serving    work.TaskName
	bestEffort work.TaskName
	clock      int64
}

func newSharedHost(t *testing.T) *sharedHost {
	t.Helper()
	s := &sharedHost{now: time.Now()}
	s.pool = New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Minute}, Roster{}, s.now)
	s.pool.SetHosts([]worker.Host{{ID: "w", Address: "w", Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}}}, s.now)
	s.pool.RosterStored(Roster{InUse: []string{"w"}})
	s.heartbeat()
	for id, step := range map[string]work.Step{
		"0000000000000001": {Count: 1, Resources: work.Resources{MilliCPU: 8000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond},
		"0000000000000002": {Count: 1, Resources: work.Resources{MilliCPU: 8000}, LongRunning: true, BestEffort: true},
	} {
		s.pool.Accept(&work.JobRecord{ID: id, Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{Steps: []work.Step{step}}}, s.now, s.now)
	}
	must.Len(t, 2, s.pool.Plan(s.now, s.now).Orders)
	s.serving, s.bestEffort = work.TaskName{Job: "0000000000000001"}, work.TaskName{Job: "0000000000000002"}
	return s
}

func (s *sharedHost) heartbeat(reports ...worker.Report) {
	s.clock++
	s.pool.ApplyHeartbeat("w", s.now, worker.HeartbeatReply{ClockMs: s.clock, Running: reports}, s.now, s.now)
}

// nextThrottle advances the clock, reports a response time of the serving task and
// returns the percentage to which the next plan throttles the best-effort task, or -1
// if it doesn't.
func (s *sharedHost) nextThrottle(responseMs int) int {
	s.now = s.now.Add(throttleInterval)
	s.heartbeat(worker.Report{Task: s.serving, Run: 1, Percent: 100, Load: responseMs}, worker.Report{Task: s.bestEffort, Run: 1, Percent: 100})
	for _, order := range s.pool.Plan(s.now, s.now).Orders {
		if order.Verb == Throttle {
			s.pool.ThrottleOutcome(order, worker.Accepted)
			return order.Percent
		}
	}
	return -1
}

// A best-effort task reserves no CPU of its host. It is throttled when the serving
// task on the host is near its latency target, paused when it is over the target, and
// sped up slowly once it is well below.
func TestBestEffortTaskYieldsToServingTask(t *testing.T) {
	s := newSharedHost(t)
	must.EqOp(t, -1, s.nextThrottle(50))
	must.EqOp(t, 40, s.nextThrottle(90))
	must.EqOp(t, 0, s.nextThrottle(120))
	must.EqOp(t, -1, s.nextThrottle(70))
	must.EqOp(t, throttleRaise, s.nextThrottle(50))
	must.EqOp(t, 2*throttleRaise, s.nextThrottle(50))
}
