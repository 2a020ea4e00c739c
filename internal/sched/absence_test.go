package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// serve lets the task start, come into service and run for a while, and returns its
// order.
func (s *crashScript) serve(length time.Duration) Order {
	s.t.Helper()
	order, ok := s.start()
	must.True(s.t, ok, must.Sprint("the task must start"))
	s.p.StartOutcome(order.To, order.Task, order.Run, worker.Accepted, s.now, s.now)
	for end := s.now.Add(length); s.now.Before(end); {
		s.pass(100*time.Millisecond, map[string]worker.Report{order.To.ID: {Task: order.Task, Run: order.Run, Percent: fullPercent - 1}})
		s.p.Plan(s.now, s.now)
	}
	return order
}

// absences lets time pass and returns what was reported of the task's absence.
func (s *crashScript) absences(length time.Duration) (reports []Absence) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.pass(100*time.Millisecond, nil)
		plan := s.p.Plan(s.now, s.now)
		reports = append(reports, plan.Absences...)
	}
	return reports
}

// A long-running task on a host that has gone is reported with what it waits for.
func TestAbsenceIsReportedWithItsReasons(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
	order := s.serve(2 * time.Second)
	s.silent[order.To.ID] = true
	reports := s.absences(4 * time.Second)
	must.Len(t, 2, reports)
	must.EqOp(t, order.Run, reports[0].Run)
	must.EqOp(t, order.To.ID, reports[0].Host)
	must.EqOp(t, WaitHostSilent, reports[0].Reason)
	must.EqOp(t, reports[0].Away, reports[0].Waited[WaitHostSilent])
}

// After a takeover a task may be on a host that does not answer, and that is what it is
// reported to wait for.
func TestAbsenceAfterATakeoverIsReported(t *testing.T) {
	s := newCrashScript(t, 1, work.Step{LongRunning: true}, nil)
	s.takeOver()
	s.p.unreached["gone"] = s.now.Add(3 * time.Second)
	reports := s.absences(3500 * time.Millisecond)
	must.Len(t, 1, reports)
	must.True(t, reports[0].SinceTakeover)
	must.EqOp(t, WaitUnreached, reports[0].Reason)
	must.Eq(t, []UnansweredHost{{"gone", LeaseExpired, s.now.Sub(s.p.started) - 400*time.Millisecond}}, s.p.UnansweredHosts())
}

// A long-running task whose turn has not come waits for nothing.
func TestAbsenceBeforeItsTurnIsNotReported(t *testing.T) {
	s := newCrashScript(t, 1, work.Step{}, nil)
	later := &work.JobRecord{ID: "0000000000000002", Queue: work.Queue{MaxAttempts: 3}, Spec: work.Spec{Steps: []work.Step{
		{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Minute},
		{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true, After: []int{0}},
	}}}
	must.True(t, s.p.Accept(later, s.now, s.now))
	must.SliceEmpty(t, s.absences(5*time.Second))
}
