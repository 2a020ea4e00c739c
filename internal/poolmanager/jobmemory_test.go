package poolmanager

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// Guards against large jobs that wait in several pools of a process and fill its memory.
func TestLargeJobsOfAllPoolsShareTheMemory(t *testing.T) {
	const large = 10_000
	j := NewJobMemory(4 * large)
	_, fits := j.fits("a", 2*large, large)
	must.True(t, fits)
	all, fits := j.fits("b", 2*large, large)
	must.False(t, fits)
	must.EqOp(t, 4*large, all)
	j.forget("a")
	_, fits = j.fits("b", 2*large, large)
	must.True(t, fits)
}

// Guards against ordinary jobs that are refused beside large ones.
func TestOrdinaryJobsAreNeverRefusedForMemory(t *testing.T) {
	m := &Manager{Config: Config{Memory: NewJobMemory(0)}}
	ordinary := &work.JobRecord{Spec: work.Spec{Payload: strings.Repeat("x", work.MaxPayloadBytes), Steps: []work.Step{{Image: "i", Requires: "r"}}}}
	must.False(t, m.refusedForMemory(ordinary))
	must.EqOp(t, 8001, (&work.Spec{Steps: []work.Step{{Image: strings.Repeat("x", 8001)}}}).LargeBytes())
}
