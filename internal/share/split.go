// Package share decides which part of each endpoint's slots and connections is
// allocated to which gateway. Every function in it is pure: all gateways compute the
// same split from the same view, without coordination.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Split divides limit units of each endpoint among the members. The result holds, for
// each endpoint, the units of each member in the order of members; they sum to limit
// exactly. Every member gets limit/len(members) units of each endpoint. The remaining
// units are assigned by rendezvous hashing among the members that are not ahead of an
// even spread. The totals of any two members therefore differ by at most one, and no
// gateway is left without units while there are as many units as gateways. A looser
// bound would move fewer units at a membership change; docs/design/limits.md has the
// figures behind the choice. Without members the result holds no units.
func Split(service string, limit int, endpoints, members []string) [][]int {
	allocated := make([][]int, len(endpoints))
	if len(members) == 0 {
		return allocated
	}
	each, remainder := limit/len(members), limit%len(members)
	order := hashOrder(service, endpoints)
	totals := make([]int, len(members))
	for position, index := range order {
		units := make([]int, len(members))
		for i := range units {
			units[i] = each
		}
		ceiling := remainder * (position + 1) / len(members)
		for _, winner := range remainderWinners(service+"/"+endpoints[index], members, totals, remainder, ceiling) {
			units[winner]++
			totals[winner]++
		}
		allocated[index] = units
	}
	return allocated
}

// SplitOne is Split for a single endpoint. It depends on the endpoint's name only, so
// gateways that have different sets of endpoints agree on it. A larger limit never
// gives a member fewer units.
func SplitOne(service string, limit int, endpoint string, members []string) []int {
	return Split(service, limit, []string{endpoint}, members)[0]
}

// hashOrder returns the indexes of the endpoints in the order of their hashes, so that
// adding or removing an endpoint does not shift all those that sort after its name.
func hashOrder(service string, endpoints []string) []int {
	order := make([]int, len(endpoints))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(service+"/"+endpoints[a]), xxhash.Sum64String(service+"/"+endpoints[b])),
			cmp.Compare(endpoints[a], endpoints[b]))
	})
	return order
}

// remainderWinners returns the indexes of the count members that get one remaining unit
// each: those still below ceiling by descending score, then those that exceed it least.
func remainderWinners(endpoint string, members []string, totals []int, count, ceiling int) []int {
	ranked := make([]int, len(members))
	scores := make([]uint64, len(members))
	for i, member := range members {
		ranked[i] = i
		scores[i] = score(endpoint, member)
	}
	slices.SortFunc(ranked, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(max(totals[a]+1-ceiling, 0), max(totals[b]+1-ceiling, 0)),
			cmp.Compare(scores[b], scores[a]),
			cmp.Compare(members[a], members[b]))
	})
	return ranked[:count]
}

// score is the rendezvous weight of a member for an endpoint.
func score(endpoint, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(endpoint)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
