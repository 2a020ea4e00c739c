package sched

import (
	"testing"

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
