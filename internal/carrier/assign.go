package carrier

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/worker"
)

const (
	// DefaultHostsPerCore is how many hosts of a busy pool a core can call, unless
	// settings say otherwise.
	DefaultHostsPerCore = 150
	// leastShare stands in for a share that isn't known, in cores.
	leastShare = 0.1
	// alternatives is how many carriers a host has, the first that answers being
	// used.
	alternatives = 3
)

// Candidate is an entry host that may carry orders.
type Candidate struct {
	// Name tells apart two lives of an entry host.
	Name    string
	Address string
	Zone    string
	// CPUShare is how much of a core it has.
	CPUShare float64
	// ClaimCount counts the pools it holds itself.
	ClaimCount int
}

// HostsPerCore is how many hosts of a busy pool a core can call.
type HostsPerCore float64

// hosts is how many hosts an entry host with a share of a core can call.
func (s HostsPerCore) hosts(share float64) float64 { return float64(s) * max(share, leastShare) }

// Assign chooses the carriers of a pool's hosts, each in its host's own zone
// where there is one: entry hosts that hold no pool first, strong before weak,
// as few as can carry them all. It returns the carriers of each host by
// preference. A change of hosts or candidates moves few hosts to another carrier.
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
		assigned[h.ID] = chosen[h.Zone].of(h.ID)
	}
	return assigned
}

// rank orders candidates by how well they can carry, with a hash for ties that
// spreads pools over equals.
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

// selection are the carriers of a zone, and those that stand in when they fail.
type selection struct{ carriers, reserve []Candidate }

// choose takes the first candidates of a zone that can carry so many hosts, or
// of any zone when it has none.
func (s HostsPerCore) choose(ranked []Candidate, zone string, hosts int) selection {
	near := slices.DeleteFunc(slices.Clone(ranked), func(c Candidate) bool { return c.Zone != zone })
	if len(near) == 0 {
		near = ranked
	}
	room := 0.0
	for i, c := range near {
		if room += s.hosts(c.CPUShare); room >= float64(hosts) {
			return selection{near[:i+1], near[i+1:]}
		}
	}
	return selection{carriers: near}
}

// of orders the carriers for one host by weighted rendezvous hashing.
func (s selection) of(host string) []Candidate {
	weight := func(c Candidate) float64 {
		// The hash as a number above 0 and below 1.
		uniform := (float64(xxhash.Sum64String(host+"\x00"+c.Name)>>11) + 0.5) / (1 << 53)
		return -max(c.CPUShare, leastShare) / math.Log(uniform)
	}
	ordered := slices.Clone(s.carriers)
	slices.SortFunc(ordered, func(a, b Candidate) int { return cmp.Compare(weight(b), weight(a)) })
	ordered = append(ordered, s.reserve[:min(len(s.reserve), alternatives)]...)
	return ordered[:min(len(ordered), alternatives)]
}
