package sched

// Two decisions about a task that may crash its hosts err in opposite directions, so
// each has a bound of its own. Where and whether the task starts next follows from all
// runs that may have crashed their hosts, among them runs that nobody saw and what an
// earlier holder stored in advance. Failing its job follows from proven crashes only: a
// job that is failed for a suspicion is lost to its client.

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

const (
	// refusalRetention is how long the time at which a host began to refuse
	// connections is kept. The loss of its runs is settled sooner.
	refusalRetention = 20 * time.Second
	// refusalSpread is how far apart hosts that crash at the same moment begin to
	// refuse connections, as seen here: their next calls are some tens of
	// milliseconds apart, and a busy process reads the outcomes late.
	refusalSpread = 300 * time.Millisecond
	// stopRace is how long before its host refuses connections a run may be told to
	// stop and still count as executing then: a call in flight and the next one.
	stopRace = 100 * time.Millisecond
	// promptCrash is how long after the start of a run its host must have responded
	// for the start not to have crashed it.
	promptCrash = 500 * time.Millisecond
	// lateCrash is how long a run must have executed when its host last responded for the
	// crash to prove nothing: tasks crash their hosts as they start, and hosts respond at
	// least twice a second.
	lateCrash = time.Second
)

// Proof is how far a crash is known to be a task's doing.
type Proof string

const (
	// Unproven: the run may not have executed when its host crashed, or the host may
	// not have crashed, or the run had executed for lateCrash, or for promptCrash while
	// other hosts crashed at the same moment.
	Unproven Proof = "unproven"
	// Presumed: proven once its host's incarnation is known to have ended. An earlier
	// holder that was lost before it knew that has stored it.
	Presumed Proof = "presumed"
	// Proven: the run executed until its host crashed. Another run or a common cause
	// may be at fault.
	Proven Proof = "proven"
	// Decisive: proven, and the host crashed promptly after the start of the only run
	// there that may be at fault, with no sign of a common cause.
	Decisive Proof = "decisive"
)

// Crash is a run that may have crashed its host, with what is known of it.
type Crash struct {
	Run   int
	Proof Proof
	// Host is empty if an earlier holder counted the crash, unless it is presumed. Born
	// is its incarnation, zero if unknown.
	Host string
	Born int64
	// Address is the host's address, set for a presumed crash.
	Address string
	// Seen is set when the run was known to execute, Executed for how long it had
	// when its host last responded.
	Seen     bool
	Executed time.Duration
	// Alone is set when the other runs on the host were harmless.
	Alone bool
	// LostTogether counts the other hosts of the pool that began to refuse
	// connections at the same moment, Unexplained those of them on which no run had
	// just started.
	LostTogether, Unexplained int
}

// refusal is when a host began to refuse connections, with the jobs of which a run had
// just started there, which may have crashed the host.
type refusal struct {
	at      time.Time
	started []string
}

// explained reports whether a run of another job than that had just started. Tasks of one
// job start together, so that they are there when hosts crash together for another reason.
func (r refusal) explained(job string) bool {
	return slices.ContainsFunc(r.started, func(started string) bool { return started != job })
}

// crashOf returns what is known of the loss of a run's host.
func (p *Pool) crashOf(r *run, evidence Evidence) Crash {
	c := Crash{Run: r.number, Proof: Unproven, Host: r.host.ID, Born: r.host.life.incarnation, Seen: !r.startedAt.IsZero(), Alone: r.wasAlone()}
	c.LostTogether, c.Unexplained = p.lostTogether(r.host, r.task.name.Job)
	if c.Seen {
		c.Executed = r.host.repliedAt.Sub(r.startedAt)
	}
	switch {
	case !p.executedUntilCrash(r, evidence) || c.Executed >= lateCrash || c.Executed >= promptCrash && c.Unexplained > 0:
	case r.stopsInDoubt == 0 && c.Alone && c.Unexplained == 0 && c.Executed < promptCrash:
		c.Proof = Decisive
	default:
		c.Proof = Proven
	}
	return c
}

// executedUntilCrash reports whether a run was seen to execute and its host certainly
// crashed before the run could end. A run that was told to stop may have ended, unless
// the stop and the crash were too close, and so may one on a host that was silent before
// it crashed. While the claim is unconfirmed, the list of hosts may be old and the host
// may have left as planned.
func (p *Pool) executedUntilCrash(r *run, evidence Evidence) bool {
	return evidence.certain() && !p.claimUnconfirmed && r.executedUntilRefusal()
}

// executedUntilRefusal reports whether a run was seen to execute and could not end
// before its host refused connections.
func (r *run) executedUntilRefusal() bool {
	return !r.startedAt.IsZero() && (r.stopsInDoubt == 0 || r.stopRacedCrash()) && r.host.refusedPromptly()
}

// stopRacedCrash reports whether a run that had just started got its only stop within
// stopRace of its host's refusal. A run that ended in between would have been reported
// at once, as hosts answer the heartbeat that waits with it; one whose end was lost
// with that reply is too rare to clear tasks that are preempted as they start.
func (r *run) stopRacedCrash() bool {
	since := r.host.refusedSince.Sub(r.doubtedStopAt)
	return r.stopsInDoubt == 1 && r.justStarted() && since >= 0 && since <= stopRace
}

// justStarted reports whether a run's host has not responded since the run had executed
// for promptCrash.
func (r *run) justStarted() bool { return r.host.repliedAt.Sub(r.startedAt) < promptCrash }

// refusedPromptly reports whether a host refused connections before it counted as
// unresponsive. A crashed host does, one that is cut off is silent.
func (h *host) refusedPromptly() bool {
	return h.unreachable() && h.refusedSince.Sub(h.repliedAt) <= unresponsiveAfter
}

// lostTogether counts the other hosts that began to refuse connections at the same
// moment as h, and those of them on which no run of another job than that had just
// started.
func (p *Pool) lostTogether(h *host, job string) (count, unexplained int) {
	if !h.unreachable() {
		return 0, 0
	}
	for id, other := range p.refusals {
		if id == h.ID || other.at.Sub(h.refusedSince).Abs() > refusalSpread {
			continue
		}
		count++
		if !other.explained(job) {
			unexplained++
		}
	}
	return count, unexplained
}

// noteRefusal records that a host began to refuse connections, unless it leaves as
// planned.
func (p *Pool) noteRefusal(h *host, now time.Time) {
	if h.leaving || h.unschedulable && len(h.runs) == 0 {
		return
	}
	var started []string
	for _, r := range h.runs {
		if r.startedAt.IsZero() || r.justStarted() {
			started = append(started, r.task.name.Job)
		}
	}
	p.refusals[h.ID] = refusal{now, started}
}

// forgetRefusals drops the refusals that are older than refusalRetention.
func (p *Pool) forgetRefusals(now time.Time) {
	for id, r := range p.refusals {
		if now.Sub(r.at) > refusalRetention {
			delete(p.refusals, id)
		}
	}
}

// crashIndex returns the index of a run among a task's crashes, or -1.
func (t *task) crashIndex(number int) int {
	return slices.IndexFunc(t.crashes, func(c Crash) bool { return c.Run == number })
}

// crashNumbers returns the numbers of the runs that are counted as crashes with one of
// the proofs.
func (t *task) crashNumbers(proofs ...Proof) []int {
	var numbers []int
	for _, c := range t.crashes {
		if slices.Contains(proofs, c.Proof) {
			numbers = append(numbers, c.Run)
		}
	}
	return numbers
}

// currentRuns returns the runs of a task that may be on a host.
func (t *task) currentRuns() []*run {
	if t.run == nil {
		return t.copies
	}
	return append([]*run{t.run}, t.copies...)
}

// crashWeight returns the total weight of a task's crashes.
func (t *task) crashWeight() int {
	total := 0
	for _, c := range t.crashes {
		switch c.Proof {
		case Decisive:
			total += decisiveWeight
		case Proven:
			total += provenWeight
		default:
			total += unprovenWeight
		}
	}
	return total
}

// restoreCrashes restores the crashes that earlier holders counted.
func (t *task) restoreCrashes(stored work.TaskProgress, now time.Time) {
	for _, number := range stored.Crashed {
		c := Crash{Run: number, Proof: Unproven}
		switch {
		case slices.Contains(stored.CrashesDecisive, number):
			c.Proof = Decisive
		case slices.Contains(stored.CrashesProven, number):
			c.Proof = Proven
		}
		t.crashes = append(t.crashes, c)
	}
	for _, presumed := range stored.CrashesPresumed {
		if at := t.crashIndex(presumed.Run); at >= 0 {
			t.crashes[at].Proof, t.crashes[at].Host, t.crashes[at].Address, t.crashes[at].Born = Presumed, presumed.Host, presumed.Address, presumed.Born
		}
	}
	t.step.crashes += len(t.crashes)
	t.crashedAt = now
}
