// Package balance ranks a service's endpoints for one request, from what this
// gateway has seen of them.
package balance

import (
	"sort"
	"sync"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

// zonePenalty is how many requests more an endpoint in this zone may carry
// before one in another zone is preferred.
const zonePenalty = 2

// Balancer ranks endpoints. It is safe for concurrent use.
type Balancer struct {
	zone string

	mu   sync.Mutex
	load map[string]int
	turn int
}

// New returns a balancer for a gateway in zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, load: make(map[string]int)}
}

// Rank returns the endpoints that may take a request now, best first. Hosts in
// tried are left out.
func (b *Balancer) Rank(service endpoint.Service, tried map[string]bool) []endpoint.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	ranked := make([]endpoint.Endpoint, 0, len(service.Endpoints))
	for i := range service.Endpoints {
		candidate := service.Endpoints[(i+b.turn)%len(service.Endpoints)]
		if candidate.TakesWork && !tried[candidate.Host] {
			ranked = append(ranked, candidate)
		}
	}
	sort.SliceStable(ranked, func(i, j int) bool { return b.cost(ranked[i]) < b.cost(ranked[j]) })
	return ranked
}

func (b *Balancer) cost(candidate endpoint.Endpoint) int {
	cost := b.load[candidate.Address]
	if candidate.Zone != b.zone {
		cost += zonePenalty
	}
	return cost
}

// Begin counts a request on an endpoint until End.
func (b *Balancer) Begin(e endpoint.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load[e.Address]++
}

// End reports how a request on an endpoint went; reason is empty when it was
// answered.
func (b *Balancer) End(e endpoint.Endpoint, _ outcome.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load[e.Address]--
	if b.load[e.Address] == 0 {
		delete(b.load, e.Address)
	}
}
