package duty

import (
	"cmp"
	"slices"
)

// PoolView is a pool as moves are planned.
type PoolView struct {
	Name string
	// Spare: its hosts are off and cost nothing.
	Spare bool
	// Load is unknown when the pool's holder didn't answer.
	Load  Load
	Known bool
	// Hosts can be moved: they are up, and nothing is done with them.
	Hosts []Host
	// Coming is how many hosts are on their way to it.
	Coming int
}

// Move takes a host to another pool.
type Move struct {
	Host Host
	To   string
}

const (
	// reserveHosts is how many hosts beyond its need a pool keeps when it
	// gives some away: what it needs changes within a second.
	reserveHosts = 1
	// keepFactor times what it needs is what a pool keeps.
	keepFactor = 1.25
	// askFactor times its capacity is what a pool must need before it gets
	// hosts: less is over before one arrives.
	askFactor = 1.05
	// surge times what it needs is what a pool that lacks hosts asks for. Demand
	// that outgrows a pool goes on growing for some seconds, and a host takes
	// two and a half to come. On a day of 350 hosts 0.85 instead of 0.81 of the
	// worth was earned, for one move in a hundred more.
	surge = 3
)

// need is what a pool can use right now, in thousandths of a core.
func (l Load) need() float64 {
	return float64(l.Lasting) + max(float64(l.Arriving), float64(l.Work)/workWithin)
}

// workWithin is the time in seconds in which a pool should get through the
// work that it has: about the slack of a usual job.
const workWithin = 1.8

// leastOpen is how many hosts that take work a pool has however little it has
// to do. Lasting tasks that may not share a host can leave one that is to be
// emptied only if there is another one for them.
func (l Load) leastOpen() int { return l.Spread + reserveHosts }

// lacks reports whether the pool may want hosts.
func (p *PoolView) lacks() bool {
	return p.Load.need() > askFactor*float64(p.Load.Capacity) || p.Load.open() < p.Load.leastOpen()
}

// lacking is what the pool wants beyond what it has and what is coming, in
// thousandths of a core. usual is the size of a usual host, for a pool that has
// none: one that lost its last host has to get others like any other pool.
func (p *PoolView) lacking(usual float64) float64 {
	each := usual
	if len(p.Load.Hosts) > 0 {
		each = float64(p.Load.Capacity) / float64(len(p.Load.Hosts))
	}
	has := float64(p.Load.Capacity) + each*float64(p.Coming)
	lacking := 0.0
	if p.Load.need() > askFactor*has {
		lacking = surge*p.Load.need() - has
	}
	if short := p.Load.leastOpen() - p.Load.open() - p.Coming; short > 0 {
		lacking = max(lacking, each*float64(short))
	}
	return lacking
}

// unseen reports whether the pool has hosts that its holder doesn't know yet:
// they register some seconds after they start.
func (p *PoolView) unseen() bool { return len(p.Load.Hosts) == 0 && len(p.Hosts) > 0 }

// usualSize is the mean size of the hosts that can be moved.
func usualSize(pools []PoolView) float64 {
	total, count := 0, 0
	for i := range pools {
		for _, h := range pools[i].Hosts {
			total += h.Size.MilliCPU
			count++
		}
	}
	return float64(total) / float64(max(1, count))
}

// PlanMoves decides which hosts go where now. Pools that need the most beyond
// what they have come first; hosts come from the spare pools, then from the
// pools that have the most to spare, idle ones first.
func PlanMoves(pools []PoolView, allowed func(h Host, pool string) bool) []Move {
	type want struct {
		pool  *PoolView
		cores float64
	}
	var wants []want
	usual := usualSize(pools)
	for i := range pools {
		p := &pools[i]
		if !p.Known || p.Spare || p.unseen() {
			continue
		}
		if lacking := p.lacking(usual); lacking > 0 {
			wants = append(wants, want{p, lacking})
		}
	}
	slices.SortFunc(wants, func(a, b want) int { return cmp.Compare(b.cores, a.cores) })
	var moves []Move
	taken := make(map[string]bool)
	for _, w := range wants {
		for _, h := range offers(pools, w.pool) {
			if w.cores <= 0 {
				break
			}
			if taken[h.Name] || !allowed(h, w.pool.Name) {
				continue
			}
			taken[h.Name] = true
			w.cores -= float64(h.Size.MilliCPU)
			moves = append(moves, Move{h, w.pool.Name})
		}
	}
	return moves
}

// offers lists the hosts that other pools can give, the cheapest first.
func offers(pools []PoolView, to *PoolView) []Host {
	var spare, idle []Host
	for i := range pools {
		p := &pools[i]
		switch {
		case p.Name == to.Name:
		case p.Spare:
			spare = append(spare, p.Hosts...)
		case p.Known:
			idle = append(idle, p.surplus()...)
		}
	}
	return append(spare, idle...)
}

// surplus lists the hosts that a pool can give away, those with the least work
// first. Hosts of lasting tasks stay: to move them would take these away. A
// pool that was just taken over keeps half: nothing runs there yet and nobody
// has handed anything in, and the turn that it is in would find it without
// hosts. To keep all cost more, where another pool's turn begins.
func (p *PoolView) surplus() []Host {
	load := make(map[string]HostLoad, len(p.Load.Hosts))
	for _, h := range p.Load.Hosts {
		load[h.Worker] = h
	}
	spare := float64(p.Load.Capacity) - keepFactor*p.Load.need()
	var hosts []Host
	for _, h := range p.Hosts {
		if l, known := load[h.Worker]; known && l.Lasting == 0 {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(load[a.Worker].Used, load[b.Worker].Used), cmp.Compare(a.Name, b.Name))
	})
	var given []Host
	most := p.Load.open() - p.Load.leastOpen() - reserveHosts
	if p.Load.Young {
		most = min(most, len(p.Hosts)/2)
	}
	for _, h := range hosts[:max(0, min(len(hosts), most))] {
		spare -= float64(h.Size.MilliCPU)
		if spare < float64(reserveHosts*h.Size.MilliCPU) {
			break
		}
		given = append(given, h)
	}
	return given
}
