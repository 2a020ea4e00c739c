package sched

import "time"

// drainTimeout is how long a host stays unschedulable when the drain request is not
// repeated.
const drainTimeout = 4 * time.Second

// Drain makes a host unschedulable, so that it gets no new work and its runs end or
// move away. It reports whether the host is empty; known is false when the pool does
// not have the host. Callers repeat it until the host is empty, and act at once
// then.
func (p *Pool) Drain(id string, now time.Time) (empty, known bool) {
	h := p.hosts[id]
	if h == nil {
		return false, false
	}
	h.unschedulable, h.unschedulableUntil = true, now.Add(drainTimeout)
	// Only a host that has answered with this holder's fencing token has reported
	// all its runs and accepts no more from an earlier holder. A host that is still
	// in the stored roster has to wait: once it has left the pool it does not
	// respond, and if this holder was cut off from the store and replaced, its
	// successor would wait for that host's leases to expire before starting the waiting
	// tasks it found.
	return h.reached && len(h.runs) == 0 && !p.storedRoster[id], true
}

// maintenanceDueTTL is how long a notice of due maintenance is valid; it is
// repeated several times a second.
const maintenanceDueTTL = 2 * time.Second

// MarkMaintenanceDue records which hosts are due for maintenance. Long-running
// tasks avoid them, since they would have to move once more.
func (p *Pool) MarkMaintenanceDue(ids []string, now time.Time) {
	for _, id := range ids {
		if h := p.hosts[id]; h != nil {
			h.maintenanceDueUntil = now.Add(maintenanceDueTTL)
		}
	}
}

// Undrain makes a host schedulable again.
func (p *Pool) Undrain(id string) {
	if h := p.hosts[id]; h != nil {
		h.unschedulable = false
	}
}

// takeoverDelay is how long, on top of the time of a stop, a new holder moves no
// long-running task. A task that an earlier holder is stopping still shows as in
// service until it ends, and a second one would be out of service beside it.
const takeoverDelay = 1200 * time.Millisecond

// evacuate moves long-running tasks off draining hosts as far as no step has more
// tasks out of service than it allows. Other tasks end by themselves.
func (pl *planner) evacuate() {
	if pl.now.Sub(pl.started) < pl.StopGrace+takeoverDelay {
		return
	}
	for _, h := range pl.hosts {
		if !h.unschedulable && !h.Draining {
			continue
		}
		for _, r := range h.runs {
			s := r.task.step
			if r.state == running && s.spec.LongRunning && r.task.run == r && pl.withinDisruptionLimit(r.task) && pl.roomElsewhere(r.task) {
				pl.stop(r, "its host is being drained")
			}
		}
	}
}

// withinDisruptionLimit reports whether one more task of a step may be taken out of
// service. Tasks that are out of service for any reason count.
func (pl *planner) withinDisruptionLimit(t *task) bool {
	unavailable := 0
	for _, other := range t.step.tasks {
		if other != t && !other.run.inService(pl.now) {
			unavailable++
		}
	}
	return unavailable < max(1, t.step.spec.MaxUnavailable)
}

// maxReplyAge is how old a host's last reply may be for its tasks to count as in
// service: the host may have failed since.
const maxReplyAge = 900 * time.Millisecond

func (r *run) inService(now time.Time) bool {
	return r != nil && r.state == running && r.percent >= fullPercent && now.Sub(r.host.repliedAt) <= maxReplyAge
}

// roomElsewhere reports whether another host can take the task now.
func (pl *planner) roomElsewhere(t *task) bool {
	return pl.find(t) != nil
}
