package mover

import (
	"fmt"
	"maps"
	"slices"
)

// spreadPools trades hosts for pools that have been in a single zone for the
// stabilization window although they may use others: the loss of that zone would
// take out the whole pool. A trade takes two moves and changes no pool's size, so it
// is made only if the other moves of the plan don't spread the pool.
func (p *planner) spreadPools(picked map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(p.input.Pools)) {
		if p.input.ReasonAges.SingleZone[name] < p.input.StabilizationWindow || !p.hostCounts.inOneZone(name) {
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
			p.hostCounts.applyPick(move)
			p.addMove(move, reason)
		}
	}
}

// inOneZone reports whether a pool of several hosts is in a single zone although it
// may use others.
func (c *hostCounts) inOneZone(pool string) bool {
	return c.members[pool] > 1 && c.zonesUsed(pool) == 1 && len(c.allowedZones(pool)) > 1
}

func (c *hostCounts) zonesUsed(pool string) int {
	used := 0
	for _, hosts := range c.inZone[pool] {
		if hosts > 0 {
			used++
		}
	}
	return used
}

// trade finds a host of the pool and a host of another pool in another zone that can
// be exchanged so that the other pool is still spread afterwards.
func (p *planner) trade(pool string, picked map[string]bool) (give, take pick, found bool) {
	for _, zone := range p.hostCounts.zones {
		for _, mine := range p.offers(pool, zone, picked) {
			for _, other := range slices.Sorted(maps.Keys(p.input.Pools)) {
				if other == pool || !p.hostCounts.allows(other, mine) {
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
	for _, host := range p.hostCounts.sortedMovable(pool, zone) {
		if !picked[host.Name] {
			offers = append(offers, host)
		}
	}
	return offers
}

func (p *planner) counterpart(pool, other string, mine Host, picked map[string]bool) (Host, bool) {
	for _, zone := range p.hostCounts.zones {
		if zone == mine.Zone || !p.hostCounts.spreadAfter(other, zone, mine.Zone) {
			continue
		}
		for _, theirs := range p.offers(other, zone, picked) {
			if p.hostCounts.allows(pool, theirs) {
				return theirs, true
			}
		}
	}
	return Host{}, false
}

// allows reports whether a pool's zones and MaxPerRack allow a host to join.
func (c *hostCounts) allows(pool string, host Host) bool {
	limit := c.input.Pools[pool].MaxPerRack
	for _, zone := range c.allowedZones(pool) {
		if zone == host.Zone {
			return limit == 0 || c.inRack[pool][host.Rack] < limit
		}
	}
	return false
}

// spreadAfter reports whether a pool that exchanges a host in zone from for one in
// zone to is still in more than one zone.
func (c *hostCounts) spreadAfter(pool, from, to string) bool {
	used := c.zonesUsed(pool)
	if c.inZone[pool][from] == 1 {
		used--
	}
	if c.inZone[pool][to] == 0 {
		used++
	}
	return used > 1 || c.members[pool] == 1
}
