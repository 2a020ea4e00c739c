// Package balance ranks a service's endpoints for one request, from what this
// gateway has seen of them.
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

// group is one service's endpoints. Each has a lock of its own, so that
// services don't wait for each other.
type group struct {
	mu        sync.Mutex
	endpoints []endpoint.Endpoint
	states    map[string]*State
	turn      int
	// candidates and choices are reused by each ranking.
	candidates []Candidate
	choices    []RankedCandidate
}

// New returns a balancer for a gateway in zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, start: time.Now(), groups: make(map[string]*group)}
}

func (b *Balancer) now() time.Duration { return time.Since(b.start) }

// Install takes over the endpoints in force. One that appears, or takes work
// again, starts slowly; the first table of a gateway doesn't.
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

// maxFirstTurn bounds the turn that a gateway begins with.
const maxFirstTurn = 1 << 16

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
		// Gateways begin their turns at different endpoints.
		b.groups[service] = &group{states: make(map[string]*State), turn: rand.IntN(maxFirstTurn)}
	}
	return b.groups[service]
}

func (g *group) install(now time.Duration, endpoints []endpoint.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	returnedAt := now
	if g.endpoints == nil {
		returnedAt = -1
	}
	g.endpoints = endpoints
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Address] = true
		state := g.states[e.Address]
		if state == nil {
			state = &State{SlowStartAt: returnedAt}
			g.states[e.Address] = state
		}
		state.configure(now, e.TakesWork)
	}
	for address, state := range g.states {
		if !listed[address] {
			// Requests in flight still end on it.
			state.configure(now, false)
			if state.InFlight == 0 {
				delete(g.states, address)
			}
		}
	}
}

// Rank returns the endpoints that may take a request of the service now, best
// first, from the table in force now: a request that has waited in a queue must
// not go by an older one. Hosts in tried come only when there is no other.
func (b *Balancer) Rank(service endpoint.Service, tried map[string]bool) []endpoint.Endpoint {
	g := b.groupOf(service.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn++
	g.candidates = g.candidates[:0]
	for i := range g.endpoints {
		e := &g.endpoints[i]
		g.candidates = append(g.candidates, Candidate{Zone: e.Zone, State: g.states[e.Address], Tried: len(tried) > 0 && tried[e.Host]})
	}
	g.choices = RankCandidates(Input{Zone: b.zone, Now: b.now(), Rotation: g.turn, Candidates: g.candidates}, g.choices)
	ranked := make([]endpoint.Endpoint, len(g.choices))
	for i, choice := range g.choices {
		ranked[i] = g.endpoints[choice.Index]
	}
	return ranked
}

// with runs change on an endpoint's state, if it is still known.
func (b *Balancer) with(e endpoint.Endpoint, change func(now time.Duration, s *State)) {
	g := b.groupOf(e.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.states[e.Address]; state != nil {
		change(b.now(), state)
	}
}

// Begin counts a request on an endpoint until End.
func (b *Balancer) Begin(e endpoint.Endpoint) {
	b.with(e, func(now time.Duration, s *State) { s.begin(now) })
}

// End reports how a request on an endpoint went; reason is empty when it was
// answered.
func (b *Balancer) End(e endpoint.Endpoint, reason outcome.Reason) {
	b.with(e, func(now time.Duration, s *State) { s.end(now, reason) })
}

// Observe reports the time from sending a request to its answer's header. It
// returns for how long the endpoint had been leaving when the request was sent,
// zero when it wasn't.
func (b *Balancer) Observe(e endpoint.Endpoint, latency time.Duration) (leaving time.Duration) {
	b.with(e, func(now time.Duration, s *State) {
		sent := now - latency
		if s.DrainSourceAt(sent) != NotDraining {
			leaving = max(0, sent-s.DrainingSince)
		}
		s.observe(now, latency)
	})
	return leaving
}

// MarkDraining reports that the endpoint itself says that it leaves.
func (b *Balancer) MarkDraining(e endpoint.Endpoint) {
	b.with(e, func(now time.Duration, s *State) { s.sayLeaving(now) })
}

// DrainingFor returns for how long some source has been saying that the
// endpoint leaves, and false when none does now.
func (b *Balancer) DrainingFor(e endpoint.Endpoint) (since time.Duration, leaving bool) {
	b.with(e, func(now time.Duration, s *State) {
		if s.DrainSourceAt(now) != NotDraining {
			since, leaving = now-s.DrainingSince, true
		}
	})
	return since, leaving
}
