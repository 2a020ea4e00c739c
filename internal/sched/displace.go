package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

const (
	// displaceAfter is how long a step waits for room that becomes free by
	// itself before lesser work is stopped for it.
	displaceAfter = 300 * time.Millisecond
	// promiseSlack is added to the time of a stop: its end is heard with the
	// next answer of the host.
	promiseSlack = 400 * time.Millisecond
)

// promise keeps the room that was made for work of a priority from lesser work.
type promise struct {
	priority int
	until    time.Time
}

func (p promise) keepsOut(s *step, now time.Time) bool {
	return now.Before(p.until) && s.priority() > p.priority
}

func (s *step) priority() int { return s.of.job.record.Queue.Priority }

// displace stops work of lesser priority where that makes room for a step's
// tasks. Only tasks that save their progress are stopped: all they lose is the
// time to resume, while the others would have to begin anew.
func (pl *planner) displace(s *step) {
	if s.priority() >= pl.least || s.spec.Gang || pl.now.Sub(s.since) < displaceAfter {
		return
	}
	for _, t := range s.tasks {
		if t.done || t.run != nil || pl.now.Before(t.notBefore) || pl.now.Before(t.promised) {
			continue
		}
		if !pl.makeRoom(t) {
			return
		}
	}
}

// makeRoom stops the fewest runs that make room for a task, and reports whether
// there were any.
func (pl *planner) makeRoom(t *task) bool {
	s := t.step
	var best []*run
	for _, h := range pl.open {
		if pl.now.Before(h.promised.until) || !pl.allowed(s, h) || h.runs[t.name] != nil {
			continue
		}
		if _, near := pl.score(s, h); !near {
			continue
		}
		victims := lesser(h, s)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	if best == nil {
		return false
	}
	until := pl.now.Add(pl.StopGrace + promiseSlack)
	best[0].host.promised = promise{s.priority(), until}
	t.promised = until
	for _, r := range best {
		pl.stop(r, "work of a higher priority needs its room")
	}
	return true
}

// lesser picks runs on a host without which there is room for a task of s, or
// nil. The last begun come first, as they have the least to save.
func lesser(h *host, s *step) []*run {
	var victims []*run
	free := h.free()
	for !s.spec.Reserved().Fits(free) {
		var next *run
		for _, r := range h.runs {
			if r.mayYield(s.priority()) && !slices.Contains(victims, r) && (next == nil || r.asked.After(next.asked)) {
				next = r
			}
		}
		if next == nil {
			return nil
		}
		victims = append(victims, next)
		free = free.Plus(next.task.step.spec.Reserved())
	}
	return victims
}

// mayYield reports whether a run may be stopped for work of a priority.
func (r *run) mayYield(priority int) bool {
	s := r.task.step
	return r.state == running && r.task.run == r && s.priority() > priority &&
		s.spec.Checkpoint && !s.spec.LongRunning && !s.spec.Gang && s.spec.Reserved() != (work.Resources{})
}
