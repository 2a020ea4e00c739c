package policy

import "time"

// timeUntilNextChange returns the time until the next event that can change the input
// of a policy: a change of a host or the host list, a deadline, or a fault. It is at
// most maxSkip, rounded up to whole reconcile intervals.
func (w *world) timeUntilNextChange() time.Duration {
	next := w.now + maxSkip
	add := func(at time.Duration) {
		if at > w.now && at < next {
			next = at
		}
	}
	for _, h := range w.hosts {
		add(h.upAt)
		if h.drained {
			add(h.drainedAt + h.behavior.drainTime)
		}
		if len(h.transitions) > 0 {
			add(h.transitions[len(h.transitions)-1] + w.listLag)
			add(h.transitions[len(h.transitions)-1] + maxConditionAge)
		}
		if h.lostAt > 0 {
			add(h.lostAt + replacementDelay)
		}
		if h.record.Operation != "" {
			since := w.controller.observed[h.Name].at
			add(since + drainDeadline)
			add(since + rebootDeadline)
			add(since + rebootDeadline + minHealthyTime)
			add(w.controller.healthy[h.Name] + minHealthyTime)
		}
	}
	w.load.nextChanges(w.now, add)
	add(w.faults.rackAt)
	add(resizeAt)
	for _, at := range append(w.faults.failovers, w.faults.outages...) {
		add(at)
	}
	rounds := (next - w.now + w.interval - 1) / w.interval
	return rounds * w.interval
}
