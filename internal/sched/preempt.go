package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

const (
	// preemptAfter is how long a step waits for room to become free before less
	// urgent work is stopped for it.
	preemptAfter = 300 * time.Millisecond
	// reservationSlack is added to the time of a stop: the end arrives with the
	// host's next reply.
	reservationSlack = 400 * time.Millisecond
)

// roomReservation keeps the room that was made for work of a priority against less
// urgent work.
type roomReservation struct {
	priority int
	until    time.Time
}

func (p roomReservation) excludes(s *step, now time.Time) bool {
	return now.Before(p.until) && s.priority() > p.priority
}

func (s *step) priority() int { return s.occurrence.job.record.Queue.Priority }

// preempt stops work of lower priority where that makes room for a step's tasks.
// Only tasks that save checkpoints are stopped: they lose just the time to resume,
// while others would have to start over.
func (pl *planner) preempt(s *step) {
	if s.priority() >= pl.lowestPriority || s.spec.Gang || pl.now.Sub(s.readySince) < preemptAfter {
		return
	}
	for _, t := range s.tasks {
		if t.done || t.run != nil || pl.now.Before(t.notBefore) || pl.now.Before(t.roomReservedUntil) || !pl.lossConfirmed(t) {
			continue
		}
		if !pl.makeRoom(t) {
			return
		}
	}
}

// makeRoom stops the fewest runs that make room for a task, and reports whether it
// found any.
func (pl *planner) makeRoom(t *task) bool {
	s := t.step
	var best []*run
	for _, h := range pl.open {
		if pl.now.Before(h.roomReservation.until) || !pl.allowed(s, h) || h.runs[t.name] != nil {
			continue
		}
		if _, ok := pl.score(s, h); !ok {
			continue
		}
		victims := pickVictims(h, s)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	if best == nil {
		return false
	}
	until := pl.now.Add(pl.StopGrace + reservationSlack)
	best[0].host.roomReservation = roomReservation{s.priority(), until}
	t.roomReservedUntil = until
	for _, r := range best {
		pl.stop(r, "preempted by work of a higher priority")
	}
	return true
}

// pickVictims returns runs on a host without which there is room for a task of s,
// or nil. The latest started come first, as they have the least progress to save.
func pickVictims(h *host, s *step) []*run {
	var victims []*run
	free := h.free()
	for !s.spec.Reserved().Fits(free) {
		var next *run
		for _, r := range h.runs {
			if r.preemptible(s.priority()) && !slices.Contains(victims, r) && (next == nil || r.orderedAt.After(next.orderedAt)) {
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

// preemptible reports whether a run may be stopped for work of a priority.
func (r *run) preemptible(priority int) bool {
	s := r.task.step
	return r.state == running && r.task.run == r && s.priority() > priority &&
		s.spec.Checkpoint && !s.spec.LongRunning && !s.spec.Gang && s.spec.Reserved() != (work.Resources{})
}
