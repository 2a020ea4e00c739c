package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// A host that crashes takes all its runs with it and reports no ends, so nothing
// shows which of the tasks, if any, crashed it. Each host lost under a task counts
// as a crash of that task until the run is found executing or ended. Suspects start
// apart from each other, and strong suspects with nothing beside them, so that the
// next loss shows which task caused it.

const (
	// minProvenCrashes is the number of proven crashes without which no job is
	// failed. The platform allows it from two on.
	minProvenCrashes = 2
	// A job is failed for a task whose crashes weigh maxCrashWeight: three of which
	// one is decisive, four of which three are proven, or five of which two are. The
	// platform permits five starts at most.
	unprovenWeight = 1
	provenWeight   = 2
	decisiveWeight = 4
	maxCrashWeight = 7
	// undecidedCrashes is the number of crashes from which a task that is not failed
	// for them waits for its next start.
	undecidedCrashes = 3
	// undecidedPause is how long it waits. If it crashes its hosts, it must not go
	// through one after the other; if it does not, its job must not wait for ever.
	undecidedPause = 5 * time.Second
	// strongSuspect is the number of crashes from which a task gets a host for
	// itself.
	strongSuspect = 2
	// isolationPeriod is how long such a task has its host for itself.
	isolationPeriod = 3 * time.Second
	// harmlessAfter is how long a run must have executed on a host that was
	// responding before another task is blamed for the loss of the host.
	harmlessAfter = 2 * time.Second
	// crashResetAfter is how long a long-running task must be in service on one
	// host for its earlier crashes to be reset.
	crashResetAfter = 10 * time.Second
	// suspectReservation is how long a host is reserved for a suspect, renewed
	// while the suspect waits.
	suspectReservation = 300 * time.Millisecond
	// newIncarnationPeriod is how long a new incarnation of a host is the last
	// choice for suspects: hosts that restart repeatedly are the emptiest ones.
	newIncarnationPeriod = 5 * time.Second
)

// Weights of what a suspect avoids, in this order: other suspects, new incarnations
// of hosts, long-running tasks, any other run.
const (
	suspectsWeight       = 10_000_000
	newIncarnationWeight = 1_000_000
	longRunningWeight    = 50_000
	otherRunWeight       = 20
)

// Verdict is the consequence of the loss of a host for a task that ran there.
type Verdict string

// The verdicts. No job is failed for a long-running task: it is owed a run however its
// last one ended.
const (
	Unblamed  Verdict = "unblamed"
	Suspected Verdict = "suspected"
	JobFailed Verdict = "given up"
)

// lossMayBeCrash reports whether a run may have caused the loss of its host.
// Draining hosts end anyway, and one that is still listed may only be partitioned
// from this process. One that this pool was asked to drain may have crashed like any
// other: it is taken away only once nothing runs on it.
func (h *host) lossMayBeCrash(evidence Evidence) bool {
	return !h.leaving && (evidence.certain() || !h.listed)
}

// attributeLoss counts the loss of a run's host against its task. It is called
// before the run ends.
func (p *Pool) attributeLoss(r *run, evidence Evidence, now, wall time.Time) Verdict {
	t := r.task
	if j := t.job(); t.done || j.state != "" || r.harmless() && r.host.hasUnprovenRuns() {
		return Unblamed
	}
	t.recordCrash(p.crashOf(r, evidence), now)
	switch {
	case t.crashesHosts():
		p.failForCrashes(t, now, wall)
		return JobFailed
	}
	return Suspected
}

// recordCrash counts a run as one during which its host may have crashed.
func (t *task) recordCrash(c Crash, now time.Time) {
	if t.crashIndex(c.Run) < 0 {
		t.crashes = append(t.crashes, c)
		t.step.crashes++
		t.crashedAt = now
		t.job().version++
	}
}

// clearCrash reverts recordCrash for a run that was found on a host that is up. It
// reports whether the run was counted.
func (t *task) clearCrash(number int) bool {
	at := t.crashIndex(number)
	if at < 0 {
		return false
	}
	t.crashes = slices.Delete(t.crashes, at, at+1)
	t.step.crashes--
	t.job().version++
	return true
}

// failForCrashes fails a task's job, because the task crashes each host that starts
// it.
func (p *Pool) failForCrashes(t *task, now, wall time.Time) {
	j := t.job()
	j.failure, j.failureCrashes = t.name.String()+" crashes its hosts", slices.Clone(t.crashes)
	p.finish(j, work.Failed, now, wall)
}

// crashesHosts reports whether a task was found to crash its hosts. An earlier
// holder may have counted the last crash without failing the job.
func (t *task) crashesHosts() bool {
	return !t.step.spec.LongRunning && len(t.crashNumbers(Proven, Decisive)) >= minProvenCrashes && t.crashWeight() >= maxCrashWeight
}

// pausedForCrashes reports whether a task whose crashes prove too little must wait for
// its next start. A long-running one is owed a run: what it has waited until its host's end
// was known counts.
func (t *task) pausedForCrashes(now time.Time) bool {
	if len(t.crashes) < undecidedCrashes {
		return false
	}
	if t.step.spec.LongRunning {
		return !t.overdue(now)
	}
	return now.Sub(t.crashedAt) < undecidedPause
}

// harmless reports whether a run had executed for harmlessAfter when its host last
// responded.
func (r *run) harmless() bool {
	return !r.startedAt.IsZero() && r.host.repliedAt.Sub(r.startedAt) >= harmlessAfter
}

// hasUnprovenRuns reports whether a host has runs that are not known to be
// harmless.
func (h *host) hasUnprovenRuns() bool {
	for _, r := range h.runs {
		if !r.harmless() {
			return true
		}
	}
	return false
}

// wasAlone reports whether a run had started on its host and the other runs there
// were harmless.
func (r *run) wasAlone() bool {
	for _, other := range r.host.runs {
		if other != r && !other.harmless() {
			return false
		}
	}
	return !r.startedAt.IsZero()
}

// runsInDoubt counts a task's runs whose host may have crashed.
func (p *Pool) runsInDoubt(t *task, now time.Time) int {
	count := 0
	if t.run != nil && p.mayHaveCrashed(t.run, now) {
		count++
	}
	for _, r := range t.copies {
		if p.mayHaveCrashed(r, now) {
			count++
		}
	}
	return count
}

// mayHaveCrashed reports whether a run's host may have crashed: the host is
// unresponsive or refuses connections, or the run's start got no answer.
func (p *Pool) mayHaveCrashed(r *run, now time.Time) bool {
	return p.unresponsive(r.host, now) || r.host.unreachable() || r.state == stopping && r.startedAt.IsZero()
}

// suspectedCrashes counts the hosts that a task may have crashed.
func (p *Pool) suspectedCrashes(t *task, now time.Time) int {
	if t.liveRuns == 0 {
		return len(t.crashes)
	}
	return len(t.crashes) + p.runsInDoubt(t, now)
}

// maySpeculate reports whether a task may start beside a run on an unresponsive
// host. A task that crashes hosts would otherwise crash several before the first
// crash is detected.
func (p *Pool) maySpeculate(t *task, now time.Time) bool {
	return p.suspectedCrashes(t, now) < strongSuspect
}

// crashedRuns returns the runs of a task to store as crashes: those that crashed,
// and all current runs of a suspect. A holder that is lost together with the host
// cannot add them later.
func (t *task) crashedRuns() []int {
	runs := t.crashNumbers(Unproven, Presumed, Proven, Decisive)
	if t.chargedRun > 0 {
		runs = append(runs, t.chargedRun)
	}
	if !t.suspect() {
		return runs
	}
	for _, r := range t.currentRuns() {
		if !slices.Contains(runs, r.number) {
			runs = append(runs, r.number)
		}
	}
	return runs
}

// suspectAll has all runs on a host that stopped responding stored as crashes: a
// holder that is replaced before the outcome is clear cannot store it later.
func (h *host) suspectAll() {
	for _, r := range h.runs {
		r.markSuspect()
	}
}

// markSuspect has a run stored as a crash until its end is known.
func (r *run) markSuspect() {
	if j := r.task.job(); !r.suspect && j.state == "" {
		r.suspect = true
		r.host.suspects++
		j.version++
	}
}

// clearSuspect clears a suspect run that is reported and has executed for
// harmlessAfter.
func (r *run) clearSuspect() {
	if r.suspect && r.harmless() && len(r.task.crashes) == 0 {
		r.suspect, r.isolated = false, false
		r.host.suspects--
		r.task.job().version++
	}
}

// suspect reports whether a task may crash its hosts: it has crashes, or one of its
// runs is a suspect.
func (t *task) suspect() bool {
	return len(t.crashes) > 0 || t.run != nil && t.run.suspect || slices.ContainsFunc(t.copies, func(r *run) bool { return r.suspect })
}

// isolatesSuspect reports whether a host runs a strong suspect and therefore gets
// no other work.
func (h *host) isolatesSuspect(now time.Time) bool {
	if h.suspects == 0 {
		return false
	}
	for _, r := range h.runs {
		if r.isolated && (r.startedAt.IsZero() || now.Sub(r.startedAt) < isolationPeriod) {
			return true
		}
	}
	return false
}

// crashRecorded reports whether the store has a suspect's next run as a crash, so
// that it may start.
func (pl *planner) crashRecorded(t *task, number int) bool {
	j := t.job()
	if t.chargedRun != number {
		j.version++
		t.chargedRun, t.chargedVersion = number, j.version
		return false
	}
	return j.storedVersion >= t.chargedVersion
}

// gangCrashesRecorded reports whether the store has the next run of a gang as a
// crash of each member that is a suspect.
func (pl *planner) gangCrashesRecorded(s *step, number int) bool {
	all := true
	for _, t := range s.tasks {
		if pl.suspectedCrashes(t, pl.now) > 0 && !pl.crashRecorded(t, number) {
			all = false
		}
	}
	return all
}

// startSuspect starts a task that may crash its host, if a host is suitable. When
// none is, other tasks of its kind may still find one.
func (pl *planner) startSuspect(t *task) {
	number := t.lastRun + 1
	if t.pausedForCrashes(pl.now) || len(t.copies) > 0 && !pl.maySpeculate(t, pl.now) {
		return
	}
	if !pl.crashRecorded(t, number) && !t.overdue(pl.now) {
		return
	}
	if h := pl.find(t); h != nil {
		pl.start(t, h, number)
		return
	}
	pl.reserveRoom(t.step)
	if pl.suspectedCrashes(t, pl.now) >= strongSuspect {
		pl.reserveForSuspect(t)
	}
}

// reserveForSuspect reserves the host where a strong suspect can be alone soonest.
func (pl *planner) reserveForSuspect(t *task) {
	var best *host
	for _, h := range pl.open {
		if !pl.allowed(t.step, h) || !t.step.spec.Reserved().Fits(h.Capacity) || h.reservedForOther(t, pl.now) {
			continue
		}
		if best == nil || h.reservedFor == t || best.reservedFor != t && len(h.runs) < len(best.runs) {
			best = h
		}
	}
	if best != nil {
		best.reservedFor, best.reservedUntil = t, pl.now.Add(suspectReservation)
	}
}

// reservedForOther reports whether a host is reserved for a task other than t.
func (h *host) reservedForOther(t *task, now time.Time) bool {
	return h.reservedFor != nil && h.reservedFor != t && now.Before(h.reservedUntil)
}

// suspectPenalty rates how badly a host suits a suspect; lower is better. ok is
// false where it would be unclear whether a strong suspect or another run caused a
// crash.
func (pl *planner) suspectPenalty(t *task, crashes int, h *host) (score float64, ok bool) {
	ok = crashes < strongSuspect || h.suspects == 0 && !h.hasUnprovenRuns()
	score = suspectsWeight*float64(h.suspects) + longRunningWeight*float64(h.longRunning) + otherRunWeight*float64(len(h.runs))
	if t.step.spec.Gang {
		// The members of the gang that are placed in this pass do not run there
		// yet.
		score += suspectsWeight * float64(t.step.onHost[h])
	}
	if pl.now.Sub(h.firstSeen) < newIncarnationPeriod {
		score += newIncarnationWeight
	}
	return score, ok
}

// resetCrashes resets the crashes of a long-running task that has been in service
// for crashResetAfter.
func (r *run) resetCrashes(now time.Time) {
	if t := r.task; len(t.crashes) > 0 && now.Sub(r.startedAt) > crashResetAfter {
		t.step.crashes -= len(t.crashes)
		t.crashes = nil
		t.job().version++
	}
}
