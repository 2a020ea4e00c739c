package entryhost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

const (
	// settledAfter is the age from which on no order to start a run is under way any more.
	settledAfter = 2500 * time.Millisecond
	// runsAway is how long hosts are cut off: for less than the leases on their runs last.
	runsAway = 2800 * time.Millisecond
)

// silentListings are what a service that moves hosts may say of a host that is cut off.
var silentListings = []emulate.SilentListing{emulate.SilentUp, emulate.SilentDown, emulate.SilentLeftOut}

// lasting is a step of one task that runs for a while.
func lasting(length time.Duration) work.Step {
	step := quick(1)
	step.Estimate = length
	return step
}

// outlasting is a step of one task that runs for longer than its host is cut off.
func outlasting() work.Step { return lasting(settledAfter + 2*runsAway) }

// cutOffHost cuts a host off for a while. Its runs go on.
func (dep *deployment) cutOffHost(id string, length time.Duration) {
	dep.workers.SetFaults(id, emulate.HostFaults{Unresponsive: true})
	time.AfterFunc(length, func() { dep.workers.SetFaults(id, emulate.HostFaults{}) })
}

// served waits until a job's task has ended, or runs if it is a long-running one.
func (dep *deployment) served(pool, id string, step work.Step) {
	dep.t.Helper()
	if step.LongRunning {
		time.Sleep(20 * time.Second)
		must.EqOp(dep.t, 1, dep.workers.Checker.Running(id))
		return
	}
	for _, e := range dep.entries {
		dep.done(e, pool, id, 40*time.Second)
	}
	// All ends are acknowledged.
	time.Sleep(2 * time.Second)
}

// Guards against a second run of a task beside the first one, which goes on at a host that is cut off.
func TestSecondRunBesideASilentHost(t *testing.T) {
	// A negative time is for a holder that stays.
	const stays = -time.Second
	steps := map[string]work.Step{
		"task that ends": outlasting(), "task that ends meanwhile": lasting(settledAfter + 400*time.Millisecond), "long-running task": longRunning(1),
	}
	for _, listing := range silentListings {
		for name, step := range steps {
			for _, holderLost := range []time.Duration{stays, 0, 300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("silent is %q/%s/holder lost %s later", listing, name, holderLost), func(t *testing.T) {
					runTest(t, 3, func(dep *deployment) {
						dep.fleet.SetFaults(emulate.FleetFaults{Silent: listing})
						id := dep.accept(dep.entries["entry-1"], "day", step)
						time.Sleep(settledAfter)
						host, cutAt := dep.hostOf("day", id), time.Now()
						dep.cutOffHost(host, runsAway)
						if holderLost != stays {
							time.Sleep(holderLost)
							dep.kill(dep.holder("day"))
						}
						time.Sleep(time.Until(cutAt.Add(runsAway)))
						must.True(t, dep.workers.Checker.RunsOn(host, id) == 1 || dep.workers.Checker.Finished(id))
						// Hosts that were removed are called again once the list changes.
						dep.fleet.Add("day", "r0", work.Resources{MilliCPU: 16_000, MemMB: 32_000})
						dep.served("day", id, step)
					})
				})
			}
		}
	}
}

// addLarge adds two hosts to a pool and returns their IDs and a step that fits no others.
func (dep *deployment) addLarge(pool string, step work.Step) (ids []string, only work.Step) {
	large := work.Resources{MilliCPU: 32_000, MemMB: 32_000}
	before := dep.workers.IDs(pool)
	for range 2 {
		dep.fleet.Add(pool, "r0", large)
	}
	step.Resources.MilliCPU = large.MilliCPU - 1000
	return dep.workers.IDs(pool)[len(before):], step
}

// Guards against a second run of a task beside the first one, at a host that an old list of hosts lacks.
func TestSecondRunBesideASilentHostThatWasJustAdded(t *testing.T) {
	for _, lag := range []time.Duration{0, 10 * time.Second} {
		for name, step := range map[string]work.Step{"task that ends": outlasting(), "long-running task": longRunning(1)} {
			t.Run(fmt.Sprintf("lag %s/%s", lag, name), func(t *testing.T) {
				runTest(t, 3, func(dep *deployment) {
					dep.fleet.SetFaults(emulate.FleetFaults{Lag: lag})
					_, only := dep.addLarge("day", step)
					id := dep.accept(dep.entries["entry-1"], "day", only)
					time.Sleep(settledAfter)
					dep.cutOffHost(dep.hostOf("day", id), runsAway)
					dep.served("day", id, step)
				})
			})
		}
	}
}

// Guards against a second run of a task beside the first one, at a restarted host whose last crash an old list shows.
func TestSecondRunBesideASilentHostThatHasRestarted(t *testing.T) {
	const toRestart = 3 * time.Second
	for _, lag := range []time.Duration{0, toRestart + settledAfter} {
		for name, step := range map[string]work.Step{"task that ends": outlasting(), "long-running task": longRunning(1)} {
			t.Run(fmt.Sprintf("lag %s/%s", lag, name), func(t *testing.T) {
				keepIDs := func(dep *deployment) { dep.workers.KeepsID = func(string) bool { return true } }
				runTestOf(t, 3, keepIDs, func(dep *deployment) {
					hosts, only := dep.addLarge("day", step)
					dep.fleet.SetFaults(emulate.FleetFaults{Lag: lag})
					time.Sleep(lag)
					dep.workers.Crash(hosts...)
					id := dep.accept(dep.entries["entry-1"], "day", only)
					time.Sleep(toRestart + settledAfter)
					host := dep.hostOf("day", id)
					must.SliceContains(t, hosts, host)
					dep.cutOffHost(host, runsAway)
					dep.served("day", id, step)
				})
			})
		}
	}
}
