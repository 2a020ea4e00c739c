package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// Guards against a task that runs again after its success: a later holder had taken note of it
// before the host, which never answered this one, ended.
func TestEndOfAnUnreachedHostCountsAfterAConfirmation(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{}, nil)
	s.takeOver()
	s.p.SetConfirmed(s.now, s.now)
	s.p.unreached["away"] = s.now.Add(s.p.LeaseTTL)
	s.p.RemoveHost("away", s.now, s.now)
	_, ok := s.start()
	must.False(t, ok)
	s.p.SetConfirmed(s.now, s.now)
	_, ok = s.start()
	must.True(t, ok)
}

// Guards against a line that says of a host that has ended that its leases ran out.
func TestEndOfAnUnreachedHostIsReportedWithItsEvidence(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{}, nil)
	s.takeOver()
	s.p.SetConfirmed(s.now, s.now)
	s.p.unreached["away"] = s.now.Add(s.p.LeaseTTL)
	s.p.RemoveHost("away", s.now, s.now)
	must.EqOp(t, 1, s.p.Stats(s.now).Unreached)
	s.pass(time.Second, nil)
	must.SliceEmpty(t, s.p.UnansweredHosts())
	s.p.SetConfirmed(s.now, s.now)
	s.pass(time.Second, nil)
	reported := s.p.UnansweredHosts()
	must.Len(t, 1, reported)
	must.EqOp(t, InstanceReplaced, reported[0].Evidence)
	must.EqOp(t, 0, s.p.Stats(s.now).Unreached)
}
