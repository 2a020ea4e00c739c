package hostmanager

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// demandSimulator is a fleet of idle pools, one of which gets jobs that keep a number
// of hosts busy.
type demandSimulator struct {
	tracker *BurstTracker
	now     time.Time
	names   []string
	views   map[string]*PoolView
}

func newDemandSimulator(names ...string) *demandSimulator {
	d := &demandSimulator{tracker: NewBurstTracker(), now: time.Now(), names: names, views: make(map[string]*PoolView)}
	return d
}

// observe simulates a number of intervals in which one pool gets jobs for some hosts.
func (d *demandSimulator) observe(active string, hosts int, intervals int) {
	for range intervals {
		d.now = d.now.Add(reconcileInterval)
		var views []PoolView
		for _, name := range d.names {
			p := poolView(name, 10, 0, 0)
			if name == active {
				p.Load.Offered = hosts * hostSize.MilliCPU
				p.Load.RecentOffered = p.Load.Offered
				p.Load.Used = p.Load.Offered
			}
			views = append(views, p)
		}
		d.tracker.Observe(views, d.now)
		for i := range views {
			d.views[views[i].Name] = &views[i]
		}
	}
}

const burstSamples = 40

// Demand bursts rotate through four pools. Half of the jobs at the start of each burst
// were late, since their pool got its hosts two seconds after the jobs. After some
// bursts, the pool with the oldest one has to be the likeliest next, and to get the
// free hosts.
func TestPoolWithOldestBurstIsLikeliestNext(t *testing.T) {
	d := newDemandSimulator("a", "b", "c", "d")
	for _, active := range []string{"a", "b", "c", "d"} {
		d.observe(active, 8, burstSamples)
	}
	for _, other := range []string{"b", "c", "d"} {
		must.Greater(t, d.views[other].BurstLikelihood, d.views["a"].BurstLikelihood, must.Sprint(other))
	}
	a, b := poolView("a", 14, 0, 0), poolView("b", 14, 0, 0)
	a.BurstLikelihood, b.BurstLikelihood = d.views["a"].BurstLikelihood, d.views["b"].BurstLikelihood
	moves := PlanMoves([]PoolView{a, b}, anywhere)
	must.Positive(t, len(moves))
	for _, m := range moves {
		must.EqOp(t, "a", m.To)
	}
}

// Bursts return to the same pool again and again. The observations have to outweigh the
// assumption of rotation: the pool of the last burst is as likely next as the others.
func TestBurstsThatDoNotRotateOverridePrior(t *testing.T) {
	d := newDemandSimulator("a", "b", "c")
	for range 6 {
		d.observe("a", 8, burstSamples)
		d.observe("", 0, burstSamples)
	}
	must.Greater(t, d.views["c"].BurstLikelihood, d.views["a"].BurstLikelihood)
}

// Work for two hosts may be chance; several jobs at once, as in a typical burst, are not.
func TestBurstStartsWithItsFirstJobs(t *testing.T) {
	d := newDemandSimulator("a", "b")
	d.observe("a", 16, burstSamples)
	d.observe("b", 1, 3)
	must.EqOp(t, 0, d.views["b"].BurstNeed)
	for range 3 {
		p := poolView("b", 10, 0, 0)
		p.Load.Offered, p.Load.RecentOffered, p.Load.Used = 2*hostSize.MilliCPU, 7*hostSize.MilliCPU, 2*hostSize.MilliCPU
		views := []PoolView{poolView("a", 10, 0, 0), p}
		d.now = d.now.Add(reconcileInterval)
		d.tracker.Observe(views, d.now)
		d.views["b"] = &views[1]
	}
	must.Greater(t, float64(2*hostSize.MilliCPU), d.views["b"].BurstNeed)
}

// A pool in a burst gets jobs in batches. It keeps its hosts between two of them, and
// releases them once three gaps between jobs were much longer than usual.
func TestBurstEndsWhenJobsStopArriving(t *testing.T) {
	d := newDemandSimulator("a", "b")
	d.observe("a", 16, burstSamples)
	need := d.views["a"].BurstNeed
	must.Greater(t, float64(16*hostSize.MilliCPU), need)
	d.observe("a", 9, 1)
	must.Greater(t, need/2, d.views["a"].BurstNeed)
	d.observe("a", 1, 1)
	must.EqOp(t, 0, d.views["a"].BurstNeed)
}

// A pool is taken over in the middle of its burst, and its new holder has seen no job
// arrive yet. Taken for the end of the burst, that moved its hosts away needlessly.
func TestTakeoverDoesNotEndBurst(t *testing.T) {
	d := newDemandSimulator("a", "b")
	d.observe("a", 16, burstSamples)
	warmingUp := poolView("a", 10, 0, 0)
	warmingUp.Load.WarmingUp = true
	views := []PoolView{warmingUp, poolView("b", 10, 0, 0)}
	d.tracker.Observe(views, d.now.Add(reconcileInterval))
	must.Greater(t, float64(16*hostSize.MilliCPU), views[0].BurstNeed)
}

// After the loss of all entry hosts, the first pools with a holder were given free hosts
// that another pool, whose holder came a moment later, had work for.
func TestNoLevellingWhileAPoolIsUnknown(t *testing.T) {
	rich, poor := poolView("rich", 30, 0, 0), poolView("poor", 6, 0, 0)
	must.Positive(t, len(PlanMoves([]PoolView{rich, poor}, anywhere)))
	must.Len(t, 0, PlanMoves([]PoolView{rich, poor, {Name: "unknown"}}, anywhere))
	poor.Load.WarmingUp = true
	must.Len(t, 0, PlanMoves([]PoolView{rich, poor}, anywhere))
}

// The host manager is lost in the middle of a day. The next one has to restore from the
// pools' holders which bursts have passed and what they needed; otherwise it had no
// estimate for two bursts.
func TestBurstsAreRestoredFromPoolLoads(t *testing.T) {
	views := []PoolView{poolView("a", 10, 0, 0), poolView("b", 10, 0, 0), poolView("c", 10, 0, 0)}
	views[0].Load.Peak, views[0].Load.SincePeak = 16*hostSize.MilliCPU, 20*time.Second
	views[1].Load.Peak, views[1].Load.SincePeak = 14*hostSize.MilliCPU, 5*time.Second
	views[2].Load.Peak, views[2].Load.SincePeak = hostSize.MilliCPU, time.Second
	tracker := NewBurstTracker()
	now := time.Now()
	tracker.Observe(views, now)
	must.Greater(t, views[1].BurstLikelihood, views[0].BurstLikelihood)
	must.Greater(t, views[0].BurstLikelihood, views[2].BurstLikelihood, must.Sprint("it had no burst yet"))
	views[2].Load.Offered, views[2].Load.RecentOffered = 2*hostSize.MilliCPU, 7*hostSize.MilliCPU
	changes := tracker.Observe(views, now.Add(reconcileInterval))
	must.Len(t, 1, changes, must.Sprint("the need of bursts is known"))
	must.EqOp(t, "c", changes[0].Pool)
}
