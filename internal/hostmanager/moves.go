package hostmanager

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
	// BurstLikelihood is how likely its turn of demand is next, against the others; all
	// alike where none has any.
	BurstLikelihood float64
	// Incoming is how many hosts are on their way to it.
	Incoming int
	// BurstNeed is what a turn of demand that is on needs, zero for none; in
	// thousandths of a core and without lasting tasks.
	BurstNeed float64
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
	// keepFactor times what arrives is what a pool keeps for it.
	keepFactor = 1.25
	// askFactor times its capacity is what a pool must need before it gets
	// hosts: less is over before one arrives.
	askFactor = 1.05
	// surge times what it needs is what a pool that lacks hosts asks for. Demand
	// that outgrows a pool goes on growing for some seconds, and a host takes
	// two and a half to come.
	surge = 3
	// levelGap is by how many hosts the free capacity of two pools must differ
	// before a host moves from one to the other, or by levelShare of all hosts
	// where that is more: what a pool has free changes by the tenth of a second,
	// and each move costs a host for two seconds.
	levelGap   = 6
	levelShare = 0.03
)

// need is what a pool can use right now, in thousandths of a core: what arrives,
// or what the jobs that are there need to be done in time.
func (p *PoolView) need() float64 {
	arriving := float64(p.Load.Offered)
	if p.BurstNeed > 0 {
		arriving = p.BurstNeed
	}
	return float64(p.Load.LongRunning) + max(arriving, float64(p.Load.DeadlineNeed))
}

// keeps is what a pool doesn't give away.
func (p *PoolView) keeps() float64 {
	if p.BurstNeed > 0 {
		return p.need()
	}
	return float64(p.Load.LongRunning) + max(keepFactor*float64(p.Load.Offered), float64(p.Load.DeadlineNeed))
}

// leastOpen is how many hosts that take work a pool has however little it has
// to do. Lasting tasks that may not share a host can leave one that is to be
// emptied only if there is another one for them.
func (l Load) leastOpen() int { return l.MinHosts + reserveHosts }

// lacks reports whether the pool may want hosts.
func (p *PoolView) lacks() bool {
	return p.need() > askFactor*float64(p.Load.Capacity) || p.Load.open() < p.Load.leastOpen()
}

// each is the size of one of the pool's hosts. usual is the size of a usual
// one, for a pool that has none: one that lost its last host has to get others
// like any other pool.
func (p *PoolView) each(usual float64) float64 {
	if open := p.Load.open(); open > 0 {
		return float64(p.Load.Capacity) / float64(open)
	}
	return usual
}

// has is the pool's capacity with what is coming.
func (p *PoolView) has(usual float64) float64 {
	return float64(p.Load.Capacity) + p.each(usual)*float64(p.Incoming)
}

// lacking is what the pool wants beyond what it has and what is coming, in
// thousandths of a core.
func (p *PoolView) lacking(usual float64) float64 {
	has, lacking := p.has(usual), 0.0
	if p.need() > askFactor*has {
		lacking = surge*p.need() - has
	}
	if short := p.Load.leastOpen() - p.Load.open() - p.Incoming; short > 0 {
		lacking = max(lacking, p.each(usual)*float64(short))
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

// PlanMoves decides which hosts go where now. Hosts go to pools that lack some,
// from the spare pools first, then from the pools with the most to spare. What
// can be spared after that is spread over the pools, as nobody knows which of
// them will have more to do next, and a host takes two seconds to come.
func PlanMoves(pools []PoolView, allowed func(h Host, pool string) bool) []Move {
	m := newMarket(pools, allowed)
	m.meetNeeds()
	m.level()
	return m.moves
}

// market is who can give hosts and who wants some.
type market struct {
	allowed func(h Host, pool string) bool
	sides   []*side
	moves   []Move
}

// side is a pool as it stands with the moves planned so far, in thousandths of
// a core.
type side struct {
	*PoolView
	has, lacking float64
	// offered are the hosts that it can give, the cheapest first.
	offered []Host
}

func newMarket(pools []PoolView, allowed func(h Host, pool string) bool) *market {
	m := &market{allowed: allowed}
	usual := usualSize(pools)
	for i := range pools {
		p := &pools[i]
		s := &side{PoolView: p, has: p.has(usual)}
		switch {
		case p.Spare:
			s.offered = slices.SortedFunc(slices.Values(p.Hosts), cheapest)
		case p.Known:
			s.offered = p.surplus()
			if !p.unseen() {
				s.lacking = p.lacking(usual)
			}
		}
		m.sides = append(m.sides, s)
	}
	return m
}

// free is what the pool has beyond what it needs.
func (s *side) free() float64 { return s.has - s.keeps() }

// expect is how likely the pool's turn is next.
func (s *side) expect() float64 {
	if s.BurstLikelihood == 0 {
		return 1
	}
	return s.BurstLikelihood
}

// takesPart reports whether a pool can get hosts.
func (s *side) takesPart() bool { return s.Known && !s.Spare && !s.unseen() }

// meetNeeds gives hosts to the pools that lack some, each to the one that has
// least for its need.
func (m *market) meetNeeds() {
	for {
		to := m.neediest()
		if to == nil {
			return
		}
		if !m.give(to, m.givers(to)) {
			to.lacking = 0
		}
	}
}

func (m *market) neediest() (to *side) {
	for _, s := range m.sides {
		if s.lacking > 0 && (to == nil || s.has*to.need() < to.has*s.need()) {
			to = s
		}
	}
	return to
}

// givers are the pools that may give to one, the best first: spare pools, then
// those with most to spare.
func (m *market) givers(to *side) []*side {
	var givers []*side
	for _, s := range m.sides {
		if s != to && s.lacking <= 0 && len(s.offered) > 0 {
			givers = append(givers, s)
		}
	}
	slices.SortStableFunc(givers, func(a, b *side) int {
		return cmp.Or(compareTrue(a.Spare, b.Spare), cmp.Compare(b.free(), a.free()))
	})
	return givers
}

// give moves one host to a pool, and reports whether there was any.
func (m *market) give(to *side, givers []*side) bool {
	for _, from := range givers {
		for i, h := range from.offered {
			if !m.allowed(h, to.Name) {
				continue
			}
			from.offered = slices.Delete(slices.Clone(from.offered), i, i+1)
			m.moves = append(m.moves, Move{h, to.Name})
			size := float64(h.Size.MilliCPU)
			from.has -= size
			to.has += size
			to.lacking -= size
			return true
		}
	}
	return false
}

// settled reports whether all pools say what they need. After all entry hosts
// were lost the first pools that had a holder again were given what the others
// turned out to need a moment later.
func (m *market) settled() bool {
	return !slices.ContainsFunc(m.sides, func(s *side) bool { return !s.Spare && (!s.Known || s.Load.WarmingUp) })
}

// level moves hosts from the pool that has most free beyond its part to the one
// that lacks most of it, until they differ by little. Parts go by how likely a
// pool's turn of demand is next: a host takes two seconds to come.
func (m *market) level() {
	if !m.settled() {
		return
	}
	total, weights := 0.0, 0.0
	for _, s := range m.sides {
		if s.takesPart() {
			total += max(0, s.free())
			weights += s.expect()
		}
	}
	gap := m.levelGap()
	// excess is what a side has free beyond its part.
	excess := func(s *side) float64 { return s.free() - total*s.expect()/weights }
	for {
		var most, least *side
		for _, s := range m.sides {
			if !s.takesPart() {
				continue
			}
			if len(s.offered) > 0 && (most == nil || excess(s) > excess(most)) {
				most = s
			}
			if least == nil || excess(s) < excess(least) {
				least = s
			}
		}
		if most == nil || most == least || excess(most)-excess(least) < gap*float64(most.offered[0].Size.MilliCPU) {
			return
		}
		if !m.give(least, []*side{most}) {
			return
		}
	}
}

// levelGap is by how many hosts two pools must differ to be levelled.
func (m *market) levelGap() float64 {
	hosts := 0
	for _, s := range m.sides {
		if s.takesPart() {
			hosts += s.Load.open()
		}
	}
	return max(levelGap, levelShare*float64(hosts))
}

// cheapest orders hosts by what it costs to give them to a pool that lacks some:
// those due for maintenance come last, since they can go for it where they stand
// idle. Taken as they came, they had to be emptied in the middle of the turn that
// they were sent to.
func cheapest(a, b Host) int {
	return cmp.Or(compareTrue(b.MaintenanceDue, a.MaintenanceDue), cmp.Compare(a.Name, b.Name))
}

// surplus lists the idle hosts that a pool can give away: whatever it may need
// later, they serve another one now. A host that still works stays until it is
// done: closed meanwhile it is missed, and it comes no sooner. Hosts of lasting
// tasks stay, as to move them would take these away; so do closed ones, which
// something is done with, and silent ones, which can't be emptied. A pool that
// was just taken over keeps half: nothing runs there yet and nobody has handed
// anything in, and the turn that it is in would find it without hosts. To keep
// all cost more, where another pool's turn begins.
func (p *PoolView) surplus() []Host {
	load := make(map[string]HostLoad, len(p.Load.Hosts))
	for _, h := range p.Load.Hosts {
		load[h.Worker] = h
	}
	spare := p.Load.Capacity - p.Load.Used
	var hosts []Host
	for _, h := range p.Hosts {
		if l, known := load[h.Worker]; known && l.idle() {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, cheapest)
	var given []Host
	most := p.Load.open() - p.Load.leastOpen() - reserveHosts
	if p.Load.WarmingUp {
		most = min(most, len(p.Hosts)/2)
	}
	for _, h := range hosts[:max(0, min(len(hosts), most))] {
		spare -= h.Size.MilliCPU
		if spare < reserveHosts*h.Size.MilliCPU {
			break
		}
		given = append(given, h)
	}
	return given
}
