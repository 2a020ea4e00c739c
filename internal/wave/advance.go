package wave

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// MaxDowntime returns how long a host may be out at most before it either is back or
// counts as failed: drain, reboot and health proof to their deadlines.
func MaxDowntime(spec *record.Wave) time.Duration {
	return spec.DrainTimeout() + spec.RebootTimeout() + spec.MinHealthyTime()
}

// transition is one host's turn to be advanced.
type transition struct {
	spec *record.Wave
	host Host
	// lastChance says that the wave waits for nothing but hosts that were down
	// before it reached them.
	lastChance bool
}

func (t transition) step(verb Verb, reason string) (Step, bool) {
	return Step{Host: t.host.Name, Verb: verb, Reason: reason}, true
}

// next returns the step that takes the host one transition further, if one is
// due.
func (t transition) next() (Step, bool) {
	switch t.host.Record.Phase {
	case hostrecord.Draining:
		return t.draining()
	case hostrecord.Rebooting:
		return t.rebooting()
	case hostrecord.Verifying:
		return t.proving()
	case hostrecord.Failed:
		return t.failed()
	}
	return Step{}, false
}

func (t transition) draining() (Step, bool) {
	switch {
	case !t.host.RecordConfirmed:
		return Step{}, false
	case t.cameBackItself():
		return t.step(ReturnToService, "came back by itself; it waits for its turn")
	case !t.host.DrainRequested && t.host.Reachable:
		return t.step(DrainHost, "every member sends it no new work")
	case t.host.DrainRequested && t.host.Reachable && t.host.InFlight == 0:
		return t.step(Reboot, "nothing in flight")
	case t.host.PhaseAge > t.spec.DrainTimeout():
		return t.step(Reboot, "drain deadline passed")
	}
	return Step{}, false
}

// cameBackItself reports whether a host that was down before the wave took it
// out is well again without our reboot. It was free of the margin only because
// it was down, so it goes back to work and waits for its turn; rebooting it now
// would take out a host that the budgets weren't asked for.
func (t transition) cameBackItself() bool {
	return t.host.Record.AlreadyDown && !t.taken() && t.host.Reachable && t.host.Healthy
}

func (t transition) rebooting() (Step, bool) {
	switch {
	case t.cameBackItself():
		return t.step(ReturnToService, "came back by itself; it waits for its turn")
	case t.restarted():
		return t.step(VerifyHealth, "host is back")
	case t.host.Reachable && !t.taken() && t.host.PhaseAge <= t.spec.RebootTimeout():
		// The process that wrote the intent ended, or lost its answer, before
		// the platform took the act. Without another try a healthy host would
		// sit out its deadline and count as failed.
		return t.step(Reboot, "the platform did not take the reboot")
	case t.host.PhaseAge > t.spec.RebootTimeout():
		return t.giveUp("host did not come back in time")
	}
	return Step{}, false
}

// taken reports whether the platform took this operation's reboot.
func (t transition) taken() bool { return t.host.LastOperation == t.host.Record.Operation }

// restarted reports whether the host runs a boot younger than the intent. A
// host whose boot wasn't known then must at least have taken the reboot: it
// may only have been cut off.
func (t transition) restarted() bool {
	if !t.host.Reachable || t.host.BootID == t.host.Record.BootID {
		return false
	}
	return t.taken() || t.host.Record.BootID != ""
}

func (t transition) proving() (Step, bool) {
	switch {
	case t.host.Healthy && t.host.HealthyFor >= t.spec.MinHealthyTime():
		return t.step(ReturnToService, "host stayed healthy")
	case t.host.PhaseAge > t.spec.MinHealthyTime()+t.spec.RebootTimeout():
		return t.giveUp("host did not stay healthy")
	}
	return Step{}, false
}

// giveUp names a host as failed. One that was down before the wave took it out
// costs the wave nothing, so it is waited for until nothing else is left.
func (t transition) giveUp(reason string) (Step, bool) {
	if t.host.Record.AlreadyDown && !t.lastChance {
		return Step{}, false
	}
	if t.host.Record.AlreadyDown {
		reason += "; it was down before the wave took it out"
	}
	return t.step(MarkFailed, reason)
}

// failed puts a host that came back after its deadline back to work: its
// capacity is worth having, and nothing else would look at it again.
func (t transition) failed() (Step, bool) {
	if t.host.Reachable && t.host.Healthy && t.host.HealthyFor >= t.spec.MinHealthyTime() {
		return t.step(ReturnToService, "host came back late")
	}
	return Step{}, false
}

// visit returns what a step leaves in the host's record, or nil.
func (t transition) visit(step Step, sequence int, now time.Time) *hostrecord.WaveOutcome {
	visit := &hostrecord.WaveOutcome{
		Sequence: sequence, ResumeGeneration: t.spec.ResumeGeneration,
		DowntimeSeconds: t.secondsOut(now), AlreadyDown: t.host.Record.AlreadyDown,
	}
	switch {
	case step.Verb == MarkFailed:
		visit.Result, visit.Reason = hostrecord.GaveUp, step.Reason
	case step.Verb != ReturnToService:
		return nil
	case t.host.Record.Phase == hostrecord.Verifying:
		visit.Result = hostrecord.Maintained
	case t.host.Record.Phase == hostrecord.Failed && t.restarted():
		visit.Result, visit.RecoveredLate, visit.Reason = hostrecord.Maintained, true, step.Reason
	default:
		// Back without the restart: what the record says of it stays.
		return nil
	}
	return visit
}

// secondsOut is zero when clocks disagree so far that it would say nothing.
func (t transition) secondsOut(now time.Time) int {
	since := t.host.Record.OutSince
	out := now.Sub(since)
	if since.IsZero() || out < 0 || out > 2*MaxDowntime(t.spec)+t.spec.RebootTimeout() {
		return 0
	}
	return int(out / time.Second)
}
