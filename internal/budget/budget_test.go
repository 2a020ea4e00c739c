package budget

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/record"
)

// The fixed seed makes every run draw the same cases. -rapid.seed and
// -rapid.checks select other cases and their number.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

func endpoints(zones ...int) []Endpoint {
	var all []Endpoint
	for z, n := range zones {
		for i := range n {
			all = append(all, Endpoint{
				Host: fmt.Sprintf("z%d-h%d", z, i), Zone: fmt.Sprintf("z%d", z),
				Rack: fmt.Sprintf("r%d", i/2), Available: true,
			})
		}
	}
	return all
}

func budgetOf(minimum int, margin record.FailureMargin) []*record.Budget {
	return []*record.Budget{{Service: "match", MinAvailable: minimum, Margin: margin}}
}

func TestMargins(t *testing.T) {
	cases := map[string]struct {
		minimum int
		margin  record.FailureMargin
		want    bool
	}{
		"nothing kept":               {9, record.MarginNone, true},
		"nothing left without any":   {10, record.MarginNone, false},
		"one host kept":              {8, record.MarginHost, true},
		"no room beside one host":    {9, record.MarginHost, false},
		"a rack of two kept":         {7, record.MarginRack, true},
		"no room beside a rack":      {8, record.MarginRack, false},
		"the largest other zone":     {6, record.MarginZone, true},
		"no room beside a zone":      {7, record.MarginZone, false},
		"an empty margin keeps none": {9, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state := ServiceState{Service: "match", Budgets: budgetOf(c.minimum, c.margin), Endpoints: endpoints(4, 3, 3)}
			must.Eq(t, c.want, Decide(state, "z0-h0").Allowed)
			must.Eq(t, c.want, NewTrackerFromServices([]ServiceState{state}).Check("z0-h0").Allowed)
		})
	}
}

func TestEveryBudgetOfAServiceHolds(t *testing.T) {
	state := ServiceState{Service: "match", Endpoints: endpoints(4, 3, 3), Budgets: []*record.Budget{
		{Service: "match", MinAvailable: 5},
		{Service: "match", MinAvailable: 9, Margin: record.MarginHost},
	}}
	must.False(t, Decide(state, "z0-h0").Allowed)
	must.False(t, NewTrackerFromServices([]ServiceState{state}).Check("z0-h0").Allowed)
}

// The host list lags and shows a host as down that is serving again. If taking it
// out waived the minimum as well as the margin, a service that needs this host for
// its minimum would fall below it.
func TestDownHostWaivesTheMarginButNotTheMinimum(t *testing.T) {
	all := endpoints(4, 3, 3)
	all[0].Available = false
	state := ServiceState{Service: "match", Endpoints: all, Budgets: budgetOf(9, record.MarginHost)}
	must.True(t, Decide(state, "z0-h0").Allowed)
	must.True(t, NewTrackerFromServices([]ServiceState{state}).Check("z0-h0").Allowed)
	all[1].Available = false
	must.False(t, Decide(state, "z0-h0").Allowed)
	must.False(t, NewTrackerFromServices([]ServiceState{state}).Check("z0-h0").Allowed)
}

func TestHostOfSeveralServicesNeedsHeadroomInEach(t *testing.T) {
	all := endpoints(4, 3, 3)
	states := []ServiceState{
		{Service: "match", Endpoints: all, Budgets: budgetOf(5, record.MarginNone)},
		{Service: "rights", Endpoints: all, Budgets: []*record.Budget{{Service: "rights", MinAvailable: 9}}},
	}
	tracker := NewTrackerFromServices(states)
	must.True(t, tracker.TryMarkOut("z0-h0").Allowed)
	must.StrContains(t, tracker.Check("z0-h1").Reason, "rights")
	tracker.MarkAvailable("z0-h0")
	must.True(t, tracker.Check("z0-h1").Allowed)
}

func TestBufferReportsReserveAndReason(t *testing.T) {
	buffer, ok := NewTrackerFromServices([]ServiceState{{Service: "match", Endpoints: endpoints(4, 3, 3), Budgets: budgetOf(5, record.MarginZone)}}).Buffer("match")
	must.True(t, ok)
	must.Eq(t, 4, buffer.Reserve)
	must.Eq(t, 1, buffer.Headroom)
	must.Eq(t, "10 available, 5 needed, 4 kept for the loss of one zone", buffer.Reason)
}

// The tracker is updated incrementally. After any sequence of updates it must
// decide as Decide does from the complete state.
func TestTrackerAgreesWithDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := endpoints(rapid.IntRange(1, 6).Draw(t, "a"), rapid.IntRange(0, 6).Draw(t, "b"), rapid.IntRange(0, 6).Draw(t, "c"))
		for i := range all {
			all[i].Available = rapid.IntRange(0, 4).Draw(t, "up") > 0
		}
		margin := rapid.SampledFrom([]record.FailureMargin{record.MarginNone, record.MarginHost, record.MarginRack, record.MarginZone}).Draw(t, "margin")
		state := ServiceState{Service: "match", Endpoints: all, Budgets: budgetOf(rapid.IntRange(0, 12).Draw(t, "min"), margin),
			Grants: GrantSet{ByHost: map[string]Grant{}}}
		tracker := NewTrackerFromServices([]ServiceState{state})
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			host := rapid.SampledFrom(all).Draw(t, "host")
			_, granted := state.Grants.ByHost[host.Host]
			switch {
			case granted:
				delete(state.Grants.ByHost, host.Host)
				if host.Available {
					tracker.MarkAvailable(host.Host)
				}
			default:
				must.Eq(t, Decide(state, host.Host), tracker.TryMarkOut(host.Host))
				if Decide(state, host.Host).Allowed {
					state.Grants.ByHost[host.Host] = Grant{Operation: host.Host}
				}
			}
		}
		must.Eq(t, len(state.remaining("")), tracker.service("match").available)
	})
}
