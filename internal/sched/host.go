package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// host is a host of the pool with the runs that may be on it. Its entry in the
// platform's list may be of another incarnation than the one in life.
type host struct {
	worker.Host
	life
	// listed is set while the platform lists the host; unlistedSince is when it
	// stopped doing so.
	listed        bool
	unlistedSince time.Time
	// addedAt is when the pool began to call it. Its ID may have been here before.
	addedAt time.Time
	used    work.Resources
	runs    map[work.TaskName]*run
	// longRunning counts the long-running runs, longRunningUsed is what they use. Both
	// are updated as runs are added and removed, since a plan reads them many times.
	longRunning     int
	longRunningUsed work.Resources
	// unknownRuns counts the runs whose resources are not known, suspects those
	// whose task may crash its hosts.
	unknownRuns, suspects int
	// unschedulable is set while the host is being drained and gets no new work,
	// until unschedulableUntil at the latest.
	unschedulable      bool
	unschedulableUntil time.Time
	// maintenanceDueUntil is the time until which it counts as due for maintenance.
	maintenanceDueUntil time.Time
}

// life is what is known of one incarnation of a host. Nothing of it holds for the
// next one.
type life struct {
	// incarnation is when it started, as in worker.Host.Born, zero if unknown.
	incarnation int64
	// fence is the fencing token for it, higher than in every order that was meant for an
	// earlier one.
	fence int64
	// reached is set once the host has answered a heartbeat with this holder's
	// fencing token.
	reached bool
	// firstSeen is when this incarnation was first seen.
	firstSeen time.Time
	// leaving is set when the host is listed as draining.
	leaving bool
	// callFailed is set when a heartbeat has failed since the last reply.
	callFailed bool
	// strayLeaseUntil is the time until which an order meant for the incarnation before
	// may have extended the lease on its runs, as far as hosts allow. A successor
	// would not wait that long, so the host gets no work until then.
	strayLeaseUntil time.Time
	// reservedFor is a suspect task for which the host takes no other work until
	// reservedUntil, so that it can run there alone.
	reservedFor   *task
	reservedUntil time.Time
	// reportedAt is when the host last reported its runs, reportedClock its clock
	// then, in milliseconds.
	reportedAt    time.Time
	reportedClock int64
	// repliedAt is when its last reply arrived, leaseSentAt when a heartbeat or a start that
	// extends the leases was last sent.
	repliedAt, leaseSentAt time.Time
	// connectFailedAt is when a call last failed to connect, refusedSince when one
	// first did since the last reply.
	connectFailedAt, refusedSince time.Time
	// clock is its clock at repliedAt, in milliseconds.
	clock int64
	// appliedEnd is the last end that was applied, storedEnd the last one whose
	// outcome is stored, and unstoredEnds holds the ends between them.
	appliedEnd, storedEnd int64
	unstoredEnds          []unstoredEnd
	// backoffUntil is the earliest time of the next start, after refusals or
	// failures.
	backoffUntil time.Time
	health       health
	// endedPaces holds the paces of the last runs that ended successfully.
	endedPaces []endedPace
	// roomReservation keeps the room that is being made on it.
	roomReservation roomReservation
}

// newHost returns a host that was first seen now.
func (p *Pool) newHost(entry worker.Host, now time.Time) *host {
	return &host{
		Host: entry, addedAt: now, runs: make(map[work.TaskName]*run),
		life: life{health: newHealth(), firstSeen: now, fence: p.fence},
	}
}

// target returns the address for orders to the host's present incarnation.
func (h *host) target() worker.Target {
	return worker.Target{ID: h.ID, Address: h.Address, Born: h.incarnation, Fence: h.fence}
}

// unstoredEnd is an end that may not be stored yet.
type unstoredEnd struct {
	number  int64
	job     *job
	version uint64
}

// lastOrderAt returns when a start or a lease renewal was last sent to the host.
func (h *host) lastOrderAt() time.Time {
	last := h.leaseSentAt
	for _, r := range h.runs {
		if r.orderedAt.After(last) {
			last = r.orderedAt
		}
	}
	return last
}

// unreachable reports whether a connection to the host has failed since its last
// reply.
func (h *host) unreachable() bool { return h.connectFailedAt.After(h.repliedAt) }

// connectFailed records that a connection to a host failed.
func (p *Pool) connectFailed(h *host, now time.Time) {
	if !h.unreachable() {
		h.refusedSince = now
		p.noteRefusal(h, now)
	}
	h.connectFailedAt, h.callFailed = now, true
	h.suspectAll()
}

func (h *host) free() work.Resources { return h.Capacity.Minus(h.used) }

// addRun counts a run that may be on the host from now on.
func (h *host) addRun(r *run) {
	s := r.task.step
	h.runs[r.task.name] = r
	h.used = h.used.Plus(s.spec.Reserved())
	s.onHost[h]++
	r.task.liveRuns++
	r.task.job().liveRuns++
	r.task.job().usage.add(r, 1)
	if !s.spec.LongRunning {
		r.task.job().account.AddRunning(s.spec.Resources.MilliCPU)
	}
	if s.spec.LongRunning {
		h.longRunning++
		h.longRunningUsed = h.longRunningUsed.Plus(s.spec.Reserved())
	}
	if s.unknownResources {
		h.unknownRuns++
	}
	if r.suspect {
		h.suspects++
	}
}

// removeRun removes a run that has certainly ended.
func (h *host) removeRun(r *run) {
	s := r.task.step
	delete(h.runs, r.task.name)
	h.used = h.used.Minus(s.spec.Reserved())
	s.removeRun(h)
	r.task.liveRuns--
	r.task.job().liveRuns--
	r.task.job().usage.add(r, -1)
	if !s.spec.LongRunning {
		r.task.job().account.AddRunning(-s.spec.Resources.MilliCPU)
	}
	if s.spec.LongRunning {
		h.longRunning--
		h.longRunningUsed = h.longRunningUsed.Minus(s.spec.Reserved())
	}
	if s.unknownResources {
		h.unknownRuns--
	}
	if r.suspect {
		h.suspects--
	}
}

// deadline returns the host's clock after a duration from now. The extrapolated
// clock may be ahead of the host's, which may run slow, and is hardly ever behind
// it.
func (h *host) deadline(in time.Duration, now time.Time) int64 {
	return h.clock + (now.Sub(h.repliedAt) + in).Milliseconds()
}
