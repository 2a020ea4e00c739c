package policy

import "time"

// untilNext returns how long nothing can happen: every moment at which a host,
// the list, a deadline or a fault changes what a policy sees ends it. It rounds
// up to whole intervals, as rounds come.
func (w *world) untilNext() time.Duration {
	next := w.now + longest
	sooner := func(at time.Duration) {
		if at > w.now && at < next {
			next = at
		}
	}
	for _, h := range w.hosts {
		sooner(h.upAt)
		if h.drained {
			sooner(h.drainedAt + h.fate.work)
		}
		if len(h.flips) > 0 {
			sooner(h.flips[len(h.flips)-1] + w.lag)
			sooner(h.flips[len(h.flips)-1] + conditionAge)
		}
		if h.gone > 0 {
			sooner(h.gone + replaceAfter)
		}
		if h.record.Operation != "" {
			since := w.memory.seen[h.Name].at
			sooner(since + drainDeadline)
			sooner(since + rebootDeadline)
			sooner(since + rebootDeadline + proofTime)
			sooner(w.memory.healthy[h.Name] + proofTime)
		}
	}
	w.load.next(w.now, sooner)
	sooner(w.faults.rackAt)
	sooner(resizeAt)
	for _, at := range append(w.faults.failovers, w.faults.outages...) {
		sooner(at)
	}
	rounds := (next - w.now + w.every - 1) / w.every
	return rounds * w.every
}
