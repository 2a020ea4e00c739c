package standin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet/fakefleet"
)

// Two of three hosts must stay available. Each case lists actions with their time
// in seconds, and how many disruptions violate the budget.
func TestBudgetViolations(t *testing.T) {
	start := time.Unix(0, 0)
	act := func(second int, host, verb string) fakefleet.Action {
		return fakefleet.Action{Host: host, Verb: verb, At: start.Add(time.Duration(second) * time.Second)}
	}
	cases := []struct {
		name       string
		acts       []fakefleet.Action
		violations int
	}{
		{"one out at a time", []fakefleet.Action{
			act(0, "a", fakefleet.VerbDrain), act(1, "a", fakefleet.VerbReboot), act(2, "a", fakefleet.VerbReturn),
			act(3, "a", fakefleet.VerbUndrain), act(4, "b", fakefleet.VerbDrain),
		}, 0},
		{"second drained before the first is undrained", []fakefleet.Action{
			act(0, "a", fakefleet.VerbDrain), act(1, "a", fakefleet.VerbReboot), act(2, "a", fakefleet.VerbReturn),
			act(3, "b", fakefleet.VerbDrain),
		}, 1},
		{"drained on top of a known failure", []fakefleet.Action{
			act(0, "a", fakefleet.VerbCrash), act(10, "b", fakefleet.VerbDrain),
		}, 1},
		{"drained right after an undetected failure", []fakefleet.Action{
			act(0, "a", fakefleet.VerbCrash), act(1, "b", fakefleet.VerbDrain),
		}, 0},
		{"drained the failed host itself", []fakefleet.Action{
			act(0, "a", fakefleet.VerbCrash), act(10, "a", fakefleet.VerbDrain),
		}, 0},
		{"failed host came back", []fakefleet.Action{
			act(0, "a", fakefleet.VerbCrash), act(5, "a", fakefleet.VerbReturn), act(10, "b", fakefleet.VerbDrain),
		}, 0},
		{"rebooted without a drain", []fakefleet.Action{
			act(0, "a", fakefleet.VerbReboot), act(1, "b", fakefleet.VerbReboot),
		}, 1},
	}
	groups := map[string]string{"a": "pool", "b": "pool", "c": "pool"}
	minimum := map[string]int{"pool": 2}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Len(t, c.violations, BudgetViolations(c.acts, groups, minimum, 2*time.Second))
		})
	}
}
