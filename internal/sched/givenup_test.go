package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// restarts lets time pass until the task starts and returns what was noted of that.
func (s *crashScript) restarts(limit time.Duration) []Restart {
	for end := s.now.Add(limit); s.now.Before(end); {
		s.pass(100*time.Millisecond, nil)
		if plan := s.p.Plan(s.now, s.now); len(plan.Orders) > 0 {
			return plan.Restarts
		}
	}
	return nil
}

// A run that is heard of after it was given up is reported with why it was given up.
func TestGivenUpRunThatIsHeardAgainIsReported(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.serve(3 * time.Second)
	s.silent[order.To.ID] = true
	restarts := s.restarts(10 * time.Second)
	must.Len(t, 1, restarts)
	must.EqOp(t, order.Run, restarts[0].Previous)
	must.EqOp(t, order.To.ID, restarts[0].PreviousHost)
	must.EqOp(t, LeaseExpired, restarts[0].Evidence)
	loss := s.p.Losses()[0]
	must.Between(t, LeaseUpperBound(s.p.LeaseTTL), loss.SinceOrder, LeaseUpperBound(s.p.LeaseTTL)+200*time.Millisecond)
	must.Less(t, 0, loss.LeaseLeft)

	must.SliceEmpty(t, s.p.HeardAgain())
	s.silent[order.To.ID] = false
	s.reply(order.To.ID, worker.Report{Task: order.Task, Run: order.Run})
	heard := s.p.HeardAgain()
	must.Len(t, 1, heard)
	must.EqOp(t, LeaseExpired, heard[0].Evidence)
	must.EqOp(t, "", heard[0].End)
}

// A run of an earlier holder that goes on beside another run of its task is reported.
func TestRunBesideAnotherOneIsReported(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.serve(time.Second)
	other := s.hosts[0]
	if other == order.To.ID {
		other = s.hosts[1]
	}
	s.reply(other, worker.Report{Task: order.Task, Run: order.Run + 8})
	heard := s.p.HeardAgain()
	must.Len(t, 1, heard)
	must.EqOp(t, NotGivenUp, heard[0].Evidence)
}
