package wave

import (
	"cmp"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// poolPlan is the part of a wave that concerns one pool: its waiting hosts by
// rack.
type poolPlan struct {
	pool  string
	racks []*rackQueue
	// zoneAvailable counts the pool's available hosts by zone.
	zoneAvailable map[string]int
	margin        record.FailureMargin
	// out counts the pool's hosts that the wave has out, completed those it has
	// maintained or marked failed. budgetLimit is how many of its hosts the
	// budgets would allow out at once.
	out, completed, waiting, budgetLimit int
	// refused is set when the grant store last refused a host of the pool.
	refused bool
	// services are those that run on the pool's hosts. maxOut limits the hosts out
	// at once; it matters for pools without services, which have no budget.
	services []string
	total    int
	maxOut   int
}

// unbudgetedDivisor limits how much of a pool without services may be out at
// once: a quarter of its capacity for jobs.
const unbudgetedDivisor = 4

// rackQueue holds the waiting hosts of one rack in order.
type rackQueue struct {
	zone, rack string
	hosts      []Host
	// picked is how many of them were picked in this plan.
	picked    int
	available int
	// started is set when the wave has already taken out a host of the rack,
	// zoneStarted when it has taken out one of the zone.
	started, zoneStarted bool
	// deferred racks come last, because several of their hosts failed in this
	// wave. Hosts that change pool on their return come just before: their move
	// reduces the capacity that lets the pool's other hosts be taken out.
	deferred, changingPool bool
}

func (rack *rackQueue) deferRank() int {
	return 2*boolToInt(rack.deferred) + boolToInt(rack.changingPool)
}

// domainKey identifies the part of a rack or zone that belongs to one pool.
type domainKey struct {
	pool, domain string
}

// queueKey identifies a rack queue within a plan.
type queueKey struct {
	domainKey
	changingPool bool
}

func newPoolPlans(p *planner, tracker *budget.Tracker) []*poolPlan {
	plans := make(map[string]*poolPlan)
	queues := make(map[queueKey]*rackQueue)
	started := make(map[domainKey]bool)
	for _, host := range p.input.Hosts {
		pp := plans[host.Record.Pool]
		if pp == nil {
			pp = &poolPlan{
				pool: host.Record.Pool, zoneAvailable: make(map[string]int),
				services: tracker.Services(host.Name), margin: tracker.Margin(host.Name),
			}
			plans[host.Record.Pool] = pp
		}
		key := domainKey{pp.pool, rackKey(host.Zone, host.Rack)}
		changingPool := host.Record.NextPool != "" && host.Record.NextPool != pp.pool
		rack := queues[queueKey{key, changingPool}]
		if rack == nil {
			rack = &rackQueue{zone: host.Zone, rack: host.Rack, changingPool: changingPool}
			queues[queueKey{key, changingPool}] = rack
			pp.racks = append(pp.racks, rack)
		}
		pp.count(rack, host)
		switch p.stateOf(host) {
		case stateWaiting:
			pp.waiting++
			pp.refused = pp.refused || host.Refusal != ""
			rack.hosts = append(rack.hosts, host)
		case stateOut:
			pp.out++
			started[key], started[domainKey{pp.pool, host.Zone}] = true, true
		case stateMaintained, stateFailed:
			pp.completed++
			started[key], started[domainKey{pp.pool, host.Zone}] = true, true
		}
	}
	return p.sortPoolPlans(plans, started)
}

func (pp *poolPlan) count(rack *rackQueue, host Host) {
	pp.total++
	if host.Record.Phase == hostrecord.Serving && !host.Down {
		rack.available++
		pp.zoneAvailable[host.Zone]++
	}
}

// sortPoolPlans sorts the pools and their racks. If speed weighs most, the pool
// with the most waiting hosts comes first; if buffer cost does, the pools that
// the wave has started come first.
func (p *planner) sortPoolPlans(plans map[string]*poolPlan, started map[domainKey]bool) []*poolPlan {
	deferred := p.history.deferredRacks()
	p.poolCount = len(plans)
	var sorted []*poolPlan
	for _, pp := range plans {
		if pp.waiting+pp.out == 0 {
			continue
		}
		pp.maxOut = pp.total
		if len(pp.services) == 0 {
			pp.maxOut = (pp.total + unbudgetedDivisor - 1) / unbudgetedDivisor
		}
		for _, rack := range pp.racks {
			slices.SortFunc(rack.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
			rack.started = started[domainKey{pp.pool, rackKey(rack.zone, rack.rack)}]
			rack.zoneStarted = started[domainKey{pp.pool, rack.zone}]
			rack.deferred = deferred[rackKey(rack.zone, rack.rack)]
		}
		slices.SortFunc(pp.racks, compareRacks)
		sorted = append(sorted, pp)
	}
	slices.SortFunc(sorted, func(a, b *poolPlan) int {
		byPriority := cmp.Compare(b.waiting, a.waiting)
		if !p.concurrentPools() {
			byPriority = cmp.Compare(boolToInt(b.active()), boolToInt(a.active()))
		}
		return cmp.Or(cmp.Compare(boolToInt(a.refused), boolToInt(b.refused)), byPriority, cmp.Compare(a.pool, b.pool))
	})
	return sorted
}

func (pp *poolPlan) active() bool { return pp.out > 0 || pp.completed > 0 }

// compareRacks orders racks so that a wave finishes a rack and a zone before it
// starts another: the hosts that are out then span few failure domains.
func compareRacks(a, b *rackQueue) int {
	return cmp.Or(
		cmp.Compare(a.deferRank(), b.deferRank()),
		cmp.Compare(boolToInt(b.started), boolToInt(a.started)),
		cmp.Compare(boolToInt(b.zoneStarted), boolToInt(a.zoneStarted)),
		cmp.Compare(a.zone, b.zone),
		cmp.Compare(a.rack, b.rack))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pick marks out and returns the pool's next host that the budgets allow to be
// taken out. It returns false if there is none.
func (pp *poolPlan) pick(tracker *budget.Tracker) (Host, bool) {
	if pp.out+pp.picked() >= pp.maxOut {
		return Host{}, false
	}
	queues := pp.racks
	if pp.margin == record.MarginZone || pp.margin == record.MarginRack {
		queues = pp.racksByLargestDomain()
	}
	for _, rack := range queues {
		if rack.picked == len(rack.hosts) {
			continue
		}
		host := rack.hosts[rack.picked]
		if tracker.Has(host.Name) && !tracker.TryMarkOut(host.Name).Allowed {
			continue
		}
		rack.picked++
		rack.available--
		pp.zoneAvailable[rack.zone]--
		return host, true
	}
	return Host{}, false
}

// racksByLargestDomain orders racks by the size of their failure domain, largest
// first. Taking a host out of the largest domain reduces the reserve for its
// loss, so that the same budget allows more hosts out.
func (pp *poolPlan) racksByLargestDomain() []*rackQueue {
	size := func(rack *rackQueue) int {
		if pp.margin == record.MarginZone {
			return pp.zoneAvailable[rack.zone]
		}
		return rack.available
	}
	sorted := slices.Clone(pp.racks)
	slices.SortStableFunc(sorted, func(a, b *rackQueue) int {
		return cmp.Or(cmp.Compare(a.deferRank(), b.deferRank()), cmp.Compare(size(b), size(a)))
	})
	return sorted
}

// picked returns how many hosts were picked in this plan.
func (pp *poolPlan) picked() int {
	n := 0
	for _, rack := range pp.racks {
		n += rack.picked
	}
	return n
}

// resetPicks reverts every pick.
func (pp *poolPlan) resetPicks() {
	for _, rack := range pp.racks {
		rack.available += rack.picked
		pp.zoneAvailable[rack.zone] += rack.picked
		rack.picked = 0
	}
}
