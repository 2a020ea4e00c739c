package share

// Allocation is what one gateway may use of one endpoint.
type Allocation struct {
	Slots       int
	Connections int
}

func (a Allocation) min(other Allocation) Allocation {
	return Allocation{Slots: min(a.Slots, other.Slots), Connections: min(a.Connections, other.Connections)}
}

// Table holds one gateway's shares under an agreement.
type Table struct {
	committed *viewTable
	next      *viewTable
}

// viewTable holds one member's shares in one view.
type viewTable struct {
	view        *View
	member      string
	ids         []string
	memberIndex int
	allocations map[string]map[string]Allocation
}

// NewTable computes the shares of one member under an agreement.
func NewTable(a *Agreement, member string) *Table {
	t := &Table{committed: newViewTable(&a.Committed, member)}
	if a.Next != nil {
		t.next = newViewTable(a.Next, member)
	}
	return t
}

// Allocation returns the member's share of an endpoint: the smaller of its shares in
// the views that may be in use.
func (t *Table) Allocation(service, host string) Allocation {
	allocation := t.committed.allocation(service, host)
	if t.next != nil {
		allocation = allocation.min(t.next.allocation(service, host))
	}
	return allocation
}

// TotalSlots returns the member's slots over all endpoints of all services.
func (t *Table) TotalSlots() int {
	total := 0
	for service, hosts := range t.committed.allocations {
		for host := range hosts {
			total += t.Allocation(service, host).Slots
		}
	}
	return total
}

func newViewTable(view *View, member string) *viewTable {
	t := &viewTable{view: view, member: member, ids: view.IDs(), memberIndex: -1, allocations: make(map[string]map[string]Allocation)}
	for i, id := range t.ids {
		if id == member {
			t.memberIndex = i
		}
	}
	if t.memberIndex < 0 {
		return t
	}
	for name, service := range view.Services {
		slots := Split(name, service.Slots, service.Hosts, t.ids)
		connections := Split(name, service.Connections, service.Hosts, t.ids)
		allocations := make(map[string]Allocation, len(service.Hosts))
		for i, host := range service.Hosts {
			allocations[host] = usableAllocation(slots[i][t.memberIndex], connections[i][t.memberIndex])
		}
		t.allocations[name] = allocations
	}
	return t
}

// allocation also covers an endpoint that the view does not list, such as one on a host
// that has just moved between pools: the split of such an endpoint depends on its name
// only.
func (t *viewTable) allocation(service, host string) Allocation {
	if t.memberIndex < 0 {
		return Allocation{}
	}
	if allocation, listed := t.allocations[service][host]; listed {
		return allocation
	}
	limits, known := t.view.Services[service]
	if !known {
		return Allocation{}
	}
	slots := SplitOne(service, limits.Slots, host, t.ids)
	connections := SplitOne(service, limits.Connections, host, t.ids)
	return usableAllocation(slots[t.memberIndex], connections[t.memberIndex])
}

// usableAllocation reduces the slots to the number of connections, because a slot
// without a connection cannot be used.
func usableAllocation(slots, connections int) Allocation {
	return Allocation{Slots: min(slots, connections), Connections: connections}
}

// WithinLimits reports whether the members' shares of every endpoint sum to no more
// than its limits, in each view of the agreement.
func WithinLimits(a *Agreement) bool {
	for _, view := range []*View{&a.Committed, a.Target()} {
		for name, service := range view.Services {
			if !withinLimit(name, service.Slots, service.Hosts, view.IDs()) ||
				!withinLimit(name, service.Connections, service.Hosts, view.IDs()) {
				return false
			}
		}
	}
	return true
}

func withinLimit(service string, limit int, hosts, members []string) bool {
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
