package sched

import "time"

// closeFor is how long a host stays closed to new work when whoever asked for
// that asks no more.
const closeFor = 4 * time.Second

// Drain closes a host to new work so that it empties. It reports whether the
// host is empty; known is false when the pool has no such host. Ask again
// until it is, and act at once then.
func (p *Pool) Drain(id string, now time.Time) (empty, known bool, address string) {
	h := p.hosts[id]
	if h == nil {
		return false, false, ""
	}
	h.closed, h.closedUntil = true, now.Add(closeFor)
	// Only a host that has answered our fence has told all that runs there,
	// and takes no more from an earlier holder. One that the store still names
	// as in use has to wait: gone from its pool it answers nobody, and if this
	// holder was cut off from the store and replaced, the next one would wait
	// eleven seconds for it before it started anything that it found waiting.
	return h.reached && len(h.runs) == 0 && !p.named[id], true, h.Address
}

// dueFor is how long what was said of hosts that are due for maintenance
// holds: it is said again several times a second.
const dueFor = 2 * time.Second

// MarkMaintenanceDue notes which hosts will go for maintenance, until when lasting tasks had
// better not move there: they would have to move once more.
func (p *Pool) MarkMaintenanceDue(ids []string, now time.Time) {
	for _, id := range ids {
		if h := p.hosts[id]; h != nil {
			h.due = now.Add(dueFor)
		}
	}
}

// Undrain takes a closed host back into use.
func (p *Pool) Undrain(id string) {
	if h := p.hosts[id]; h != nil {
		h.closed = false
	}
}

// takeoverCalm is how long beyond the time of a stop a new holder takes no
// lasting task away. One that an earlier holder is stopping still shows as at
// work until it ends, and a second one would go missing beside it.
const takeoverCalm = 1200 * time.Millisecond

// evacuate moves lasting tasks off hosts that leave or are closed, as far as
// no step misses more than it may. Other tasks end by themselves.
func (pl *planner) evacuate() {
	if pl.now.Sub(pl.started) < pl.StopGrace+takeoverCalm {
		return
	}
	for _, h := range pl.hosts {
		if !h.closed && !h.Draining {
			continue
		}
		for _, r := range h.runs {
			s := r.task.step
			if r.state == running && s.spec.LongRunning && r.task.run == r && pl.mayMiss(r.task) && pl.roomElsewhere(r.task) {
				pl.stop(r, "its host is to be emptied")
			}
		}
	}
}

// mayMiss reports whether one more task of a step may be taken away: those
// that aren't at work for any reason count as missing already.
func (pl *planner) mayMiss(t *task) bool {
	away := 0
	for _, other := range t.step.tasks {
		if other != t && !other.run.atWork(pl.now) {
			away++
		}
	}
	return away < max(1, t.step.spec.MaxUnavailable)
}

// freshFor is how old a host's last answer may be for its tasks to count as
// at work: it may have gone since.
const freshFor = 900 * time.Millisecond

func (r *run) atWork(now time.Time) bool {
	return r != nil && r.state == running && r.percent >= fullPercent && now.Sub(r.host.heard) <= freshFor
}

// roomElsewhere reports whether another host could take the task right away.
func (pl *planner) roomElsewhere(t *task) bool {
	return pl.find(t) != nil
}
