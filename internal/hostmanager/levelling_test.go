package hostmanager

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ampleFleet returns five pools of a fleet with far more room than any burst needs. The
// first one has a burst that keeps a fifth of its hosts busy; likelihoods differ as after
// some turns.
func ampleFleet(hostsPerPool int) []PoolView {
	pools := make([]PoolView, 5)
	burst := hostsPerPool / 5 * hostSize.MilliCPU
	for i := range pools {
		p := poolView(fmt.Sprintf("p%d", i), hostsPerPool-i*hostsPerPool/20, 0, 0)
		p.Load.Peak, p.Load.Offered = burst, burst/100
		p.BurstLikelihood, p.LargestBurst = minLikelihood+float64(i)/10, float64(burst)
		pools[i] = p
	}
	pools[0].Load.Offered, pools[0].BurstNeed = burst, needFactor*float64(burst)
	return pools
}

// Guards against hosts that move to and fro between pools that all have room for any burst.
func TestLevellingMovesNoHostsBetweenPoolsThatCoverAnyBurst(t *testing.T) {
	for _, hostsPerPool := range []int{100, 400, 1600} {
		must.Len(t, 0, PlanMoves(ampleFleet(hostsPerPool), anywhere), must.Sprintf("%d hosts a pool", hostsPerPool))
	}
}

// Guards against a pool that gets its share of all free room instead of what a burst needs.
func TestLevellingStopsWhereBurstIsCovered(t *testing.T) {
	for _, hostsPerPool := range []int{100, 400, 1600} {
		pools := ampleFleet(hostsPerPool)
		small := poolView("small", hostsPerPool/10, 0, 0)
		small.LargestBurst = pools[1].LargestBurst
		small.BurstLikelihood = 1
		moves := PlanMoves(append(pools, small), anywhere)
		lacking := hostsPerPool/5*8/5 - hostsPerPool/10
		must.Between(t, lacking, len(moves), lacking+1, must.Sprintf("%d hosts a pool", hostsPerPool))
		for _, move := range moves {
			must.EqOp(t, "small", move.To)
		}
	}
}

// While no burst was seen, its size is unknown and free hosts are levelled as before.
func TestLevellingWithoutKnownBurstSharesAllFreeHosts(t *testing.T) {
	pools := ampleFleet(100)
	for i := range pools {
		pools[i].LargestBurst = 0
	}
	must.SliceNotEmpty(t, PlanMoves(pools, anywhere))
}

// Guards against the size of bursts being forgotten while no peak stands out.
func TestSizeOfBurstsIsRememberedWhileSeveralOverlap(t *testing.T) {
	bursts, now := NewBurstTracker(), time.Unix(1000, 0)
	pools := ampleFleet(100)[:4]
	burst := pools[0].Load.Peak
	observe := func(offered ...int) float64 {
		now = now.Add(reconcileInterval)
		for i := range pools {
			pools[i].Load.Offered, pools[i].Load.Peak, pools[i].LargestBurst = offered[i], 2*offered[i], 0
		}
		if offered[0] == burst {
			pools[0].Load.Peak = burst
		}
		bursts.Observe(pools, now)
		return pools[3].LargestBurst
	}
	must.EqOp(t, 0, observe(10, 10, 10, 10))
	must.EqOp(t, float64(burst), observe(burst, 10, 10, 10))
	must.Positive(t, observe(burst, burst, burst, 10))
}
