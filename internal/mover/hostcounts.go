package mover

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"auburnglade.example/glade/internal/hostrecord"
)

// hostCounts counts the hosts of each pool. A host in a move counts for its
// destination pool.
type hostCounts struct {
	input Input
	sizes map[string]int
	// members counts the hosts a pool has or is receiving, except those that
	// have been failed or missing for at least the stabilization window.
	members map[string]int
	// inZone and inRack count the same hosts by pool and failure domain.
	inZone, inRack map[string]map[string]int
	// movable lists by pool and zone the hosts that may be moved or assigned.
	movable map[string]map[string][]Host
	// incoming lists by pool the hosts that are planned to move or moving to it.
	incoming map[string][]Host
	zones    []string
	// moving counts the hosts in a move without a wave.
	moving int
}

func newHostCounts(input Input) *hostCounts {
	c := &hostCounts{
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
		c.add(host)
	}
	c.zones = slices.Sorted(maps.Keys(zones))
	return c
}

func (c *hostCounts) add(host Host) {
	if !host.HasRecord {
		if host.Live {
			c.addMovable(noPool, host)
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
	failed := host.Record.Phase == hostrecord.Failed && c.input.ReasonAges.Unavailable[host.Name] >= c.input.StabilizationWindow
	if lost || failed {
		return
	}
	c.addMember(destination, host)
	if host.Live && host.Record.Phase == hostrecord.Serving && destination == host.Record.Pool {
		c.addMovable(destination, host)
	}
}

// destination returns the pool a host is in after its current move. A host that has
// started a move to a pool that no longer exists stays in its pool.
func (c *hostCounts) destination(r hostrecord.Record) string {
	if r.NextPool != "" && (c.exists(r.NextPool) || r.Phase == hostrecord.Serving) {
		return r.NextPool
	}
	return r.Pool
}

func (c *hostCounts) exists(pool string) bool { return c.input.Pools[pool] != nil }

func (c *hostCounts) addMember(pool string, host Host) {
	c.members[pool]++
	if c.inZone[pool] == nil {
		c.inZone[pool], c.inRack[pool] = make(map[string]int), make(map[string]int)
	}
	c.inZone[pool][host.Zone]++
	c.inRack[pool][host.Rack]++
}

func (c *hostCounts) addMovable(pool string, host Host) {
	if c.movable[pool] == nil {
		c.movable[pool] = make(map[string][]Host)
	}
	c.movable[pool][host.Zone] = append(c.movable[pool][host.Zone], host)
}

func (c *hostCounts) movableCount(group string) int {
	total := 0
	for _, hosts := range c.movable[group] {
		total += len(hosts)
	}
	return total
}

// sortedMovable returns the movable hosts in order of preference for a move: those
// with maintenance due first, then those in racks with most of the pool's hosts.
func (c *hostCounts) sortedMovable(pool, zone string) []Host {
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

func (c *hostCounts) sizeReason(pool string) string {
	return fmt.Sprintf("pool has %d of %d hosts", c.members[pool], c.sizes[pool])
}

// allowedZones returns the zones of the fleet that the pool may have hosts in.
func (c *hostCounts) allowedZones(pool string) []string {
	spec := c.input.Pools[pool]
	if len(spec.Zones) == 0 {
		return c.zones
	}
	return slices.DeleteFunc(slices.Clone(c.zones), func(zone string) bool {
		return !slices.Contains(spec.Zones, zone)
	})
}

// evenShare returns the number of hosts per zone that spreads a pool evenly, rounded
// up.
func (c *hostCounts) evenShare(pool string) int {
	zones := len(c.zones)
	if c.exists(pool) {
		zones = len(c.allowedZones(pool))
	}
	if zones == 0 {
		return 0
	}
	return (c.sizes[pool] + zones - 1) / zones
}

// rackRoom returns how many movable hosts of a zone the pool may receive within its
// MaxPerRack.
func (c *hostCounts) rackRoom(pool, zone string) int {
	limit := c.input.Pools[pool].MaxPerRack
	if limit == 0 {
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
		room += min(hosts, max(0, limit-c.inRack[pool][rack]))
	}
	return room
}

// applyPick counts a picked host for its new pool.
func (c *hostCounts) applyPick(picked pick) {
	if picked.from != noPool {
		c.members[picked.from]--
		c.inZone[picked.from][picked.host.Zone]--
		c.inRack[picked.from][picked.host.Rack]--
	}
	c.addMember(picked.to, picked.host)
}
