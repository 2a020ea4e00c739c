package hostmanager

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PoolView is the input of move planning for one pool.
type PoolView struct {
	Name string
	// Spare is set if the pool's hosts are switched off and cost nothing.
	Spare bool
	// Load is valid if Known is set: the pool's holder has replied.
	Load  Load
	Known bool
	// Hosts are the hosts that can be moved: they are up and have no operation
	// in progress.
	Hosts []Host
	// BurstLikelihood is how likely the pool has the next demand burst, relative
	// to the other pools. If no pool has a value, all are equally likely.
	BurstLikelihood float64
	// Incoming is how many hosts are on their way to the pool.
	Incoming int
	// BurstNeed is what an active demand burst needs in millicores, without
	// long-running tasks; zero if none is active.
	BurstNeed float64
	// BurstLeft is how long an active demand burst is expected to go on.
	BurstLeft time.Duration
	// LargestBurst is the offered load of the largest recent demand burst of any pool in
	// millicores, zero if it is unknown.
	LargestBurst float64
	// ReportAge is how old Load is.
	ReportAge time.Duration
}

// Move moves a host to another pool.
type Move struct {
	Host Host
	To   string
	// Busy is set if tasks run on the host, which has to be drained first.
	Busy   bool
	Reason Reason
}

const (
	// reserveHosts is how many hosts beyond its need a pool keeps when it gives
	// hosts away, since its need changes within a second.
	reserveHosts = 1
	// retainFactor times the offered load is the capacity that a pool keeps for it.
	retainFactor = 1.25
	// requestFactor times its capacity is what a pool must need before it gets
	// hosts: a smaller excess has ended before a host arrives.
	requestFactor = 1.05
	// requestSurge times its need is the capacity that a pool short of hosts
	// requests. Demand that exceeds a pool's capacity goes on growing while the hosts
	// for it arrive.
	requestSurge = 3
	// minLevelGap is by how many hosts the free capacity of two pools must differ
	// before a host is moved to level them, or levelGapShare of all hosts where
	// that is more. Free capacity changes faster than a host moves, and each move
	// takes a host out of use.
	minLevelGap   = 6
	levelGapShare = 0.03
)

// need is the capacity that the pool can use right now, in millicores: the offered
// load, or what its accepted jobs need to meet their deadlines.
func (p *PoolView) need() float64 {
	offered := float64(p.Load.Offered)
	if p.BurstNeed > 0 {
		offered = p.BurstNeed
	}
	return float64(p.Load.LongRunning) + max(offered, float64(p.Load.DeadlineNeed))
}

// retained is the capacity that the pool doesn't give away, in millicores.
func (p *PoolView) retained() float64 {
	if p.BurstNeed > 0 {
		return p.need()
	}
	return float64(p.Load.LongRunning) + max(retainFactor*float64(p.Load.Offered), float64(p.Load.DeadlineNeed))
}

// minSchedulable is how many schedulable hosts a pool needs at least, however low
// its load. Long-running tasks that may not share a host can leave a draining host
// only if another host is left for them.
func (l Load) minSchedulable() int { return l.MinHosts + reserveHosts }

// needsHosts reports whether the pool may need hosts.
func (p *PoolView) needsHosts() bool {
	return p.need() > requestFactor*float64(p.Load.Capacity) || p.Load.schedulable() < p.Load.minSchedulable()
}

// hostCPU is the mean capacity of the pool's schedulable hosts, in millicores. mean
// is used for a pool that has none: a pool that lost its last host has to get
// others like any other pool.
func (p *PoolView) hostCPU(mean float64) float64 {
	if count := p.Load.schedulable(); count > 0 {
		return float64(p.Load.Capacity) / float64(count)
	}
	return mean
}

// expectedCapacity is the pool's capacity with its incoming hosts, in millicores.
func (p *PoolView) expectedCapacity(mean float64) float64 {
	return float64(p.Load.Capacity) + p.hostCPU(mean)*float64(p.Incoming)
}

// shortage is what the pool requests beyond its capacity and its incoming hosts,
// in millicores.
func (p *PoolView) shortage(mean float64) float64 {
	capacity, shortage := p.expectedCapacity(mean), 0.0
	if p.need() > requestFactor*capacity {
		shortage = requestSurge*p.need() - capacity
	}
	if missing := p.Load.minSchedulable() - p.Load.schedulable() - p.Incoming; missing > 0 {
		shortage = max(shortage, p.hostCPU(mean)*float64(missing))
	}
	return shortage
}

// unregistered reports whether the pool has hosts, none of which its holder has
// registered: hosts register some seconds after they start.
func (p *PoolView) unregistered() bool { return len(p.Load.Hosts) == 0 && len(p.Hosts) > 0 }

// meanHostCPU is the mean size of the hosts that can be moved, in millicores.
func meanHostCPU(pools []PoolView) float64 {
	total, count := 0, 0
	for i := range pools {
		for _, h := range pools[i].Hosts {
			total += h.Resources.MilliCPU
			count++
		}
	}
	return float64(total) / float64(max(1, count))
}

// PlanMoves plans the moves of hosts between pools. Pools that are short of hosts
// get them from the spare pools first, then from the pools with the most free
// capacity. The free capacity left after that is levelled over the pools, since it
// is unknown which of them will have more work next, and a move takes timeToMove.
func PlanMoves(pools []PoolView, allowed func(h Host, pool string) bool) []Move {
	m := newMovePlanner(pools, allowed)
	m.planIdle()
	return m.moves
}

// Allocation selects how hosts are allocated to pools that are short of some.
type Allocation string

// Ways to allocate hosts.
const (
	// AllocateByValue moves hosts to where they bring the most, also busy ones.
	AllocateByValue Allocation = "value"
	// AllocateByNeed moves only idle hosts.
	AllocateByNeed Allocation = "need"
)

// planMoves plans moves as selected; the default is by need.
func (a Allocation) planMoves(pools []PoolView, allowed func(h Host, pool string) bool) []Move {
	if a == AllocateByValue {
		return PlanMovesByValue(pools, allowed)
	}
	return PlanMoves(pools, allowed)
}

// PlanMovesByValue is like PlanMoves, and then gives pools that are still short the hosts
// that bring more there, also busy ones.
func PlanMovesByValue(pools []PoolView, allowed func(h Host, pool string) bool) []Move {
	m := newMovePlanner(pools, allowed)
	m.planIdle()
	newAllocator(m).allocate()
	return m.moves
}

// planIdle plans the moves of idle hosts.
func (m *movePlanner) planIdle() {
	m.fillShortages()
	m.levelFree()
}

// movePlanner plans moves between the pools that can give hosts and those that
// need some.
type movePlanner struct {
	allowed func(h Host, pool string) bool
	pools   []*plannedPool
	moves   []Move
	// meanHostCPU is the mean size of the hosts that can be moved, in millicores.
	meanHostCPU float64
}

// plannedPool is a pool with the moves planned so far applied, in millicores.
type plannedPool struct {
	*PoolView
	capacity, shortage float64
	// needed and retainedCPU are need and retained, computed once.
	needed, retainedCPU float64
	// movable are the hosts that the pool can give away, the cheapest first.
	movable []Host
}

func newMovePlanner(pools []PoolView, allowed func(h Host, pool string) bool) *movePlanner {
	mean := meanHostCPU(pools)
	m := &movePlanner{allowed: allowed, meanHostCPU: mean}
	for i := range pools {
		p := &pools[i]
		planned := &plannedPool{PoolView: p, capacity: p.expectedCapacity(mean), needed: p.need(), retainedCPU: p.retained()}
		switch {
		case p.Spare:
			planned.movable = slices.SortedFunc(slices.Values(p.Hosts), byMoveCost)
		case p.Known:
			planned.movable = p.freeHosts()
			if !p.unregistered() {
				planned.shortage = p.shortage(mean)
			}
		}
		m.pools = append(m.pools, planned)
	}
	return m
}

// freeCPU is the pool's capacity beyond what it retains.
func (p *plannedPool) freeCPU() float64 { return p.capacity - p.retainedCPU }

// likelihood is how likely the pool has the next demand burst.
func (p *plannedPool) likelihood() float64 {
	if p.BurstLikelihood == 0 {
		return 1
	}
	return p.BurstLikelihood
}

// canReceive reports whether the pool can get hosts by value or as free capacity is
// levelled.
func (p *plannedPool) canReceive() bool { return p.Known && !p.Spare && !p.unregistered() }

// fillShortages moves hosts to the pools that are short of some. Each goes to the
// pool with the least capacity relative to its need.
func (m *movePlanner) fillShortages() {
	for {
		to := m.neediest()
		if to == nil {
			return
		}
		from := m.bestDonor(to, func(from *plannedPool) bool { return from.shortage <= 0 })
		if from == nil {
			to.shortage = 0
			continue
		}
		m.moveOne(to, from, ReasonShortage)
	}
}

func (m *movePlanner) neediest() (to *plannedPool) {
	for _, p := range m.pools {
		if p.shortage > 0 && (to == nil || p.capacity*to.needed < to.capacity*p.needed) {
			to = p
		}
	}
	return to
}

// bestDonor returns the best of the pools that may give an idle host to a pool: a spare
// pool, or the one with the most free capacity. It is nil if no pool may.
func (m *movePlanner) bestDonor(to *plannedPool, mayGive func(from *plannedPool) bool) (best *plannedPool) {
	for _, from := range m.pools {
		if from == to || len(from.movable) == 0 || best != nil && !from.betterDonor(best) || !mayGive(from) {
			continue
		}
		if m.firstAllowed(from.movable, to.Name) >= 0 {
			best = from
		}
	}
	return best
}

// betterDonor reports whether the pool gives hosts before another one.
func (p *plannedPool) betterDonor(other *plannedPool) bool {
	if p.Spare != other.Spare {
		return p.Spare
	}
	return p.freeCPU() > other.freeCPU()
}

// firstAllowed returns the index of the first host that may move to a pool, or -1.
func (m *movePlanner) firstAllowed(hosts []Host, pool string) int {
	return slices.IndexFunc(hosts, func(h Host) bool { return m.allowed(h, pool) })
}

// moveOne moves one idle host to a pool, and reports whether the donor had one.
func (m *movePlanner) moveOne(to, from *plannedPool, reason Reason) bool {
	i := m.firstAllowed(from.movable, to.Name)
	if i < 0 {
		return false
	}
	h := from.movable[i]
	if i == 0 {
		from.movable = from.movable[1:]
	} else {
		from.movable = slices.Delete(from.movable, i, i+1)
	}
	m.transfer(from, to, Move{Host: h, To: to.Name, Reason: reason})
	return true
}

// receives reports whether a pool gets hosts by the moves planned so far. What it gives
// would be missing until they arrive.
func (m *movePlanner) receives(pool string) bool {
	return slices.ContainsFunc(m.moves, func(move Move) bool { return move.To == pool })
}

// promised returns the hosts that are to move, by name.
func (m *movePlanner) promised() map[string]bool {
	names := make(map[string]bool, len(m.moves))
	for _, move := range m.moves {
		names[move.Host.Name] = true
	}
	return names
}

// transfer adds a move and applies it to the pools' capacities.
func (m *movePlanner) transfer(from, to *plannedPool, move Move) {
	m.moves = append(m.moves, move)
	size := float64(move.Host.Resources.MilliCPU)
	from.capacity -= size
	to.capacity += size
	to.shortage -= size
}

// allReported reports whether the needs of all pools are known. After the loss of
// all entry hosts, the first pools with a holder would otherwise get hosts that the
// others need a moment later.
func (m *movePlanner) allReported() bool {
	return !slices.ContainsFunc(m.pools, func(p *plannedPool) bool { return !p.Spare && (!p.Known || p.Load.WarmingUp) })
}

// burstCover is the free capacity with which a pool can serve the largest demand burst
// of any pool without further hosts, in millicores. It is infinite while the size of
// bursts is unknown. It answers a fleet with far more room than any burst needs: shares
// of all that room moved hundreds of hosts with each change of the pools' likelihoods.
func (m *movePlanner) burstCover() float64 {
	largest := 0.0
	for _, p := range m.pools {
		largest = max(largest, p.LargestBurst)
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return needFactor * largest
}

// levelFree moves hosts from the pool with the largest excess of free capacity to
// the one with the smallest, until the two differ by less than the gap or the latter can
// serve any burst. Each pool's fair share is proportional to how likely it has the next
// demand burst, since hosts that move only after its start serve nobody meanwhile.
func (m *movePlanner) levelFree() {
	if !m.allReported() {
		return
	}
	cover := m.burstCover()
	total, weights := 0.0, 0.0
	for _, p := range m.pools {
		if p.canReceive() {
			total += max(0, p.freeCPU())
			weights += p.likelihood()
		}
	}
	gap := m.levelGap()
	// excess is a pool's free capacity beyond its fair share.
	excess := func(p *plannedPool) float64 { return p.freeCPU() - total*p.likelihood()/weights }
	for {
		var most, least *plannedPool
		for _, p := range m.pools {
			if !p.canReceive() {
				continue
			}
			if len(p.movable) > 0 && (most == nil || excess(p) > excess(most)) {
				most = p
			}
			if p.freeCPU() < cover && (least == nil || excess(p) < excess(least)) {
				least = p
			}
		}
		if most == nil || least == nil || most == least || excess(most)-excess(least) < gap*float64(most.movable[0].Resources.MilliCPU) {
			return
		}
		if !m.moveOne(least, most, ReasonLevel) {
			return
		}
	}
}

// levelGap is by how many hosts the excess of two pools must differ for a move.
func (m *movePlanner) levelGap() float64 {
	hosts := 0
	for _, p := range m.pools {
		if p.canReceive() {
			hosts += p.Load.schedulable()
		}
	}
	return max(minLevelGap, levelGapShare*float64(hosts))
}

// byMoveCost orders hosts by the cost of giving them to a pool short of hosts.
// Hosts due for maintenance come last, since they can go to maintenance where they
// are idle. Moved first, they would be drained for it in the middle of the burst
// that they were moved for.
func byMoveCost(a, b Host) int {
	return cmp.Or(trueFirst(b.MaintenanceDue, a.MaintenanceDue), cmp.Compare(a.Name, b.Name))
}

// freeHosts returns the idle hosts that a pool can give away, since another pool
// can use them now. A busy host stays until its tasks end: made unschedulable
// earlier, it would be missing here and arrive no sooner. Hosts of long-running
// tasks stay, since a move would end these; so do unschedulable ones, which have an
// operation in progress or are unresponsive and can't be drained. A pool that was
// just taken over keeps half of its hosts: nothing runs there yet, no jobs have been
// submitted, and a demand burst in progress would find it without hosts. If it kept
// all of them, another pool whose demand burst starts would lack them.
func (p *PoolView) freeHosts() []Host {
	loads := p.loadsByWorker()
	free := p.Load.Capacity - p.Load.Used
	var hosts []Host
	for _, h := range p.Hosts {
		if l, known := loads[h.Worker]; known && l.idle() {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, byMoveCost)
	var movable []Host
	limit := p.Load.schedulable() - p.Load.minSchedulable() - reserveHosts
	if p.Load.WarmingUp {
		limit = min(limit, len(p.Hosts)/2)
	}
	for _, h := range hosts[:max(0, min(len(hosts), limit))] {
		free -= h.Resources.MilliCPU
		if free < reserveHosts*h.Resources.MilliCPU {
			break
		}
		movable = append(movable, h)
	}
	return movable
}

// loadsByWorker returns the loads of the pool's hosts by worker.
func (p *PoolView) loadsByWorker() map[string]HostLoad {
	loads := make(map[string]HostLoad, len(p.Load.Hosts))
	for _, h := range p.Load.Hosts {
		loads[h.Worker] = h
	}
	return loads
}
