// Package balance ranks a service's endpoints for one request, based on the
// load, latency and failures that this gateway has observed.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

// Balancer ranks endpoints. It is safe for concurrent use.
type Balancer struct {
	zone  string
	start time.Time

	mu     sync.RWMutex
	groups map[string]*group
}

// group holds the endpoints of one service. Each group has its own lock, so that
// services do not contend with each other.
type group struct {
	mu        sync.Mutex
	endpoints []endpoint.Endpoint
	states    map[string]*State
	rotation  int
	// candidates and ranking are buffers reused by each ranking.
	candidates []Candidate
	ranking    []RankedCandidate
}

// New returns a balancer for a gateway in zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, start: time.Now(), groups: make(map[string]*group)}
}

func (b *Balancer) now() time.Duration { return time.Since(b.start) }

// Install replaces the endpoints of all services. Endpoints that are new or
// accept work again go through slow start, except those of the first table.
func (b *Balancer) Install(services map[string]endpoint.Service) {
	now := b.now()
	for name, service := range services {
		b.groupOf(name).install(now, service.Endpoints)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.groups {
		if _, ok := services[name]; !ok {
			delete(b.groups, name)
		}
	}
}

// maxInitialRotation is the exclusive upper bound of the initial rotation.
const maxInitialRotation = 1 << 16

func (b *Balancer) groupOf(service string) *group {
	b.mu.RLock()
	found := b.groups[service]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.groups[service] == nil {
		// A random initial rotation makes gateways start at different endpoints.
		b.groups[service] = &group{states: make(map[string]*State), rotation: rand.IntN(maxInitialRotation)}
	}
	return b.groups[service]
}

func (g *group) install(now time.Duration, endpoints []endpoint.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slowStartAt := now
	if g.endpoints == nil {
		slowStartAt = -1
	}
	g.endpoints = endpoints
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Address] = true
		state := g.states[e.Address]
		if state == nil {
			state = &State{SlowStartAt: slowStartAt}
			g.states[e.Address] = state
		}
		state.configure(now, e.TakesWork)
	}
	for address, state := range g.states {
		if !listed[address] {
			// The state is kept until the endpoint's requests in flight have ended.
			state.configure(now, false)
			if state.InFlight == 0 {
				delete(g.states, address)
			}
		}
	}
}

// Rank returns the endpoints that may take a request of the service, best first.
// It uses the current table, because a request that has waited in a queue must
// not use an older one. Hosts in tried are returned only if there are no others.
func (b *Balancer) Rank(service endpoint.Service, tried map[string]bool) []endpoint.Endpoint {
	g := b.groupOf(service.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotation++
	g.candidates = g.candidates[:0]
	for i := range g.endpoints {
		e := &g.endpoints[i]
		g.candidates = append(g.candidates, Candidate{Zone: e.Zone, State: g.states[e.Address], Tried: len(tried) > 0 && tried[e.Host]})
	}
	g.ranking = RankCandidates(Input{Zone: b.zone, Now: b.now(), Rotation: g.rotation, Candidates: g.candidates}, g.ranking)
	ranked := make([]endpoint.Endpoint, len(g.ranking))
	for i, choice := range g.ranking {
		ranked[i] = g.endpoints[choice.Index]
	}
	return ranked
}

// updateState applies change to the endpoint's state, if there is one.
func (b *Balancer) updateState(e endpoint.Endpoint, change func(now time.Duration, s *State)) {
	g := b.groupOf(e.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.states[e.Address]; state != nil {
		change(b.now(), state)
	}
}

// Begin counts a request as in flight on an endpoint until End is called.
func (b *Balancer) Begin(e endpoint.Endpoint) {
	b.updateState(e, func(now time.Duration, s *State) { s.begin(now) })
}

// End records the result of a request on an endpoint; reason is empty if the
// endpoint responded.
func (b *Balancer) End(e endpoint.Endpoint, reason outcome.Reason) {
	b.updateState(e, func(now time.Duration, s *State) { s.end(now, reason) })
}

// Observe records the time from sending a request to receiving the response
// header. It returns how long the endpoint had been draining when the request
// was sent, or zero if it was not.
func (b *Balancer) Observe(e endpoint.Endpoint, latency time.Duration) (draining time.Duration) {
	b.updateState(e, func(now time.Duration, s *State) {
		sent := now - latency
		if s.DrainSourceAt(sent) != NotDraining {
			draining = max(0, sent-s.DrainingSince)
		}
		s.observe(now, latency)
	})
	return draining
}

// MarkDraining records that the endpoint itself reported that it is draining.
func (b *Balancer) MarkDraining(e endpoint.Endpoint) {
	b.updateState(e, func(now time.Duration, s *State) { s.reportDraining(now) })
}

// DrainingFor returns how long the endpoint has been draining according to any
// source, and false if it is not draining.
func (b *Balancer) DrainingFor(e endpoint.Endpoint) (since time.Duration, draining bool) {
	b.updateState(e, func(now time.Duration, s *State) {
		if s.DrainSourceAt(now) != NotDraining {
			since, draining = now-s.DrainingSince, true
		}
	})
	return since, draining
}
