package share

// Allocation is what one gateway may use of one endpoint.
type Allocation struct {
	Slots       int
	Connections int
}

func (u Allocation) min(other Allocation) Allocation {
	return Allocation{Slots: min(u.Slots, other.Slots), Connections: min(u.Connections, other.Connections)}
}

// Table holds one gateway's shares under an agreement.
type Table struct {
	settled *viewTable
	next    *viewTable
}

// viewTable holds one member's shares of one view.
type viewTable struct {
	view   *View
	member string
	ids    []string
	place  int
	units  map[string]map[string]Allocation
}

// NewTable works out the shares of one member under an agreement.
func NewTable(a *Agreement, member string) *Table {
	t := &Table{settled: newViewTable(&a.Committed, member)}
	if a.Next != nil {
		t.next = newViewTable(a.Next, member)
	}
	return t
}

// Allocation returns the member's share of an endpoint: the smaller of those in the
// views that may be in use.
func (t *Table) Allocation(service, host string) Allocation {
	units := t.settled.of(service, host)
	if t.next != nil {
		units = units.min(t.next.of(service, host))
	}
	return units
}

// TotalSlots returns the member's slots over all endpoints of all services.
func (t *Table) TotalSlots() int {
	total := 0
	for service, hosts := range t.settled.units {
		for host := range hosts {
			total += t.Allocation(service, host).Slots
		}
	}
	return total
}

func newViewTable(view *View, member string) *viewTable {
	t := &viewTable{view: view, member: member, ids: view.IDs(), place: -1, units: make(map[string]map[string]Allocation)}
	for i, id := range t.ids {
		if id == member {
			t.place = i
		}
	}
	if t.place < 0 {
		return t
	}
	for name, service := range view.Services {
		slots := Split(name, service.Slots, service.Hosts, t.ids)
		connections := Split(name, service.Connections, service.Hosts, t.ids)
		units := make(map[string]Allocation, len(service.Hosts))
		for i, host := range service.Hosts {
			units[host] = usable(slots[i][t.place], connections[i][t.place])
		}
		t.units[name] = units
	}
	return t
}

// of also answers for an endpoint that the view doesn't list, such as one on a
// host that has just changed pools: its split looks at nothing but its name.
func (t *viewTable) of(service, host string) Allocation {
	if t.place < 0 {
		return Allocation{}
	}
	if units, listed := t.units[service][host]; listed {
		return units
	}
	limits, known := t.view.Services[service]
	if !known {
		return Allocation{}
	}
	slots := SplitOne(service, limits.Slots, host, t.ids)
	connections := SplitOne(service, limits.Connections, host, t.ids)
	return usable(slots[t.place], connections[t.place])
}

// usable gives no slot that no connection could be opened for.
func usable(slots, connections int) Allocation {
	return Allocation{Slots: min(slots, connections), Connections: connections}
}

// WithinLimits reports whether the members' shares of every endpoint sum to no
// more than its limits, in each view of the agreement.
func WithinLimits(a *Agreement) bool {
	for _, view := range []*View{&a.Committed, a.Target()} {
		for name, service := range view.Services {
			if !sumsTo(name, service.Slots, service.Hosts, view.IDs()) ||
				!sumsTo(name, service.Connections, service.Hosts, view.IDs()) {
				return false
			}
		}
	}
	return true
}

func sumsTo(service string, limit int, hosts, members []string) bool {
	for _, units := range Split(service, limit, hosts, members) {
		sum := 0
		for _, count := range units {
			sum += count
		}
		if sum > limit {
			return false
		}
	}
	return true
}
