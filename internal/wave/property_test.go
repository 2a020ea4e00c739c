package wave

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// The fixed seed makes every run draw the same cases. -rapid.seed and
// -rapid.checks select other cases and their number.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

// drawFleet draws pools with shared services, their budgets, and up to three
// waves over them.
func drawFleet(t *rapid.T) *testFleet {
	f := newTestFleet()
	f.policy = &record.Policy{
		BufferWeight: rapid.IntRange(0, 100).Draw(t, "buffer"), RolloutWeight: rapid.IntRange(0, 100).Draw(t, "rollout"),
	}
	margins := []record.FailureMargin{record.MarginNone, record.MarginHost, record.MarginRack, record.MarginZone}
	names := []string{"p", "q", "r"}[:rapid.IntRange(1, 3).Draw(t, "pools")]
	for _, name := range names {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		f.pool(name, hosts, rapid.IntRange(0, hosts).Draw(t, "minimum"), rapid.SampledFrom(margins).Draw(t, "margin"))
	}
	for _, name := range names {
		if rapid.Bool().Draw(t, "shares") {
			f.services[name] = slices.Compact([]string{"p", name})
		}
	}
	for _, name := range []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "waves")] {
		f.waves[name] = &record.Wave{
			Pools: names[:rapid.IntRange(1, len(names)).Draw(t, "covered")], MaxFailedHosts: 1000,
			MaxParallel: rapid.IntRange(0, 3).Draw(t, "parallel"),
		}
	}
	return f
}

// checkBudgets checks the budgets by counting endpoints independently of the
// budget tracker.
func (f *testFleet) checkBudgets(t *rapid.T, started Host) {
	for _, b := range f.budgets {
		left, loss := 0, make(map[string]int)
		carries := false
		for _, h := range f.hosts {
			for _, service := range f.services[h.Record.Pool] {
				if service != b.Service {
					continue
				}
				carries = carries || h.Name == started.Name
				if h.Record.Schedulable() && !h.Down {
					left++
					loss[map[record.FailureMargin]string{record.MarginHost: h.Name, record.MarginRack: h.Zone + h.Rack, record.MarginZone: h.Zone}[b.Margin]]++
				}
			}
		}
		worst := 0
		for domain, n := range loss {
			if domain != "" && !started.Down {
				worst = max(worst, n)
			}
		}
		if carries && left-worst < b.MinAvailable {
			t.Fatalf("service %s keeps %d less %d, needs %d, after %s", b.Service, left, worst, b.MinAvailable, started.Name)
		}
	}
}

// applyPlan applies a plan's steps and returns their number. A host that fails
// stays down.
func (f *testFleet) applyPlan(t *rapid.T, wave string, plan Plan) int {
	for _, step := range plan.Steps {
		h := f.host(step.Host)
		if step.Verb == MarkDraining {
			before := *h
			f.out(step.Host, wave, hostrecord.Draining).Record.AlreadyDown = step.AlreadyDown
			f.checkBudgets(t, before)
			continue
		}
		f.applyStep(t, h, step)
	}
	return len(plan.Steps)
}

func (f *testFleet) applyStep(t *rapid.T, h *Host, step Step) {
	switch step.Verb {
	case DrainHost:
		h.DrainRequested = true
	case Reboot:
		h.Record.Phase, h.LastOperation, h.DrainRequested = hostrecord.Rebooting, h.Record.Operation, false
		h.BootID, h.HealthyFor = h.BootID+"+", time.Hour
		fails := rapid.IntRange(0, 9).Draw(t, "dies") == 0
		h.Reachable, h.Healthy, h.Down = !fails, !fails, fails
	case VerifyHealth:
		h.Record.Phase = hostrecord.Verifying
	case MarkFailed:
		h.Record.Phase = hostrecord.Failed
		f.visit(h.Name, h.Record.Wave, *step.Outcome)
	case ReturnToService:
		if step.Outcome != nil {
			f.visit(h.Name, h.Record.Wave, *step.Outcome)
		}
		h.Record.Phase, h.Record.Wave, h.Record.Operation, h.Record.AlreadyDown = hostrecord.Serving, "", "", false
	}
}

// failOver discards the state of the controller: of each host only the stored
// record and the condition that the platform reports remain.
func (f *testFleet) failOver(t *rapid.T) {
	for i := range f.hosts {
		stored, err := hostrecord.Parse("host", f.hosts[i].Record.Encode())
		must.NoError(t, err)
		f.hosts[i].Record, f.hosts[i].DrainRequested, f.hosts[i].Refusal = stored, false, ""
	}
}

// Under arbitrary host failures and failovers, no plan exceeds a budget or its
// margin. Every wave either ends with each host maintained or listed as failed,
// or reports that it is stopped or that no budget allows its hosts out.
func TestWavesRespectBudgetsAndFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		names := []string{"a", "b", "c"}[:len(f.waves)]
		const maxRounds = 250
		failovers := rapid.SliceOfN(rapid.IntRange(0, maxRounds/2), 0, 6).Draw(t, "failovers")
		for round := range maxRounds {
			if slices.Contains(failovers, round) {
				f.failOver(t)
			}
			f.passDeadlines()
			steps, ended := 0, 0
			for i, plan := range PlanAll(f.fleet()) {
				if plan.Status.Done() || plan.Status.Phase == Blocked || plan.Status.Phase == Stopped {
					ended++
				}
				if plan.Status.Phase == Finished && plan.Status.Maintained+len(plan.Status.Failed) != plan.Status.Hosts {
					t.Fatalf("wave %s finished with hosts neither maintained nor named", names[i])
				}
				steps += f.applyPlan(t, names[i], plan)
			}
			if steps == 0 && ended == len(names) {
				return
			}
		}
		t.Fatalf("waves did not end: %v", describe(f))
	})
}

// passDeadlines makes every host exceed all deadlines of its phase.
func (f *testFleet) passDeadlines() {
	for i := range f.hosts {
		f.hosts[i].PhaseAge = 2 * time.Hour
	}
}

func describe(f *testFleet) []string {
	var all []string
	for _, plan := range PlanAll(f.fleet()) {
		all = append(all, fmt.Sprintf("%s %s: %s, waiting %v, out %v", plan.Status.Wave, plan.Status.Phase, plan.Status.Reason, plan.Status.Waiting, plan.Status.HostsOut))
	}
	return all
}
