package policy

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// runsVar asks for more runs than CI makes.
const runsVar = "GLADE_POLICY_RUNS"

func runs(t *testing.T) int {
	text := os.Getenv(runsVar)
	if text == "" {
		return 1
	}
	n, err := strconv.Atoi(text)
	must.NoError(t, err)
	return n
}

// beside runs a play beside the others of its test: each has a world of its own.
func beside(t *testing.T, name string, run func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		run(t)
	})
}

// Whatever fails together, no act of ours breaks a budget or its margin, no
// host is in two pools, and every wave ends.
func TestOursHoldsUnderCorrelatedFailures(t *testing.T) {
	for _, deployment := range []string{"klarlund", "lindqvist"} {
		for run := range runs(t) {
			beside(t, fmt.Sprintf("%s-%d", deployment, run), func(t *testing.T) {
				s, err := newScenario(deployment, 1, run, true)
				must.NoError(t, err)
				o := play(s, ours{})
				must.Eq(t, 0, o.violations)
				must.Eq(t, 0, o.marginBroken)
				must.Eq(t, 0, o.doublePool)
				must.True(t, o.finished)
				must.Eq(t, 1, o.jobsFinished)
				must.LessEq(t, o.fewestMoves, o.moves)
			})
		}
	}
}

// drawn is a scenario without jobs, for what they have no part in.
func drawn(t *testing.T, deployment string, seed uint64, faulty bool) *scenario {
	s, err := newScenario(deployment, seed, 0, faulty)
	must.NoError(t, err)
	s.load, s.end = &workload{}, 0
	return s
}

// The baselines go through the same gate and end as well: a comparison with a
// baseline that is stuck says nothing.
func TestBaselinesEnd(t *testing.T) {
	for name, d := range deciders() {
		beside(t, name, func(t *testing.T) {
			o := play(drawn(t, "lindqvist", 1, true), d)
			must.True(t, o.finished)
			must.Eq(t, 0, o.violations)
		})
	}
}

func TestNoPolicyBeatsTheLowerBound(t *testing.T) {
	for name, d := range deciders() {
		beside(t, name, func(t *testing.T) {
			o := play(drawn(t, "klarlund", 2, false), d)
			must.GreaterEq(t, o.bound, o.rollout)
		})
	}
}
