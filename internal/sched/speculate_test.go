package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// ordinary is the progress in a tick of a run that takes as long as expected.
const ordinary = 10

// speculativeStep is a step of tasks that may run twice.
func speculativeStep(tasks int) work.Step { return work.Step{Count: tasks, Speculative: true} }

// One task takes seven times as long as the others of its host, and a copy that takes
// as long is thrown away.
func TestLongTaskIsNotCopied(t *testing.T) {
	s := newStragglerScript(t, speculativeStep(4))
	copies, decisions := s.pass(3*time.Second, func(_ string, task int) float64 {
		if task == 0 {
			return ordinary / 7.0
		}
		return ordinary
	})
	must.SliceEmpty(t, copies)
	must.SliceNotEmpty(t, decisions)
	must.EqOp(t, LongTask, decisions[0].Verdict)
}

// All tasks of a host slow down, and wait there for the slow host.
func TestTasksOfASlowHostAreCopied(t *testing.T) {
	s := newStragglerScript(t, speculativeStep(3))
	s.submit("0000000000000002", work.Step{Count: 7, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second, Speculative: true})
	slow := ""
	copies, decisions := s.pass(4*time.Second, func(host string, _ int) float64 {
		if slow == "" {
			slow = s.fullest()
		}
		if host == slow {
			return ordinary / 6.0
		}
		return ordinary
	})
	must.SliceNotEmpty(t, copies)
	for _, each := range copies {
		must.NotEq(t, slow, each.To.ID)
	}
	for _, each := range decisions {
		must.True(t, each.Verdict != SlowHost || each.Host == slow, must.Sprint(fmt.Sprintf("%+v", each)))
	}
}

// A run without progress among ordinary ones holds its job up for ever.
func TestHangingTaskIsCopied(t *testing.T) {
	s := newStragglerScript(t, speculativeStep(4))
	copies, decisions := s.pass(4*time.Second, func(_ string, task int) float64 {
		if task == 0 && s.now.Sub(s.began) > 500*time.Millisecond {
			return 0
		}
		return ordinary
	})
	must.Len(t, 1, copies)
	must.EqOp(t, Hanging, decisions[len(decisions)-1].Verdict)
}

// A second run of a task whose step doesn't allow it, on a slow or hanging host.
func TestNoSecondRunWhereTheStepForbidsIt(t *testing.T) {
	s := newStragglerScript(t, work.Step{Count: 4})
	copies, decisions := s.pass(6*time.Second, func(_ string, task int) float64 {
		if task < 2 {
			return 0.5
		}
		return ordinary
	})
	must.SliceEmpty(t, copies)
	must.SliceEmpty(t, decisions)
}

// Declared times are a fifth of the true ones for all tasks of a step, and each gets a
// copy.
func TestWrongDeclarationStartsNoCopies(t *testing.T) {
	s := newStragglerScript(t, speculativeStep(6))
	copies, _ := s.pass(4*time.Second, func(string, int) float64 { return ordinary / 5.0 })
	must.SliceEmpty(t, copies)
}

// Copies take the room that jobs in time wait for, and make those late.
func TestCopiesLeaveRoomForJobsInTime(t *testing.T) {
	r, pl := stragglerOnSlowHost(t)
	must.EqOp(t, 0, pl.decideStraggler(r, 999))
	must.True(t, pl.plan.Stragglers[0].NoRoom)
	must.EqOp(t, 1000, pl.decideStraggler(r, 1000))
	must.True(t, pl.plan.Stragglers[1].Copied)
}

// Lines about one run that repeat with each plan.
func TestDecisionsOnARunAreBounded(t *testing.T) {
	r, pl := stragglerOnSlowHost(t)
	for range 100 {
		pl.decideStraggler(r, 0)
	}
	must.Len(t, 1, pl.plan.Stragglers)
}

// A run that an earlier holder started looks fast, since its progress is counted from
// the takeover, and stays on its slow host.
func TestAdoptedRunIsJudgedFromTheTakeover(t *testing.T) {
	r, _ := stragglerOnSlowHost(t)
	r.firstPercent, r.percent = 80, 81
	r.progressedAt = r.startedAt.Add(2 * time.Second)
	must.True(t, r.slow(r.progressedAt))
	pace, ok := r.pace()
	must.True(t, ok)
	must.Less(t, 0.1, pace)
}

// stragglerOnSlowHost returns a run that is twenty times slower than expected, alone
// on its host, and a planner at that moment.
func stragglerOnSlowHost(t *testing.T) (*run, *planner) {
	s := newStragglerScript(t, speculativeStep(1))
	s.pass(scriptTick, func(string, int) float64 { return 0 })
	host := s.fullest()
	var r *run
	for _, each := range s.p.hosts[host].runs {
		r = each
	}
	must.NotNil(t, r)
	r.percent, r.startedAt, r.progressedAt = 5, s.now.Add(-2*time.Second), s.now
	return r, &planner{Pool: s.p, now: s.now, wall: s.now}
}

// fullest returns the host with the most runs.
func (s *stragglerScript) fullest() string {
	if len(s.running["a"]) >= len(s.running["b"]) {
		return "a"
	}
	return "b"
}
