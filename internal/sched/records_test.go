package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// Copies of use that are counted as thrown away, or the reverse.
func TestCopyOutcomes(t *testing.T) {
	must.EqOp(t, CopyWon, copyOutcome(true, work.EndStopped))
	must.EqOp(t, CopyWon, copyOutcome(true, work.EndDone))
	must.EqOp(t, EarlierRunWon, copyOutcome(false, work.EndDone))
	must.EqOp(t, EarlierRunLost, copyOutcome(false, work.EndExpired))
}

// Records of runs and copies that are lost, or reported by each plan again.
func TestPlansReportRecordsOnce(t *testing.T) {
	s := newStragglerScript(t, speculativeStep(4))
	var copies []CopyRecord
	var runtimes []RuntimeRecord
	first := ""
	rate := func(host string, task int) float64 {
		if first == "" {
			first = s.fullest()
		}
		if host == first && task == 0 && s.now.Sub(s.began) > 500*time.Millisecond {
			return 0
		}
		return ordinary
	}
	for range 60 {
		_, plans := s.passPlans(scriptTick, rate)
		for _, plan := range plans {
			copies = append(copies, plan.Copies...)
			runtimes = append(runtimes, plan.Runtimes...)
		}
	}
	must.Eq(t, []CopyRecord{{CopyHanging, CopyWon}}, copies)
	must.Len(t, 4, runtimes)
	for _, each := range runtimes {
		must.EqOp(t, "q", each.Queue)
	}
}
