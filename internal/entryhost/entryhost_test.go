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

func TestJobIsServedAtAnyEntryHost(t *testing.T) {
	play(t, 3, func(w *world) {
		for _, pool := range []string{"day", "night"} {
			must.NotEqOp(t, "", w.holder(pool))
			for _, e := range w.entries {
				id := w.accept(e, pool, quick(2))
				w.done(w.other(pool), pool, id, 3*time.Second)
			}
		}
		must.NotEqOp(t, w.holder("day"), w.holder("night"))
	})
}

// A pool's holder dies without a word. Jobs handed in meanwhile are left in the
// store and accepted; the pool is ordered again within some three seconds, and
// what ran on the hosts goes on.
func TestPoolOfADeadHolderIsTakenOver(t *testing.T) {
	play(t, 3, func(w *world) {
		last := w.accept(w.other("day"), "day", lasting(3))
		running := w.accept(w.other("day"), "day", work.Step{Count: 2, Resources: work.Resources{MilliCPU: 1000, MemMB: 10}, Estimate: 6 * time.Second})
		time.Sleep(time.Second)
		starts := w.workers.Checker.Starts()
		w.kill(w.holder("day"))
		e := w.other("day")
		id := w.accept(e, "day", quick(2))
		w.done(e, "day", id, 6*time.Second)
		must.EqOp(t, starts+2, w.workers.Checker.Starts())
		must.EqOp(t, 3, w.workers.Checker.Running(last))
		w.done(e, "day", running, 8*time.Second)
	})
}

// All entry hosts lose power right after a job was accepted, and start again.
// The job is there and gets done; nothing runs twice.
func TestAcceptedJobOutlivesAllEntryHosts(t *testing.T) {
	play(t, 3, func(w *world) {
		id := w.accept(w.other("day"), "day", quick(4))
		for _, node := range nodes {
			w.kill(node)
		}
		time.Sleep(time.Second)
		w.startAll()
		w.done(w.entries["entry-2"], "day", id, 8*time.Second)
	})
}

// An entry host stops by plan. It gives its pools up, and another one holds
// them within a second: no lease has to run out first.
func TestPlannedStopHandsPoolsOver(t *testing.T) {
	play(t, 3, func(w *world) {
		node := w.holder("day")
		e := w.entries[node]
		e.Leave(w.ctx)
		w.kill(node)
		time.Sleep(time.Second)
		must.NotEqOp(t, "", w.holder("day"))
		w.done(w.other("day"), "day", w.accept(w.other("day"), "day", quick(2)), 3*time.Second)
	})
}

// The store turns away the entry host that a client talks to. It passes the job
// on to one that is served, and the client is told that it is accepted.
func TestEntryHostWithoutTheStorePassesJobsOn(t *testing.T) {
	play(t, 2, func(w *world) {
		cut := &cutStore{Store: w.store}
		e := w.startOn("entry-cut", cut)
		time.Sleep(time.Second)
		cut.set(true)
		time.Sleep(3 * time.Second)
		for range 3 {
			w.done(w.other("day"), "day", w.accept(e, "day", quick(1)), 5*time.Second)
		}
	})
}

// The store is down for everyone. A job is refused as soon as this entry host,
// the pool's holder and two others were turned away, and never runs; held until
// its client's time was up, it had no time for another try.
func TestNothingIsAcceptedWithoutTheStore(t *testing.T) {
	play(t, 3, func(w *world) {
		e := w.other("day")
		w.store.SetDown(true)
		record := w.record("day", quick(1))
		began := time.Now()
		must.EqOp(t, poolmanager.Refused, e.Jobs.SubmitJob(w.ctx, record))
		must.Less(t, 800*time.Millisecond, time.Since(began))
		began = time.Now()
		must.EqOp(t, poolmanager.Refused, e.Jobs.SubmitJob(w.ctx, w.record("day", quick(1))))
		must.EqOp(t, 0, time.Since(began), must.Sprint("a moment later it is known already"))
		w.store.SetDown(false)
		time.Sleep(8 * time.Second)
		must.EqOp(t, 0, w.workers.Checker.Starts())
		_, known, ok := w.other("day").Jobs.JobState(w.ctx, "day", record.ID)
		must.True(t, ok)
		must.False(t, known)
	})
}

// The keys of all claims vanish without a call that shows it. The holders write
// them again under the fence they have: nobody took the pools over, and no host
// has to be asked anew.
func TestVanishedClaimIsWrittenAgain(t *testing.T) {
	play(t, 3, func(w *world) {
		before := w.holder("day")
		w.store.Drop("glade/live/claim/day")
		time.Sleep(2 * time.Second)
		must.EqOp(t, before, w.holder("day"))
		w.done(w.other("day"), "day", w.accept(w.other("day"), "day", quick(1)), 3*time.Second)
	})
}

// A wave asks for all hosts of a pool with lasting work on it. Every host is
// empty when it goes down, no more are down than may be, no step misses more
// than it may, and the wave is done in time, although answers are lost and the
// holder of the duty dies halfway.
func TestWaveIsDoneThroughLossesAndTakeover(t *testing.T) {
	play(t, 3, func(w *world) {
		w.accept(w.other("day"), "day", lasting(3))
		time.Sleep(2 * time.Second)
		hosts, err := w.fleet.List(w.ctx)
		must.NoError(t, err)
		wave := hostmanager.Wave{Number: 7, TimeLimit: 60 * time.Second, MaxDown: 2}
		for _, h := range hosts {
			wave.Hosts = append(wave.Hosts, h.Name)
		}
		w.fleet.SetFaults(emulate.FleetFaults{LoseResponses: 3})
		w.demand(wave)
		began := time.Now()
		for w.fleet.MaintenanceStarted(7) < 4 && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		w.kill(w.dutyHolder())
		for w.fleet.MaintenanceStarted(7) < len(wave.Hosts) && time.Since(began) < 2*time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		must.EqOp(t, len(wave.Hosts), w.fleet.MaintenanceStarted(7))
		must.Less(t, 60*time.Second, time.Since(began))
		time.Sleep(10 * time.Second)
		entry, err := w.store.Get(w.ctx, "status/7")
		must.NoError(t, err)
		must.EqOp(t, "true", string(entry.Value))
	})
}

// One pool gets far more work than its hosts can do. Spare hosts come, then
// idle ones of the other pool, and no host with lasting work is moved.
func TestHostsMoveToThePoolThatNeedsThem(t *testing.T) {
	play(t, 3, func(w *world) {
		last := w.accept(w.other("night"), "night", lasting(2))
		time.Sleep(time.Second)
		var ids []string
		for range 20 {
			ids = append(ids, w.accept(w.other("day"), "day", quick(8)))
		}
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, w.fleet.In("spare"))
		must.GreaterEq(t, 2, w.fleet.In("night"))
		must.EqOp(t, 2, w.workers.Checker.Running(last))
		for _, id := range ids {
			w.done(w.other("day"), "day", id, 20*time.Second)
		}
	})
}

// dutyHolder returns the entry host that looks after the hosts.
func (w *world) dutyHolder() string {
	for _, e := range w.entries {
		if claim, ok := e.Cluster.Holder(hostmanager.ClaimName); ok {
			return claim.Node
		}
	}
	return ""
}

// cutStore is a store that turns one entry host away.
type cutStore struct {
	*memstore.Store
	gate
}

// An entry host's process is killed and starts again at once. Its pools are
// ordered again within a second: the claims of its earlier life are known to
// be dead, and nobody waits for their lease to run out.
func TestPoolsOfARestartedEntryHostDoNotWaitForItsLease(t *testing.T) {
	play(t, 3, func(w *world) {
		node := w.holder("day")
		w.kill(node)
		time.Sleep(100 * time.Millisecond)
		w.start(node)
		time.Sleep(900 * time.Millisecond)
		must.NotEqOp(t, "", w.holder("day"))
	})
}
