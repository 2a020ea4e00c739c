package wave

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

func maintained(sequence int) hostrecord.WaveOutcome {
	return hostrecord.WaveOutcome{Result: hostrecord.Maintained, Sequence: sequence}
}

func failedVisit(sequence int) hostrecord.WaveOutcome {
	return hostrecord.WaveOutcome{Result: hostrecord.GaveUp, Sequence: sequence, Reason: "did not come back"}
}

// Thirty hosts of which ten may be out: a wave for speed starts with three, a
// tenth of its hosts, and widens by two for each that came back whole.
func TestStartsSmallAndWidens(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 30, 20, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	must.Len(t, 3, starts(f.plan()))
	for i, want := range []int{5, 7, 9, 10, 10} {
		f.visit(fmt.Sprintf("match-%02d", i), "a", maintained(i+1))
		must.Len(t, want, starts(f.plan()))
	}
}

// Failures that share a failure domain are likely to have one cause. One alone
// halves the width, a second in its zone quarters it, a second in its rack
// leaves a single host at once and puts the rack's other hosts last.
func TestShrinksByWhatFailuresShare(t *testing.T) {
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
				f.visit(fmt.Sprintf("match-%02d", i), "a", maintained(i))
			}
			must.Eq(t, 10, f.plan().Status.Parallelism)
			f.visit("match-00", "a", failedVisit(20))
			must.Eq(t, 5, f.plan().Status.Parallelism)
			f.visit(c.second, "a", failedVisit(21))
			must.Eq(t, c.want, f.plan().Status.Parallelism)
		})
	}
}

func TestRackThatLostHostsComesLast(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 12, 10, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 5}
	f.visit("match-00", "a", failedVisit(1))
	f.host("match-06").Rack, f.host("match-09").Rack = "r0", "r0"
	f.visit("match-03", "a", failedVisit(2))
	plan := f.plan()
	must.Eq(t, []string{"match-01"}, starts(plan))
	must.StrContains(t, plan.Status.Waiting["match-06"], "rack r0 lost hosts in this wave and comes last")
}

// A wave that has lost too many hosts starts no other until an operator raises
// the generation; then it starts small again with a clean slate. It had gone on
// by itself when a host came back late, because the failure was gone.
func TestStopsAndResumesByTheOperatorsWord(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 30, 20, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 1}
	f.visit("match-00", "a", failedVisit(1))
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
		f.visit(fmt.Sprintf("match-%02d", i), "a", failedVisit(i+1))
	}
	must.StrContains(t, f.plan().Status.Reason, "4 of the last 4 hosts failed")
}

// With more failures than allowed and no host left, the wave had stayed
// "stopped" for ever: it ends, with the hosts that failed named.
func TestEndsWithItsFailuresNamed(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 2, 0, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.visit("match-00", "a", failedVisit(1))
	f.out("match-01", "b", hostrecord.Failed)
	status := f.plan().Status
	must.True(t, status.Done())
	must.Eq(t, Finished, status.Phase)
	must.Eq(t, map[string]string{"match-00": "did not come back", "match-01": `failed in wave "b"`}, status.Failed)
}

// What an operator sees: a healthy host counts as failed after its deadline.
// The controller wrote the intent and ended before the platform took the act,
// and nothing asked for the reboot again.
func TestLostRebootIsAskedForAgain(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 2, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	h := f.out("match-00", "a", hostrecord.Rebooting)
	h.LastOperation = "an-earlier-one"
	must.Eq(t, Reboot, f.plan().Steps[0].Verb)
	h.LastOperation = h.Record.Operation
	must.Len(t, 0, f.plan().Steps)
}

// A host that comes back after its deadline goes back to work, and the record
// says that it was late. Before, its capacity was lost until someone noticed.
func TestLateHostGoesBackToWork(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 0, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxFailedHosts: 1}
	h := f.out("match-00", "a", hostrecord.Failed)
	f.visit("match-00", "a", failedVisit(3))
	h.BootID, h.HealthyFor = "boot-2", time.Hour
	h.LastOperation = h.Record.Operation
	step := f.plan().Steps[len(f.plan().Steps)-1]
	must.Eq(t, ReturnToService, step.Verb)
	must.True(t, step.Visit.RecoveredLate)
	must.Eq(t, 4, step.Visit.Sequence)
}

func TestHostThatIsDownGoesFirstAndFree(t *testing.T) {
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

// A rack is lost; its hosts are taken out as down, and come back by themselves
// after their reboot deadline. They had stayed out of work until nothing else
// was left of the wave, over an hour in the run that found it, since neither
// the reboot nor the end was due. They go back to work and wait for their turn.
func TestHostThatCameBackByItselfGoesBackToWork(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 8, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	for _, phase := range []hostrecord.Phase{hostrecord.Draining, hostrecord.Rebooting} {
		h := f.out("match-00", "a", phase)
		h.Record.AlreadyDown, h.Record.BootID, h.PhaseAge = true, "", time.Hour
		step := f.plan().Steps[len(f.plan().Steps)-1]
		must.Eq(t, ReturnToService, step.Verb)
		must.Nil(t, step.Visit)
	}
}

// A rack's loss says nothing about the wave: its hosts don't stop it, and they
// are only given up when nothing else is left to do.
func TestHostsThatWereDownDontStopTheWave(t *testing.T) {
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
		f.visit(name, "a", maintained(1))
	}
	step := f.plan().Steps[0]
	must.Eq(t, MarkFailed, step.Verb)
	must.True(t, step.Visit.AlreadyDown)
	f.visit("match-00", "a", *step.Visit)
	must.Eq(t, Finished, f.plan().Status.Phase)
}

// Two waves cover the same pool; each has taken out a host that was down before
// and never comes back. Each gave up its own only when nothing else was left, and
// counted the other's as left: neither wave ended, and an operator waited for ever.
// In TestSoak the statuses said "host is rebooting for wave" of each other's host.
func TestTwoWavesDontWaitForEachOthersDeadHosts(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	for _, wave := range []string{"a", "b"} {
		f.waves[wave] = &record.Wave{Pools: []string{"match"}}
		for _, name := range []string{"match-02", "match-03"} {
			f.visit(name, wave, maintained(1))
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

// One of the hosts that another wave has out is on its way back. A host that was
// down before is waited for until then: the wave has to go on with that one.
func TestAHostThatComesBackIsWaitedForByAllWaves(t *testing.T) {
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

// The list lags and doesn't show a host that is back at work. Taken for down,
// it would be taken out without margin, given back, and so on each round.
func TestHostThatTheListLagsBehindIsLeftAlone(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.host("match-00").Down = true
	plan := f.plan()
	must.Eq(t, []string{"match-03"}, starts(plan))
	must.StrContains(t, plan.Status.Waiting["match-00"], "does not show it live")
}

// The platform is slow and says of three serving hosts nothing in time. Taken
// for down, all three would be drained at once, free of the margin.
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

// Wave c needs a host that carries both services, each of which has room for
// one host. Waves a and b each use one service and take every place as it comes
// free, so that c never finds both free at once: ordered by name, it had waited
// until a and b had no host left.
func TestNoWaveStarves(t *testing.T) {
	f := newTestFleet()
	f.pool("left", 40, 40, record.MarginNone)
	f.pool("right", 40, 40, record.MarginNone)
	f.pool("both", 1, 0, record.MarginNone)
	f.carries["both"] = []string{"left", "right"}
	f.waves["a"] = &record.Wave{Pools: []string{"left"}}
	f.waves["b"] = &record.Wave{Pools: []string{"right"}}
	f.waves["c"] = &record.Wave{Pools: []string{"both"}}
	names := []string{"a", "b", "c"}
	// The services' hosts come back in turn, never both in one round.
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
				f.visit(h.Name, h.Record.Wave, maintained(round))
				h.Record.Phase, h.Record.Wave = hostrecord.Serving, ""
			}
		}
	}
	t.Fatal("wave c never got a host")
}

// Two waves over one pool planned together both picked the same host: taken by
// the first, it looked like one that is down, free of the margin, to the second.
// Found by TestWavesKeepBudgetsAndEnd as a service short of its margin.
func TestTwoWavesDontTakeTheSameHost(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 5, 3, record.MarginHost)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	f.waves["b"] = &record.Wave{Pools: []string{"match"}}
	plans := PlanAll(f.fleet())
	must.Eq(t, []string{"match-00"}, starts(plans[0]))
	must.Len(t, 0, starts(plans[1]))
}

// A wave that works on one of its pools at a time had waited for ever for the
// first one, whose budget lets nothing out, with the second free to go.
// Found by TestWavesKeepBudgetsAndEnd.
func TestBlockedPoolDoesNotHoldTheOthers(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 1, 1, record.MarginNone)
	f.pool("rights", 1, 0, record.MarginNone)
	f.policy = &record.Policy{BufferWeight: 1}
	f.waves["a"] = &record.Wave{Pools: []string{"match", "rights"}}
	must.Eq(t, []string{"rights-00"}, starts(f.plan()))
}

func TestBlockedWaveSaysSo(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 4, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	status := f.plan().Status
	must.Eq(t, Blocked, status.Phase)
	must.StrContains(t, status.Reason, "service match would keep 3 endpoints available")
}

// A window that closes before a host could be back starts none; hosts that are
// out are finished all the same.
func TestWindows(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 2, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, Windows: []record.Window{{From: "20:00", To: "21:00"}}}
	must.Len(t, 1, starts(f.plan()))
	f.now = evening.Add(50 * time.Minute)
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

// A service is claimed while the wave works on it: two for the wave and one for
// the margin here, and nothing for the pool that hasn't been begun.
func TestStatusSaysWhatEachServiceHoldsBack(t *testing.T) {
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

// A host that leaves the pool takes the pool's room along: it goes last, or the
// pool's other hosts are done one at a time.
func TestHostThatLeavesThePoolGoesLast(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 4, 1, record.MarginNone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}, MaxParallel: 1}
	f.host("match-00").Record.NextPool = "rights"
	for i := 1; i < 4; i++ {
		must.SliceNotContains(t, starts(f.plan()), "match-00")
		f.visit(fmt.Sprintf("match-%02d", i), "a", maintained(i))
	}
	must.Eq(t, []string{"match-00"}, starts(f.plan()))
}

// With a zone kept for a failure, taking hosts from the fullest zone makes the
// reserve smaller: of ten hosts in 4, 3 and 3 with four needed, four may be out
// with two left in each; zone after zone it is three, with 1, 3 and 3 left.
func TestFullestZoneGoesFirst(t *testing.T) {
	f := newTestFleet()
	f.pool("match", 10, 4, record.MarginZone)
	f.waves["a"] = &record.Wave{Pools: []string{"match"}}
	must.Eq(t, 4, f.plan().Status.BudgetLimit)
}

// Klarlund's weights work on half of its pools at once, Lindqvist's on all, and
// each pool as wide as its budget lets it be.
func TestWeightsDecideOnHowManyPoolsToWork(t *testing.T) {
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
			f.visit(fmt.Sprintf("pool-0-%02d", i), "a", maintained(i+1))
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
