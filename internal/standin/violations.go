package standin

import (
	"time"

	"auburnglade.example/glade/internal/fleet/fakefleet"
)

// BudgetViolation is one voluntary disruption that left fewer hosts of a group
// available than the group's minimum.
type BudgetViolation struct {
	Action    fakefleet.Action
	Group     string
	Available int
	Minimum   int
}

// BudgetViolations replays the actions on the hosts and returns every voluntary
// disruption that left a group with fewer available hosts than its minimum. A
// host that failed by itself counts as lost only after the detection time, since
// the failure cannot be detected earlier. Draining or rebooting a host that is
// already down is no disruption.
func BudgetViolations(acts []fakefleet.Action, groupOf map[string]string, minimum map[string]int, detection time.Duration) []BudgetViolation {
	state := &disruptionReplay{groupOf: groupOf, out: make(map[string]outage)}
	var violations []BudgetViolation
	for _, act := range acts {
		group := groupOf[act.Host]
		if state.apply(act) {
			available := state.available(group, act.At, detection)
			if available < minimum[group] {
				violations = append(violations, BudgetViolation{Action: act, Group: group, Available: available, Minimum: minimum[group]})
			}
		}
	}
	return violations
}

type outage struct {
	since time.Time
	// voluntary reports that the host was drained or rebooted by the system, as
	// opposed to a failure.
	voluntary bool
}

type disruptionReplay struct {
	groupOf map[string]string
	out     map[string]outage
}

// apply replays an action and reports whether it is a voluntary disruption.
func (r *disruptionReplay) apply(act fakefleet.Action) bool {
	switch act.Verb {
	case fakefleet.VerbCrash:
		if _, already := r.out[act.Host]; !already {
			r.out[act.Host] = outage{since: act.At}
		}
	case fakefleet.VerbReturn:
		// A host back from a voluntary reboot stays out until it is undrained;
		// one back from a failure is available again.
		if !r.out[act.Host].voluntary {
			delete(r.out, act.Host)
		}
	case fakefleet.VerbUndrain:
		delete(r.out, act.Host)
	case fakefleet.VerbDrain, fakefleet.VerbReboot:
		_, already := r.out[act.Host]
		r.out[act.Host] = outage{since: act.At, voluntary: true}
		return !already
	}
	return false
}

func (r *disruptionReplay) available(group string, now time.Time, detection time.Duration) int {
	available := 0
	for host, hostGroup := range r.groupOf {
		if hostGroup != group {
			continue
		}
		lost, isOut := r.out[host]
		detected := lost.voluntary || now.Sub(lost.since) >= detection
		if !isOut || !detected {
			available++
		}
	}
	return available
}
