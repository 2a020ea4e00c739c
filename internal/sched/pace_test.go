package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// shared is one host with a serving task and a filling one beside it.
type shared struct {
	pool  *Pool
	now   time.Time
	serve work.TaskName
	fill  work.TaskName
	clock int64
}

func newShared(t *testing.T) *shared {
	t.Helper()
	s := &shared{now: time.Now()}
	s.pool = New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Minute}, Roster{}, s.now)
	s.pool.SetHosts([]worker.Host{{ID: "w", Address: "w", Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}}}, s.now)
	s.pool.RosterStored(Roster{InUse: []string{"w"}})
	s.hold()
	for id, step := range map[string]work.Step{
		"0000000000000001": {Count: 1, Resources: work.Resources{MilliCPU: 8000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond},
		"0000000000000002": {Count: 1, Resources: work.Resources{MilliCPU: 8000}, LongRunning: true, BestEffort: true},
	} {
		s.pool.Accept(&work.Record{ID: id, Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{Steps: []work.Step{step}}}, s.now, s.now)
	}
	must.Len(t, 2, s.pool.Plan(s.now, s.now).Orders)
	s.serve, s.fill = work.TaskName{Job: "0000000000000001"}, work.TaskName{Job: "0000000000000002"}
	return s
}

func (s *shared) hold(reports ...worker.Report) {
	s.clock++
	s.pool.ApplyHeartbeat("w", s.now, worker.HeartbeatReply{ClockMs: s.clock, Running: reports}, s.now, s.now)
}

// paced lets some time pass with the serving task at a response time, and
// returns the pace that the filling task is told, or -1.
func (s *shared) paced(responseMs int) int {
	s.now = s.now.Add(paceEvery)
	s.hold(worker.Report{Task: s.serve, Run: 1, Percent: 100, Load: responseMs}, worker.Report{Task: s.fill, Run: 1, Percent: 100})
	for _, order := range s.pool.Plan(s.now, s.now).Orders {
		if order.Verb == Throttle {
			s.pool.ThrottleOutcome("w", order, worker.Accepted)
			return order.Percent
		}
	}
	return -1
}

// A filling task doesn't count against the host's processors, and is slowed as
// soon as the serving task beside it comes near its target, stopped when that
// is over it, and sped up slowly once it is well below.
func TestFillingTaskYieldsToTheServingOne(t *testing.T) {
	s := newShared(t)
	must.EqOp(t, -1, s.paced(50))
	must.EqOp(t, 40, s.paced(90))
	must.EqOp(t, 0, s.paced(120))
	must.EqOp(t, -1, s.paced(70))
	must.EqOp(t, paceRise, s.paced(50))
	must.EqOp(t, 2*paceRise, s.paced(50))
}
