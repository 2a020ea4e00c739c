package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// startWithin lets time pass until the task is ordered to start, and returns how long that
// took. prepare is called before each plan.
func (s *crashScript) startWithin(limit time.Duration, prepare func()) (took time.Duration, ok bool) {
	began := s.now
	for s.now.Sub(began) < limit {
		s.pass(100*time.Millisecond, nil)
		prepare()
		for _, o := range s.p.Plan(s.now, s.now).Orders {
			if o.Verb == Start {
				return s.now.Sub(began), true
			}
		}
	}
	return limit, false
}

// Guards against a long-running task that waits for hosts in quarantine, all of which are
// under a suspicion that need not be true.
func TestOverdueLongRunningTaskStartsOnAHostInQuarantine(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
	took, ok := s.startWithin(10*time.Second, func() {
		for _, h := range s.p.hosts {
			h.health.quarantinedUntil = s.now.Add(time.Minute)
		}
	})
	must.True(t, ok)
	must.GreaterEq(t, overdueAfter, took)
}

// Guards against a long-running task that waits for a store which does not take the
// suspicion against it.
func TestOverdueLongRunningSuspectStartsWithoutTheStore(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, &work.Progress{Tasks: []work.TaskProgress{{Crashed: []int{1}, Run: 1}}})
	took, ok := s.startWithin(10*time.Second, func() { s.p.jobs[scriptTask.Job].storedVersion = 0 })
	must.True(t, ok)
	must.GreaterEq(t, overdueAfter-takeoverAbsence, took)
}

// Guards against a short task that is started on a host in quarantine.
func TestOtherTasksWaitForTheEndOfAQuarantine(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{}, nil)
	_, ok := s.startWithin(10*time.Second, func() {
		for _, h := range s.p.hosts {
			h.health.quarantinedUntil = s.now.Add(time.Minute)
		}
	})
	must.False(t, ok)
}
