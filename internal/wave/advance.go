package wave

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// MaxDowntime returns the maximum time until a host is back in service or counts
// as failed: the sum of drain timeout, reboot timeout and minimum healthy time.
func MaxDowntime(spec *record.Wave) time.Duration {
	return spec.DrainTimeout() + spec.RebootTimeout() + spec.MinHealthyTime()
}

// transition determines the next step of one host.
type transition struct {
	spec *record.Wave
	host Host
	// lastChance is set when the wave only waits for hosts that were down before
	// it took them out.
	lastChance bool
}

func (t transition) step(verb Verb, reason string) (Step, bool) {
	return Step{Host: t.host.Name, Verb: verb, Reason: reason}, true
}

// next returns the host's next step, or false if none is due.
func (t transition) next() (Step, bool) {
	switch t.host.Record.Phase {
	case hostrecord.Draining:
		return t.draining()
	case hostrecord.Rebooting:
		return t.rebooting()
	case hostrecord.Verifying:
		return t.verifying()
	case hostrecord.Failed:
		return t.failed()
	}
	return Step{}, false
}

func (t transition) draining() (Step, bool) {
	switch {
	case !t.host.RecordConfirmed:
		return Step{}, false
	case t.recoveredByItself():
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

// recoveredByItself reports whether a host that was down before the wave took it
// out is healthy again without the requested reboot. Such a host returns to
// service and waits for its turn: the failure margin was waived only because it
// was down, so a reboot now would take out a host without checking the margin.
func (t transition) recoveredByItself() bool {
	return t.host.Record.AlreadyDown && !t.rebootTaken() && t.host.Reachable && t.host.Healthy
}

func (t transition) rebooting() (Step, bool) {
	switch {
	case t.recoveredByItself():
		return t.step(ReturnToService, "came back by itself; it waits for its turn")
	case t.restarted():
		return t.step(VerifyHealth, "host is back")
	case t.host.Reachable && !t.rebootTaken() && t.host.PhaseAge <= t.spec.RebootTimeout():
		// The process that recorded the intent terminated, or its request was
		// lost, before the platform accepted the reboot. Without a retry a
		// healthy host would exceed its deadline and count as failed.
		return t.step(Reboot, "the platform did not take the reboot")
	case t.host.PhaseAge > t.spec.RebootTimeout():
		return t.markFailed("host did not come back in time")
	}
	return Step{}, false
}

// rebootTaken reports whether the platform accepted this operation's reboot.
func (t transition) rebootTaken() bool { return t.host.LastOperation == t.host.Record.Operation }

// restarted reports whether the host has booted since the intent was recorded.
// If its boot ID was unknown then, the platform must also have accepted the
// reboot: the host may only have been unreachable.
func (t transition) restarted() bool {
	if !t.host.Reachable || t.host.BootID == t.host.Record.BootID {
		return false
	}
	return t.rebootTaken() || t.host.Record.BootID != ""
}

func (t transition) verifying() (Step, bool) {
	switch {
	case t.host.Healthy && t.host.HealthyFor >= t.spec.MinHealthyTime():
		return t.step(ReturnToService, "host stayed healthy")
	case t.host.PhaseAge > t.spec.MinHealthyTime()+t.spec.RebootTimeout():
		return t.markFailed("host did not stay healthy")
	}
	return Step{}, false
}

// markFailed returns the step that marks the host failed. A host that was down
// before the wave took it out uses no budget, so the wave waits for it until no
// other hosts are left.
func (t transition) markFailed(reason string) (Step, bool) {
	if t.host.Record.AlreadyDown && !t.lastChance {
		return Step{}, false
	}
	if t.host.Record.AlreadyDown {
		reason += "; it was down before the wave took it out"
	}
	return t.step(MarkFailed, reason)
}

// failed returns a host that recovered after its deadline to service. No other
// step checks a failed host, so its capacity would otherwise be lost.
func (t transition) failed() (Step, bool) {
	if t.host.Reachable && t.host.Healthy && t.host.HealthyFor >= t.spec.MinHealthyTime() {
		return t.step(ReturnToService, "host came back late")
	}
	return Step{}, false
}

// outcome returns the wave outcome that the step stores in the host record, or
// nil.
func (t transition) outcome(step Step, sequence int, now time.Time) *hostrecord.WaveOutcome {
	visit := &hostrecord.WaveOutcome{
		Sequence: sequence, ResumeGeneration: t.spec.ResumeGeneration,
		DowntimeSeconds: t.downtimeSeconds(now), AlreadyDown: t.host.Record.AlreadyDown,
	}
	switch {
	case step.Verb == MarkFailed:
		visit.Result, visit.Reason = hostrecord.MarkedFailed, step.Reason
	case step.Verb != ReturnToService:
		return nil
	case t.host.Record.Phase == hostrecord.Verifying:
		visit.Result = hostrecord.Maintained
	case t.host.Record.Phase == hostrecord.Failed && t.restarted():
		visit.Result, visit.RecoveredLate, visit.Reason = hostrecord.Maintained, true, step.Reason
	default:
		// The host returns without a reboot: its recorded outcome is unchanged.
		return nil
	}
	return visit
}

// downtimeSeconds returns how long the host has been out, or zero if the clocks
// differ too much for the value to be plausible.
func (t transition) downtimeSeconds(now time.Time) int {
	since := t.host.Record.OutSince
	out := now.Sub(since)
	if since.IsZero() || out < 0 || out > 2*MaxDowntime(t.spec)+t.spec.RebootTimeout() {
		return 0
	}
	return int(out / time.Second)
}
