package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// A host that crashes takes all its runs along and lists no ends, so that nothing
// it says tells a task that crashes its hosts from one that was merely there. Each
// host lost under a task counts as a crash of it until the run turns up alive or
// ended. Suspects start apart from each other, and strong ones with nothing beside
// them, so that the next loss tells which of them it was.

const (
	// crashesAlone are enough to give a task up that was alone on one of these
	// hosts other than the first, crashesMost wherever it ran. The platform allows
	// it from two, and takes five starts at the most.
	crashesAlone = 2
	crashesMost  = 4
	// lastingAlone and lastingMost hold a lasting task back: its job would suffer
	// for as long as it lasts from a mistake.
	lastingAlone = 4
	lastingMost  = 5
	// strongSuspect is from how many crashes on a task gets a host for itself.
	strongSuspect = 2
	// aloneFor is how long it keeps that host to itself.
	aloneFor = 3 * time.Second
	// harmlessAfter is how long a run must have been on a host that was heard for
	// another task to be blamed for the host's end.
	harmlessAfter = 2 * time.Second
	// clearedAfter is how long a lasting task must be at work on one host for
	// earlier crashes to count no more.
	clearedAfter = 10 * time.Second
	// quietFor is how long a host is kept quiet for a suspect, renewed while it
	// waits.
	quietFor = 300 * time.Millisecond
	// newLifeFor is for how long a life of a host gets suspects last: hosts that go
	// down and up by turns are the emptiest ones.
	newLifeFor = 5 * time.Second
)

// Weights of what a suspect had better keep away from, in this order: other
// suspects, young hosts, lasting tasks, any other run.
const (
	suspectsWeight = 10_000_000
	newLifeWeight  = 1_000_000
	lastingWeight  = 50_000
	companyWeight  = 20
)

// Verdict is what the loss of a host means for a task that ran there.
type Verdict string

// The verdicts.
const (
	Unblamed  Verdict = "unblamed"
	Suspected Verdict = "suspected"
	JobFailed Verdict = "given up"
	Blocked   Verdict = "held back"
)

// blames reports whether the loss of a host may be the fault of what ran there.
// Hosts that leave or are emptied end anyway, and one that is still listed may
// only be cut off.
func (h *host) blames(evidence Evidence) bool {
	return !h.Draining && !h.closed && (evidence == InstanceReplaced || !h.listed)
}

// blame counts the loss of its host against a run's task. It is called before
// the run ends.
func (p *Pool) blame(r *run, now, wall time.Time) Verdict {
	t := r.task
	if j := t.job(); t.done || j.state != "" || r.harmless() && r.host.hasFresh() {
		return Unblamed
	}
	t.charge(r.number)
	t.crashedAlone = t.crashedAlone || len(t.crashed) >= crashesAlone && r.alone()
	switch {
	case t.step.spec.LongRunning && t.heldBack():
		return Blocked
	case t.step.spec.LongRunning:
		return Suspected
	case t.condemned():
		p.giveUp(t, now, wall)
		return JobFailed
	}
	return Suspected
}

// charge counts a run as one under which a host crashed.
func (t *task) charge(number int) {
	if !slices.Contains(t.crashed, number) {
		t.crashed = append(t.crashed, number)
		t.step.crashes++
		t.job().version++
	}
}

// acquit takes that back: the run has turned up on a host that lives. It reports
// whether the run was counted.
func (t *task) acquit(number int) bool {
	at := slices.Index(t.crashed, number)
	if at < 0 {
		return false
	}
	t.crashed = slices.Delete(t.crashed, at, at+1)
	t.step.crashes--
	t.job().version++
	return true
}

// giveUp fails a task's job: the task crashes each host that starts it.
func (p *Pool) giveUp(t *task, now, wall time.Time) {
	j := t.job()
	j.failure = t.name.String() + " crashes its hosts"
	p.finish(j, work.Failed, now, wall)
}

// heldBack reports whether a lasting task starts no more, as it crashes each host
// that starts it. The others of its step go on.
func (t *task) heldBack() bool {
	return t.step.spec.LongRunning && (len(t.crashed) >= lastingMost || t.crashedAlone && len(t.crashed) >= lastingAlone)
}

// condemned reports whether a task was found to crash its hosts. A former holder may
// have counted the last of them without being able to say so.
func (t *task) condemned() bool {
	return !t.step.spec.LongRunning && (len(t.crashed) >= crashesMost || t.crashedAlone && len(t.crashed) >= crashesAlone)
}

// harmless reports whether a run had been on its host for a while when that was
// last heard.
func (r *run) harmless() bool {
	return !r.begun.IsZero() && r.host.heard.Sub(r.begun) >= harmlessAfter
}

// hasFresh reports whether a host has runs that aren't known to be harmless.
func (h *host) hasFresh() bool {
	for _, r := range h.runs {
		if !r.harmless() {
			return true
		}
	}
	return false
}

// alone reports whether a run had begun on its host, and only harmless ones beside
// it.
func (r *run) alone() bool {
	for _, other := range r.host.runs {
		if other != r && !other.harmless() {
			return false
		}
	}
	return !r.begun.IsZero()
}

// unheard counts a task's runs whose host may have crashed under them.
func (p *Pool) unheard(t *task, now time.Time) int {
	count := 0
	if t.run != nil && p.inDoubt(t.run, now) {
		count++
	}
	for _, r := range t.copies {
		if p.inDoubt(r, now) {
			count++
		}
	}
	return count
}

// inDoubt reports whether a run's host may have crashed under it: the host is silent,
// or the run's start got no answer.
func (p *Pool) inDoubt(r *run, now time.Time) bool {
	return p.silent(r.host, now) || r.state == stopping && r.begun.IsZero()
}

// suspicion is under how many hosts' ends a task may have been.
func (p *Pool) suspicion(t *task, now time.Time) int {
	if t.placed == 0 {
		return len(t.crashed)
	}
	return len(t.crashed) + p.unheard(t, now)
}

// mayCopy reports whether a task may start beside a run that isn't heard. A task
// that crashes hosts would go through one after the other before the first crash
// is known.
func (p *Pool) mayCopy(t *task, now time.Time) bool { return p.suspicion(t, now) < strongSuspect }

// charges are the runs of a task to store as crashes: those that were, and all that
// go on of a suspect. A holder that is lost with the host can't add it later.
func (t *task) charges() []int {
	charges := slices.Clone(t.crashed)
	if t.trial > 0 {
		charges = append(charges, t.trial)
	}
	if !t.suspect() {
		return charges
	}
	if t.run != nil {
		charges = append(charges, t.run.number)
	}
	for _, r := range t.copies {
		charges = append(charges, r.number)
	}
	return charges
}

// suspectAll has all runs on a host that has fallen silent stored as crashes: a
// holder that is replaced before it knows more can't say so later.
func (h *host) suspectAll() {
	for _, r := range h.runs {
		r.makeSuspect()
	}
}

// makeSuspect has a run stored as a crash until its end is known.
func (r *run) makeSuspect() {
	if j := r.task.job(); !r.suspect && j.state == "" {
		r.suspect = true
		r.host.suspects++
		j.version++
	}
}

// heardAgain clears a run that has been on its host for a while and is heard.
func (r *run) heardAgain() {
	if r.suspect && r.harmless() && len(r.task.crashed) == 0 {
		r.suspect, r.guarded = false, false
		r.host.suspects--
		r.task.job().version++
	}
}

// suspect reports whether a task may crash its hosts: it has, or a run of it may.
func (t *task) suspect() bool {
	return len(t.crashed) > 0 || t.run != nil && t.run.suspect || slices.ContainsFunc(t.copies, func(r *run) bool { return r.suspect })
}

// tries reports whether a host tries a strong suspect, and takes nothing beside it.
func (h *host) tries(now time.Time) bool {
	if h.suspects == 0 {
		return false
	}
	for _, r := range h.runs {
		if r.guarded && (r.begun.IsZero() || now.Sub(r.begun) < aloneFor) {
			return true
		}
	}
	return false
}

// announced reports whether the store has a suspect's next run as a crash, so that
// it may start.
func (pl *planner) announced(t *task, number int) bool {
	j := t.job()
	if t.trial != number {
		j.version++
		t.trial, t.trialVersion = number, j.version
		return false
	}
	return j.saved >= t.trialVersion
}

// gangAnnounced reports whether the store has the next run of a gang as a crash of each
// member that is a suspect.
func (pl *planner) gangAnnounced(s *step, number int) bool {
	all := true
	for _, t := range s.tasks {
		if pl.suspicion(t, pl.now) > 0 && !pl.announced(t, number) {
			all = false
		}
	}
	return all
}

// startSuspect starts a task that may crash its host, if there is one for it. That
// there is none says nothing about others of its kind.
func (pl *planner) startSuspect(t *task) {
	number := t.lastRun + 1
	if t.heldBack() || len(t.copies) > 0 && !pl.mayCopy(t, pl.now) || !pl.announced(t, number) {
		return
	}
	if h := pl.find(t); h != nil {
		pl.start(t, h, number)
		return
	}
	pl.makeWay(t.step)
	if pl.suspicion(t, pl.now) >= strongSuspect {
		pl.quieten(t)
	}
}

// quieten keeps new work off the host where a strong suspect can be alone soonest.
func (pl *planner) quieten(t *task) {
	var best *host
	for _, h := range pl.open {
		if !pl.allowed(t.step, h) || !t.step.spec.Reserved().Fits(h.Capacity) || h.quietBut(t, pl.now) {
			continue
		}
		if best == nil || h.quietFor == t || best.quietFor != t && len(h.runs) < len(best.runs) {
			best = h
		}
	}
	if best != nil {
		best.quietFor, best.quietUntil = t, pl.now.Add(quietFor)
	}
}

// quietBut reports whether a host is kept quiet for another task than t.
func (h *host) quietBut(t *task, now time.Time) bool {
	return h.quietFor != nil && h.quietFor != t && now.Before(h.quietUntil)
}

// company says how badly a host suits a suspect; less is better. ok is false where
// a strong one couldn't be told from others.
func (pl *planner) company(t *task, suspicion int, h *host) (score float64, ok bool) {
	if suspicion >= strongSuspect && (h.suspects > 0 || h.hasFresh()) {
		return 0, false
	}
	score = suspectsWeight*float64(h.suspects) + lastingWeight*float64(h.lasting) + companyWeight*float64(len(h.runs))
	if t.step.spec.Gang {
		// The members that are being placed with it don't run there yet.
		score += suspectsWeight * float64(t.step.onHost[h])
	}
	if pl.now.Sub(h.since) < newLifeFor {
		score += newLifeWeight
	}
	return score, true
}

// cleared forgets crashes of a lasting task that has been at work for long.
func (r *run) cleared(now time.Time) {
	if t := r.task; len(t.crashed) > 0 && now.Sub(r.begun) > clearedAfter {
		t.step.crashes -= len(t.crashed)
		t.crashed, t.crashedAlone = nil, false
		t.job().version++
	}
}
