// Package mover decides which pool each host belongs to.
package mover

import (
	"slices"
	"sort"

	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/fleet"
)

// Assignment gives a host that belongs to no pool yet to one.
type Assignment struct {
	Host   string
	Pool   string
	Reason string
}

// Assign gives listed hosts without a record to the pools that lack hosts
// most, spreading each pool over zones. It is pure.
func Assign(snapshot *catalog.Snapshot, hosts []fleet.Host) []Assignment {
	state := newCounts(snapshot, hosts)
	free := freeHosts(snapshot, hosts)
	var assignments []Assignment
	for _, host := range free {
		pool := state.neediest(host)
		if pool == "" {
			continue
		}
		state.add(pool, host.Zone)
		assignments = append(assignments, Assignment{Host: host.Name, Pool: pool, Reason: "pool lacks hosts"})
	}
	return assignments
}

type counts struct {
	snapshot *catalog.Snapshot
	pools    []string
	total    map[string]int
	byZone   map[string]map[string]int
}

func newCounts(snapshot *catalog.Snapshot, hosts []fleet.Host) *counts {
	c := &counts{snapshot: snapshot, total: make(map[string]int), byZone: make(map[string]map[string]int)}
	zones := make(map[string]string, len(hosts))
	for _, host := range hosts {
		zones[host.Name] = host.Zone
	}
	for name := range snapshot.Pools() {
		c.pools = append(c.pools, name)
		c.byZone[name] = make(map[string]int)
	}
	sort.Strings(c.pools)
	for name, item := range snapshot.Hosts {
		if c.byZone[item.Pool] != nil {
			c.add(item.Pool, zones[name])
		}
	}
	return c
}

func (c *counts) add(pool, zone string) {
	c.total[pool]++
	c.byZone[pool][zone]++
}

// neediest returns the pool with room that has the fewest hosts in the host's
// zone, and among those the one that lacks the most hosts.
func (c *counts) neediest(host fleet.Host) string {
	best := ""
	for _, name := range c.pools {
		pool := c.snapshot.Pools()[name]
		if c.total[name] >= pool.Size {
			continue
		}
		if len(pool.Zones) > 0 && !slices.Contains(pool.Zones, host.Zone) {
			continue
		}
		if best == "" || c.needsMore(name, best, host.Zone) {
			best = name
		}
	}
	return best
}

func (c *counts) needsMore(a, b, zone string) bool {
	if c.byZone[a][zone] != c.byZone[b][zone] {
		return c.byZone[a][zone] < c.byZone[b][zone]
	}
	pools := c.snapshot.Pools()
	return pools[a].Size-c.total[a] > pools[b].Size-c.total[b]
}

func freeHosts(snapshot *catalog.Snapshot, hosts []fleet.Host) []fleet.Host {
	var free []fleet.Host
	for _, host := range hosts {
		if _, known := snapshot.Hosts[host.Name]; !known && host.State == fleet.HostLive {
			free = append(free, host)
		}
	}
	sort.Slice(free, func(i, j int) bool { return free[i].Name < free[j].Name })
	return free
}
