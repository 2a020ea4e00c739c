package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

const (
	// faultWindow is how far back failures count against a host.
	faultWindow = 4 * time.Second
	// faultyJobs different jobs must fail on a host within the window before
	// the host is suspected: one hopeless job fails anywhere.
	faultyJobs = 3
	// baseQuarantine is how long a suspect gets no work. Twice as long after each
	// further suspicion, up to longestQuarantine.
	baseQuarantine    = 2 * time.Second
	longestQuarantine = 8 * time.Second
	// hangAfter is how long a run's percent may stand still. A report covers
	// a percent of the work, so only a run that stands or crawls shows none.
	hangAfter = 1500 * time.Millisecond
)

// health is what a host's runs tell about it.
type health struct {
	// faults are the last failures by job.
	faults map[string]time.Time
	// strikes is how often it was suspected since it last did well.
	strikes int
	// proving: its quarantine is over, and it gets one task at a time until
	// one ends well.
	proving bool
	until   time.Time
}

func newHealth() health { return health{faults: make(map[string]time.Time)} }

func (h *health) failed(job string, now time.Time) {
	for other, at := range h.faults {
		if now.Sub(at) > faultWindow {
			delete(h.faults, other)
		}
	}
	h.faults[job] = now
	if len(h.faults) >= faultyJobs || (h.proving && now.After(h.until)) {
		h.startQuarantine(now)
	}
}

// startQuarantine puts the host into quarantine.
func (h *health) startQuarantine(now time.Time) {
	if now.Before(h.until) {
		return
	}
	pause := baseQuarantine << min(h.strikes, 2)
	h.strikes++
	h.proving = true
	h.until = now.Add(min(pause, longestQuarantine))
	clear(h.faults)
}

// onTrial reports whether a host that has to prove itself has something to prove
// it with. What ran there before doesn't count: a lasting task never ends, and
// the host would get nothing more for ever.
func (h *host) onTrial() bool {
	if !h.health.proving {
		return false
	}
	for _, r := range h.runs {
		if r.asked.After(h.health.until) {
			return true
		}
	}
	return false
}

func (h *health) well() {
	h.strikes, h.proving = 0, false
	clear(h.faults)
}

// learn takes over how a run ended.
func (p *Pool) learn(r *run, how work.EndReason, now time.Time) {
	if how != work.EndDone {
		return
	}
	r.host.health.well()
	if !r.begun.IsZero() && r.pace == fullPercent && r.task.saved == "" {
		r.task.step.tookRun(now.Sub(r.begun))
	}
}

// judgeHangs stops runs that stand still, and suspects a host where all do.
func (p *Pool) judgeHangs(now time.Time) {
	for _, h := range p.hosts {
		if p.silent(h, now) {
			continue
		}
		stuck, alive := 0, 0
		for _, r := range h.runs {
			switch {
			case !r.measurable():
			case r.stuck():
				stuck++
			default:
				alive++
			}
		}
		if stuck < 2 || alive > 0 {
			continue
		}
		h.health.startQuarantine(now)
		for _, r := range h.runs {
			if r.measurable() && r.stuck() {
				p.stop(r, "it stands still, like all on its host")
			}
		}
	}
}

// measurable: its percent should be growing.
func (r *run) measurable() bool {
	s := r.task.step.spec
	return r.state == running && r.pace == fullPercent && !s.Gang && (!s.LongRunning || r.percent < fullPercent)
}

// stuck reports whether the percent has stood still for too long, by what its host
// has reported and by the host's own clock: reports that are late, here or on
// their way, were taken for runs that hang.
func (r *run) stuck() bool {
	// A slow run still shows a percent each hundredth of its time.
	patience := max(hangAfter, r.task.step.spec.Estimate/4)
	return r.movedClock > 0 && time.Duration(r.host.toldClock-r.movedClock)*time.Millisecond > patience
}
