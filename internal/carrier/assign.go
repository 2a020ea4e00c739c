package carrier

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/worker"
)

const (
	// DefaultHostsPerCore is the default number of hosts of a busy pool that a
	// core can call.
	DefaultHostsPerCore = 150
	// minCPUShare is the least CPU share assumed for an entry host, in cores. It
	// also replaces an unknown share.
	minCPUShare = 0.1
	// carriersPerHost is the length of each host's list of carriers, of which
	// the first available one is used.
	carriersPerHost = 3
)

// Candidate is an entry host that may be used as a carrier.
type Candidate struct {
	// Name identifies the entry host and its process start.
	Name    string
	Address string
	Zone    string
	// CPUShare is the number of cores available to it.
	CPUShare float64
	// ClaimCount is the number of claims, such as pools, that it holds itself.
	ClaimCount int
}

// HostsPerCore is how many hosts of a busy pool a core can call.
type HostsPerCore float64

// hosts returns how many hosts an entry host with a CPU share can call.
func (s HostsPerCore) hosts(share float64) float64 { return float64(s) * max(share, minCPUShare) }

// Assign chooses the carriers for each host of a pool and returns them by host
// ID in order of preference. Carriers are in the host's own zone if that zone has
// candidates; candidates that hold no pool come first, then those with the larger
// CPU share, and no more are used than are needed to call all hosts. A change of
// hosts or candidates moves few hosts to another carrier.
func (s HostsPerCore) Assign(pool string, hosts []worker.Host, candidates []Candidate) map[string][]Candidate {
	ranked := rank(pool, candidates)
	count := make(map[string]int)
	for _, h := range hosts {
		count[h.Zone]++
	}
	chosen := make(map[string]selection)
	for zone, n := range count {
		chosen[zone] = s.choose(ranked, zone, n)
	}
	assigned := make(map[string][]Candidate, len(hosts))
	for _, h := range hosts {
		assigned[h.ID] = chosen[h.Zone].forHost(h.ID)
	}
	return assigned
}

// rank sorts candidates by preference. Ties are broken by a hash of pool and
// candidate, which spreads the pools over equal candidates.
func rank(pool string, candidates []Candidate) []Candidate {
	hashes := make(map[string]uint64, len(candidates))
	for _, c := range candidates {
		hashes[c.Name] = xxhash.Sum64String(pool + "\x00" + c.Name)
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(min(a.ClaimCount, 1), min(b.ClaimCount, 1)), cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(hashes[a.Name], hashes[b.Name]))
	})
	return ranked
}

// selection is the carriers of a zone and the candidates that replace them on
// failure.
type selection struct{ carriers, fallback []Candidate }

// choose selects the first ranked candidates of a zone whose capacity covers the
// number of hosts, or those of all zones if the zone has no candidates.
func (s HostsPerCore) choose(ranked []Candidate, zone string, hosts int) selection {
	eligible := slices.DeleteFunc(slices.Clone(ranked), func(c Candidate) bool { return c.Zone != zone })
	if len(eligible) == 0 {
		eligible = ranked
	}
	capacity := 0.0
	for i, c := range eligible {
		if capacity += s.hosts(c.CPUShare); capacity >= float64(hosts) {
			return selection{eligible[:i+1], eligible[i+1:]}
		}
	}
	return selection{carriers: eligible}
}

// forHost orders the carriers for one host by weighted rendezvous hashing.
func (s selection) forHost(host string) []Candidate {
	weight := func(c Candidate) float64 {
		// The hash mapped to the open interval (0, 1).
		uniform := (float64(xxhash.Sum64String(host+"\x00"+c.Name)>>11) + 0.5) / (1 << 53)
		return -max(c.CPUShare, minCPUShare) / math.Log(uniform)
	}
	ordered := slices.Clone(s.carriers)
	slices.SortFunc(ordered, func(a, b Candidate) int { return cmp.Compare(weight(b), weight(a)) })
	ordered = append(ordered, s.fallback[:min(len(s.fallback), carriersPerHost)]...)
	return ordered[:min(len(ordered), carriersPerHost)]
}
