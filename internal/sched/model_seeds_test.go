package sched

import (
	"testing"

	"github.com/shoenig/test/must"
)

// modelSeeds is the number of seeds for the unmodified model, mutantSeeds the
// maximum for a mutation until an invariant is violated.
const modelSeeds, mutantSeeds = 3000, 30_000

func TestModelOfOneTask(t *testing.T) {
	finished := 0
	for seed := range uint64(modelSeeds) {
		violation, done := newModel(seed, noMutation).run()
		must.EqOp(t, "", violation, must.Sprintf("seed %d", seed))
		if done {
			finished++
		}
	}
	must.Greater(t, modelSeeds/20, finished, must.Sprint("the task must succeed for a twentieth of the seeds"))
}

// Each safeguard that is disabled must lead to a violated invariant. Otherwise the
// model could not detect that the safeguard is missing in the code.
func TestModelDetectsDisabledSafeguards(t *testing.T) {
	for name, mutation := range map[string]mutation{"reused fencing token": reusedFence, "stale starts accepted": staleStartAccepted, "no wait for old leases": noLeaseWait,
		"starts without confirmed claim": unconfirmedStart} {
		seed, violated := uint64(0), false
		for ; seed < mutantSeeds && !violated; seed++ {
			violation, _ := newModel(seed, mutation).run()
			violated = violation != ""
		}
		t.Logf("%s: seed %d violates an invariant", name, seed)
		must.True(t, violated, must.Sprint(name))
	}
}
