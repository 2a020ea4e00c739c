package wave

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

func maintainedOutcome(sequence int) hostrecord.WaveOutcome {
	return hostrecord.WaveOutcome{Result: hostrecord.Maintained, Sequence: sequence}
}

func failedOutcome(sequence int) hostrecord.WaveOutcome {
	return hostrecord.WaveOutcome{Result: hostrecord.MarkedFailed, Sequence: sequence, Reason: "did not come back"}
}

// With 30 hosts of which 10 may be out, a wave that favors speed starts with
// three, a tenth of its hosts, and adds two for each that returned healthy.
func TestParallelismStartsSmallAndGrows(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 30, 20, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	must.Len(t, 3, starts(f.plan()))
	for i, want := range []int{5, 7, 9, 10, 10} {
		f.visit(fmt.Sprintf("match-%02d", i), "a", maintainedOutcome(i+1))
		must.Len(t, want, starts(f.plan()))
	}
}

// Failures in the same failure domain probably have a common cause. An isolated
// failure halves the parallelism, a second one in its zone quarters it, and a
// second one in its rack reduces it to one host and defers the rack's others.
func TestFailuresReduceParallelismBySharedFailureDomain(t *testing.T) {
	cases := map[string]struct {
		second string
		want   int
	}{
		"another zone": {"match-01", 2},
		"same zone":    {"match-09", 1},
		"same rack":    {"match-03", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet()
			f.pool("match", 30, 20, record.MarginNone)
			f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 5}
			for i := 12; i < 18; i++ {
				f.visit(fmt.Sprintf("match-%02d", i), "a", maintainedOutcome(i))
			}
			must.Eq(t, 10, f.plan().Status.Parallelism)
			f.visit("match-00", "a", failedOutcome(20))
			must.Eq(t, 5, f.plan().Status.Parallelism)
			f.visit(c.second, "a", failedOutcome(21))
			must.Eq(t, c.want, f.plan().Status.Parallelism)
		})
	}
}

func TestRackWithFailuresIsDeferred(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 12, 10, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 5}
	f.visit("match-00", "a", failedOutcome(1))
	f.host("match-06").Rack, f.host("match-09").Rack = "r0", "r0"
	f.visit("match-03", "a", failedOutcome(2))
	plan := f.plan()
	must.Eq(t, []string{"match-01"}, starts(plan))
	must.StrContains(t, plan.Status.Waiting["match-06"], "rack r0 lost hosts in this wave and comes last")
}

// A wave with too many failures starts no further host until an operator raises
// resumeGeneration; it then starts small and with no failures. A host that
// recovers late still counts as failed, or the wave would resume on its own.
func TestStoppedWaveResumesWithNewGeneration(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 30, 20, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 1}
	f.visit("match-00", "a", failedOutcome(1))
	f.visit("match-01", "a", hostrecord.WaveOutcome{Result: hostrecord.Maintained, RecoveredLate: true, Sequence: 2})
	plan := f.plan()
	must.Eq(t, Stopped, plan.Status.Phase)
	must.StrContains(t, plan.Status.Reason, "2 hosts failed, 1 are allowed")
	must.Len(t, 0, starts(plan))
	f.waves["a"].ResumeGeneration = 1
	must.Len(t, 3, starts(f.plan()))
}

func TestStopsWhenHalfOfTheRecentHostsFail(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 30, 20, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 20}
	for i := range 4 {
		f.visit(fmt.Sprintf("match-%02d", i), "a", failedOutcome(i+1))
	}
	must.StrContains(t, f.plan().Status.Reason, "4 of the last 4 hosts failed")
}

// A wave with more failures than allowed and no hosts left must finish and list
// the failed hosts, not stay stopped forever.
func TestWaveWithTooManyFailuresFinishes(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 2, 0, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.visit("match-00", "a", failedOutcome(1))
	f.out("match-01", "b", hostrecord.Failed)
	status := f.plan().Status
	must.True(t, status.Done())
	must.Eq(t, Finished, status.Phase)
	must.Eq(t, map[string]string{"match-00": "did not come back", "match-01": `failed in wave "b"`}, status.Failed)
}

// The controller records the intent and terminates before the platform accepts
// the reboot. Without a retry the healthy host would exceed its deadline and
// count as failed.
func TestLostRebootIsRetried(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 2, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	h := f.out("match-00", "a", hostrecord.Rebooting)
	h.LastOperation = "an-earlier-one"
	must.Eq(t, Reboot, f.plan().Steps[0].Verb)
	h.LastOperation = h.Record.Operation
	must.Len(t, 0, f.plan().Steps)
}

// A host that recovers after its deadline returns to service, and its record
// shows that it was late. Otherwise its capacity would stay unused until an
// operator intervenes.
func TestHostRecoveredLateReturnsToService(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 0, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 1}
	h := f.out("match-00", "a", hostrecord.Failed)
	f.visit("match-00", "a", failedOutcome(3))
	h.BootID, h.HealthyFor = "boot-2", time.Hour
	h.LastOperation = h.Record.Operation
	step := f.plan().Steps[len(f.plan().Steps)-1]
	must.Eq(t, ReturnToService, step.Verb)
	must.True(t, step.Outcome.RecoveredLate)
	must.Eq(t, 4, step.Outcome.Sequence)
}

func TestDownHostStartsFirstWithoutMargin(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 9, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	h := f.host("match-09")
	h.Down, h.Reachable, h.Healthy = true, false, false
	plan := f.plan()
	must.Eq(t, []string{"match-09"}, starts(plan))
	must.True(t, plan.Steps[0].AlreadyDown)
	must.StrContains(t, plan.Status.Waiting["match-00"], "would keep 8 endpoints available")
}

// A rack fails; its hosts are taken out as down and recover by themselves after
// their reboot deadline, when neither a reboot nor a failure is due for them. They
// must return to service and wait for their turn, or they would stay out until no
// other hosts of the wave are left, possibly for over an hour.
func TestHostRecoveredByItselfReturnsToService(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 8, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	for _, phase := range []hostrecord.Phase{hostrecord.Draining, hostrecord.Rebooting} {
		h := f.out("match-00", "a", phase)
		h.Record.AlreadyDown, h.Record.BootID, h.PhaseAge = true, "", time.Hour
		step := f.plan().Steps[len(f.plan().Steps)-1]
		must.Eq(t, ReturnToService, step.Verb)
		must.Nil(t, step.Outcome)
	}
}

// Hosts that were down before, for example after a rack failure, say nothing
// about the wave: they do not stop it and are only marked failed once no other
// hosts are left.
func TestDownHostsDoNotStopTheWave(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	h := f.out("match-00", "a", hostrecord.Rebooting)
	h.Record.AlreadyDown, h.Reachable, h.Healthy, h.PhaseAge = true, false, false, time.Hour
	h.LastOperation = h.Record.Operation
	for _, step := range f.plan().Steps {
		must.NotEq(t, MarkFailed, step.Verb)
	}
	must.Eq(t, []string{"match-03"}, starts(f.plan()))
	for _, name := range []string{"match-01", "match-02", "match-03"} {
		f.visit(name, "a", maintainedOutcome(1))
	}
	step := f.plan().Steps[0]
	must.Eq(t, MarkFailed, step.Verb)
	must.True(t, step.Outcome.AlreadyDown)
	f.visit("match-00", "a", *step.Outcome)
	must.Eq(t, Finished, f.plan().Status.Phase)
}

// Two waves cover the same pool, and each has taken out a host that was down
// before and never recovers. If each counted the other's host as remaining, it
// would not mark its own failed, and neither wave would finish. TestSoak shows
// this as statuses "host is rebooting for wave" about each other's host.
func TestWavesDoNotWaitForEachOthersFailedHosts(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	for _, wave := range []string{"a", "b"} {
		f.waves[wave] = &record.Wave{Pools: []string{"match"}}
		for _, name := range []string{"match-02", "match-03"} {
			f.visit(name, wave, maintainedOutcome(1))
		}
	}
	for wave, name := range map[string]string{"a": "match-00", "b": "match-01"} {
		h := f.out(name, wave, hostrecord.Rebooting)
		h.Record.AlreadyDown, h.Reachable, h.Healthy, h.PhaseAge = true, false, false, time.Hour
		h.LastOperation = h.Record.Operation
	}
	plans := PlanAll(f.fleet())
	for i, host := range []string{"match-00", "match-01"} {
		must.Len(t, 1, plans[i].Steps)
		must.Eq(t, MarkFailed, plans[i].Steps[0].Verb)
		must.Eq(t, host, plans[i].Steps[0].Host)
	}
}

// Another wave has a host out that is about to return, and this wave still has to
// maintain it. Until then, a host that was down before is not marked failed.
func TestWaveWaitsForReturningHostOfAnotherWave(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 2, 0, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.waves["b"] = &record.Wave{Pools: []string{"match"}}
	h := f.out("match-00", "a", hostrecord.Rebooting)
	h.Record.AlreadyDown, h.Reachable, h.Healthy, h.PhaseAge = true, false, false, time.Hour
	h.LastOperation = h.Record.Operation
	f.out("match-01", "b", hostrecord.Rebooting)
	must.Len(t, 0, PlanAll(f.fleet())[0].Steps)
}

// The host list lags and does not show a host that is serving again. If it counted
// as down, it would be taken out without margin and returned in every reconcile.
func TestHealthyHostMissingFromListIsNotDrained(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.host("match-00").Down = true
	plan := f.plan()
	must.Eq(t, []string{"match-03"}, starts(plan))
	must.StrContains(t, plan.Status.Waiting["match-00"], "does not show it live")
}

// The platform does not report the condition of three serving hosts in time. If
// they counted as down, all three would be drained at once without the margin.
func TestHostOfUnknownConditionIsNotDown(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 7, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	for _, name := range []string{"match-00", "match-01", "match-02"} {
		h := f.host(name)
		h.Down, h.ConditionUnknown, h.Reachable, h.Healthy = true, true, false, false
	}
	plan := f.plan()
	must.Len(t, 0, starts(plan))
	must.StrContains(t, plan.Status.Waiting["match-00"], "did not say how it is")
}

// Wave c needs a host that runs both services, each of which has headroom for one
// host. Waves a and b each use one service and take its headroom whenever it
// becomes available, so without a reservation c would wait until a and b have no
// host left.
func TestNoWaveStarves(t *testing.T) {
	f := newTestFleet()
	f.pool("left", 40, 40, record.MarginNone)
	f.pool("right", 40, 40, record.MarginNone)
	f.pool("both", 1, 0, record.MarginNone)
	f.services["both"] = []string{"left", "right"}
	f.waves["a"] = &record.Wave{Pools: []string{"left"}}
	f.waves["b"] = &record.Wave{Pools: []string{"right"}}
	f.waves["c"] = &record.Wave{Pools: []string{"both"}}
	names := []string{"a", "b", "c"}
	// Hosts of the two services return in alternate rounds, never in the same one.
	for round := range 8 {
		for i, plan := range PlanAll(f.fleet()) {
			for _, host := range starts(plan) {
				if names[i] == "c" {
					return
				}
				f.out(host, names[i], hostrecord.Draining).RecordConfirmed = false
			}
		}
		for i := range f.hosts {
			h := &f.hosts[i]
			if h.Record.Pool == []string{"left", "right"}[round%2] && h.Record.Wave != "" {
				f.visit(h.Name, h.Record.Wave, maintainedOutcome(round))
				h.Record.Phase, h.Record.Wave = hostrecord.Serving, ""
			}
		}
	}
	t.Fatal("wave c never got a host")
}

// Two waves over one pool are planned together. A host picked by the first must
// not look like a down host to the second, which would pick it as well and without
// the margin. TestWavesRespectBudgetsAndFinish shows this as a service short of
// its margin.
func TestTwoWavesDoNotTakeTheSameHost(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 5, 3, record.MarginHost)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.waves["b"] = &record.Wave{Pools: []string{"match"}}
	plans := PlanAll(f.fleet())
	must.Eq(t, []string{"match-00"}, starts(plans[0]))
	must.Len(t, 0, starts(plans[1]))
}

// A wave works on one of its pools at a time, and the budget of the first allows
// no host out. It must continue with the second pool instead of waiting forever.
// TestWavesRespectBudgetsAndFinish detects this fault too.
func TestBlockedPoolDoesNotBlockOtherPools(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 1, 1, record.MarginNone)
	f.pool("rights", 1, 0, record.MarginNone)
	f.policy = &record.Policy{BufferWeight: 1}
	f.waves["a"] = &record.Wave{Pools: []string{"match", "rights"}}
	must.Eq(t, []string{"rights-00"}, starts(f.plan()))
}

func TestBlockedWaveReportsReason(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 4, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	status := f.plan().Status
	must.Eq(t, Blocked, status.Phase)
	must.StrContains(t, status.Reason, "service match would keep 3 endpoints available")
}

// No host is taken out if the maintenance window closes before it could be back.
// Hosts that are already out are completed.
func TestMaintenanceWindows(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 2, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, Windows: []record.Window{{From: "20:00", To: "21:00"}}}
	must.Len(t, 1, starts(f.plan()))
	f.now = testTime.Add(50 * time.Minute)
	h := f.out("match-00", "a", hostrecord.Verifying)
	h.HealthyFor = time.Hour
	plan := f.plan()
	must.Eq(t, OutsideWindow, plan.Status.Phase)
	must.StrContains(t, plan.Status.Reason, "next start Thu 20:00 UTC")
	must.Len(t, 1, plan.Steps)
	must.Eq(t, ReturnToService, plan.Steps[0].Verb)
	f.waves["a"].Windows[0].To = "20:05"
	must.StrContains(t, f.plan().Status.Reason, "no window of the week is that long")
}

// A wave reserves capacity only for services that it works on: here two hosts
// for the wave and one for the margin, and none for the pool not yet started.
func TestStatusReportsServiceBuffers(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 7, record.MarginHost)
	f.pool("rights", 10, 7, record.MarginHost)
	f.policy = &record.Policy{BufferWeight: 1}
	f.waves["a"] = &record.Wave{Pools: []string{"match", "rights"}}
	buffers := f.plan().Status.Buffers
	must.Len(t, 1, buffers)
	must.Eq(t, "match", buffers[0].Service)
	must.Eq(t, 3, buffers[0].Total())
	must.Eq(t, "9 available, 7 needed, 1 kept for the loss of one host", buffers[0].Reason)
}

func TestCancelledWaveIsDoneOnceItsHostsAreBack(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 2, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, Cancelled: true}
	h := f.out("match-00", "a", hostrecord.Verifying)
	must.False(t, f.plan().Status.Done())
	h.Record.Phase, h.Record.Wave = hostrecord.Serving, ""
	must.True(t, f.plan().Status.Done())
}

// A host that changes pool on its return reduces the old pool's headroom. It must
// go last, or the pool's other hosts would be processed one at a time.
func TestHostChangingPoolGoesLast(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxParallel: 1}
	f.host("match-00").Record.NextPool = "rights"
	for i := 1; i < 4; i++ {
		must.SliceNotContains(t, starts(f.plan()), "match-00")
		f.visit(fmt.Sprintf("match-%02d", i), "a", maintainedOutcome(i))
	}
	must.Eq(t, []string{"match-00"}, starts(f.plan()))
}

// With a zone margin, taking hosts out of the largest zone reduces the reserve.
// Of ten hosts in zones of 4, 3 and 3 with four needed, four may be out, leaving 2
// in each zone. Zone by zone only three may be out, leaving 1, 3 and 3.
func TestLargestZoneGoesFirst(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 4, record.MarginZone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	must.Eq(t, 4, f.plan().Status.BudgetLimit)
}

// Weights 60:10 in favor of a small buffer work on half of the pools at once,
// weights 15:75 in favor of speed on all of them, and each pool uses its whole
// budget.
func TestPolicyWeightsSetConcurrentPools(t *testing.T) {
	for _, c := range []struct{ buffer, rollout, want int }{{60, 10, 6}, {15, 75, 10}, {100, 0, 4}} {
		f := newTestFleet()
		f.policy = &record.Policy{BufferWeight: c.buffer, RolloutWeight: c.rollout}
		spec := &record.Wave{}
		for i := range 5 {
			name := fmt.Sprintf("pool-%d", i)
			f.pool(name, 10, 7, record.MarginHost)
			spec.Pools = append(spec.Pools, name)
		}
		f.waves["a"] = spec
		for i := range 9 {
			f.visit(fmt.Sprintf("pool-0-%02d", i), "a", maintainedOutcome(i+1))
		}
		plan := f.plan()
		if c.rollout > 50 {
			must.Eq(t, c.want-1, plan.Status.Parallelism)
			continue
		}
		must.Eq(t, c.want-1, plan.Status.Parallelism)
		must.Eq(t, "pool-0-09", starts(plan)[0])
	}
}
