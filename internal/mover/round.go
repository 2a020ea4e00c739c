package mover

import (
	"maps"
	"slices"
	"sort"
)

// round matches hosts on offer with the deficits of pools, zone by zone, as a
// flow from giving groups over zones to pools. Hosts without a pool flow
// first; what flows later may re-route them but never leaves one unused, so
// the moves that come on top are the fewest. Within each step every pool is
// first kept within its even share of each zone, on both sides, and that is
// lifted only for what is still open: spread decides which host goes, never
// how many.
type round struct {
	census   *census
	deficits map[string]int
	net      network
	source   int
	sink     int
	zones    map[string]int
	// out has the edges from groups to zones, in those from zones to pools,
	// ends those from pools to the sink.
	out, in map[groupZone]*bounded
	ends    map[string]int
}

type groupZone struct{ group, zone string }

// bounded is an edge with its hard limit and the tighter one of an even share.
type bounded struct {
	edge, limit, even int
}

// pick is one host chosen for one pool.
type pick struct {
	host     Host
	from, to string
}

func newRound(c *census, deficits map[string]int) *round {
	r := &round{
		census: c, deficits: deficits, zones: make(map[string]int),
		out: make(map[groupZone]*bounded), in: make(map[groupZone]*bounded), ends: make(map[string]int),
	}
	r.source, r.sink = r.net.node(), r.net.node()
	for _, zone := range c.zones {
		r.zones[zone] = r.net.node()
	}
	for _, pool := range slices.Sorted(maps.Keys(deficits)) {
		r.addPool(pool)
	}
	return r
}

func (r *round) addPool(pool string) {
	node := r.net.node()
	lack := r.deficits[pool]
	share := r.census.evenShare(pool)
	for _, zone := range r.census.allowedZones(pool) {
		limit := min(lack, r.census.rackRoom(pool, zone))
		even := min(limit, max(0, share-r.census.inZone[pool][zone]))
		r.in[groupZone{pool, zone}] = &bounded{edge: r.net.edge(r.zones[zone], node, 0), limit: limit, even: even}
	}
	r.ends[pool] = r.net.edge(node, r.sink, lack)
}

func (r *round) addGroup(group string, gives int) {
	node := r.net.node()
	r.net.edge(r.source, node, gives)
	share := r.census.evenShare(group)
	for _, zone := range r.census.zones {
		limit := len(r.census.movable[group][zone])
		if limit == 0 {
			continue
		}
		even := limit
		if group != noPool {
			even = min(limit, max(0, r.census.inZone[group][zone]-share))
		}
		r.out[groupZone{group, zone}] = &bounded{edge: r.net.edge(node, r.zones[zone], 0), limit: limit, even: even}
	}
}

// run fills deficits with the hosts of the groups added so far.
func (r *round) run() {
	evenOut := func(b *bounded) int { return b.even }
	whole := func(b *bounded) int { return b.limit }
	for _, step := range [][2]func(*bounded) int{{evenOut, evenOut}, {whole, evenOut}, {whole, whole}} {
		r.bound(r.in, step[0])
		r.bound(r.out, step[1])
		r.net.push(r.source, r.sink)
	}
}

func (r *round) bound(edges map[groupZone]*bounded, limit func(*bounded) int) {
	for _, b := range edges {
		r.net.room[b.edge] = max(0, limit(b)-r.net.flow(b.edge))
	}
}

// narrow bounds what a pool may still get.
func (r *round) narrow(pool string, open int) {
	edge := r.ends[pool]
	r.net.room[edge] = min(r.net.room[edge], open)
}

// filled returns how many hosts a pool gets.
func (r *round) filled(pool string) int { return r.net.flow(r.ends[pool]) }

// picks turns the flow into hosts: in each zone the givers' hosts are put
// together, and the pools that are strictest about racks choose first.
func (r *round) picks() []pick {
	var picks []pick
	for _, zone := range r.census.zones {
		offers, quotas := r.offersIn(zone)
		for _, pool := range r.takersIn(zone) {
			for range r.net.flow(r.in[groupZone{pool, zone}].edge) {
				chosen := r.choose(pool, offers, quotas)
				if chosen < 0 {
					// What is left is in racks that the pool has enough of:
					// the deficit stays open.
					break
				}
				taken := offers[chosen]
				taken.to = pool
				quotas[taken.from]--
				offers = append(offers[:chosen], offers[chosen+1:]...)
				r.census.settle(taken)
				picks = append(picks, taken)
			}
		}
	}
	return picks
}

// offersIn returns the hosts on offer in a zone, those to give away first at
// the front, and how many each group gives.
func (r *round) offersIn(zone string) ([]pick, map[string]int) {
	var offers []pick
	quotas := make(map[string]int)
	for _, group := range slices.Sorted(maps.Keys(r.census.movable)) {
		b, ok := r.out[groupZone{group, zone}]
		if !ok || r.net.flow(b.edge) == 0 {
			continue
		}
		quotas[group] = r.net.flow(b.edge)
		for _, host := range r.census.sortOffers(group, zone) {
			offers = append(offers, pick{host: host, from: group})
		}
	}
	return offers, quotas
}

func (r *round) takersIn(zone string) []string {
	var pools []string
	for _, pool := range slices.Sorted(maps.Keys(r.deficits)) {
		if b, ok := r.in[groupZone{pool, zone}]; ok && r.net.flow(b.edge) > 0 {
			pools = append(pools, pool)
		}
	}
	strictness := func(pool string) int {
		if bound := r.census.input.Pools[pool].MaxPerRack; bound > 0 {
			return bound
		}
		return int(^uint(0) >> 1)
	}
	sort.SliceStable(pools, func(i, j int) bool { return strictness(pools[i]) < strictness(pools[j]) })
	return pools
}

// choose returns the offer in the rack that the pool has fewest hosts in.
func (r *round) choose(pool string, offers []pick, quotas map[string]int) int {
	best := -1
	racks := r.census.inRack[pool]
	bound := r.census.input.Pools[pool].MaxPerRack
	for i, offer := range offers {
		used := racks[offer.host.Rack]
		if quotas[offer.from] == 0 || (bound > 0 && used >= bound) {
			continue
		}
		if best < 0 || used < racks[offers[best].host.Rack] {
			best = i
		}
	}
	return best
}
