package hostmanager

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// burstReplay feeds the offered loads of pools to a tracker, in hosts, and records
// the starts and ends that it reports.
type burstReplay struct {
	tracker *BurstTracker
	now     time.Time
	// hosts is the size of each pool.
	hosts        map[string]int
	views        map[string]PoolView
	starts, ends map[string]int
	// peaks are the peaks that holders report, in hosts, and when load was last high.
	peaks  map[string]float64
	highAt map[string]time.Time
}

func newBurstReplay(hosts map[string]int) *burstReplay {
	return &burstReplay{
		tracker: NewBurstTracker(), now: time.Unix(1_000_000, 0), hosts: hosts, views: make(map[string]PoolView),
		starts: make(map[string]int), ends: make(map[string]int), peaks: make(map[string]float64), highAt: make(map[string]time.Time),
	}
}

// play replays a time with constant loads; pools without one get a twentieth of a host.
func (r *burstReplay) play(last time.Duration, offered map[string]float64) {
	for range int(last / reconcileInterval) {
		r.sample(offered, offered)
	}
}

// sample replays one sample.
func (r *burstReplay) sample(offered, recent map[string]float64) {
	r.now = r.now.Add(reconcileInterval)
	var views []PoolView
	for name, hosts := range r.hosts {
		p := poolView(name, hosts, 0, 0)
		p.Load.Offered, p.Load.RecentOffered = milliOf(offered, name), milliOf(recent, name)
		p.Load.Used = p.Load.Offered
		p.Load.Peak = int(r.peaks[name] * float64(hostSize.MilliCPU))
		p.Load.SincePeak = r.now.Sub(r.highAt[name])
		views = append(views, p)
	}
	for _, change := range r.tracker.Observe(views, r.now) {
		if change.Started {
			r.starts[change.Pool]++
		} else {
			r.ends[change.Pool]++
		}
	}
	for _, v := range views {
		r.views[v.Name] = v
	}
}

func milliOf(hosts map[string]float64, name string) int {
	return int(max(0.05, hosts[name]) * float64(hostSize.MilliCPU))
}

// active reports whether the pool gets hosts for a burst.
func (r *burstReplay) active(pool string) bool { return r.views[pool].BurstNeed > 0 }

// A few jobs arrive before the real load. A pool that kept its burst for them would
// miss its real one.
func TestNoiseBeforeFirstBurstIsForgotten(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10, "b": 10})
	r.play(600*time.Millisecond, map[string]float64{"a": 12})
	r.play(1200*time.Millisecond, map[string]float64{"a": 2})
	must.False(t, r.active("a"), must.Sprint("it ends in about a second"))
	r.play(4*time.Second, nil)
	must.True(t, r.tracker.pools["a"].startedAt.IsZero())
	must.Eq(t, rankCounts{}, r.tracker.hits)
	r.play(time.Second, map[string]float64{"a": 16})
	must.True(t, r.active("a"))
	must.EqOp(t, 2, r.starts["a"])
}

// Fading noise takes its own average with it, and must still end.
func TestFadingBurstEndsWithinASecondOfItsLevel(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10})
	r.play(400*time.Millisecond, map[string]float64{"a": 8})
	load := 8.0
	for load > 2.5 {
		load *= 0.9
		r.sample(map[string]float64{"a": load}, map[string]float64{"a": load})
	}
	r.play(1200*time.Millisecond, map[string]float64{"a": load})
	must.False(t, r.active("a"))
}

// A small pool's burst is a tenth of a large pool's that runs at the same time.
func TestSmallPoolsBurstIsSeenBesideALargeOnes(t *testing.T) {
	r := newBurstReplay(map[string]int{"large": 100, "small": 8})
	r.play(4*time.Second, map[string]float64{"large": 200})
	r.play(600*time.Millisecond, map[string]float64{"large": 200, "small": 16})
	must.True(t, r.active("small"))
	must.True(t, r.active("large"))
}

// Two bursts overlap by two seconds. Each begins and ends by itself.
func TestOverlappingBurstsAreSeenApart(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10, "b": 10})
	r.play(3*time.Second, map[string]float64{"a": 16})
	r.play(2*time.Second, map[string]float64{"a": 16, "b": 14})
	must.True(t, r.active("a"))
	must.True(t, r.active("b"))
	r.play(time.Second, map[string]float64{"b": 14})
	must.False(t, r.active("a"))
	must.True(t, r.active("b"))
	r.play(4*time.Second, nil)
	must.Eq(t, map[string]int{"a": 1, "b": 1}, r.starts)
	must.Eq(t, map[string]int{"a": 1, "b": 1}, r.ends)
}

// A burst as short as a host's move has to be seen within half a second, and to
// release its hosts at its end.
func TestShortBurstIsSeenAndReleased(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10, "b": 10})
	r.play(5*time.Second, nil)
	r.play(600*time.Millisecond, map[string]float64{"a": 16})
	must.True(t, r.active("a"))
	r.play(1800*time.Millisecond, map[string]float64{"a": 16})
	r.play(400*time.Millisecond, nil)
	must.False(t, r.active("a"))
}

// Jobs arrive in bunches with gaps of half a second. The burst must not start and end
// with each of them, and must not count as several.
func TestArrivalsInBunchesAreOneBurst(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10, "b": 10})
	high, low := map[string]float64{"a": 16}, map[string]float64{"a": 0.1}
	r.play(time.Second, high)
	for range 8 {
		r.play(400*time.Millisecond, high)
		r.sample(high, low)
		must.True(t, r.active("a"), must.Sprint("recent jobs alone have run out"))
		r.sample(low, low)
	}
	r.play(3*time.Second, nil)
	must.EqOp(t, 1, r.starts["a"])
	must.EqOp(t, 1, r.ends["a"])
}

// The host manager is lost in mid-burst. Its successor must not take the running burst
// for a new one and count it as a second burst of the same pool.
func TestTakeoverInMidBurstCountsNoBurst(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10, "b": 10, "c": 10})
	r.peaks["a"], r.highAt["a"] = 15, r.now.Add(-20*time.Second)
	r.peaks["b"], r.highAt["b"] = 16, r.now
	running := map[string]float64{"b": 16}
	r.play(2*time.Second, running)
	must.True(t, r.active("b"))
	must.EqOp(t, 0, r.starts["b"])
	must.Eq(t, rankCounts{}, r.tracker.hits)
	must.Greater(t, r.views["b"].BurstLikelihood, r.views["a"].BurstLikelihood)
	r.play(4*time.Second, nil)
	must.EqOp(t, 1, r.ends["b"])
}

// The pool's holder is lost with the host manager in mid-burst. What it reports while
// it warms up is too low, and the burst must not count as a new one after that.
func TestTakeoverOfHolderAndHostManagerCountsNoBurst(t *testing.T) {
	tracker, now := NewBurstTracker(), time.Unix(1_000_000, 0)
	p := poolView("a", 10, 0, 0)
	p.Load.WarmingUp = true
	views := []PoolView{p, poolView("b", 10, 0, 0)}
	must.Len(t, 0, tracker.Observe(views, now))
	p.Load.WarmingUp = false
	p.Load.Offered, p.Load.RecentOffered, p.Load.Peak = 16*hostSize.MilliCPU, 16*hostSize.MilliCPU, 15*hostSize.MilliCPU
	views[0] = p
	must.Len(t, 0, tracker.Observe(views, now.Add(reconcileInterval)))
	must.Eq(t, rankCounts{}, tracker.hits)
	must.EqOp(t, burstActive, tracker.pools["a"].phase)
}

// Bursts rotated and stop. The hosts that wait for the next one must come back.
func TestForecastEndsWhenBurstIsOverdue(t *testing.T) {
	r := newBurstReplay(map[string]int{"a": 10, "b": 10, "c": 10})
	for _, pool := range []string{"a", "b", "c"} {
		r.play(5*time.Second, map[string]float64{pool: 16})
	}
	r.play(4*time.Second, nil)
	must.Greater(t, r.views["c"].BurstLikelihood, r.views["a"].BurstLikelihood)
	r.play(8*time.Second, nil)
	must.EqOp(t, r.views["c"].BurstLikelihood, r.views["a"].BurstLikelihood)
}

// A burst of a steady arrival process must not start twice while its gaps are shorter
// than a host's move, whatever the pool's size; likelihoods stay positive and finite.
func TestSteadyArrivalsAreAtMostOneBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 200).Draw(t, "hosts")
		load := rapid.Float64Range(0.1, 4).Draw(t, "load") * float64(hosts)
		gap := rapid.IntRange(0, int(timeToMove/reconcileInterval)-1).Draw(t, "samples without jobs")
		bunch := rapid.IntRange(1, 20).Draw(t, "samples with jobs")
		r := newBurstReplay(map[string]int{"a": hosts, "b": 10})
		for range 12 {
			r.play(time.Duration(bunch)*reconcileInterval, map[string]float64{"a": load})
			r.play(time.Duration(gap)*reconcileInterval, nil)
		}
		must.LessEq(t, 1, r.starts["a"])
		for name, likelihood := range r.tracker.Likelihoods() {
			must.Positive(t, likelihood, must.Sprint(name))
			must.False(t, math.IsInf(likelihood, 0) || math.IsNaN(likelihood), must.Sprint(name))
		}
	})
}

// Whatever the loads are, likelihoods are positive and finite, and no need is negative.
func TestLikelihoodsArePositiveAndFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newBurstReplay(map[string]int{"a": 1, "b": 10, "c": 100})
		for i := range rapid.IntRange(1, 60).Draw(t, "samples") {
			load := make(map[string]float64)
			for name := range r.hosts {
				load[name] = rapid.Float64Range(0, 300).Draw(t, fmt.Sprint(name, i))
			}
			r.sample(load, load)
			for name, likelihood := range r.tracker.Likelihoods() {
				must.True(t, likelihood > 0 && likelihood <= 2, must.Sprint(name, likelihood))
				must.GreaterEq(t, 0, r.views[name].BurstNeed)
			}
		}
	})
}
