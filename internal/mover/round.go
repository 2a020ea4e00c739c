package mover

import (
	"maps"
	"slices"
	"sort"
)

// matching matches movable hosts with the deficits of pools, zone by zone, as a flow
// from groups of hosts through zones to pools. Hosts without a pool are matched
// first; later flow may re-route them but leaves none of them unused, so the number
// of additional moves is minimal. In each step, pools on both sides are first limited
// to their even share per zone; the limit is lifted only for deficits that remain.
// Spread thus decides which host moves, never how many.
type matching struct {
	hostCounts *hostCounts
	deficits   map[string]int
	net        network
	source     int
	sink       int
	zones      map[string]int
	// giverEdges lead from groups to zones, takerEdges from zones to pools,
	// sinkEdges from pools to the sink.
	giverEdges, takerEdges map[groupZone]*boundedEdge
	sinkEdges              map[string]int
}

type groupZone struct{ group, zone string }

// boundedEdge is an edge with its hard limit and the lower limit of an even spread.
type boundedEdge struct {
	edge, limit, even int
}

// pick is a host picked to go to a pool.
type pick struct {
	host     Host
	from, to string
}

func newMatching(c *hostCounts, deficits map[string]int) *matching {
	m := &matching{
		hostCounts: c, deficits: deficits, zones: make(map[string]int),
		giverEdges: make(map[groupZone]*boundedEdge), takerEdges: make(map[groupZone]*boundedEdge), sinkEdges: make(map[string]int),
	}
	m.source, m.sink = m.net.node(), m.net.node()
	for _, zone := range c.zones {
		m.zones[zone] = m.net.node()
	}
	for _, pool := range slices.Sorted(maps.Keys(deficits)) {
		m.addPool(pool)
	}
	return m
}

func (m *matching) addPool(pool string) {
	node := m.net.node()
	deficit := m.deficits[pool]
	share := m.hostCounts.evenShare(pool)
	for _, zone := range m.hostCounts.allowedZones(pool) {
		limit := min(deficit, m.hostCounts.rackRoom(pool, zone))
		even := min(limit, max(0, share-m.hostCounts.inZone[pool][zone]))
		m.takerEdges[groupZone{pool, zone}] = &boundedEdge{edge: m.net.edge(m.zones[zone], node, 0), limit: limit, even: even}
	}
	m.sinkEdges[pool] = m.net.edge(node, m.sink, deficit)
}

func (m *matching) addGroup(group string, surplus int) {
	node := m.net.node()
	m.net.edge(m.source, node, surplus)
	share := m.hostCounts.evenShare(group)
	for _, zone := range m.hostCounts.zones {
		limit := len(m.hostCounts.movable[group][zone])
		if limit == 0 {
			continue
		}
		even := limit
		if group != noPool {
			even = min(limit, max(0, m.hostCounts.inZone[group][zone]-share))
		}
		m.giverEdges[groupZone{group, zone}] = &boundedEdge{edge: m.net.edge(node, m.zones[zone], 0), limit: limit, even: even}
	}
}

// run covers deficits with the hosts of the groups added so far.
func (m *matching) run() {
	evenLimit := func(b *boundedEdge) int { return b.even }
	hardLimit := func(b *boundedEdge) int { return b.limit }
	for _, step := range [][2]func(*boundedEdge) int{{evenLimit, evenLimit}, {hardLimit, evenLimit}, {hardLimit, hardLimit}} {
		m.setLimits(m.takerEdges, step[0])
		m.setLimits(m.giverEdges, step[1])
		m.net.pushFlow(m.source, m.sink)
	}
}

func (m *matching) setLimits(edges map[groupZone]*boundedEdge, limit func(*boundedEdge) int) {
	for _, b := range edges {
		m.net.capacity[b.edge] = max(0, limit(b)-m.net.flow(b.edge))
	}
}

// limitPool limits how many more hosts a pool may get.
func (m *matching) limitPool(pool string, limit int) {
	edge := m.sinkEdges[pool]
	m.net.capacity[edge] = min(m.net.capacity[edge], limit)
}

// filled returns how many hosts a pool gets.
func (m *matching) filled(pool string) int { return m.net.flow(m.sinkEdges[pool]) }

// picks converts the flow into hosts. In each zone the pools with the lowest
// MaxPerRack choose first from the hosts of all groups.
func (m *matching) picks() []pick {
	var picks []pick
	for _, zone := range m.hostCounts.zones {
		offers, quotas := m.offersIn(zone)
		for _, pool := range m.takersIn(zone) {
			for range m.net.flow(m.takerEdges[groupZone{pool, zone}].edge) {
				chosen := m.choose(pool, offers, quotas)
				if chosen < 0 {
					// The remaining hosts are in racks where the pool is at its
					// MaxPerRack, so the deficit remains.
					break
				}
				taken := offers[chosen]
				taken.to = pool
				quotas[taken.from]--
				offers = append(offers[:chosen], offers[chosen+1:]...)
				m.hostCounts.applyPick(taken)
				picks = append(picks, taken)
			}
		}
	}
	return picks
}

// offersIn returns the hosts offered in a zone, in order of preference, and how many
// hosts each group gives.
func (m *matching) offersIn(zone string) ([]pick, map[string]int) {
	var offers []pick
	quotas := make(map[string]int)
	for _, group := range slices.Sorted(maps.Keys(m.hostCounts.movable)) {
		b, ok := m.giverEdges[groupZone{group, zone}]
		if !ok || m.net.flow(b.edge) == 0 {
			continue
		}
		quotas[group] = m.net.flow(b.edge)
		for _, host := range m.hostCounts.sortedMovable(group, zone) {
			offers = append(offers, pick{host: host, from: group})
		}
	}
	return offers, quotas
}

func (m *matching) takersIn(zone string) []string {
	var pools []string
	for _, pool := range slices.Sorted(maps.Keys(m.deficits)) {
		if b, ok := m.takerEdges[groupZone{pool, zone}]; ok && m.net.flow(b.edge) > 0 {
			pools = append(pools, pool)
		}
	}
	strictness := func(pool string) int {
		if limit := m.hostCounts.input.Pools[pool].MaxPerRack; limit > 0 {
			return limit
		}
		return int(^uint(0) >> 1)
	}
	sort.SliceStable(pools, func(i, j int) bool { return strictness(pools[i]) < strictness(pools[j]) })
	return pools
}

// choose returns the index of the offer in the rack with the fewest hosts of the
// pool, or -1 if none is allowed.
func (m *matching) choose(pool string, offers []pick, quotas map[string]int) int {
	best := -1
	racks := m.hostCounts.inRack[pool]
	limit := m.hostCounts.input.Pools[pool].MaxPerRack
	for i, offer := range offers {
		used := racks[offer.host.Rack]
		if quotas[offer.from] == 0 || (limit > 0 && used >= limit) {
			continue
		}
		if best < 0 || used < racks[offers[best].host.Rack] {
			best = i
		}
	}
	return best
}
