package standin

import (
	"time"

	"auburnglade.example/glade/internal/fleet/fakefleet"
)

// BudgetViolation is one disruption of ours that took a group of hosts below what must
// stay available.
type BudgetViolation struct {
	Act       fakefleet.Action
	Group     string
	Available int
	Minimum   int
}

// BudgetViolations replays what happened to the hosts and returns every
// disruption of ours that left a group with fewer hosts available than its
// minimum. A host that failed by itself counts as lost once detection has
// passed: before that nobody can know of it. Taking out a host that is down
// already takes nothing away.
func BudgetViolations(acts []fakefleet.Action, groupOf map[string]string, minimum map[string]int, detection time.Duration) []BudgetViolation {
	r := &replay{groupOf: groupOf, out: make(map[string]outage)}
	var breaches []BudgetViolation
	for _, act := range acts {
		group := groupOf[act.Host]
		if r.apply(act) {
			left := r.available(group, act.At, detection)
			if left < minimum[group] {
				breaches = append(breaches, BudgetViolation{Act: act, Group: group, Available: left, Minimum: minimum[group]})
			}
		}
	}
	return breaches
}

type outage struct {
	since time.Time
	// ours says that we took the host out, and not a failure.
	ours bool
}

type replay struct {
	groupOf map[string]string
	out     map[string]outage
}

// apply notes an act and reports whether it is a disruption of ours.
func (r *replay) apply(act fakefleet.Action) bool {
	switch act.Verb {
	case fakefleet.VerbCrash:
		if _, already := r.out[act.Host]; !already {
			r.out[act.Host] = outage{since: act.At}
		}
	case fakefleet.VerbReturn:
		// A host back from our reboot stays ours until it is undrained; one
		// back from a failure is available again.
		if !r.out[act.Host].ours {
			delete(r.out, act.Host)
		}
	case fakefleet.VerbUndrain:
		delete(r.out, act.Host)
	case fakefleet.VerbDrain, fakefleet.VerbReboot:
		_, already := r.out[act.Host]
		r.out[act.Host] = outage{since: act.At, ours: true}
		return !already
	}
	return false
}

func (r *replay) available(group string, now time.Time, detection time.Duration) int {
	left := 0
	for host, hostGroup := range r.groupOf {
		if hostGroup != group {
			continue
		}
		lost, isOut := r.out[host]
		known := lost.ours || now.Sub(lost.since) >= detection
		if !isOut || !known {
			left++
		}
	}
	return left
}
