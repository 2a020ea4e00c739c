package policy

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// runsVar is the environment variable that sets the number of runs; the default is
// one.
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

// runParallel runs a subtest in parallel with the others of its test. Each has its
// own simulation.
func runParallel(t *testing.T, name string, run func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		run(t)
	})
}

// Under correlated failures, no step of the product's planner violates a budget or
// its margin, no host is in two pools, and every wave finishes.
func TestPlannerRespectsBudgetsUnderCorrelatedFailures(t *testing.T) {
	for _, deployment := range []string{"klarlund", "lindqvist"} {
		for run := range runs(t) {
			runParallel(t, fmt.Sprintf("%s-%d", deployment, run), func(t *testing.T) {
				s, err := newScenario(deployment, 1, run, true)
				must.NoError(t, err)
				o := simulate(s, productPlanner{})
				must.Eq(t, 0, o.violations)
				must.Eq(t, 0, o.marginViolations)
				must.Eq(t, 0, o.doublePool)
				must.True(t, o.finished)
				must.Eq(t, 1, o.jobsFinished)
				must.LessEq(t, o.minMoves, o.moves)
			})
		}
	}
}

// scenarioWithoutJobs returns a scenario for tests that don't depend on jobs.
func scenarioWithoutJobs(t *testing.T, deployment string, seed uint64, faulty bool) *scenario {
	s, err := newScenario(deployment, seed, 0, faulty)
	must.NoError(t, err)
	s.load, s.minLength = &workload{}, 0
	return s
}

// Every baseline finishes its wave and respects the same budgets. Without this, the
// comparison would be with a policy that is stuck.
func TestBaselinesFinish(t *testing.T) {
	for name, d := range deciders() {
		runParallel(t, name, func(t *testing.T) {
			o := simulate(scenarioWithoutJobs(t, "lindqvist", 1, true), d)
			must.True(t, o.finished)
			must.Eq(t, 0, o.violations)
		})
	}
}

// No policy finishes a roll-out without faults in less than the lower bound.
func TestNoPolicyBeatsTheLowerBound(t *testing.T) {
	for name, d := range deciders() {
		runParallel(t, name, func(t *testing.T) {
			o := simulate(scenarioWithoutJobs(t, "klarlund", 2, false), d)
			must.GreaterEq(t, o.minRollout, o.rollout)
		})
	}
}
