package budget

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/record"
)

// Host is one host as seen by the tracker: its location, the services that have
// endpoints on it, and whether these are available.
type Host struct {
	Name     string
	Zone     string
	Rack     string
	Services []string
	// Available is defined as in Endpoint.
	Available bool
	// markedOut is set when the tracker marked the host out. Unlike a host that was
	// found down, it cannot be taken out again, and its margin is not waived.
	markedOut bool
}

// Tracker computes what the budgets of a whole fleet still allow. It is built once
// per reconcile. The cost of TryMarkOut and MarkAvailable does not depend on the
// size of the fleet, so planning is nearly linear in the number of hosts. It is
// not safe for concurrent use.
type Tracker struct {
	services map[string]*serviceCounts
	hosts    map[string]*Host
}

// serviceCounts counts the available endpoints of one service in total and, for
// each budget record, by failure domain.
type serviceCounts struct {
	service   string
	available int
	domains   []domainCounts
}

// domainCounts counts the available endpoints by the failure domains of one
// budget's margin. It also counts the domains by their number of endpoints, so
// that the worst loss is found without iterating over the domains.
type domainCounts struct {
	budget   *record.Budget
	byDomain map[string]int
	sizes    map[int]int
	worst    int
}

// NewTracker returns the tracker of a fleet. budgets are the active records in any
// order. A service may have several budgets, and each of them must hold.
func NewTracker(budgets []*record.Budget, hosts []Host) *Tracker {
	b := &Tracker{services: make(map[string]*serviceCounts), hosts: make(map[string]*Host, len(hosts))}
	for _, budget := range budgets {
		counts := b.service(budget.Service)
		counts.domains = append(counts.domains, domainCounts{budget: budget, byDomain: make(map[string]int), sizes: make(map[int]int)})
	}
	for i := range hosts {
		host := &hosts[i]
		b.hosts[host.Name] = host
		if host.Available {
			b.count(host, 1)
		}
	}
	return b
}

// NewTrackerFromServices returns a tracker of the given service states in which
// the granted hosts are out. It decides as Decide does, for a whole fleet.
func NewTrackerFromServices(states []ServiceState) *Tracker {
	var budgets []*record.Budget
	byName := make(map[string]*Host)
	var order []string
	for _, state := range states {
		budgets = append(budgets, state.Budgets...)
		for _, e := range state.Endpoints {
			host, ok := byName[e.Host]
			if !ok {
				host = &Host{Name: e.Host, Zone: e.Zone, Rack: e.Rack, Available: true}
				byName[e.Host] = host
				order = append(order, e.Host)
			}
			_, granted := state.Grants.ByHost[e.Host]
			host.Services = append(host.Services, state.Service)
			host.Available = host.Available && e.Available && !granted
		}
	}
	slices.Sort(order)
	list := make([]Host, len(order))
	for i, host := range order {
		list[i] = *byName[host]
	}
	return NewTracker(budgets, list)
}

func (b *Tracker) service(service string) *serviceCounts {
	counts, ok := b.services[service]
	if !ok {
		counts = &serviceCounts{service: service}
		b.services[service] = counts
	}
	return counts
}

func (b *Tracker) count(host *Host, delta int) {
	for _, service := range host.Services {
		counts := b.service(service)
		counts.available += delta
		for i := range counts.domains {
			t := &counts.domains[i]
			t.add(host.domain(t.budget.Margin), delta)
		}
	}
}

func (s *Host) domain(margin record.FailureMargin) string {
	return domainOf(Endpoint{Host: s.Name, Zone: s.Zone, Rack: s.Rack}, margin)
}

func (t *domainCounts) add(domain string, delta int) {
	if domain == "" {
		return
	}
	before := t.byDomain[domain]
	after := before + delta
	t.byDomain[domain] = after
	t.sizes[before]--
	t.sizes[after]++
	if after > t.worst || (before == t.worst && t.sizes[before] == 0) {
		t.worst = after
	}
}

// worstWithout returns the worst single loss after one endpoint of the domain is
// taken out.
func (t *domainCounts) worstWithout(domain string) int {
	size := t.byDomain[domain]
	if domain != "" && size == t.worst && t.sizes[size] == 1 {
		return t.worst - 1
	}
	return t.worst
}

// Check reports whether host may be taken out in addition to all hosts that are
// out. For a host that is already unavailable the failure margin is waived, since
// taking it out loses no capacity. The minimum must still hold without it, because
// a lagging list may show a host as down that is serving again.
func (b *Tracker) Check(host string) Decision {
	h, ok := b.hosts[host]
	if !ok {
		return Decision{Reason: fmt.Sprintf("host %s is in no pool", host)}
	}
	if h.markedOut {
		return Decision{Reason: "host is taken out already"}
	}
	for _, service := range h.Services {
		if decision := b.service(service).check(h); !decision.Allowed {
			return decision
		}
	}
	return Decision{Allowed: true, Reason: "within budget"}
}

func (counts *serviceCounts) check(host *Host) Decision {
	if len(counts.domains) == 0 {
		return Decision{Reason: noBudget(counts.service)}
	}
	for i := range counts.domains {
		t := &counts.domains[i]
		left, reserve := counts.available, 0
		if host.Available {
			left, reserve = left-1, t.worstWithout(host.domain(t.budget.Margin))
		}
		if left-reserve < t.budget.MinAvailable {
			return Decision{Reason: refusal(counts.service, t.budget, left, reserve)}
		}
	}
	return Decision{Allowed: true}
}

// TryMarkOut marks host out if the budgets allow it, and returns the decision.
func (b *Tracker) TryMarkOut(host string) Decision {
	decision := b.Check(host)
	if decision.Allowed {
		b.MarkOut(host)
	}
	return decision
}

// MarkOut marks host out regardless of the budgets, and reports whether that
// changed its state.
func (b *Tracker) MarkOut(host string) bool {
	h, ok := b.hosts[host]
	if !ok || !h.Available {
		return false
	}
	h.Available, h.markedOut = false, true
	b.count(h, -1)
	return true
}

// MarkAvailable reverts MarkOut or TryMarkOut of a host that was available before.
func (b *Tracker) MarkAvailable(host string) {
	h, ok := b.hosts[host]
	if !ok || h.Available {
		return
	}
	h.Available, h.markedOut = true, false
	b.count(h, 1)
}

// Available reports whether host currently counts as available.
func (b *Tracker) Available(host string) bool {
	h, ok := b.hosts[host]
	return ok && h.Available
}

// Has reports whether the tracker contains host.
func (b *Tracker) Has(host string) bool { return b.hosts[host] != nil }

// Services returns the services that have endpoints on host.
func (b *Tracker) Services(host string) []string {
	if h, ok := b.hosts[host]; ok {
		return h.Services
	}
	return nil
}

// Buffer is the capacity that a service reserves at one moment, in endpoints.
type Buffer struct {
	Service      string `json:"service"`
	Available    int    `json:"available"`
	MinAvailable int    `json:"minAvailable"`
	// Margin names the failure domain whose loss must be tolerated. Reserve is how
	// many endpoints the worst such loss would currently take.
	Margin  string `json:"margin"`
	Reserve int    `json:"reserve"`
	// Headroom is how many endpoints may still be taken out: Available minus
	// MinAvailable and Reserve. It is negative if the service is below its budget.
	Headroom int    `json:"room"`
	Reason   string `json:"reason"`
}

// Buffer returns the capacity reserved by the strictest budget of a service, with
// the reason. It returns false for a service without a budget.
func (b *Tracker) Buffer(service string) (Buffer, bool) {
	counts, ok := b.services[service]
	if !ok || len(counts.domains) == 0 {
		return Buffer{}, false
	}
	var strictest Buffer
	for i := range counts.domains {
		buffer := counts.buffer(&counts.domains[i])
		if i == 0 || buffer.Headroom < strictest.Headroom {
			strictest = buffer
		}
	}
	return strictest, true
}

func (counts *serviceCounts) buffer(t *domainCounts) Buffer {
	buffer := Buffer{
		Service: counts.service, Available: counts.available, MinAvailable: t.budget.MinAvailable,
		Margin: marginName(t.budget.Margin), Reserve: t.worst,
		Headroom: counts.available - t.worst - t.budget.MinAvailable,
	}
	buffer.Reason = fmt.Sprintf("%d available, %d needed, %d kept for the loss of one %s",
		buffer.Available, buffer.MinAvailable, buffer.Reserve, buffer.Margin)
	return buffer
}

// Margin returns the widest failure margin required by any of the host's
// services.
func (b *Tracker) Margin(host string) record.FailureMargin {
	order := []record.FailureMargin{record.MarginNone, record.MarginHost, record.MarginRack, record.MarginZone}
	widest := 0
	for _, service := range b.Services(host) {
		for _, t := range b.service(service).domains {
			widest = max(widest, slices.Index(order, t.budget.Margin))
		}
	}
	return order[widest]
}
