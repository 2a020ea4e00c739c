package mover

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// ReasonAges says how long each reason to move has held without a break. It is
// kept as durations and never as times of day: clocks differ and jump.
type ReasonAges struct {
	// Deficits and Over hold, by pool, for the first, second and so on host
	// missing or in excess, how long the pool has had that many. The longest
	// comes first.
	Deficits  map[string][]time.Duration `json:"lacking,omitempty"`
	Surpluses map[string][]time.Duration `json:"over,omitempty"`
	// Unavailable holds how long a host has been missing from the platform's list
	// or failed.
	Unavailable map[string]time.Duration `json:"absent,omitempty"`
	// SingleZone holds how long a pool has been in a single zone although it may
	// be in others.
	SingleZone map[string]time.Duration `json:"oneZone,omitempty"`
}

// Empty reports whether no reason holds.
func (l ReasonAges) Empty() bool {
	return len(l.Deficits)+len(l.Surpluses)+len(l.Unavailable)+len(l.SingleZone) == 0
}

// Advance returns the reasons that hold now, those that held before longer by
// passed. A reason that has ceased starts anew when it comes back: a pool that
// flaps never moves a host.
func (l ReasonAges) Advance(input Input, passed time.Duration) ReasonAges {
	next := ReasonAges{
		Deficits:    make(map[string][]time.Duration),
		Surpluses:   make(map[string][]time.Duration),
		Unavailable: l.absent(input.Hosts, passed),
		SingleZone:  make(map[string]time.Duration),
	}
	input.ReasonAges = next
	c := newCensus(input)
	pools := make(map[string]bool)
	for name := range c.sizes {
		pools[name] = true
	}
	for name := range c.members {
		pools[name] = true
	}
	for name := range pools {
		lack := c.sizes[name] - c.members[name]
		if lack > 0 {
			next.Deficits[name] = grown(l.Deficits[name], lack, passed)
		}
		if lack < 0 {
			next.Surpluses[name] = grown(l.Surpluses[name], -lack, passed)
		}
	}
	for name := range c.sizes {
		if before, held := l.SingleZone[name]; c.inOneZone(name) {
			next.SingleZone[name] = before
			if held {
				next.SingleZone[name] += passed
			}
		}
	}
	return next
}

func (l ReasonAges) absent(hosts []Host, passed time.Duration) map[string]time.Duration {
	absent := make(map[string]time.Duration)
	known, gone := make(map[string]int), make(map[string]int)
	for _, host := range hosts {
		if !host.HasRecord {
			continue
		}
		known[host.Zone]++
		if !host.Live {
			gone[host.Zone]++
		}
	}
	for _, host := range hosts {
		if !host.missing() && host.Record.Phase != hostrecord.Failed {
			continue
		}
		before, seen := l.Unavailable[host.Name]
		switch {
		case !seen:
			absent[host.Name] = 0
		case !host.Live && zoneLost(known[host.Zone], gone[host.Zone]):
			// The clock of a lost zone's hosts stands still: zones come back
			// with their hosts, and refilling a zone's pools from the others
			// would move everything at once, twice.
			absent[host.Name] = before
		default:
			absent[host.Name] = before + passed
		}
	}
	return absent
}

// zoneLost reports whether so many of a zone's hosts are missing that the zone
// is, and not its hosts one by one.
func zoneLost(known, gone int) bool { return gone >= minLostHosts && 2*gone > known }

// minLostHosts is more than one rack of the first users holds.
const minLostHosts = 5

func grown(before []time.Duration, count int, passed time.Duration) []time.Duration {
	lasted := make([]time.Duration, count)
	for i := range min(count, len(before)) {
		lasted[i] = before[i] + passed
	}
	return lasted
}

// DefaultStabilizationWindow is how long a reason must last when no policy says otherwise.
const DefaultStabilizationWindow = 5 * time.Minute

// StabilizationWindow returns the hold that a policy asks for; the policy may be nil.
func StabilizationWindow(policy *record.Policy) time.Duration {
	if policy == nil || policy.MoveStabilizationSeconds == 0 {
		return DefaultStabilizationWindow
	}
	return time.Duration(policy.MoveStabilizationSeconds) * time.Second
}
