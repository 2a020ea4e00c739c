package work_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// Guards against proofs of crashes that are lost or exchanged when they are stored.
func TestStoredProgressKeepsTheProofsOfCrashes(t *testing.T) {
	for name, task := range map[string]work.TaskProgress{
		"presumed": {Crashed: []int{1}, Run: 1, CrashesPresumed: []work.PresumedCrash{{Run: 1, Host: "h 1", Address: "a:1"}}},
		"proven":   {Crashed: []int{1, 2}, Run: 2, CrashesProven: []int{1, 2}, CrashesDecisive: []int{2}},
		"all": {Crashed: []int{1, 2, 3}, Run: 3, CrashesProven: []int{1, 2}, CrashesDecisive: []int{2},
			CrashesPresumed: []work.PresumedCrash{{Run: 3, Host: "h", Address: "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			stored, err := work.DecodeProgress(work.EncodeProgress(&work.Progress{Tasks: []work.TaskProgress{task}}))
			must.NoError(t, err)
			got := stored.Tasks[0]
			must.Eq(t, task.Crashed, got.Crashed)
			must.SliceContainsAll(t, task.CrashesProven, got.CrashesProven)
			must.SliceContainsAll(t, task.CrashesDecisive, got.CrashesDecisive)
			must.Eq(t, task.CrashesPresumed, got.CrashesPresumed)
		})
	}
}
