package hostmanager

import (
	"cmp"
	"slices"
	"time"
)

const (
	// timeToMove is how long a moving host serves nobody: it moves, and the
	// destination's holder gets it with its next list.
	timeToMove = 2300 * time.Millisecond
	// minUse is how long a moved host is expected to be used where it goes if no demand
	// burst is active there: twice the time for which it is out.
	minUse = 2 * timeToMove
	// minBusyUse is the least expected use for which a busy host is moved.
	minBusyUse = timeToMove
	// SettlingTime is how long after a move a host isn't drained for another one.
	SettlingTime = timeToMove + minUse
	// minRecipientValue is the least mean value of one more host for which a pool gets
	// one: that of a host of which half works on late jobs.
	minRecipientValue = LateValue / 2
	// minIdleGain is the least gain for which an idle host is moved.
	minIdleGain = minRecipientValue
	// maxBusyRemaining is the longest expected remaining run time of a busy host that
	// is given away. Runs take up to a third longer than expected, and a host that
	// isn't empty within moveDrainTimeout stays.
	maxBusyRemaining = moveDrainTimeout * 3 / 4
	// maxBusyShare is the share of a pool's schedulable hosts that one plan drains. The
	// next plan follows when the pool has reported what that did to its work in time.
	maxBusyShare = 0.25
	// maxReportAge is how old the report of a pool may be for it to give busy hosts. An
	// older one says nothing about what runs on its hosts.
	maxReportAge = 800 * time.Millisecond
)

// Reason tells why a host is moved.
type Reason string

// Reasons for moves.
const (
	// ReasonValue means that the host brings more at the destination.
	ReasonValue Reason = "value"
	// ReasonShortage means that the destination needs the host, which is idle.
	ReasonShortage Reason = "shortage"
	// ReasonLevel means that free capacity is levelled.
	ReasonLevel Reason = "level"
)

// allocator assigns hosts to the pools in which they bring the most, one after the
// other. It answers loads under which several pools are short at once: none has idle
// hosts, and some work on jobs that are late while jobs elsewhere could be in time.
type allocator struct {
	*movePlanner
	pools  []*valuedPool
	byPool map[*plannedPool]*valuedPool
}

// valuedPool is a pool with its value curve.
type valuedPool struct {
	*plannedPool
	curve valueCurve
	// hostSize is the mean capacity of a host, in millicores.
	hostSize float64
	// busy are the busy hosts that the pool can give, the cheapest first.
	busy []busyHost
	// next is the mean value of a core of one more host, kept that of the last host.
	next, kept float64
	// unserved is set once no pool had a host to give to this one.
	unserved bool
}

type busyHost struct {
	Host
	remaining time.Duration
}

// allocate moves hosts to pools in which they bring more than where they are: idle
// hosts and those of spare pools first, then busy ones.
func (a *allocator) allocate() {
	for a.allocateRound() {
	}
}

// allocateRound moves hosts until none gains anything, and reports whether one moved. A
// pool that found no host is left out for the rest of the round; it may find one after
// others have got theirs.
func (a *allocator) allocateRound() (moved bool) {
	for _, v := range a.pools {
		v.unserved = false
	}
	for a.moveBest() {
		moved = true
	}
	return moved
}

func newAllocator(m *movePlanner) *allocator {
	a := &allocator{movePlanner: m, byPool: make(map[*plannedPool]*valuedPool, len(m.pools))}
	mean, promised := m.meanHostCPU, m.promised()
	for _, p := range m.pools {
		v := &valuedPool{plannedPool: p, hostSize: p.hostCPU(mean)}
		if p.Known {
			v.curve = p.curve()
			if !m.receives(p.Name) {
				v.busy = p.busyHosts(promised)
			}
		}
		v.update()
		a.pools, a.byPool[p] = append(a.pools, v), v
	}
	return a
}

// update computes the values at the pool's current capacity.
func (v *valuedPool) update() {
	v.next = v.curve.meanValue(v.capacity, v.capacity+v.hostSize)
	v.kept = v.curve.meanValue(v.capacity-v.hostSize, v.capacity)
}

// receives reports whether the pool can get hosts.
func (v *valuedPool) receives() bool {
	return v.canReceive() && v.ReportAge <= maxReportAge && v.next >= minRecipientValue
}

// moveBest moves the host that gains the most, and reports whether one does.
func (a *allocator) moveBest() bool {
	for {
		to := a.bestRecipient()
		if to == nil {
			return false
		}
		if a.moveIdleTo(to) || a.moveBusyTo(to) {
			return true
		}
		to.unserved = true
	}
}

// bestRecipient returns the pool in which the next host brings the most; among equal
// ones that with the least capacity relative to its need.
func (a *allocator) bestRecipient() (best *valuedPool) {
	for _, v := range a.pools {
		if v.unserved || !v.receives() {
			continue
		}
		if best == nil || v.next > best.next || v.next == best.next && v.capacity*best.needed < best.capacity*v.needed {
			best = v
		}
	}
	return best
}

// moveIdleTo moves an idle host to a pool, and reports whether there is one.
func (a *allocator) moveIdleTo(to *valuedPool) bool {
	from := a.bestDonor(to.plannedPool, func(from *plannedPool) bool { return a.byPool[from].givesIdleTo(to) })
	if from == nil {
		return false
	}
	a.moveOne(to.plannedPool, from, ReasonValue)
	to.update()
	a.byPool[from].update()
	return true
}

// givesIdleTo reports whether the pool gives idle hosts to another one, which has to
// gain something: the two would otherwise pass hosts to and fro.
func (v *valuedPool) givesIdleTo(to *valuedPool) bool { return v.kept+minIdleGain <= to.next }

// moveBusyTo drains the busy host that loses the least and gains something, and
// reports whether there is one.
func (a *allocator) moveBusyTo(to *valuedPool) bool {
	var best *valuedPool
	index, lowest := 0, 0.0
	for _, from := range a.pools {
		// No host of a pool loses less than what its cores bring while it moves.
		if from == to || len(from.busy) == 0 || best != nil && from.kept*timeToMove.Seconds() >= lowest {
			continue
		}
		i := slices.IndexFunc(from.busy, func(h busyHost) bool { return a.allowed(h.Host, to.Name) })
		if i < 0 {
			continue
		}
		// The host serves nobody until it is drained, moved and listed.
		out := timeToMove + from.busy[i].remaining
		use := to.expectedUse(out)
		lost := from.kept * (out + use).Seconds()
		if use >= minBusyUse && lost < to.next*use.Seconds() && (best == nil || lost < lowest) {
			best, index, lowest = from, i, lost
		}
	}
	if best == nil {
		return false
	}
	h := best.busy[index].Host
	best.removeBusy(index)
	a.transfer(best.plannedPool, to.plannedPool, Move{Host: h, To: to.Name, Busy: true, Reason: ReasonValue})
	to.update()
	best.update()
	return true
}

func (v *valuedPool) removeBusy(index int) {
	if index == 0 {
		v.busy = v.busy[1:]
		return
	}
	v.busy = slices.Delete(v.busy, index, index+1)
}

// expectedUse is for how long the pool will use a host that arrives after out.
func (v *valuedPool) expectedUse(out time.Duration) time.Duration {
	if v.BurstNeed > 0 {
		return v.BurstLeft - out
	}
	return minUse
}

// busyHosts returns the busy hosts that a pool can give away beside those that are
// promised: first those without maintenance due, then the ones that are empty soonest.
// Hosts with long-running tasks stay, and so do hosts that have just arrived. The pool
// keeps the hosts that its long-running tasks and gangs need.
func (p *plannedPool) busyHosts(promised map[string]bool) []busyHost {
	if p.Spare || p.Load.WarmingUp || p.ReportAge > maxReportAge || len(p.Load.Demand) == 0 {
		return nil
	}
	free := make(map[string]bool, len(p.movable))
	for _, h := range p.movable {
		free[h.Name] = true
	}
	loads, given := p.loadsByWorker(), 0
	var hosts []busyHost
	for _, h := range p.Hosts {
		if promised[h.Name] {
			given++
			continue
		}
		l, known := loads[h.Worker]
		if known && l.drainable() && !free[h.Name] && !h.Settling {
			hosts = append(hosts, busyHost{h, l.Remaining})
		}
	}
	slices.SortFunc(hosts, func(a, b busyHost) int {
		return cmp.Or(trueFirst(b.MaintenanceDue, a.MaintenanceDue), cmp.Compare(a.remaining, b.remaining),
			cmp.Compare(loads[a.Worker].WorkValue, loads[b.Worker].WorkValue), cmp.Compare(a.Name, b.Name))
	})
	schedulable := p.Load.schedulable()
	limit := schedulable - p.Load.minSchedulable() - reserveHosts - len(p.movable) - given
	limit = min(limit, busyLimit(schedulable), len(hosts))
	return hosts[:max(0, limit)]
}

// busyLimit is how many hosts one plan drains at most of a pool's schedulable ones.
func busyLimit(schedulable int) int { return int(maxBusyShare * float64(schedulable)) }

// drainable reports whether the host is empty soon once it accepts no new tasks.
func (h HostLoad) drainable() bool {
	return h.LongRunning == 0 && !h.Unschedulable && h.Remaining <= maxBusyRemaining
}
