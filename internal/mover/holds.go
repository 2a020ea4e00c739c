package mover

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// Lasted says how long each reason to move has held without a break. It is
// kept as durations and never as times of day: clocks differ and jump.
type Lasted struct {
	// Lacking and Over hold, by pool, for the first, second and so on host
	// missing or in excess, how long the pool has had that many. The longest
	// comes first.
	Lacking map[string][]time.Duration `json:"lacking,omitempty"`
	Over    map[string][]time.Duration `json:"over,omitempty"`
	// Absent holds how long a host has been missing from the platform's list
	// or failed.
	Absent map[string]time.Duration `json:"absent,omitempty"`
	// OneZone holds how long a pool has been in a single zone although it may
	// be in others.
	OneZone map[string]time.Duration `json:"oneZone,omitempty"`
}

// Empty reports whether no reason holds.
func (l Lasted) Empty() bool { return len(l.Lacking)+len(l.Over)+len(l.Absent)+len(l.OneZone) == 0 }

// Age returns the reasons that hold now, those that held before longer by
// passed. A reason that has ceased starts anew when it comes back: a pool that
// flaps never moves a host.
func (l Lasted) Age(input Input, passed time.Duration) Lasted {
	next := Lasted{
		Lacking: make(map[string][]time.Duration),
		Over:    make(map[string][]time.Duration),
		Absent:  l.absent(input.Hosts, passed),
		OneZone: make(map[string]time.Duration),
	}
	input.Lasted = next
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
			next.Lacking[name] = grown(l.Lacking[name], lack, passed)
		}
		if lack < 0 {
			next.Over[name] = grown(l.Over[name], -lack, passed)
		}
	}
	for name := range c.sizes {
		if before, held := l.OneZone[name]; c.inOneZone(name) {
			next.OneZone[name] = before
			if held {
				next.OneZone[name] += passed
			}
		}
	}
	return next
}

func (l Lasted) absent(hosts []Host, passed time.Duration) map[string]time.Duration {
	absent := make(map[string]time.Duration)
	known, gone := make(map[string]int), make(map[string]int)
	for _, host := range hosts {
		if !host.Known {
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
		before, seen := l.Absent[host.Name]
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

// DefaultHold is how long a reason must last when no policy says otherwise.
const DefaultHold = 5 * time.Minute

// HoldOf returns the hold that a policy asks for; the policy may be nil.
func HoldOf(policy *record.Policy) time.Duration {
	if policy == nil || policy.MoveHoldSeconds == 0 {
		return DefaultHold
	}
	return time.Duration(policy.MoveHoldSeconds) * time.Second
}
