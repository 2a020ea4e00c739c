package mover

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"auburnglade.example/glade/internal/hostrecord"
)

// census counts the hosts of each pool, where a host on its way counts for the
// pool it is going to.
type census struct {
	input Input
	sizes map[string]int
	// members counts the hosts a pool has or is getting, less those that have
	// been failed or missing for longer than the hold.
	members map[string]int
	// inZone and inRack count the same hosts by pool and failure domain.
	inZone, inRack map[string]map[string]int
	// movable lists by pool and zone the hosts that may be given away.
	movable map[string]map[string][]Host
	// incoming lists by pool the hosts on their way to it.
	incoming map[string][]Host
	zones    []string
	// moving counts the hosts in a move of their own.
	moving int
}

func newCensus(input Input) *census {
	c := &census{
		input: input, sizes: make(map[string]int), members: make(map[string]int),
		inZone: make(map[string]map[string]int), inRack: make(map[string]map[string]int),
		movable: make(map[string]map[string][]Host), incoming: make(map[string][]Host),
	}
	for name, pool := range input.Pools {
		c.sizes[name] = pool.Size
		c.inZone[name], c.inRack[name] = make(map[string]int), make(map[string]int)
	}
	zones := make(map[string]bool)
	for _, host := range input.Hosts {
		if host.Zone != "" {
			zones[host.Zone] = true
		}
		c.count(host)
	}
	c.zones = slices.Sorted(maps.Keys(zones))
	return c
}

func (c *census) count(host Host) {
	if !host.HasRecord {
		if host.Live {
			c.offer(noPool, host)
		}
		return
	}
	destination := c.destination(host.Record)
	if destination != host.Record.Pool {
		c.incoming[destination] = append(c.incoming[destination], host)
		if OutForMove(host.Record) {
			c.moving++
		}
	}
	lost := host.missing() && c.input.ReasonAges.Unavailable[host.Name] >= c.input.StabilizationWindow
	broken := host.Record.Phase == hostrecord.Failed && c.input.ReasonAges.Unavailable[host.Name] >= c.input.StabilizationWindow
	if lost || broken {
		return
	}
	c.place(destination, host)
	if host.Live && host.Record.Phase == hostrecord.Serving && destination == host.Record.Pool {
		c.offer(destination, host)
	}
}

// destination is the pool a host will be in once nothing is under way. A host
// bound for a pool that has been removed stays where it is.
func (c *census) destination(r hostrecord.Record) string {
	if r.NextPool != "" && (c.exists(r.NextPool) || r.Phase == hostrecord.Serving) {
		return r.NextPool
	}
	return r.Pool
}

func (c *census) exists(pool string) bool { return c.input.Pools[pool] != nil }

func (c *census) place(pool string, host Host) {
	c.members[pool]++
	if c.inZone[pool] == nil {
		c.inZone[pool], c.inRack[pool] = make(map[string]int), make(map[string]int)
	}
	c.inZone[pool][host.Zone]++
	c.inRack[pool][host.Rack]++
}

func (c *census) offer(pool string, host Host) {
	if c.movable[pool] == nil {
		c.movable[pool] = make(map[string][]Host)
	}
	c.movable[pool][host.Zone] = append(c.movable[pool][host.Zone], host)
}

func (c *census) offered(group string) int {
	total := 0
	for _, hosts := range c.movable[group] {
		total += len(hosts)
	}
	return total
}

// sortOffers puts the hosts to give away first at the front: those that a wave
// drains anyway, then those in the rack that the pool leans on most.
func (c *census) sortOffers(pool, zone string) []Host {
	offers := c.movable[pool][zone]
	racks := c.inRack[pool]
	sort.Slice(offers, func(i, j int) bool {
		a, b := offers[i], offers[j]
		if a.MaintenanceDue != b.MaintenanceDue {
			return a.MaintenanceDue
		}
		if racks[a.Rack] != racks[b.Rack] {
			return racks[a.Rack] > racks[b.Rack]
		}
		return a.Name < b.Name
	})
	return offers
}

func (c *census) why(pool string) string {
	return fmt.Sprintf("pool has %d of %d hosts", c.members[pool], c.sizes[pool])
}

// allowedZones returns the zones with hosts that the pool may have hosts in.
func (c *census) allowedZones(pool string) []string {
	spec := c.input.Pools[pool]
	if len(spec.Zones) == 0 {
		return c.zones
	}
	return slices.DeleteFunc(slices.Clone(c.zones), func(zone string) bool {
		return !slices.Contains(spec.Zones, zone)
	})
}

// evenShare is how many hosts a pool of its size should have in one zone.
func (c *census) evenShare(pool string) int {
	zones := len(c.zones)
	if c.exists(pool) {
		zones = len(c.allowedZones(pool))
	}
	if zones == 0 {
		return 0
	}
	return (c.sizes[pool] + zones - 1) / zones
}

// rackRoom is how many hosts on offer in a zone the pool may take with its
// bound per rack kept.
func (c *census) rackRoom(pool, zone string) int {
	bound := c.input.Pools[pool].MaxPerRack
	if bound == 0 {
		return len(c.input.Hosts)
	}
	offered := make(map[string]int)
	for _, zones := range c.movable {
		for _, host := range zones[zone] {
			offered[host.Rack]++
		}
	}
	room := 0
	for rack, hosts := range offered {
		room += min(hosts, max(0, bound-c.inRack[pool][rack]))
	}
	return room
}

// settle counts a chosen host for its new pool.
func (c *census) settle(chosen pick) {
	if chosen.from != noPool {
		c.members[chosen.from]--
		c.inZone[chosen.from][chosen.host.Zone]--
		c.inRack[chosen.from][chosen.host.Rack]--
	}
	c.place(chosen.to, chosen.host)
}
