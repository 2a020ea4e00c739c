package entryhost_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// Guards against an organisation that reads, cancels or repeats a job of another one,
// whichever way its call goes: here, through another entry host, or by the store alone.
func TestJobsOfOtherOrganisationsAreOutOfReach(t *testing.T) {
	for name, way := range map[string]struct {
		prepare func(dep *deployment) *entry
	}{
		"holder":       {func(dep *deployment) *entry { return dep.entries[dep.holder("day")] }},
		"through peer": {func(dep *deployment) *entry { return dep.other("day") }},
		"store alone": {func(dep *deployment) *entry {
			e := dep.other("day")
			dep.kill(dep.holder("day"))
			return e
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, 2, func(dep *deployment) {
				record := dep.record("day", quick(1))
				record.Organisation = "a"
				record.Spec.Steps[0].Estimate = 0
				must.EqOp(t, poolmanager.Stored, dep.entries[dep.holder("day")].Jobs.SubmitJob(dep.ctx, record).Result)
				e := way.prepare(dep)
				own, other := work.JobRef{Pool: "day", ID: record.ID, Organisation: "a"}, work.JobRef{Pool: "day", ID: record.ID, Organisation: "b"}
				_, known, ok := e.Jobs.JobState(dep.ctx, other)
				must.True(t, ok)
				must.False(t, known)
				must.EqOp(t, poolmanager.JobNotFound, e.Jobs.CancelJob(dep.ctx, other))
				_, known, ok = e.Jobs.JobState(dep.ctx, own)
				must.True(t, ok && known)
				if name == "store alone" {
					return
				}
				repeated := *record
				must.EqOp(t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, &repeated).Result)
				foreign := *record
				foreign.Organisation = "b"
				must.EqOp(t, poolmanager.Conflict, e.Jobs.SubmitJob(dep.ctx, &foreign).Result)
				must.EqOp(t, poolmanager.Stored, e.Jobs.CancelJob(dep.ctx, own))
			})
		})
	}
}
