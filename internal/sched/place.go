package sched

import "time"

// usable reports whether a host takes new work at all.
func (pl *planner) usable(h *host) bool { return pl.unusable(h, pl.now) == "" }

// unusable says what keeps a host from new work, or nothing.
func (p *Pool) unusable(h *host, now time.Time) string {
	switch {
	case !h.listed:
		return "not listed"
	case !h.reached || p.silent(h, now):
		return "silent"
	case h.unreachable():
		return "takes no connections"
	case !p.roster[h.ID]:
		return "not stored as in use"
	case h.Draining:
		return "leaving"
	case h.closed:
		return "closed"
	case h.strays > 0:
		return "runs what isn't known"
	case now.Before(h.rested):
		return "rests after a refusal"
	case now.Before(h.health.until):
		return "in quarantine"
	case h.onTrial():
		return "has to prove itself"
	case h.tries(now):
		return "tries a task that may crash it"
	}
	return ""
}

// allowed reports whether a step's constraints let a task run on a host.
func (pl *planner) allowed(s *step, h *host) bool {
	if s.spec.Requires != "" && !h.Has(s.spec.Requires) {
		return false
	}
	if s.spec.MaxPerHost > 0 && s.onHost[h] >= s.spec.MaxPerHost {
		return false
	}
	return s.of.job.record.Queue.Advice == nil || s.advice.ticket(h.ID, pl.now) != ""
}

// keepsOff reports whether a host has something to prove or is kept for another task.
func (h *host) keepsOff(t *task, now time.Time) bool {
	return h.onTrial() || h.tries(now) || h.quietBut(t, now)
}

// leave takes one run of the step off a host.
func (s *step) leave(h *host) {
	if s.onHost[h]--; s.onHost[h] <= 0 {
		delete(s.onHost, h)
	}
}

func (s *step) onRack(rack string) int {
	count := 0
	for h, runs := range s.onHost {
		if h.Rack == rack {
			count += runs
		}
	}
	return count
}

// find picks the host for a task, or nil.
func (pl *planner) find(t *task) *host {
	s := t.step
	size := s.spec.Reserved()
	if !size.Fits(pl.most) {
		return nil
	}
	suspicion := pl.suspicion(t, pl.now)
	var best *host
	var bestScore float64
	for _, h := range pl.open {
		// Most hosts of a busy pool are full: that is looked at first.
		if !size.Fits(h.free()) || h.keepsOff(t, pl.now) || !pl.allowed(s, h) || t.placed > 0 && h.runs[t.name] != nil {
			continue
		}
		if !s.spec.LongRunning && pl.reserved[h] || h.promised.keepsOut(s, pl.now) {
			continue
		}
		score, ok := pl.score(s, h)
		if ok && suspicion > 0 {
			var company float64
			company, ok = pl.company(t, suspicion, h)
			score += company
		}
		if ok && (best == nil || score < bestScore || score == bestScore && h.ID < best.ID) {
			best, bestScore = h, score
		}
	}
	return best
}

const (
	// rackWeight makes a lasting step's spread over racks count more than its
	// spread over hosts, and that more than the fit.
	rackWeight = 1000
	hostWeight = 100
	// pinWeight puts a host that has lasting tasks before one that has none, which
	// could go where demand rises: with each step's tasks on hosts of their own
	// hardly any host of a small pool could be moved, and a pool in its turn got a
	// third of the hosts that it asked for.
	pinWeight = 10
	// dueWeight puts any other host before one that is due for maintenance.
	dueWeight = 100_000
	// farWeight puts any host near the data before any other.
	farWeight = 10_000
)

// score says how well a host suits a step; less is better. ok is false when it
// is better to wait.
func (pl *planner) score(s *step, h *host) (score float64, ok bool) {
	if s.spec.DataRack != "" && h.Rack != s.spec.DataRack {
		if !pl.goFar(s) {
			return 0, false
		}
		score += farWeight
	}
	left := float64(h.free().MilliCPU-s.spec.Reserved().MilliCPU) / float64(max(1, h.Capacity.MilliCPU))
	if s.spec.LongRunning {
		// One rack that goes dark should take few of a step's tasks along.
		score += rackWeight*float64(s.onRack(h.Rack)) + hostWeight*float64(s.onHost[h])
		if pl.now.Before(h.due) {
			score += dueWeight
		}
		if h.lasting == 0 {
			score += pinWeight
		}
		return score - left, true
	}
	if s.spec.SameRack {
		score -= rackWeight * float64(s.onRack(h.Rack))
	}
	// The fullest host that has room keeps the others whole for large tasks.
	return score + left, true
}

// goFar reports whether a task should run away from its data rather than wait
// on. Away it takes longer by the far factor.
func (pl *planner) goFar(s *step) bool {
	extra := time.Duration(float64(s.spec.Estimate) * max(0, pl.RemoteFactor-1))
	return pl.now.Sub(s.since) > min(extra, longestNearWait)
}

// longestNearWait bounds the wait for a host near the data: a task whose turn
// has come may not wait for three seconds while there is room.
const longestNearWait = time.Second
