package storeaccess

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelays is the least number of entry hosts of an availability zone that watch the
	// store for the others. With one, its loss would send all others to the store.
	minRelays = 2
	// maxFollowers is how many others one relay serves: each asks it some twice a second.
	maxFollowers = 256
	// followersPerMbps is how many of them a relay serves for each Mbit/s of its link: a
	// configuration of 0.5 MB, compressed to a fifth, reaches all in a second.
	followersPerMbps = 1
	// minFollowers is the least number of entry hosts of a zone that two relays spare
	// the store; with fewer, all watch it themselves.
	minFollowers = 6
	// maxPeers bounds the entry hosts that one call is tried through.
	maxPeers = 3
)

// Node is an entry host as a candidate for relaying.
type Node struct {
	Name, Address, Zone string
	CPUShare            float64
	// Claims is how many claims it holds.
	Claims int
	// LinkMbps is the bandwidth of its link in Mbit/s, zero if unknown.
	LinkMbps float64
	// CanRelay is set if it serves other entry hosts in place of the store and isn't
	// leaving.
	CanRelay bool
}

// Route is how a process reaches the store.
type Route struct {
	// Direct is set if it watches the store itself: it is a relay or holds a claim.
	Direct bool
	// HoldsClaims is set if it holds a claim, so that its calls may go through others.
	HoldsClaims bool
	// Relays are the addresses of the other relays of the zone, Fallbacks those of
	// entry hosts in other zones, both in the order in which they are asked.
	Relays, Fallbacks []string
}

// directSource is the store itself as a source of shared prefixes.
const directSource = ""

// sources returns where shared prefixes are read, in order.
func (r Route) sources() []string {
	if r.Direct {
		return slices.Concat([]string{directSource}, r.Relays, r.Fallbacks)
	}
	return slices.Concat(r.Relays, []string{directSource}, r.Fallbacks)
}

// PlanRoute returns the route of the entry host self, given all that are running. It
// answers a fleet in which each entry host watches the store: calls that grow with the
// fleet though nothing changes. All entry hosts that know the same members choose the same
// relays: in each zone the strongest without claims.
func PlanRoute(self string, nodes []Node) Route {
	var zone string
	var route Route
	for _, n := range nodes {
		if n.Name == self {
			zone, route.HoldsClaims = n.Zone, n.Claims > 0
		}
	}
	var local, remote []Node
	for _, n := range nodes {
		switch {
		case !n.CanRelay:
		case n.Zone == zone:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}
	relays := chooseRelays(local)
	route.Direct = route.HoldsClaims || len(local)-len(relays) < minFollowers ||
		slices.ContainsFunc(relays, func(n Node) bool { return n.Name == self })
	// Each follower prefers other relays, so that they share the work.
	slices.SortFunc(relays, func(a, b Node) int { return cmp.Compare(pairHash(self, a.Name), pairHash(self, b.Name)) })
	relays = slices.DeleteFunc(relays, func(n Node) bool { return n.Name == self })
	relays = relays[:min(len(relays), minRelays)]
	route.Relays = addresses(relays)
	route.Fallbacks = addresses(best(remote, maxPeers-len(relays)))
	return route
}

// chooseRelays returns the best of a zone's entry hosts, as many as can serve the others.
func chooseRelays(local []Node) []Node {
	ranked := slices.SortedFunc(slices.Values(local), compareRelays)
	served := 0
	for i, n := range ranked {
		served += n.maxFollowers()
		if i+1 >= minRelays && served >= len(local)-i-1 {
			return ranked[:i+1]
		}
	}
	return ranked
}

// maxFollowers is how many others the node can serve as a relay.
func (n Node) maxFollowers() int {
	if n.LinkMbps <= 0 {
		return maxFollowers
	}
	return min(maxFollowers, int(followersPerMbps*n.LinkMbps))
}

func addresses(nodes []Node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.Address)
	}
	return list
}

// best returns the count nodes that are the best relays, in order.
func best(nodes []Node, count int) []Node {
	var chosen []Node
	for _, n := range nodes {
		at, _ := slices.BinarySearchFunc(chosen, n, compareRelays)
		if at < count {
			chosen = slices.Insert(chosen, at, n)
			chosen = chosen[:min(len(chosen), count)]
		}
	}
	return chosen
}

// compareRelays orders nodes without claims first, then by CPU share, largest first.
func compareRelays(a, b Node) int {
	return cmp.Or(cmp.Compare(a.Claims, b.Claims), cmp.Compare(b.CPUShare, a.CPUShare),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

func pairHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
