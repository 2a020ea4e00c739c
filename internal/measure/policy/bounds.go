package policy

import (
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/record"
)

// lowerBound is a roll-out time that no policy beats while every host is up:
// each service's host-times shared evenly over as many hosts as its budget ever
// lets out at once, or its longest one, whichever is longer.
func (s *scenario) lowerBound() time.Duration {
	members := s.placed()
	var bound time.Duration
	for pool, hosts := range members {
		var sum, longest time.Duration
		for _, host := range hosts {
			sum += s.out(host.Name)
			longest = max(longest, s.out(host.Name))
		}
		if room := s.room(pool, hosts); room > 0 {
			bound = max(bound, longest, sum/time.Duration(room))
		}
	}
	return bound
}

// lowerBoundBuffer is the least that the buffer can cost for each host while
// every host is up: the host-times themselves, and the margin's reserve for as
// long as each service takes at its widest.
func (s *scenario) lowerBoundBuffer() float64 {
	var held time.Duration
	hosts := 0
	for pool, members := range s.placed() {
		room := s.room(pool, members)
		if room == 0 {
			continue
		}
		var sum time.Duration
		for _, host := range members {
			sum += s.out(host.Name)
			hosts++
		}
		held += sum + sum*time.Duration(s.reserve(pool, members))/time.Duration(room)
	}
	return held.Hours() / float64(max(1, hosts))
}

// reserve is the worst loss that the pool's budget names, with the hosts out
// that it lets out.
func (s *scenario) reserve(pool string, members []fleet.Host) int {
	for _, b := range s.budgets {
		if b.Service == pool {
			return worstLoss(wrap(members[s.room(pool, members):]), b.Margin)
		}
	}
	return 0
}

func wrap(members []fleet.Host) []*host {
	var hosts []*host
	for _, member := range members {
		hosts = append(hosts, &host{Host: member})
	}
	return hosts
}

// placed deals the hosts to the pools by the same assignment as a run starts
// with.
func (s *scenario) placed() map[string][]fleet.Host {
	members := make(map[string][]fleet.Host)
	at := make(map[string]fleet.Host, len(s.hosts))
	for _, host := range s.hosts {
		at[host.Name] = host
	}
	for host, pool := range s.deal() {
		members[pool] = append(members[pool], at[host])
	}
	return members
}

// room is how many hosts of a full pool the budget lets out at once.
func (s *scenario) room(pool string, hosts []fleet.Host) int {
	var seats []budget.Host
	for _, host := range hosts {
		seats = append(seats, budget.Host{
			Name: host.Name, Zone: host.Zone, Rack: host.Rack, Available: true, Services: s.pools[pool].Services,
		})
	}
	book := budget.NewTracker(s.budgets, seats)
	room := 0
	for _, host := range hosts {
		if book.TryMarkOut(host.Name).Allowed {
			room++
		}
	}
	return room
}

// worstLoss is how many of a service's available hosts the worst single loss
// takes that its budget names. It is counted here anew and not by the planner.
func worstLoss(hosts []*host, margin record.FailureMargin) int {
	counts := make(map[string]int)
	worst := 0
	for _, h := range hosts {
		domain := ""
		switch margin {
		case record.MarginHost:
			domain = h.Name
		case record.MarginRack:
			domain = h.Rack
		case record.MarginZone:
			domain = h.Zone
		default:
			continue
		}
		counts[domain]++
		worst = max(worst, counts[domain])
	}
	return worst
}
