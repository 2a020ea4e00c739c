package hostmanager

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// demand is a fleet of idle pools, of which one is handed work that keeps so many
// hosts busy.
type demand struct {
	rhythm *BurstTracker
	now    time.Time
	names  []string
	views  map[string]*PoolView
}

func newDemand(names ...string) *demand {
	d := &demand{rhythm: NewBurstTracker(), now: time.Now(), names: names, views: make(map[string]*PoolView)}
	return d
}

// look lets a time pass in which one pool is handed work for some hosts.
func (d *demand) look(on string, hosts int, times int) {
	for range times {
		d.now = d.now.Add(roundEvery)
		var views []PoolView
		for _, name := range d.names {
			p := pool(name, 10, 0, 0)
			if name == on {
				p.Load.Offered = hosts * hostSize.MilliCPU
				p.Load.RecentOffered = p.Load.Offered
				p.Load.Used = p.Load.Offered
			}
			views = append(views, p)
		}
		d.rhythm.Observe(views, d.now)
		for i := range views {
			d.views[views[i].Name] = &views[i]
		}
	}
}

const turnLooks = 40

// Demand goes around four pools. Half of the jobs at the start of each turn are
// late: their pool has its hosts two seconds later than the jobs. Once some turns
// were seen, the pool that has waited longest is expected before any other, and
// gets what is free.
func TestThePoolThatHasWaitedLongestIsExpectedNext(t *testing.T) {
	d := newDemand("a", "b", "c", "d")
	for _, on := range []string{"a", "b", "c", "d"} {
		d.look(on, 8, turnLooks)
	}
	for _, other := range []string{"b", "c", "d"} {
		must.Greater(t, d.views[other].BurstLikelihood, d.views["a"].BurstLikelihood, must.Sprint(other))
	}
	a, b := pool("a", 14, 0, 0), pool("b", 14, 0, 0)
	a.BurstLikelihood, b.BurstLikelihood = d.views["a"].BurstLikelihood, d.views["b"].BurstLikelihood
	moves := PlanMoves([]PoolView{a, b}, anywhere)
	must.Positive(t, len(moves))
	for _, m := range moves {
		must.EqOp(t, "a", m.To)
	}
}

// Turns come back to the same pool again and again. What was believed of going
// around gives way: the pool of the last turn is expected as much as others.
func TestTurnsThatDoNotGoAroundAreNotBelievedTo(t *testing.T) {
	d := newDemand("a", "b", "c")
	for range 6 {
		d.look("a", 8, turnLooks)
		d.look("", 0, turnLooks)
	}
	must.Greater(t, d.views["c"].BurstLikelihood, d.views["a"].BurstLikelihood)
}

// Two hosts' work may be chance; a few jobs at once, as in a usual turn, are not.
func TestATurnBeginsWithItsFirstFewJobs(t *testing.T) {
	d := newDemand("a", "b")
	d.look("a", 16, turnLooks)
	d.look("b", 1, 3)
	must.EqOp(t, 0, d.views["b"].BurstNeed)
	for range 3 {
		p := pool("b", 10, 0, 0)
		p.Load.Offered, p.Load.RecentOffered, p.Load.Used = 2*hostSize.MilliCPU, 7*hostSize.MilliCPU, 2*hostSize.MilliCPU
		views := []PoolView{pool("a", 10, 0, 0), p}
		d.now = d.now.Add(roundEvery)
		d.rhythm.Observe(views, d.now)
		d.views["b"] = &views[1]
	}
	must.Greater(t, float64(2*hostSize.MilliCPU), d.views["b"].BurstNeed)
}

// A pool in its turn is handed jobs in bunches. It keeps its hosts between two of
// them, and gives them up once three gaps were much longer than usual.
func TestATurnIsOverWhenJobsCeaseToCome(t *testing.T) {
	d := newDemand("a", "b")
	d.look("a", 16, turnLooks)
	steady := d.views["a"].BurstNeed
	must.Greater(t, float64(16*hostSize.MilliCPU), steady)
	d.look("a", 9, 1)
	must.Greater(t, steady/2, d.views["a"].BurstNeed)
	d.look("a", 1, 1)
	must.EqOp(t, 0, d.views["a"].BurstNeed)
}

// A pool is taken over in the middle of its turn. Its new holder has seen no job
// arrive yet; taken for the turn's end, that sent its hosts away for nothing.
func TestATakeoverEndsNoTurn(t *testing.T) {
	d := newDemand("a", "b")
	d.look("a", 16, turnLooks)
	young := pool("a", 10, 0, 0)
	young.Load.WarmingUp = true
	views := []PoolView{young, pool("b", 10, 0, 0)}
	d.rhythm.Observe(views, d.now.Add(roundEvery))
	must.Greater(t, float64(16*hostSize.MilliCPU), views[0].BurstNeed)
}

// After all entry hosts were lost, the first pools with a holder were given free
// hosts that another one, whose holder was a moment later, had work for.
func TestNothingIsSpreadWhileAPoolIsUnknown(t *testing.T) {
	rich, poor := pool("rich", 30, 0, 0), pool("poor", 6, 0, 0)
	must.Positive(t, len(PlanMoves([]PoolView{rich, poor}, anywhere)))
	must.Len(t, 0, PlanMoves([]PoolView{rich, poor, {Name: "unknown"}}, anywhere))
	poor.Load.WarmingUp = true
	must.Len(t, 0, PlanMoves([]PoolView{rich, poor}, anywhere))
}

// The entry host that looks after the hosts is lost in the middle of a day. The
// next one learns from the pools' holders which turns have passed and what they
// needed; it knew nothing for two turns otherwise.
func TestTurnsAreRecalledFromThePools(t *testing.T) {
	views := []PoolView{pool("a", 10, 0, 0), pool("b", 10, 0, 0), pool("c", 10, 0, 0)}
	views[0].Load.Peak, views[0].Load.PeakAgo = 16*hostSize.MilliCPU, 20*time.Second
	views[1].Load.Peak, views[1].Load.PeakAgo = 14*hostSize.MilliCPU, 5*time.Second
	views[2].Load.Peak, views[2].Load.PeakAgo = hostSize.MilliCPU, time.Second
	r := NewBurstTracker()
	now := time.Now()
	r.Observe(views, now)
	must.Greater(t, views[1].BurstLikelihood, views[0].BurstLikelihood)
	must.Greater(t, views[0].BurstLikelihood, views[2].BurstLikelihood, must.Sprint("it had no turn yet"))
	views[2].Load.Offered, views[2].Load.RecentOffered = 2*hostSize.MilliCPU, 7*hostSize.MilliCPU
	changes := r.Observe(views, now.Add(roundEvery))
	must.Len(t, 1, changes, must.Sprint("what turns need is known"))
	must.EqOp(t, "c", changes[0].Pool)
}
