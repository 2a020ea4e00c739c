package sched

import (
	"maps"
	"time"

	"auburnglade.example/glade/internal/work"
)

// WaitReason is why a long-running task is not in service.
type WaitReason string

// The wait reasons, in the order in which they are looked for.
const (
	// WaitHostSilent: its run is on a host that does not respond, and may go on there.
	WaitHostSilent WaitReason = "its host does not respond"
	// WaitStopping: its run is being stopped.
	WaitStopping WaitReason = "its run is being stopped"
	// WaitStarting: its run was ordered or is starting up.
	WaitStarting WaitReason = "its run is starting"
	// WaitUnconfirmed: another process may hold the pool.
	WaitUnconfirmed WaitReason = "the claim is not confirmed"
	// WaitUnreached: it may run on a host of an earlier holder that has not answered.
	WaitUnreached WaitReason = "hosts of an earlier holder have not answered"
	// WaitRefusal: a start was refused a moment ago.
	WaitRefusal WaitReason = "a start was refused"
	// WaitPaused: it pauses after crashes.
	WaitPaused WaitReason = "paused after crashes"
	// WaitCrashNotStored: the store does not have its next run as a crash yet.
	WaitCrashNotStored WaitReason = "its suspicion is not stored"
	// WaitQuota: its organisation is at its limit.
	WaitQuota WaitReason = "its organisation is at its limit"
	// WaitTickets: no host is known to be allowed.
	WaitTickets WaitReason = "no ticket"
	// WaitRoom: a host is reserved for its step until runs have ended there.
	WaitRoom WaitReason = "runs to end on a host that is reserved"
	// WaitNoHost: no host has room for it or will have, or none that suits a suspect.
	WaitNoHost WaitReason = "no host for it"
	// WaitNoHostForSuspect is WaitNoHost for a task that may crash its hosts.
	WaitNoHostForSuspect WaitReason = "no host for a suspect"
)

const (
	// absenceReportAfter is how long a long-running task is out of service before that
	// is reported: a start on a host that is up takes less.
	absenceReportAfter = 2 * time.Second
	// absenceReportInterval is the time between two reports of one absence.
	absenceReportInterval = 2 * time.Second
)

// Absence is a long-running task that is out of service, or was until now.
type Absence struct {
	Task work.TaskName
	// Run is its last run, Host where that was, empty if an earlier holder started it.
	Run  int
	Host string
	// Away is the time since its last run was last known to be in service, or since the
	// takeover.
	Away time.Duration
	// SinceTakeover is set if it was out of service when the pool was taken over.
	SinceTakeover bool
	// Reason is what it waits for now, empty if it is back in service.
	Reason WaitReason
	// Waited is how long it has waited for each reason.
	Waited map[WaitReason]time.Duration
	// Crashes counts the hosts that may have been lost under it.
	Crashes int
	// Reserved is the host that is reserved for its step, empty for none.
	Reserved string
}

// absence is the present absence of a long-running task.
type absence struct {
	since         time.Time
	sinceTakeover bool
	run           int
	host          string
	notedAt       time.Time
	reportedAt    time.Time
	waited        map[WaitReason]time.Duration
}

// noteAbsences notes what each long-running task that is out of service waits for, and
// adds the absences that are to be reported to the plan.
func (pl *planner) noteAbsences() {
	for _, j := range pl.active {
		if j.state != "" || !j.record.Spec.LongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.spec.LongRunning && o.begun(pl.now) && s.ready() {
					pl.noteAbsencesOf(s)
				}
			}
		}
	}
}

func (pl *planner) noteAbsencesOf(s *step) {
	for _, t := range s.tasks {
		if t.run.inService(pl.now) {
			pl.endAbsence(t)
			t.servedAt, t.servedRun, t.servedOn = t.run.host.repliedAt, t.run.number, t.run.host.ID
			continue
		}
		pl.noteAbsence(t)
	}
}

func (pl *planner) noteAbsence(t *task) {
	a := t.absence
	if a == nil {
		a = &absence{since: t.servedAt, run: t.servedRun, host: t.servedOn, waited: make(map[WaitReason]time.Duration)}
		if a.since.IsZero() {
			a.since, a.sinceTakeover = pl.now, t.job().adopted
		}
		a.notedAt, t.absence = a.since, a
	}
	reason := pl.waitReason(t)
	a.waited[reason] += pl.now.Sub(a.notedAt)
	a.notedAt = pl.now
	if pl.now.Sub(a.since) >= absenceReportAfter && pl.now.Sub(a.reportedAt) >= absenceReportInterval {
		a.reportedAt = pl.now
		report := a.report(t, reason, pl.now)
		if h := pl.reserved.steps[t.step]; h != nil {
			report.Reserved = h.ID
		}
		pl.plan.Absences = append(pl.plan.Absences, report)
	}
}

// endAbsence reports that a task is back in service, if its absence was reported.
func (pl *planner) endAbsence(t *task) {
	if a := t.absence; a != nil && !a.reportedAt.IsZero() {
		pl.plan.Absences = append(pl.plan.Absences, a.report(t, "", pl.now))
	}
	t.absence = nil
}

func (a *absence) report(t *task, reason WaitReason, now time.Time) Absence {
	return Absence{
		Task: t.name, Run: a.run, Host: a.host, Away: now.Sub(a.since), SinceTakeover: a.sinceTakeover,
		Reason: reason, Waited: maps.Clone(a.waited), Crashes: len(t.crashes),
	}
}

// waitReason returns what a long-running task that is out of service waits for.
func (pl *planner) waitReason(t *task) WaitReason {
	if t.run != nil {
		return pl.runWaitReason(t.run)
	}
	s := t.step
	switch {
	case pl.claimUnconfirmed || !pl.lossConfirmed(t):
		return WaitUnconfirmed
	case !pl.takeoverSettled(s):
		return WaitUnreached
	case pl.now.Before(t.notBefore):
		return WaitRefusal
	case t.pausedForCrashes(pl.now):
		return WaitPaused
	case t.chargedRun > 0 && t.job().storedVersion < t.chargedVersion:
		return WaitCrashNotStored
	case !pl.quotaAllows(s, 1):
		return WaitQuota
	case s.occurrence.job.record.Queue.Advice != nil && (s.advice == nil || len(s.advice.tickets) == 0):
		return WaitTickets
	case pl.suspectedCrashes(t, pl.now) > 0:
		return WaitNoHostForSuspect
	case pl.reserved.steps[s] != nil:
		return WaitRoom
	}
	return WaitNoHost
}

func (pl *planner) runWaitReason(r *run) WaitReason {
	switch {
	case r.host.unreachable() || pl.now.Sub(r.host.repliedAt) > maxReplyAge:
		return WaitHostSilent
	case r.state == stopping:
		return WaitStopping
	}
	return WaitStarting
}
