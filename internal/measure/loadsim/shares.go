package loadsim

import (
	"cmp"
	"slices"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

// maxReclaimRemaining is the longest remaining run time of a host that is reclaimed.
const maxReclaimRemaining = 3 * time.Second

// shares is a policy of weighted fair shares with borrowing: a pool's share is the hosts
// that it had at first. Idle hosts are lent as the host manager moves them; a pool with
// less than its share that needs hosts reclaims busy ones from pools above theirs.
type shares struct {
	product
	// weights are the shares in hosts, by pool.
	weights map[string]int
}

func (s *shares) Plan(pools []hostmanager.PoolView, now time.Time) []hostmanager.Move {
	if s.weights == nil {
		s.weights = make(map[string]int)
		for _, p := range pools {
			s.weights[p.Name] = len(p.Hosts)
		}
	}
	moves := s.product.Plan(pools, now)
	taken, got := make(map[string]bool), make(map[string]int)
	for _, m := range moves {
		taken[m.Host.Name] = true
		got[m.To]++
		got[m.Host.Pool]--
	}
	for _, to := range pools {
		missing := s.weights[to.Name] - len(to.Hosts) - to.Incoming - got[to.Name]
		if !to.Known || missing <= 0 || to.Load.Used+to.Load.Waiting < to.Load.Capacity {
			continue
		}
		for _, from := range pools {
			surplus := len(from.Hosts) + from.Incoming + got[from.Name] - s.weights[from.Name]
			if from.Name == to.Name || from.Spare || surplus <= 0 {
				continue
			}
			for _, h := range reclaimable(from, taken) {
				if missing <= 0 || surplus <= 0 {
					break
				}
				taken[h.Name] = true
				got[to.Name]++
				got[from.Name]--
				missing, surplus = missing-1, surplus-1
				moves = append(moves, hostmanager.Move{Host: h, To: to.Name, Busy: true})
			}
		}
	}
	return moves
}

// reclaimable returns the hosts that can be drained, the ones that are empty soonest
// first.
func reclaimable(p hostmanager.PoolView, taken map[string]bool) []hostmanager.Host {
	loads := make(map[string]hostmanager.HostLoad, len(p.Load.Hosts))
	for _, l := range p.Load.Hosts {
		loads[l.Worker] = l
	}
	var hosts []hostmanager.Host
	for _, h := range p.Hosts {
		l, known := loads[h.Worker]
		if known && !taken[h.Name] && l.LongRunning == 0 && !l.Unschedulable && l.Remaining <= maxReclaimRemaining {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b hostmanager.Host) int {
		return cmp.Or(cmp.Compare(loads[a.Worker].Remaining, loads[b.Worker].Remaining), cmp.Compare(a.Name, b.Name))
	})
	return hosts
}
