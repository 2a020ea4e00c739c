package policy

import (
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/record"
)

// lowerBound returns a lower bound on the roll-out time of any policy while every
// host is up: for each service, the sum of the host times divided by the maximum
// number of hosts that its budget allows out at once, or the longest host time if
// that is greater.
func (s *scenario) lowerBound() time.Duration {
	members := s.hostsByPool()
	var bound time.Duration
	for pool, hosts := range members {
		var sum, longest time.Duration
		for _, host := range hosts {
			sum += s.minTimeOut(host.Name)
			longest = max(longest, s.minTimeOut(host.Name))
		}
		if room := s.maxOut(pool, hosts); room > 0 {
			bound = max(bound, longest, sum/time.Duration(room))
		}
	}
	return bound
}

// lowerBoundBuffer returns a lower bound on the buffer cost per host, in
// host-hours, while every host is up: the host times, plus the reserve of the
// margin for the time that each service takes with the maximum number of hosts out.
func (s *scenario) lowerBoundBuffer() float64 {
	var held time.Duration
	hosts := 0
	for pool, members := range s.hostsByPool() {
		room := s.maxOut(pool, members)
		if room == 0 {
			continue
		}
		var sum time.Duration
		for _, host := range members {
			sum += s.minTimeOut(host.Name)
			hosts++
		}
		held += sum + sum*time.Duration(s.reserve(pool, members))/time.Duration(room)
	}
	return held.Hours() / float64(max(1, hosts))
}

// reserve returns the number of hosts that the worst failure in the margin of the
// pool's budget takes, while as many hosts are out as the budget allows.
func (s *scenario) reserve(pool string, members []fleet.Host) int {
	for _, b := range s.budgets {
		if b.Service == pool {
			return worstLoss(wrap(members[s.maxOut(pool, members):]), b.Margin)
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

// hostsByPool returns the hosts by pool in the initial assignment of a run.
func (s *scenario) hostsByPool() map[string][]fleet.Host {
	members := make(map[string][]fleet.Host)
	at := make(map[string]fleet.Host, len(s.hosts))
	for _, host := range s.hosts {
		at[host.Name] = host
	}
	for host, pool := range s.initialPools() {
		members[pool] = append(members[pool], at[host])
	}
	return members
}

// maxOut returns how many hosts of a full pool the budget allows out at once.
func (s *scenario) maxOut(pool string, hosts []fleet.Host) int {
	var budgetHosts []budget.Host
	for _, host := range hosts {
		budgetHosts = append(budgetHosts, budget.Host{
			Name: host.Name, Zone: host.Zone, Rack: host.Rack, Available: true, Services: s.pools[pool].Services,
		})
	}
	tracker := budget.NewTracker(s.budgets, budgetHosts)
	room := 0
	for _, host := range hosts {
		if tracker.TryMarkOut(host.Name).Allowed {
			room++
		}
	}
	return room
}

// worstLoss returns how many of a service's available hosts the worst single
// failure in the margin of its budget takes. It is independent of the planner's
// code.
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
