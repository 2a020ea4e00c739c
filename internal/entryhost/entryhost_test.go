package entryhost_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/work"
)

func TestJobIsAcceptedAtAnyEntryHost(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		for _, pool := range []string{"day", "night"} {
			must.NotEqOp(t, "", dep.holder(pool))
			for _, e := range dep.entries {
				id := dep.accept(e, pool, quick(2))
				dep.done(dep.other(pool), pool, id, 3*time.Second)
			}
		}
		must.NotEqOp(t, dep.holder("day"), dep.holder("night"))
	})
}

// A pool's holder is killed. Jobs submitted in the meantime are written to the store
// and accepted. The pool is taken over within about 3 s, and running tasks continue.
func TestPoolOfFailedHolderIsTakenOver(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		longID := dep.accept(dep.other("day"), "day", longRunning(3))
		running := dep.accept(dep.other("day"), "day", work.Step{Count: 2, Resources: work.Resources{MilliCPU: 1000, MemMB: 10}, Estimate: 6 * time.Second})
		time.Sleep(time.Second)
		starts := dep.workers.Checker.Starts()
		dep.kill(dep.holder("day"))
		e := dep.other("day")
		id := dep.accept(e, "day", quick(2))
		dep.done(e, "day", id, 6*time.Second)
		must.EqOp(t, starts+2, dep.workers.Checker.Starts())
		must.EqOp(t, 3, dep.workers.Checker.Running(longID))
		dep.done(e, "day", running, 8*time.Second)
	})
}

// All entry hosts lose power right after a job was accepted, and restart. The job
// completes, and no task runs twice.
func TestAcceptedJobSurvivesLossOfAllEntryHosts(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		id := dep.accept(dep.other("day"), "day", quick(4))
		for _, node := range nodes {
			dep.kill(node)
		}
		time.Sleep(time.Second)
		dep.startAll()
		dep.done(dep.entries["entry-2"], "day", id, 8*time.Second)
	})
}

// An entry host shuts down gracefully. It releases its pools, and another one holds
// them within 1 s, without waiting for a lease to expire.
func TestGracefulShutdownReleasesPools(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		node := dep.holder("day")
		e := dep.entries[node]
		e.Leave(dep.ctx)
		dep.kill(node)
		time.Sleep(time.Second)
		must.NotEqOp(t, "", dep.holder("day"))
		dep.done(dep.other("day"), "day", dep.accept(dep.other("day"), "day", quick(2)), 3*time.Second)
	})
}

// The store refuses the entry host that a client is connected to. The entry host
// relays the job to one that can reach the store, and the job is accepted.
func TestEntryHostWithoutStoreRelaysJobs(t *testing.T) {
	runTest(t, 2, func(dep *deployment) {
		cut := &cutStore{Store: dep.store}
		e := dep.startOn("entry-cut", cut)
		time.Sleep(time.Second)
		cut.set(true)
		time.Sleep(3 * time.Second)
		for range 3 {
			dep.done(dep.other("day"), "day", dep.accept(e, "day", quick(1)), 5*time.Second)
		}
	})
}

// The store is unavailable to all entry hosts. A job is refused as soon as this entry
// host, the pool's holder and two others were refused by the store, and never runs.
// If the request were kept waiting until the client's timeout, the client would have
// no time left for a retry.
func TestJobsAreRefusedWhileStoreIsDown(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		e := dep.other("day")
		dep.store.SetDown(true)
		record := dep.record("day", quick(1))
		began := time.Now()
		must.EqOp(t, poolmanager.Refused, e.Jobs.SubmitJob(dep.ctx, record).Result)
		must.Less(t, 800*time.Millisecond, time.Since(began))
		began = time.Now()
		must.EqOp(t, poolmanager.Refused, e.Jobs.SubmitJob(dep.ctx, dep.record("day", quick(1))).Result)
		must.EqOp(t, 0, time.Since(began), must.Sprint("the next job must be refused without a try"))
		dep.store.SetDown(false)
		time.Sleep(8 * time.Second)
		must.EqOp(t, 0, dep.workers.Checker.Starts())
		_, known, ok := dep.other("day").Jobs.JobState(dep.ctx, work.JobRef{Pool: "day", ID: record.ID})
		must.True(t, ok)
		must.False(t, known)
	})
}

// A pool's claim is deleted from the store without the holder's involvement. The holder
// writes it again under its current fence: no other process has taken the pool over,
// and no host has to be queried again.
func TestDeletedClaimIsRestored(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		before := dep.holder("day")
		dep.store.DeleteKey("glade/live/claim/day")
		time.Sleep(2 * time.Second)
		must.EqOp(t, before, dep.holder("day"))
		dep.done(dep.other("day"), "day", dep.accept(dep.other("day"), "day", quick(1)), 3*time.Second)
	})
}

// A maintenance wave covers all hosts while a pool runs long-running tasks. Every host
// is empty when it goes down, no more hosts are down at a time than the wave permits, no
// step has more missing tasks than it permits, and the wave completes in time, although
// replies are lost and the host manager's entry host is killed halfway.
func TestWaveCompletesDespiteLostRepliesAndTakeover(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		dep.accept(dep.other("day"), "day", longRunning(3))
		time.Sleep(2 * time.Second)
		hosts, err := dep.fleet.List(dep.ctx)
		must.NoError(t, err)
		wave := hostmanager.Wave{Number: 7, TimeLimit: 60 * time.Second, MaxDown: 2}
		for _, h := range hosts {
			wave.Hosts = append(wave.Hosts, h.Name)
		}
		dep.fleet.SetFaults(emulate.FleetFaults{LoseResponses: 3})
		dep.requestWave(wave)
		began := time.Now()
		for dep.fleet.MaintenanceStarted(7) < 4 && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		dep.kill(dep.hostManagerEntry())
		for dep.fleet.MaintenanceStarted(7) < len(wave.Hosts) && time.Since(began) < 2*time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		must.EqOp(t, len(wave.Hosts), dep.fleet.MaintenanceStarted(7))
		must.Less(t, 60*time.Second, time.Since(began))
		time.Sleep(10 * time.Second)
		entry, err := dep.store.Get(dep.ctx, "status/7")
		must.NoError(t, err)
		must.EqOp(t, "true", string(entry.Value))
	})
}

// One pool receives far more work than its hosts can run. Spare hosts are moved to it,
// then idle ones of the other pool, but no host with long-running tasks.
func TestHostsMoveToOverloadedPool(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		longID := dep.accept(dep.other("night"), "night", longRunning(2))
		time.Sleep(time.Second)
		var ids []string
		for range 20 {
			ids = append(ids, dep.accept(dep.other("day"), "day", quick(8)))
		}
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, dep.fleet.HostCount("spare"))
		must.GreaterEq(t, 2, dep.fleet.HostCount("night"))
		must.EqOp(t, 2, dep.workers.Checker.Running(longID))
		for _, id := range ids {
			dep.done(dep.other("day"), "day", id, 20*time.Second)
		}
	})
}

// hostManagerEntry returns the entry host that holds the host manager's claim, or
// empty.
func (dep *deployment) hostManagerEntry() string {
	for _, e := range dep.entries {
		if claim, ok := e.Cluster.Holder(hostmanager.ClaimName); ok {
			return claim.Node
		}
	}
	return ""
}

// cutStore is the store as seen by one entry host that can be cut off from it.
type cutStore struct {
	*memstore.Store
	gate
}

// An entry host's process is killed and restarts at once. Its pools have a holder
// again within 1 s: the claims of its previous start are obsolete, and no process
// waits for their lease to expire.
func TestPoolsOfRestartedEntryHostDoNotWaitForLease(t *testing.T) {
	runTest(t, 3, func(dep *deployment) {
		node := dep.holder("day")
		dep.kill(node)
		time.Sleep(100 * time.Millisecond)
		dep.start(node)
		time.Sleep(900 * time.Millisecond)
		must.NotEqOp(t, "", dep.holder("day"))
	})
}
