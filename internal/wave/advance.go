package wave

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// Bound returns how long a host may be out at most before it either is back or
// counts as failed: drain, reboot and health proof to their deadlines.
func Bound(spec *record.Wave) time.Duration {
	return spec.Drain() + spec.Reboot() + spec.Proof()
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
	case hostrecord.Proving:
		return t.proving()
	case hostrecord.Failed:
		return t.failed()
	}
	return Step{}, false
}

func (t transition) draining() (Step, bool) {
	switch {
	case !t.host.Confirmed:
		return Step{}, false
	case t.cameBackItself():
		return t.step(Return, "came back by itself; it waits for its turn")
	case !t.host.Drained && t.host.Reachable:
		return t.step(DrainHost, "every member sends it no new work")
	case t.host.Drained && t.host.Reachable && t.host.InFlight == 0:
		return t.step(Reboot, "nothing in flight")
	case t.host.Age > t.spec.Drain():
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
		return t.step(Return, "came back by itself; it waits for its turn")
	case t.restarted():
		return t.step(AwaitProof, "host is back")
	case t.host.Reachable && !t.taken() && t.host.Age <= t.spec.Reboot():
		// The process that wrote the intent ended, or lost its answer, before
		// the platform took the act. Without another try a healthy host would
		// sit out its deadline and count as failed.
		return t.step(Reboot, "the platform did not take the reboot")
	case t.host.Age > t.spec.Reboot():
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
	case t.host.Healthy && t.host.HealthyFor >= t.spec.Proof():
		return t.step(Return, "host stayed healthy")
	case t.host.Age > t.spec.Proof()+t.spec.Reboot():
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
	return t.step(GiveUp, reason)
}

// failed puts a host that came back after its deadline back to work: its
// capacity is worth having, and nothing else would look at it again.
func (t transition) failed() (Step, bool) {
	if t.host.Reachable && t.host.Healthy && t.host.HealthyFor >= t.spec.Proof() {
		return t.step(Return, "host came back late")
	}
	return Step{}, false
}

// visit returns what a step leaves in the host's record, or nil.
func (t transition) visit(step Step, sequence int, now time.Time) *hostrecord.Visit {
	visit := &hostrecord.Visit{
		Sequence: sequence, Generation: t.spec.ResumeGeneration,
		Seconds: t.secondsOut(now), AlreadyDown: t.host.Record.AlreadyDown,
	}
	switch {
	case step.Verb == GiveUp:
		visit.Result, visit.Reason = hostrecord.GaveUp, step.Reason
	case step.Verb != Return:
		return nil
	case t.host.Record.Phase == hostrecord.Proving:
		visit.Result = hostrecord.Maintained
	case t.host.Record.Phase == hostrecord.Failed && t.restarted():
		visit.Result, visit.Late, visit.Reason = hostrecord.Maintained, true, step.Reason
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
	if since.IsZero() || out < 0 || out > 2*Bound(t.spec)+t.spec.Reboot() {
		return 0
	}
	return int(out / time.Second)
}
