package mover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// An operator makes one pool smaller and another larger. Hosts must move only after
// the stabilization window, and only as many as the old pool's budget allows.
func TestHostsMoveAfterStabilizationWindowWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 6)
		b.history.setMinimum("a", 3)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 4, 3)
		b.pool("b", 2, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 4, "b": 2}))
		b.resize("a", 2)
		b.resize("b", 4)
		time.Sleep(55 * time.Second)
		must.Zero(t, b.history.moveCount())
		b.within(10*time.Minute, "one host moved", b.sizes(map[string]int{"a": 3, "b": 3}))
		time.Sleep(10 * time.Minute)
		must.Eq(t, 1, b.history.moveCount(), must.Sprint("the budget allows no more"))
		b.history.setMinimum("a", 2)
		b.put("b-a", &record.Budget{Service: "s-a", MinAvailable: 2})
		b.within(10*time.Minute, "moved", b.sizes(map[string]int{"a": 2, "b": 4}))
		must.Eq(t, 2, b.history.moveCount())
		b.finish(c)
	})
}

// Work stays in flight on a host that drains for a move. It must not be interrupted:
// after DrainTimeout the host returns to its pool, and it moves when no work is left.
func TestMoveOfHostWithWorkInFlightIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 3)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 3, 0)
		b.pool("b", 0, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 3}))
		b.inFlight.Store(1)
		b.resize("a", 2)
		b.resize("b", 1)
		b.within(5*time.Minute, "draining", b.sizes(map[string]int{"a": 2}))
		b.within(DrainTimeout+time.Minute, "move aborted", b.sizes(map[string]int{"a": 3}))
		must.Zero(t, b.history.moveCount())
		b.inFlight.Store(0)
		b.within(20*time.Minute, "moved", b.sizes(map[string]int{"a": 2, "b": 1}))
		b.finish(c)
	})
}

// The owner of the shard stops after two thirds of the stabilization window. The next
// owner continues from the age in the store: the window neither shrinks nor restarts.
func TestStabilizationWindowSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 3)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 300})
		b.pool("a", 3, 0)
		b.pool("b", 0, 0)
		first, second := b.start(), b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 3}))
		began := time.Now()
		b.resize("a", 2)
		b.resize("b", 1)
		time.Sleep(200 * time.Second)
		first.stop()
		b.within(10*time.Minute, "moved", b.sizes(map[string]int{"a": 2, "b": 1}))
		must.Greater(t, 300*time.Second, time.Since(began))
		must.Less(t, 420*time.Second, time.Since(began))
		b.finish(second)
	})
}

// A host fails permanently while a spare one without a pool exists. The pool gets the
// spare one after the stabilization window, and the old record is removed later.
func TestLostHostIsReplacedAndItsRecordRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 4)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 3, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 3}))
		var lost string
		for host := range b.history.records() {
			lost = host
		}
		b.fleet.Crash(lost, 0)
		time.Sleep(50 * time.Second)
		must.MapLen(t, 3, b.history.records())
		b.within(5*time.Minute, "replaced", func() bool { return len(b.history.records()) == 4 })
		b.within(LostHostTTL+time.Hour, "forgotten", func() bool { return len(b.history.records()) == 3 })
		must.MapNotContainsKey(t, b.history.records(), lost)
		b.finish(c)
	})
}

// A wave covers a pool from which a host is to move. The host is drained only once: it
// is maintained and returns in its new pool.
func TestMoveAndMaintenanceShareOneDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 4)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 4, 2)
		b.pool("b", 0, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 4}))
		b.resize("a", 3)
		b.resize("b", 1)
		time.Sleep(55 * time.Second)
		b.put("w", &record.Wave{Pools: []string{"a"}, MaxParallel: 1, RebootSeconds: 120, MinHealthySeconds: 20})
		b.within(20*time.Minute, "all maintained", func() bool {
			maintained := 0
			for _, r := range b.history.records() {
				if r.WaveOutcomes["w"].Result == hostrecord.Maintained {
					maintained++
				}
			}
			return maintained == 4
		})
		must.True(t, b.sizes(map[string]int{"a": 3, "b": 1})())
		must.Eq(t, 1, b.history.moveCount())
		drains := make(map[string]int)
		for _, act := range b.fleet.Actions() {
			if act.Verb == fakefleet.VerbDrain {
				drains[act.Host]++
			}
		}
		for host, times := range drains {
			must.Eq(t, 1, times, must.Sprint(host))
		}
		b.finish(c)
	})
}

// Two hosts of a pool fail with their rack while the platform still lists them as
// live. If they counted as available, a move would take out a third host and leave
// three endpoints where the budget requires four. The move must wait for their return.
func TestUnreachableListedHostIsNotCountedAsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClusterWithLag(t, 12, time.Hour)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 20})
		b.pool("a", 6, 4)
		b.pool("b", 6, 1)
		c := b.start()
		b.within(time.Minute, "every host has a pool", b.sizes(map[string]int{"a": 6, "b": 6}))
		var members []string
		for name, r := range b.history.records() {
			if r.Pool == "a" {
				members = append(members, name)
			}
		}
		slices.Sort(members)
		must.Eq(t, []string{"h03", "h05"}, members[2:4], must.Sprint("the hosts of rack r1"))
		for _, host := range members[2:4] {
			b.fleet.Crash(host, 2*time.Minute)
		}
		listed, err := b.fleet.Hosts(t.Context())
		must.NoError(t, err)
		must.SliceLen(t, 12, listed, must.Sprint("the list must still contain the crashed hosts"))
		b.resize("a", 5)
		b.resize("b", 7)
		time.Sleep(100 * time.Second)
		for _, act := range b.fleet.Actions() {
			must.Eq(t, fakefleet.VerbCrash, act.Verb, must.Sprint(act))
		}
		b.within(2*time.Minute, "the move is made", b.sizes(map[string]int{"a": 5, "b": 7}))
		b.finish(c)
	})
}

// The platform takes 500 ms to return a host's condition and movers reconcile every
// 5 s. With a timeout of 250 ms no response would arrive in time to be recent enough,
// and pools would never reach their size.
func TestHostsMoveWithSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 6)
		b.responseTime, b.interval = 500*time.Millisecond, 5*time.Second
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 20})
		b.pool("a", 4, 2)
		b.pool("b", 2, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 4, "b": 2}))
		b.resize("a", 3)
		b.resize("b", 3)
		b.within(5*time.Minute, "the move is made", b.sizes(map[string]int{"a": 3, "b": 3}))
		b.finish(c)
	})
}

// Queries for the condition of a host in a move hang. If each reconcile waited for
// their timeout, its view would be too old to act on: no other host could join or
// change a pool, and the hanging host could not be marked failed.
func TestHangingHostDoesNotBlockOtherMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 9)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 20})
		for _, pool := range []string{"a", "b", "c"} {
			b.pool(pool, 3, 1)
		}
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 3, "b": 3, "c": 3}))
		b.inFlight.Store(1)
		b.resize("a", 2)
		b.resize("b", 4)
		moving := ""
		b.within(time.Minute, "a host of a drains", func() bool {
			for name, r := range b.history.records() {
				if OutForMove(r) {
					moving = name
				}
			}
			return moving != ""
		})
		b.hangingHost.Store(&moving)
		b.inFlight.Store(0)
		b.pool("d", 1, 0)
		b.resize("c", 2)
		b.within(3*time.Minute, "a host joins d", b.sizes(map[string]int{"c": 2, "d": 1}))
		must.True(t, OutForMove(b.history.records()[moving]))
		nothing := ""
		b.hangingHost.Store(&nothing)
		b.within(5*time.Minute, "the first move ends", b.sizes(map[string]int{"a": 2, "b": 4}))
		b.finish(c)
	})
}

const ciSeeds = 6

// Half an hour of random faults: pools are resized, waves run, controllers stop or act
// as owner after their lease expired, the store is unavailable or loses responses, and
// hosts crash and return. By the store's history a host may change pool only during a
// granted drain. After the faults every pool must reach its size.
func TestRandomFaults(t *testing.T) {
	seeds := ciSeeds
	if text := os.Getenv("GLADE_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(uint64(seed), 2))) })
		})
	}
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	b := newTestCluster(t, 12)
	b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 20})
	pools := []string{"a", "b", "c"}
	for _, pool := range pools {
		b.pool(pool, 4, 2)
	}
	controllers := []*controller{b.start(), b.start()}
	for began := time.Now(); time.Since(began) < 30*time.Minute; {
		duration := time.Duration(1+random.IntN(60)) * time.Second
		i := random.IntN(len(controllers))
		switch random.IntN(8) {
		case 0:
			controllers[i].stop()
			controllers[i] = b.start()
		case 1:
			lapsed := controllers[i]
			lapsed.forceOwned.Store(true)
			time.AfterFunc(duration, func() { lapsed.forceOwned.Store(false) })
		case 2:
			b.store.SetDown(true)
			time.AfterFunc(duration, func() { b.store.SetDown(false) })
		case 3:
			b.store.SetResponseLossRate(0.2, random.Uint64())
		case 4:
			b.fleet.Crash(fmt.Sprintf("h%02d", random.IntN(12)), duration)
		case 5:
			b.put("w", &record.Wave{
				Pools: pools, MaxParallel: 1 + random.IntN(3), MaxFailedHosts: 12, RebootSeconds: 120, Paused: random.IntN(3) == 0,
			})
		default:
			b.resize(pools[random.IntN(3)], 2+random.IntN(5))
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Second)
	}
	time.Sleep(time.Minute)
	b.store.SetDown(false)
	b.store.SetResponseLossRate(0, 1)
	for _, c := range controllers {
		c.forceOwned.Store(false)
	}
	b.put("w", &record.Wave{Pools: pools, Cancelled: true})
	for _, pool := range pools {
		b.resize(pool, 4)
	}
	b.within(2*time.Hour, "every pool has its size", b.sizes(map[string]int{"a": 4, "b": 4, "c": 4}))
	t.Logf("%d moves", b.history.moveCount())
	b.finish(controllers...)
}
