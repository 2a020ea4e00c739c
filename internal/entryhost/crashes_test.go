package entryhost_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// acceptCrashing submits a job whose first task crashes the hosts that it runs on.
func (dep *deployment) acceptCrashing(e *entry, pool string, steps ...work.Step) string {
	dep.t.Helper()
	record := dep.record(pool, steps...)
	dep.crashOnStart(record.ID)
	must.EqOp(dep.t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, record).Result)
	return record.ID
}

// startAll restarts the processes of all entry hosts.
func (dep *deployment) startAll() {
	for _, node := range nodes {
		dep.start(node)
	}
}

// Guards against losing the count of host crashes when all entry hosts are killed at
// once, repeatedly.
func TestCrashCountSurvivesLossOfAllEntryHosts(t *testing.T) {
	speculative := quick(3)
	speculative.Speculative = true
	for name, step := range map[string]work.Step{"plain": quick(3), "with copies": speculative, "lasting": longRunning(2)} {
		t.Run(name, func(t *testing.T) {
			runTest(t, 3, func(dep *deployment) {
				id := dep.acceptCrashing(dep.entries["entry-1"], "day", step)
				for range 5 {
					time.Sleep(4500 * time.Millisecond)
					for node := range dep.entries {
						dep.kill(node)
					}
					time.Sleep(500 * time.Millisecond)
					dep.startAll()
				}
				time.Sleep(25 * time.Second)
				if step.LongRunning {
					must.Less(t, maxAway, dep.workers.Checker.LongestAway(id))
					return
				}
				state, _, _ := dep.entries["entry-2"].Jobs.JobState(dep.ctx, work.JobRef{Pool: "day", ID: id})
				must.EqOp(t, work.Failed, state)
				must.Less(t, 6, dep.workers.Checker.Crashes(id))
			})
		})
	}
}

// Guards against a crash count that restarts whenever a wave, or a move to another
// pool, takes away a host with a task that crashes its hosts.
func TestWaveWithLongRunningTaskThatCrashesHosts(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		crashing := dep.acceptCrashing(dep.entries["entry-1"], "day", longRunning(2))
		healthy := dep.accept(dep.entries["entry-1"], "day", longRunning(2))
		hosts, err := dep.fleet.List(dep.ctx)
		must.NoError(t, err)
		wave := hostmanager.Wave{Number: 1, TimeLimit: 60 * time.Second, MaxDown: 2}
		for _, h := range hosts {
			wave.Hosts = append(wave.Hosts, h.Name)
		}
		dep.requestWave(wave)
		time.Sleep(90 * time.Second)
		must.EqOp(t, 2, dep.workers.Checker.Running(healthy))
		must.Less(t, maxAway, dep.workers.Checker.LongestAway(crashing))
	})
}

// Guards against overcommitting a host whose capacity was reduced, and against leaving
// it idle after its capacity was restored.
func TestHostWithReducedCapacityIsNotOvercommitted(t *testing.T) {
	runTest(t, 1, func(dep *deployment) {
		e := dep.entries["entry-1"]
		for _, id := range dep.workers.IDs("day") {
			dep.workers.Resize(id, work.Resources{MilliCPU: 3000, MemMB: 3000})
		}
		first := dep.accept(e, "day", quick(12))
		time.Sleep(6 * time.Second)
		for _, id := range dep.workers.IDs("day") {
			must.LessEq(t, 1, dep.workers.Running(id))
			dep.workers.Resize(id, work.Resources{MilliCPU: 16_000, MemMB: 32_000})
		}
		second := dep.accept(e, "day", quick(24))
		dep.done(e, "day", first, 12*time.Second)
		dep.done(e, "day", second, 12*time.Second)
	})
}

// Guards against placing tasks on a host that reports no capacity.
func TestHostWithoutCapacityGetsNoTasks(t *testing.T) {
	runTest(t, 1, func(dep *deployment) {
		e := dep.entries["entry-1"]
		lost := dep.workers.IDs("day")[0]
		dep.workers.Resize(lost, work.Resources{})
		time.Sleep(6 * time.Second)
		id := dep.accept(e, "day", quick(6))
		dep.done(e, "day", id, 8*time.Second)
		must.EqOp(t, 0, dep.workers.Checker.RunsOn(lost, id))
	})
}
