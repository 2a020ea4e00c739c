package budget

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/record"
)

// Host is one host as the book sees it: where it stands, the services whose
// endpoints it carries, and whether those are available.
type Host struct {
	Name     string
	Zone     string
	Rack     string
	Services []string
	// Available is the pessimistic view, as in Endpoint.
	Available bool
	// held says that the book took the host out, which is not the same as a
	// host that was found down: it can't be taken again, and not for free.
	held bool
}

// Tracker answers what the budgets of a whole fleet still allow. It is built once
// a round and follows each Take and Undo in a time that doesn't grow with the
// fleet, so that planning stays near linear in the hosts. It isn't safe for
// concurrent use.
type Tracker struct {
	accounts map[string]*account
	seats    map[string]*Host
}

// account is one service's state: its available endpoints in all and by
// failure domain, one tally for each budget record.
type account struct {
	service   string
	available int
	tallies   []tally
}

// tally counts the available endpoints by the domains of one budget's margin,
// and how many domains have how many of them, so that the worst loss is known
// without a pass over the domains.
type tally struct {
	budget   *record.Budget
	byDomain map[string]int
	sizes    map[int]int
	worst    int
}

// NewTracker returns the book of a fleet. Budgets are the records in force, in
// any order; several may bound one service, and each must hold.
func NewTracker(budgets []*record.Budget, seats []Host) *Tracker {
	b := &Tracker{accounts: make(map[string]*account), seats: make(map[string]*Host, len(seats))}
	for _, budget := range budgets {
		a := b.account(budget.Service)
		a.tallies = append(a.tallies, tally{budget: budget, byDomain: make(map[string]int), sizes: make(map[int]int)})
	}
	for i := range seats {
		seat := &seats[i]
		b.seats[seat.Name] = seat
		if seat.Available {
			b.count(seat, 1)
		}
	}
	return b
}

// NewTrackerFromServices returns the book of the given views, with their grants taken out: the
// same answers as Decide, for a whole fleet.
func NewTrackerFromServices(views []ServiceState) *Tracker {
	var budgets []*record.Budget
	seats := make(map[string]*Host)
	var order []string
	for _, view := range views {
		budgets = append(budgets, view.Budgets...)
		for _, e := range view.Endpoints {
			seat, known := seats[e.Host]
			if !known {
				seat = &Host{Name: e.Host, Zone: e.Zone, Rack: e.Rack, Available: true}
				seats[e.Host] = seat
				order = append(order, e.Host)
			}
			_, granted := view.Grants.ByHost[e.Host]
			seat.Services = append(seat.Services, view.Service)
			seat.Available = seat.Available && e.Available && !granted
		}
	}
	slices.Sort(order)
	list := make([]Host, len(order))
	for i, host := range order {
		list[i] = *seats[host]
	}
	return NewTracker(budgets, list)
}

func (b *Tracker) account(service string) *account {
	a, known := b.accounts[service]
	if !known {
		a = &account{service: service}
		b.accounts[service] = a
	}
	return a
}

func (b *Tracker) count(seat *Host, by int) {
	for _, service := range seat.Services {
		a := b.account(service)
		a.available += by
		for i := range a.tallies {
			t := &a.tallies[i]
			t.add(seat.domain(t.budget.Margin), by)
		}
	}
}

func (s *Host) domain(margin record.FailureMargin) string {
	return domainOf(Endpoint{Host: s.Name, Zone: s.Zone, Rack: s.Rack}, margin)
}

func (t *tally) add(domain string, by int) {
	if domain == "" {
		return
	}
	before := t.byDomain[domain]
	after := before + by
	t.byDomain[domain] = after
	t.sizes[before]--
	t.sizes[after]++
	if after > t.worst || (before == t.worst && t.sizes[before] == 0) {
		t.worst = after
	}
}

// worstWithout returns the worst single loss once one endpoint of the domain
// is gone.
func (t *tally) worstWithout(domain string) int {
	size := t.byDomain[domain]
	if domain != "" && size == t.worst && t.sizes[size] == 1 {
		return t.worst - 1
	}
	return t.worst
}

// Check reports whether host may be taken out on top of everything that is
// out. A host that isn't available already gives up nothing, so the failure
// margin isn't asked for; the minimum must still hold without it, because a
// lagging list may call a host gone that is back at work.
func (b *Tracker) Check(host string) Decision {
	seat, known := b.seats[host]
	if !known {
		return Decision{Reason: fmt.Sprintf("host %s is in no pool", host)}
	}
	if seat.held {
		return Decision{Reason: "host is taken out already"}
	}
	for _, service := range seat.Services {
		if decision := b.account(service).check(seat); !decision.Allowed {
			return decision
		}
	}
	return Decision{Allowed: true, Reason: "within budget"}
}

func (a *account) check(seat *Host) Decision {
	if len(a.tallies) == 0 {
		return Decision{Reason: noBudget(a.service)}
	}
	for i := range a.tallies {
		t := &a.tallies[i]
		left, reserve := a.available, 0
		if seat.Available {
			left, reserve = left-1, t.worstWithout(seat.domain(t.budget.Margin))
		}
		if left-reserve < t.budget.MinAvailable {
			return Decision{Reason: refusal(a.service, t.budget, left, reserve)}
		}
	}
	return Decision{Allowed: true}
}

// TryMarkOut counts host as out when the budgets allow it, and says whether it did.
func (b *Tracker) TryMarkOut(host string) Decision {
	decision := b.Check(host)
	if decision.Allowed {
		b.MarkOut(host)
	}
	return decision
}

// MarkOut counts host as out whatever the budgets say, and reports whether that
// changed anything.
func (b *Tracker) MarkOut(host string) bool {
	seat, known := b.seats[host]
	if !known || !seat.Available {
		return false
	}
	seat.Available, seat.held = false, true
	b.count(seat, -1)
	return true
}

// MarkAvailable takes back a Hold or Take of a host that was available before.
func (b *Tracker) MarkAvailable(host string) {
	seat, known := b.seats[host]
	if !known || seat.Available {
		return
	}
	seat.Available, seat.held = true, false
	b.count(seat, 1)
}

// Available reports whether host counts as available now.
func (b *Tracker) Available(host string) bool {
	seat, known := b.seats[host]
	return known && seat.Available
}

// Has reports whether the book has a seat for host.
func (b *Tracker) Has(host string) bool { return b.seats[host] != nil }

// Services returns the services that host carries.
func (b *Tracker) Services(host string) []string {
	if seat, known := b.seats[host]; known {
		return seat.Services
	}
	return nil
}

// Buffer is what a service holds back at one moment, in endpoints.
type Buffer struct {
	Service      string `json:"service"`
	Available    int    `json:"available"`
	MinAvailable int    `json:"minAvailable"`
	// Margin names the failure domain whose loss must be survived, and Reserve
	// is what the worst such loss would take now.
	Margin  string `json:"margin"`
	Reserve int    `json:"reserve"`
	// Headroom is what may still be taken out: Available less MinAvailable and
	// Reserve, negative when the service is short.
	Headroom int    `json:"room"`
	Reason   string `json:"reason"`
}

// Buffer returns what the strictest budget of a service holds back, and why.
// It is false for a service without a budget.
func (b *Tracker) Buffer(service string) (Buffer, bool) {
	a, known := b.accounts[service]
	if !known || len(a.tallies) == 0 {
		return Buffer{}, false
	}
	var strictest Buffer
	for i := range a.tallies {
		buffer := a.buffer(&a.tallies[i])
		if i == 0 || buffer.Headroom < strictest.Headroom {
			strictest = buffer
		}
	}
	return strictest, true
}

func (a *account) buffer(t *tally) Buffer {
	buffer := Buffer{
		Service: a.service, Available: a.available, MinAvailable: t.budget.MinAvailable,
		Margin: marginName(t.budget.Margin), Reserve: t.worst,
		Headroom: a.available - t.worst - t.budget.MinAvailable,
	}
	buffer.Reason = fmt.Sprintf("%d available, %d needed, %d kept for the loss of one %s",
		buffer.Available, buffer.MinAvailable, buffer.Reserve, buffer.Margin)
	return buffer
}

// Margin returns the widest failure margin that any of the host's services
// asks for.
func (b *Tracker) Margin(host string) record.FailureMargin {
	order := []record.FailureMargin{record.MarginNone, record.MarginHost, record.MarginRack, record.MarginZone}
	widest := 0
	for _, service := range b.Services(host) {
		for _, t := range b.account(service).tallies {
			widest = max(widest, slices.Index(order, t.budget.Margin))
		}
	}
	return order[widest]
}
