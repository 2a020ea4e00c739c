// Package share decides which part of each endpoint's slots and connections
// belongs to which gateway. Everything in it is pure: every gateway works out
// the same split from the same view, without asking anyone.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Split deals out limit units of each endpoint to the members. The result
// holds, for each endpoint, the units of each member in the order of members;
// they sum to limit exactly. Every member gets limit/len(members) of each
// endpoint. Who gets one of the left-over units is decided by rendezvous
// hashing among the members that are not ahead of an even spread: their totals
// differ by one at most, so that no gateway is left without while there are as
// many units as gateways. A looser bound moves fewer units at a membership
// change; docs/design/limits.md has the figures that decided. Without members nobody gets anything.
func Split(service string, limit int, endpoints, members []string) [][]int {
	dealt := make([][]int, len(endpoints))
	if len(members) == 0 {
		return dealt
	}
	each, left := limit/len(members), limit%len(members)
	order := dealingOrder(service, endpoints)
	totals := make([]int, len(members))
	for turn, index := range order {
		units := make([]int, len(members))
		for i := range units {
			units[i] = each
		}
		even := left * (turn + 1) / len(members)
		for _, winner := range winners(service+"/"+endpoints[index], members, totals, left, even) {
			units[winner]++
			totals[winner]++
		}
		dealt[index] = units
	}
	return dealt
}

// SplitOne is Split for one endpoint that stands alone: it only looks at the
// endpoint's name, so that gateways that know different sets of endpoints
// agree. A larger limit never gives a member less.
func SplitOne(service string, limit int, endpoint string, members []string) []int {
	return Split(service, limit, []string{endpoint}, members)[0]
}

// dealingOrder orders endpoints by hash, so that one endpoint more or less
// doesn't shift all those that sort after its name.
func dealingOrder(service string, endpoints []string) []int {
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

// winners returns the indexes of the members that get one left-over unit each:
// the best scored of those below ceiling, then the least loaded.
func winners(endpoint string, members []string, totals []int, count, ceiling int) []int {
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
