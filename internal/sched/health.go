package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

const (
	// failureWindow is how far back failures count against a host.
	failureWindow = 4 * time.Second
	// minFailedJobs different jobs must fail on a host within the window before the
	// host is quarantined: a single faulty job fails on any host.
	minFailedJobs = 3
	// baseQuarantine is how long a suspected host gets no work at first. The time
	// doubles with each further suspicion, up to maxQuarantine.
	baseQuarantine = 2 * time.Second
	maxQuarantine  = 8 * time.Second
	// hangTimeout is how long a run's percent may stay the same. A report resolves
	// one percent of the work, so only a run that hangs or is extremely slow shows
	// no change.
	hangTimeout = 1500 * time.Millisecond
)

// health is what a host's runs show of its health.
type health struct {
	// failures holds the time of the last failure, by job.
	failures map[string]time.Time
	// quarantines counts the quarantines since a run last succeeded.
	quarantines int
	// probation is set after a quarantine: the host gets one task at a time until
	// one ends successfully, the next one when the one before has made progress.
	probation        bool
	quarantinedUntil time.Time
}

func newHealth() health { return health{failures: make(map[string]time.Time)} }

func (h *health) recordFailure(job string, now time.Time) {
	for other, at := range h.failures {
		if now.Sub(at) > failureWindow {
			delete(h.failures, other)
		}
	}
	h.failures[job] = now
	if len(h.failures) >= minFailedJobs || (h.probation && now.After(h.quarantinedUntil)) {
		h.startQuarantine(now)
	}
}

// startQuarantine puts the host into quarantine.
func (h *health) startQuarantine(now time.Time) {
	if now.Before(h.quarantinedUntil) {
		return
	}
	length := baseQuarantine << min(h.quarantines, 2)
	h.quarantines++
	h.probation = true
	h.quarantinedUntil = now.Add(min(length, maxQuarantine))
	clear(h.failures)
}

// probationStep is how long a run must have made progress for its host on probation to get one
// more task: the first one may take a minute, and the rest of the host would be idle meanwhile.
const probationStep = 2 * time.Second

// runsProbationTask reports whether a host on probation already runs a task that
// was started after its quarantine and has shown too little yet. Earlier runs do not
// count: a long-running task never ends, and the host would never get another task.
func (h *host) runsProbationTask(now time.Time) bool {
	if !h.health.probation {
		return false
	}
	for _, r := range h.runs {
		if r.orderedAt.After(h.health.quarantinedUntil) && !r.progressedFor(probationStep, now) {
			return true
		}
	}
	return false
}

// progressedFor reports whether a run has executed for so long and does not hang.
func (r *run) progressedFor(length time.Duration, now time.Time) bool {
	return !r.startedAt.IsZero() && now.Sub(r.startedAt) >= length && r.percent > r.firstPercent && !r.stuck()
}

func (h *health) recovered() {
	h.quarantines, h.probation = 0, false
	clear(h.failures)
}

// recordOutcome applies the end of a run to its host's health and to the run-time
// model.
func (p *Pool) recordOutcome(r *run, reason work.EndReason, now time.Time) {
	if reason != work.EndDone {
		return
	}
	r.host.health.recovered()
	r.host.notePace(r, now)
	if !r.startedAt.IsZero() && r.speed == fullPercent && r.task.checkpoint == "" {
		p.recordPrediction(r, now.Sub(r.startedAt))
		r.task.step.recordRuntime(now.Sub(r.startedAt))
	}
}

// stopHungRuns stops runs that hang, and quarantines a host where all of them do.
func (p *Pool) stopHungRuns(now time.Time) {
	for _, h := range p.hosts {
		if p.unresponsive(h, now) {
			continue
		}
		stuck, progressing := 0, 0
		for _, r := range h.runs {
			switch {
			case !r.progressExpected():
			case r.stuck():
				stuck++
			default:
				progressing++
			}
		}
		if stuck < 2 || progressing > 0 {
			continue
		}
		h.health.startQuarantine(now)
		for _, r := range h.runs {
			if r.progressExpected() && r.stuck() {
				p.stop(r, "no progress, like all runs on its host")
			}
		}
	}
}

// progressExpected reports whether the run's percent should be growing.
func (r *run) progressExpected() bool {
	s := r.task.step.spec
	return r.state == running && r.speed == fullPercent && !s.Gang && (!s.LongRunning || r.percent < fullPercent)
}

// stuck reports whether the percent has been the same for too long. It compares the
// host's own clock at the reports: judged by the time of arrival, late reports
// would look like runs that hang.
func (r *run) stuck() bool {
	// A slow run still gains one percent in each hundredth of its run time.
	timeout := max(hangTimeout, r.task.step.spec.Estimate/4)
	return r.progressClock > 0 && time.Duration(r.host.reportedClock-r.progressClock)*time.Millisecond > timeout
}
