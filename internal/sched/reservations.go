package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

// A long-running step for which no host has room may have one reserved: what ends there
// leaves its room to the step, not to the next small task. Room that is kept from other work
// must come, must leave them hosts to run on, and must not make them stand still.

// patience is how long hosts are kept from a waiting task for others while less than half of
// the pool is in use. The platform counts a job as lost that has nothing running for 3 s
// then; the start has to fit into the rest.
const patience = 2 * time.Second

// reservations holds the hosts that are reserved in a plan.
type reservations struct {
	// room is what is kept on each host for the step that it is reserved for.
	room map[*host]work.Resources
	// steps holds the host that is reserved for each step.
	steps map[*step]*host
	// milliCPU is the capacity of all reserved hosts, poolMilliCPU and poolUsed are the
	// capacity and the use of all listed ones.
	milliCPU, poolMilliCPU, poolUsed int
}

// reserve reserves the host with the most room for a long-running step, among those whose
// room will suffice once what isn't long-running has ended there.
func (pl *planner) reserve(s *step) {
	r := &pl.reserved
	if r.steps[s] != nil {
		return
	}
	var best *host
	for _, h := range pl.hosts {
		if pl.usable(h) && pl.allowed(s, h) && pl.reservable(h) && h.roomComesFor(s) && (best == nil || moreRoom(h, best)) {
			best = h
		}
	}
	if best == nil {
		return
	}
	if r.room == nil {
		r.room, r.steps = make(map[*host]work.Resources), make(map[*step]*host)
	}
	r.room[best], r.steps[s] = s.spec.Reserved(), best
	r.milliCPU += best.Capacity.MilliCPU
}

func moreRoom(h, other *host) bool {
	if a, b := h.free().MilliCPU, other.free().MilliCPU; a != b {
		return a > b
	}
	return h.ID < other.ID
}

// roomComesFor reports whether a task of a step fits on a host beside the long-running
// tasks there.
func (h *host) roomComesFor(s *step) bool {
	return s.spec.Reserved().Fits(h.Capacity.Minus(h.longRunningUsed))
}

// reservable reports whether a host may be reserved beside those that are. One is, always;
// more are while they have at most half of the pool, so that other work finds the
// rest full only when half of the pool is in use.
func (pl *planner) reservable(h *host) bool {
	r := &pl.reserved
	if _, taken := r.room[h]; taken {
		return false
	}
	if len(r.room) == 0 {
		return true
	}
	pl.measurePool()
	return 2*(r.milliCPU+h.Capacity.MilliCPU) <= r.poolMilliCPU
}

// measurePool sums up the listed hosts, once in a plan.
func (pl *planner) measurePool() {
	r := &pl.reserved
	if r.poolMilliCPU > 0 {
		return
	}
	for _, h := range pl.hosts {
		if h.listed && h.mayAnswer(pl.now) {
			r.poolMilliCPU += h.Capacity.MilliCPU
			r.poolUsed += h.used.MilliCPU
		}
	}
}

// keptFrom reports whether a host's room is kept for a long-running step and a task would take
// some of it.
func (pl *planner) keptFrom(t *task, h *host) bool {
	kept, reserved := pl.reserved.room[h]
	spec := t.step.spec
	return reserved && !spec.LongRunning && !fitsBeside(spec.Reserved(), kept, h) && !pl.standsStill(t)
}

// fitsBeside reports whether resources fit on a host beside its runs and what is kept
// there. Of a resource that none is requested of, enough may be missing: that is what
// the host is reserved for.
func fitsBeside(resources, kept work.Resources, h *host) bool {
	left := h.free().Minus(kept)
	return (resources.MilliCPU == 0 || resources.MilliCPU <= left.MilliCPU) &&
		(resources.MemMB == 0 || resources.MemMB <= left.MemMB) && (resources.GPU == 0 || resources.GPU <= left.GPU)
}

// impatient reports whether a task that isn't long-running has waited so long, with most of the
// pool idle, that no host is kept from it for suspects, and none for itself.
func (pl *planner) impatient(t *task) bool {
	return !t.step.spec.LongRunning && pl.now.Sub(latest(t.ranAt, t.step.readySince)) >= patience && pl.mostlyIdle()
}

// standsStill reports whether nothing of a task's job has run for so long, with most of the pool
// idle, that no host is reserved from it. The later tasks of a wide job would pass every
// reservation otherwise, and the step that it is for would starve beside them.
func (pl *planner) standsStill(t *task) bool {
	return t.job().liveRuns == 0 && pl.now.Sub(t.job().ranAt) >= patience && pl.impatient(t)
}

// mostlyIdle reports whether less than half of the pool is in use.
func (pl *planner) mostlyIdle() bool {
	pl.measurePool()
	return 2*pl.reserved.poolUsed < pl.reserved.poolMilliCPU
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
