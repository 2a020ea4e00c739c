package sched

import (
	"cmp"
	"time"
)

// usable reports whether a host takes new work.
func (pl *planner) usable(h *host) bool { return pl.unusable(h, pl.now) == "" }

// unusable returns why a host gets no new work, or an empty string.
func (p *Pool) unusable(h *host, now time.Time) string {
	return cmp.Or(p.unavailable(h, now), h.avoided(now))
}

// unavailable returns the limit for which a host can get no new work, or an empty string.
func (p *Pool) unavailable(h *host, now time.Time) string {
	switch {
	case !h.listed:
		return "not listed"
	case !h.describedByEntry():
		return "listed as another incarnation"
	case !h.reached || p.unresponsive(h, now):
		return "silent"
	case h.unreachable():
		return "refuses connections"
	case now.Before(h.strayLeaseUntil):
		return "restarted with orders under way"
	case !p.roster[h.ID]:
		return "not stored as in use"
	case h.Draining:
		return "leaving"
	case h.unschedulable:
		return "closed"
	case h.unknownRuns > 0:
		return "runs a task of unknown size"
	case now.Before(h.backoffUntil):
		return "backoff after a refusal"
	}
	return ""
}

// avoided returns why a host that could get new work gets none but overdue long-running
// tasks, or an empty string.
func (h *host) avoided(now time.Time) string {
	if reason := h.unproven(now); reason != "" {
		return reason
	}
	if h.isolatesSuspect(now) {
		return "isolates a task that may crash it"
	}
	return ""
}

// unproven returns why a host is not trusted with new work, or an empty string.
func (h *host) unproven(now time.Time) string {
	switch {
	case now.Before(h.health.quarantinedUntil):
		return "in quarantine"
	case h.runsProbationTask(now):
		return "on probation"
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
	return s.occurrence.job.record.Queue.Advice == nil || s.advice.ticket(h.ID, pl.now) != ""
}

// avoids reports whether a host gets no new work at all or is kept for other tasks. An impatient
// task passes what is kept for suspects.
func (pl *planner) avoids(t *task, h *host, impatient bool) bool {
	if h.unproven(pl.now) != "" || h.roomReservation.excludes(t.step, pl.now) || pl.keptFrom(t, h) {
		return true
	}
	return !impatient && (h.isolatesSuspect(pl.now) || h.reservedForOther(t, pl.now))
}

// availableHosts returns the hosts that could get new work, avoided ones among them.
func (pl *planner) availableHosts() []*host {
	if pl.available == nil {
		for _, h := range pl.hosts {
			if pl.unavailable(h, pl.now) == "" {
				pl.available = append(pl.available, h)
				pl.maxAvailable = pl.maxAvailable.Max(h.free())
			}
		}
	}
	return pl.available
}

// removeRun removes one run of the step from a host's count.
func (s *step) removeRun(h *host) {
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

// find returns the best host for a task, or nil.
func (pl *planner) find(t *task) *host {
	s := t.step
	resources := s.spec.Reserved()
	hosts, maxFree, overdue, impatient := pl.open, &pl.maxFree, t.overdue(pl.now), pl.impatient(t)
	if overdue || impatient {
		hosts, maxFree = pl.availableHosts(), &pl.maxAvailable
	}
	if !resources.Fits(*maxFree) {
		return nil
	}
	crashes := pl.suspectedCrashes(t, pl.now)
	var best *host
	var bestScore float64
	for _, h := range hosts {
		// Most hosts of a busy pool are full, so the room is checked first.
		if !resources.Fits(h.free()) || !pl.allowed(s, h) || t.liveRuns > 0 && h.runs[t.name] != nil {
			continue
		}
		avoids := pl.avoids(t, h, impatient)
		if avoids && !overdue {
			continue
		}
		score, ok := pl.score(s, h)
		if avoids {
			score += avoidedWeight
		}
		if ok && crashes > 0 {
			penalty, suits := pl.suspectPenalty(t, crashes, h)
			score += penalty
			ok = suits || overdue || impatient
		}
		if ok && (best == nil || score < bestScore || score == bestScore && h.ID < best.ID) {
			best, bestScore = h, score
		}
	}
	return best
}

const (
	// rackWeight makes the spread of a long-running step over racks count more than
	// its spread over hosts, and that more than how well the task fits.
	rackWeight = 1000
	hostWeight = 100
	// pinWeight prefers a host that has long-running tasks to one that has none,
	// which could be moved to another pool. If each step's tasks had hosts of their
	// own, hardly any host of a small pool could be moved, and a pool in a demand
	// burst would get a third of the hosts that it asks for.
	pinWeight = 10
	// maintenanceWeight prefers any other host to one that is due for maintenance.
	maintenanceWeight = 100_000
	// avoidedWeight prefers any host to one that should get no work.
	avoidedWeight = 50_000_000
	// remoteWeight prefers any host near the data to any other.
	remoteWeight = 10_000
)

// score rates a host for a step; lower is better. ok is false when it is better to
// wait.
func (pl *planner) score(s *step, h *host) (score float64, ok bool) {
	if s.spec.DataRack != "" && h.Rack != s.spec.DataRack {
		if !pl.acceptRemote(s) {
			return 0, false
		}
		score += remoteWeight
	}
	left := float64(h.free().MilliCPU-s.spec.Reserved().MilliCPU) / float64(max(1, h.Capacity.MilliCPU))
	if s.spec.LongRunning {
		// The loss of one rack should take down few of a step's tasks.
		score += rackWeight*float64(s.onRack(h.Rack)) + hostWeight*float64(s.onHost[h])
		if pl.now.Before(h.maintenanceDueUntil) {
			score += maintenanceWeight
		}
		if h.longRunning == 0 {
			score += pinWeight
		}
		return score - left, true
	}
	if s.spec.SameRack {
		score -= rackWeight * float64(s.onRack(h.Rack))
	}
	// The fullest host with room is preferred, which keeps the others free for
	// large tasks.
	return score + left, true
}

// acceptRemote reports whether a task should run away from its data, where it takes
// longer by the remote factor, rather than wait for a host near it.
func (pl *planner) acceptRemote(s *step) bool {
	extra := time.Duration(float64(s.spec.Estimate) * max(0, pl.RemoteFactor-1))
	return pl.now.Sub(s.readySince) > min(extra, maxNearWait)
}

// maxNearWait bounds the wait for a host near the data: a task that is ready may
// not wait for three seconds while there is room.
const maxNearWait = time.Second
