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

// An operator makes one pool smaller and another larger. After the hold, and
// not before, hosts move one by one as the old pool's budget lets them.
func TestHostsMoveAfterTheHoldWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 6)
		b.judge.keep("a", 3)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 4, 3)
		b.pool("b", 2, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 4, "b": 2}))
		b.resize("a", 2)
		b.resize("b", 4)
		time.Sleep(55 * time.Second)
		must.Zero(t, b.judge.moveCount())
		b.within(10*time.Minute, "one host moved", b.sizes(map[string]int{"a": 3, "b": 3}))
		time.Sleep(10 * time.Minute)
		must.Eq(t, 1, b.judge.moveCount(), must.Sprint("the budget allows no more"))
		b.judge.keep("a", 2)
		b.put("b-a", &record.Budget{Service: "s-a", MinAvailable: 2})
		b.within(10*time.Minute, "moved", b.sizes(map[string]int{"a": 2, "b": 4}))
		must.Eq(t, 2, b.judge.moveCount())
		b.finish(c)
	})
}

// Work stays in flight on the host that is to move. It isn't cut: after a while
// the host goes back to its pool, and moves once the work is gone.
func TestHostWithWorkInFlightGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 3, 0)
		b.pool("b", 0, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 3}))
		b.inFlight.Store(1)
		b.resize("a", 2)
		b.resize("b", 1)
		b.within(5*time.Minute, "draining", b.sizes(map[string]int{"a": 2}))
		b.within(DrainTimeout+time.Minute, "given back", b.sizes(map[string]int{"a": 3}))
		must.Zero(t, b.judge.moveCount())
		b.inFlight.Store(0)
		b.within(20*time.Minute, "moved", b.sizes(map[string]int{"a": 2, "b": 1}))
		b.finish(c)
	})
}

// The holder ends after two thirds of the hold. The next one goes on from the
// age in the store: the hold isn't cut short, nor started anew.
func TestHoldSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
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

// A host dies for good and is replaced by a new one under another name. The
// pool gets the new one after the hold, and the old record goes in the end.
func TestVanishedHostIsReplacedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 60})
		b.pool("a", 3, 0)
		c := b.start()
		b.within(time.Minute, "pools filled", b.sizes(map[string]int{"a": 3}))
		var dead string
		for host := range b.judge.records() {
			dead = host
		}
		b.fleet.Crash(dead, 0)
		time.Sleep(50 * time.Second)
		must.MapLen(t, 3, b.judge.records())
		b.within(5*time.Minute, "replaced", func() bool { return len(b.judge.records()) == 4 })
		b.within(GoneAfter+time.Hour, "forgotten", func() bool { return len(b.judge.records()) == 3 })
		must.MapNotContainsKey(t, b.judge.records(), dead)
		b.finish(c)
	})
}

// A wave goes over a pool from which a host is to move. The host is drained
// once: it is maintained and comes back in its new pool.
func TestMoveAndMaintenanceShareOneDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
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
			for _, r := range b.judge.records() {
				if r.WaveOutcomes["w"].Result == hostrecord.Maintained {
					maintained++
				}
			}
			return maintained == 4
		})
		must.True(t, b.sizes(map[string]int{"a": 3, "b": 1})())
		must.Eq(t, 1, b.judge.moveCount())
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

// Two of a pool's hosts die with their rack, and the platform goes on listing
// them as live. Counted as available, they let a move take a third host out, and
// callers find three endpoints where the budget promises four. The move waits
// until the two are back.
func TestMoveCountsNoHostThatIsListedButGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLaggingBench(t, 12, time.Hour)
		b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 20})
		b.pool("a", 6, 4)
		b.pool("b", 6, 1)
		c := b.start()
		b.within(time.Minute, "every host has a pool", b.sizes(map[string]int{"a": 6, "b": 6}))
		var members []string
		for name, r := range b.judge.records() {
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
		must.SliceLen(t, 12, listed, must.Sprint("the list doesn't lag"))
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

// The platform takes half a second to say how a host is, and movers look at the
// fleet every five seconds. Waited for a quarter of a second only, no answer was
// ever both there and young enough: pools stayed short for ever.
func TestHostsMoveOnASlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 6)
		b.answerTime, b.interval = 500*time.Millisecond, 5*time.Second
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

// A host in a move hangs, and so does every question for its condition. Each
// round was too old to act on once that question had timed out: no other host
// joined or changed a pool, and even giving the host up had to wait.
func TestHostThatHangsHoldsUpNoOtherMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 9)
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
			for name, r := range b.judge.records() {
				if OutForMove(r) {
					moving = name
				}
			}
			return moving != ""
		})
		b.hangs.Store(&moving)
		b.inFlight.Store(0)
		b.pool("d", 1, 0)
		b.resize("c", 2)
		b.within(3*time.Minute, "a host joins d", b.sizes(map[string]int{"c": 2, "d": 1}))
		must.True(t, OutForMove(b.judge.records()[moving]))
		nothing := ""
		b.hangs.Store(&nothing)
		b.within(5*time.Minute, "the first move ends", b.sizes(map[string]int{"a": 2, "b": 4}))
		b.finish(c)
	})
}

const ciSeeds = 6

// Half an hour of everything at once: pools are resized and removed again and
// again, controllers end or go on as holders after their lease has lapsed, the
// store is away or loses answers, hosts crash and come back. By the store's
// own history no host changes pool but out of a granted drain. Once it is quiet
// every pool has its size.
func TestTurmoil(t *testing.T) {
	seeds := ciSeeds
	if text := os.Getenv("GLADE_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { turmoil(t, rand.New(rand.NewPCG(uint64(seed), 2))) })
		})
	}
}

func turmoil(t *testing.T, random *rand.Rand) {
	b := newBench(t, 12)
	b.put(record.PolicyName, &record.Policy{MoveStabilizationSeconds: 20})
	pools := []string{"a", "b", "c"}
	for _, pool := range pools {
		b.pool(pool, 4, 2)
	}
	controllers := []*controller{b.start(), b.start()}
	for began := time.Now(); time.Since(began) < 30*time.Minute; {
		brief := time.Duration(1+random.IntN(60)) * time.Second
		i := random.IntN(len(controllers))
		switch random.IntN(8) {
		case 0:
			controllers[i].stop()
			controllers[i] = b.start()
		case 1:
			lapsed := controllers[i]
			lapsed.unaware.Store(true)
			time.AfterFunc(brief, func() { lapsed.unaware.Store(false) })
		case 2:
			b.store.SetDown(true)
			time.AfterFunc(brief, func() { b.store.SetDown(false) })
		case 3:
			b.store.SetResponseLossRate(0.2, random.Uint64())
		case 4:
			b.fleet.Crash(fmt.Sprintf("h%02d", random.IntN(12)), brief)
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
		c.unaware.Store(false)
	}
	b.put("w", &record.Wave{Pools: pools, Cancelled: true})
	for _, pool := range pools {
		b.resize(pool, 4)
	}
	b.within(2*time.Hour, "every pool has its size", b.sizes(map[string]int{"a": 4, "b": 4, "c": 4}))
	t.Logf("%d moves", b.judge.moveCount())
	b.finish(controllers...)
}
