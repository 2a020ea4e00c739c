package hostmanager

import (
	"fmt"
	"testing"

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
		p.BurstLikelihood = minLikelihood + float64(i)/10
		pools[i] = p
	}
	pools[0].Load.Offered, pools[0].BurstNeed = burst, needFactor*float64(burst)
	return pools
}

// Guards against hosts that move to and fro in a fleet whose pools all have room for any
// burst: with shares of all free room, moves grew with the fleet at unchanged need.
func TestLevellingMovesNoHostsBetweenPoolsThatCoverAnyBurst(t *testing.T) {
	for _, hostsPerPool := range []int{100, 400, 1600} {
		must.Len(t, 0, PlanMoves(ampleFleet(hostsPerPool), anywhere), must.Sprintf("%d hosts a pool", hostsPerPool))
	}
}

// A pool that could not serve the next burst gets hosts up to what it needs for it, and
// not its share of all free room.
func TestLevellingStopsWhereBurstIsCovered(t *testing.T) {
	for _, hostsPerPool := range []int{100, 400, 1600} {
		pools := ampleFleet(hostsPerPool)
		small := poolView("small", hostsPerPool/10, 0, 0)
		small.Load.Peak = pools[1].Load.Peak
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
	pools[0].Load.Offered, pools[0].BurstNeed = pools[1].Load.Offered, 0
	for i := range pools {
		pools[i].Load.Peak = 2 * pools[i].Load.Offered
	}
	must.SliceNotEmpty(t, PlanMoves(pools, anywhere))
}
