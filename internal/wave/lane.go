package wave

import (
	"cmp"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// lane is one pool's part of a wave: its hosts that wait, by rack.
type lane struct {
	pool  string
	racks []*rackQueue
	// zoneAvailable counts the pool's available hosts by zone.
	zoneAvailable map[string]int
	margin        record.FailureMargin
	// out and visited count its hosts that the wave has out and is done with;
	// safe is how many of its hosts the budgets would let out at once.
	out, visited, waiting, safe int
	// refused says that the gate refused a host of the lane last time.
	refused bool
	// services are those that the pool's hosts carry, and most bounds the hosts
	// out at once where there are none, and so no budget.
	services []string
	total    int
	most     int
}

// unbudgetedPart is the part of a pool without services that may be out at
// once: a quarter of its room for jobs.
const unbudgetedPart = 4

// rackQueue is the hosts of one rack that wait, in order.
type rackQueue struct {
	zone, rack string
	hosts      []Host
	// taken is how many of them were picked in this plan.
	taken     int
	available int
	// begun says that the wave has been at the rack, zoneBegun at its zone.
	begun, zoneBegun bool
	// held racks come last: hosts of theirs failed in this wave. Before them
	// come the hosts that leave the pool on their return: they take room for
	// others along.
	held, leaving bool
}

func (r *rackQueue) lateness() int { return 2*yes(r.held) + yes(r.leaving) }

// domainKey is a pool's part of a rack or zone.
type domainKey struct {
	pool, domain string
}

// queueKey tells the queues of a plan apart.
type queueKey struct {
	domainKey
	leaving bool
}

func lanesOf(p *planner, book *budget.Tracker) []*lane {
	lanes := make(map[string]*lane)
	racks := make(map[queueKey]*rackQueue)
	begun := make(map[domainKey]bool)
	for _, host := range p.input.Hosts {
		l := lanes[host.Record.Pool]
		if l == nil {
			l = &lane{
				pool: host.Record.Pool, zoneAvailable: make(map[string]int),
				services: book.Services(host.Name), margin: book.Margin(host.Name),
			}
			lanes[host.Record.Pool] = l
		}
		at := domainKey{l.pool, rackKey(host.Zone, host.Rack)}
		leaving := host.Record.NextPool != "" && host.Record.NextPool != l.pool
		r := racks[queueKey{at, leaving}]
		if r == nil {
			r = &rackQueue{zone: host.Zone, rack: host.Rack, leaving: leaving}
			racks[queueKey{at, leaving}] = r
			l.racks = append(l.racks, r)
		}
		l.count(r, host)
		switch p.place(host) {
		case placeWaiting:
			l.waiting++
			l.refused = l.refused || host.Refusal != ""
			r.hosts = append(r.hosts, host)
		case placeOut:
			l.out++
			begun[at], begun[domainKey{l.pool, host.Zone}] = true, true
		case placeMaintained, placeFailed:
			l.visited++
			begun[at], begun[domainKey{l.pool, host.Zone}] = true, true
		}
	}
	return p.ordered(lanes, begun)
}

func (l *lane) count(r *rackQueue, host Host) {
	l.total++
	if host.Record.Phase == hostrecord.Serving && !host.Down {
		r.available++
		l.zoneAvailable[host.Zone]++
	}
}

// ordered sorts lanes and their racks. A wave that counts speed most goes at
// the lane with the most left first, one that counts buffer cost finishes the
// lanes it has begun.
func (p *planner) ordered(lanes map[string]*lane, begun map[domainKey]bool) []*lane {
	held := p.history.heldRacks()
	p.pools = len(lanes)
	var all []*lane
	for _, l := range lanes {
		if l.waiting+l.out == 0 {
			continue
		}
		l.most = l.total
		if len(l.services) == 0 {
			l.most = (l.total + unbudgetedPart - 1) / unbudgetedPart
		}
		for _, r := range l.racks {
			slices.SortFunc(r.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
			r.begun = begun[domainKey{l.pool, rackKey(r.zone, r.rack)}]
			r.zoneBegun = begun[domainKey{l.pool, r.zone}]
			r.held = held[rackKey(r.zone, r.rack)]
		}
		slices.SortFunc(l.racks, compareRacks)
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *lane) int {
		byNeed := cmp.Compare(b.waiting, a.waiting)
		if !p.spread() {
			byNeed = cmp.Compare(yes(b.active()), yes(a.active()))
		}
		return cmp.Or(cmp.Compare(yes(a.refused), yes(b.refused)), byNeed, cmp.Compare(a.pool, b.pool))
	})
	return all
}

func (l *lane) active() bool { return l.out > 0 || l.visited > 0 }

// compareRacks finishes a rack and a zone before it begins another, so that
// hosts that are out share the fate of few failure domains.
func compareRacks(a, b *rackQueue) int {
	return cmp.Or(
		cmp.Compare(a.lateness(), b.lateness()),
		cmp.Compare(yes(b.begun), yes(a.begun)),
		cmp.Compare(yes(b.zoneBegun), yes(a.zoneBegun)),
		cmp.Compare(a.zone, b.zone),
		cmp.Compare(a.rack, b.rack))
}

func yes(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pick takes the next host of the lane that the budgets let out.
func (l *lane) pick(book *budget.Tracker) (Host, bool) {
	if l.out+l.picked() >= l.most {
		return Host{}, false
	}
	queues := l.racks
	if l.margin == record.MarginZone || l.margin == record.MarginRack {
		queues = l.fullestFirst()
	}
	for _, r := range queues {
		if r.taken == len(r.hosts) {
			continue
		}
		host := r.hosts[r.taken]
		if book.Has(host.Name) && !book.TryMarkOut(host.Name).Allowed {
			continue
		}
		r.taken++
		r.available--
		l.zoneAvailable[r.zone]--
		return host, true
	}
	return Host{}, false
}

// fullestFirst puts the failure domain first whose loss would be the worst:
// taking a host from it makes the reserve for that loss smaller, so that the
// same budget lets more hosts out.
func (l *lane) fullestFirst() []*rackQueue {
	size := func(r *rackQueue) int {
		if l.margin == record.MarginZone {
			return l.zoneAvailable[r.zone]
		}
		return r.available
	}
	sorted := slices.Clone(l.racks)
	slices.SortStableFunc(sorted, func(a, b *rackQueue) int {
		return cmp.Or(cmp.Compare(a.lateness(), b.lateness()), cmp.Compare(size(b), size(a)))
	})
	return sorted
}

// picked returns how many hosts were picked in this plan.
func (l *lane) picked() int {
	n := 0
	for _, r := range l.racks {
		n += r.taken
	}
	return n
}

// putBack undoes every pick.
func (l *lane) putBack() {
	for _, r := range l.racks {
		r.available += r.taken
		l.zoneAvailable[r.zone] += r.taken
		r.taken = 0
	}
}
