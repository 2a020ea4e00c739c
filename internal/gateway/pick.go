package gateway

import "auburnglade.example/glade/internal/endpoint"

// pick chooses the least loaded endpoint that takes work, preferring this
// zone, and counts the request on it until release is called. release is nil
// when there is none.
func (g *Gateway) pick(service endpoint.Service, tried map[string]bool) (picked endpoint.Endpoint, release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	best := -1
	bestCost := 0
	for i := range service.Endpoints {
		index := (i + int(g.next)) % len(service.Endpoints)
		candidate := service.Endpoints[index]
		if !candidate.TakesWork || tried[candidate.Host] {
			continue
		}
		if cost := g.cost(candidate); best < 0 || cost < bestCost {
			best, bestCost = index, cost
		}
	}
	if best < 0 {
		return endpoint.Endpoint{}, nil
	}
	picked = service.Endpoints[best]
	g.load[picked.Address]++
	return picked, func() { g.release(picked.Address) }
}

// zonePenalty is how many requests more an endpoint in this zone may carry
// before one in another zone is preferred.
const zonePenalty = 2

func (g *Gateway) cost(candidate endpoint.Endpoint) int {
	cost := g.load[candidate.Address]
	if candidate.Zone != g.Zone {
		cost += zonePenalty
	}
	return cost
}

func (g *Gateway) release(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load[address]--
	if g.load[address] == 0 {
		delete(g.load, address)
	}
}
