package mover

import (
	"fmt"
	"maps"
	"slices"
)

// spread trades hosts for pools that have been in a single zone for the hold
// although they may be in others: the loss of that zone would take all of such
// a pool. A trade costs two moves and leaves every size as it is, so it is made
// only when no move that is needed anyway has spread the pool.
func (p *planner) spread(picked map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(p.input.Pools)) {
		if p.input.ReasonAges.SingleZone[name] < p.input.StabilizationWindow || !p.census.inOneZone(name) {
			continue
		}
		give, take, found := p.trade(name, picked)
		if !found {
			p.plan.Waiting[name] = "all its hosts are in one zone, and no pool can trade one without the same"
			continue
		}
		picked[give.host.Name], picked[take.host.Name] = true, true
		reason := fmt.Sprintf("all hosts of pool %s have been in %s for %s", name, give.host.Zone, p.input.StabilizationWindow)
		for _, move := range []pick{give, take} {
			p.census.settle(move)
			p.begin(move, reason)
		}
	}
}

// inOneZone reports whether a pool of several hosts is in a single zone and
// may be in another.
func (c *census) inOneZone(pool string) bool {
	return c.members[pool] > 1 && c.zonesUsed(pool) == 1 && len(c.allowedZones(pool)) > 1
}

func (c *census) zonesUsed(pool string) int {
	used := 0
	for _, hosts := range c.inZone[pool] {
		if hosts > 0 {
			used++
		}
	}
	return used
}

// trade finds a host of the pool and one of another pool in another zone that
// may change places, with the other pool still spread afterwards.
func (p *planner) trade(pool string, picked map[string]bool) (give, take pick, found bool) {
	for _, zone := range p.census.zones {
		for _, mine := range p.offers(pool, zone, picked) {
			for _, other := range slices.Sorted(maps.Keys(p.input.Pools)) {
				if other == pool || !p.census.allows(other, mine) {
					continue
				}
				if theirs, ok := p.counterpart(pool, other, mine, picked); ok {
					return pick{mine, pool, other}, pick{theirs, other, pool}, true
				}
			}
		}
	}
	return pick{}, pick{}, false
}

func (p *planner) offers(pool, zone string, picked map[string]bool) []Host {
	var offers []Host
	for _, host := range p.census.sortOffers(pool, zone) {
		if !picked[host.Name] {
			offers = append(offers, host)
		}
	}
	return offers
}

func (p *planner) counterpart(pool, other string, mine Host, picked map[string]bool) (Host, bool) {
	for _, zone := range p.census.zones {
		if zone == mine.Zone || !p.census.spreadAfter(other, zone, mine.Zone) {
			continue
		}
		for _, theirs := range p.offers(other, zone, picked) {
			if p.census.allows(pool, theirs) {
				return theirs, true
			}
		}
	}
	return Host{}, false
}

// allows reports whether a pool's zones and bound per rack let a host join.
func (c *census) allows(pool string, host Host) bool {
	bound := c.input.Pools[pool].MaxPerRack
	for _, zone := range c.allowedZones(pool) {
		if zone == host.Zone {
			return bound == 0 || c.inRack[pool][host.Rack] < bound
		}
	}
	return false
}

// spreadAfter reports whether a pool that gives a host in one zone for one in
// another isn't left in a single zone.
func (c *census) spreadAfter(pool, from, to string) bool {
	used := c.zonesUsed(pool)
	if c.inZone[pool][from] == 1 {
		used--
	}
	if c.inZone[pool][to] == 0 {
		used++
	}
	return used > 1 || c.members[pool] == 1
}
