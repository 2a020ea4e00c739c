package mover

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// ReasonAges holds how long each reason to move has existed without interruption.
// It stores durations, not times, because controllers' clocks differ and can jump.
type ReasonAges struct {
	// Deficits and Surpluses hold by pool, at index i, how long the pool has had
	// at least i+1 hosts too few or too many. Ages are in descending order.
	Deficits  map[string][]time.Duration `json:"lacking,omitempty"`
	Surpluses map[string][]time.Duration `json:"over,omitempty"`
	// Unavailable holds how long a host has been missing from the platform's
	// list or failed.
	Unavailable map[string]time.Duration `json:"absent,omitempty"`
	// SingleZone holds how long all hosts of a pool have been in one zone
	// although the pool may use others.
	SingleZone map[string]time.Duration `json:"oneZone,omitempty"`
}

// Empty reports whether there is no reason to move.
func (a ReasonAges) Empty() bool {
	return len(a.Deficits)+len(a.Surpluses)+len(a.Unavailable)+len(a.SingleZone) == 0
}

// Advance returns the reasons that exist now. Those that existed before are older by
// elapsed. A reason that disappears restarts at zero when it comes back, so that a
// flapping pool moves no host.
func (a ReasonAges) Advance(input Input, elapsed time.Duration) ReasonAges {
	next := ReasonAges{
		Deficits:    make(map[string][]time.Duration),
		Surpluses:   make(map[string][]time.Duration),
		Unavailable: a.unavailable(input.Hosts, elapsed),
		SingleZone:  make(map[string]time.Duration),
	}
	input.ReasonAges = next
	c := newHostCounts(input)
	pools := make(map[string]bool)
	for name := range c.sizes {
		pools[name] = true
	}
	for name := range c.members {
		pools[name] = true
	}
	for name := range pools {
		deficit := c.sizes[name] - c.members[name]
		if deficit > 0 {
			next.Deficits[name] = advanceAges(a.Deficits[name], deficit, elapsed)
		}
		if deficit < 0 {
			next.Surpluses[name] = advanceAges(a.Surpluses[name], -deficit, elapsed)
		}
	}
	for name := range c.sizes {
		if before, present := a.SingleZone[name]; c.inOneZone(name) {
			next.SingleZone[name] = before
			if present {
				next.SingleZone[name] += elapsed
			}
		}
	}
	return next
}

func (a ReasonAges) unavailable(hosts []Host, elapsed time.Duration) map[string]time.Duration {
	unavailable := make(map[string]time.Duration)
	total, unlisted := make(map[string]int), make(map[string]int)
	for _, host := range hosts {
		if !host.HasRecord {
			continue
		}
		total[host.Zone]++
		if !host.Live {
			unlisted[host.Zone]++
		}
	}
	for _, host := range hosts {
		if !host.missing() && host.Record.Phase != hostrecord.Failed {
			continue
		}
		before, seen := a.Unavailable[host.Name]
		switch {
		case !seen:
			unavailable[host.Name] = 0
		case !host.Live && zoneLost(total[host.Zone], unlisted[host.Zone]):
			// The ages of a lost zone's hosts don't advance: zones come back
			// with their hosts, and replacing the hosts from other zones would
			// move all of them at once, and again on return.
			unavailable[host.Name] = before
		default:
			unavailable[host.Name] = before + elapsed
		}
	}
	return unavailable
}

// zoneLost reports whether so many of a zone's hosts are missing that the whole zone
// counts as lost rather than single hosts: at least minLostHosts and over half.
func zoneLost(total, missing int) bool { return missing >= minLostHosts && 2*missing > total }

// minLostHosts is more than the number of hosts in one rack of the first users'
// fleets, so that the loss of one rack doesn't count as the loss of its zone.
const minLostHosts = 5

func advanceAges(before []time.Duration, count int, elapsed time.Duration) []time.Duration {
	ages := make([]time.Duration, count)
	for i := range min(count, len(before)) {
		ages[i] = before[i] + elapsed
	}
	return ages
}

// DefaultStabilizationWindow is how long a reason must exist before a host moves, if
// no policy sets it.
const DefaultStabilizationWindow = 5 * time.Minute

// StabilizationWindow returns the window that a policy sets, or the default. The
// policy may be nil.
func StabilizationWindow(policy *record.Policy) time.Duration {
	if policy == nil || policy.MoveStabilizationSeconds == 0 {
		return DefaultStabilizationWindow
	}
	return time.Duration(policy.MoveStabilizationSeconds) * time.Second
}
