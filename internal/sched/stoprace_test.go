package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// preemptedCrash has the task start and execute, be told to stop, and its host refuse
// connections some time later. It returns the lost host.
func (s *crashScript) preemptedCrash(executed, stopToRefusal time.Duration) (host string) {
	host = s.executed(executed)
	s.stopRun(host, worker.Accepted)
	s.now = s.now.Add(stopToRefusal)
	s.silent[host] = true
	s.p.HeartbeatFailed(worker.Target{ID: host}, worker.NotSent, s.now, s.now)
	return host
}

// stopRun has a host's run stopped and reports the outcome of that.
func (s *crashScript) stopRun(host string, outcome worker.Outcome) {
	s.p.stop(s.p.hosts[host].runs[scriptTask], "preempted")
	for _, order := range s.p.Plan(s.now, s.now).Orders {
		if order.Verb == Stop {
			s.p.StopOutcome(worker.Target{ID: host}, order.Task, order.Run, outcome, s.now, s.now)
		}
	}
}

// Guards against a task that crashes its hosts and starts too often because it is
// preempted whenever it starts.
func TestStopJustBeforeTheCrashKeepsTheProof(t *testing.T) {
	s := newCrashScript(t, 6, work.Step{}, nil)
	lost := s.preemptedCrash(100*time.Millisecond, stopRace/2)
	s.pass(stopRetry, nil)
	s.stopRun(lost, worker.NotSent)
	s.crash(lost)
	must.Eq(t, []Proof{Proven}, s.proofs())
}

// Guards against proof by runs that may have ended before their hosts crashed.
func TestStopThatMayHaveEndedTheRunProvesNothing(t *testing.T) {
	for name, play := range map[string]func(s *crashScript) string{
		"stopped earlier":         func(s *crashScript) string { return s.preemptedCrash(100*time.Millisecond, 2*stopRace) },
		"had executed for longer": func(s *crashScript) string { return s.preemptedCrash(2*promptCrash, stopRace/2) },
		"stopped again": func(s *crashScript) string {
			lost := s.preemptedCrash(100*time.Millisecond, stopRace/2)
			s.pass(stopRetry, nil)
			s.stopRun(lost, worker.Unknown)
			return lost
		},
		"stopped after the refusal": func(s *crashScript) string {
			lost := s.executed(100 * time.Millisecond)
			s.silent[lost] = true
			s.now = s.now.Add(time.Millisecond)
			s.p.HeartbeatFailed(worker.Target{ID: lost}, worker.NotSent, s.now, s.now)
			s.now = s.now.Add(stopRace)
			s.stopRun(lost, worker.Accepted)
			return lost
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCrashScript(t, 6, work.Step{}, nil)
			s.crash(play(s))
			must.Eq(t, []Proof{Unproven}, s.proofs())
		})
	}
}
