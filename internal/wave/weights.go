package wave

import (
	"math"

	"auburnglade.example/glade/internal/record"
)

// How the policy's weights affect a wave. docs/design/waves.md has the figures
// behind these values.
const (
	// evenWeight is the weight of speed without a policy. From this weight on a
	// wave works on all its pools at once.
	evenWeight = 0.5
	// minPoolFraction is the fraction of its pools that a wave works on at once
	// when only buffer cost counts. A third keeps it at least three times as fast
	// as one host at a time, provided that each pool allows at least one host out.
	minPoolFraction = 1.0 / 3
	// firstBatchFraction is the fraction of the maximum parallelism that a wave
	// starts with when only speed counts.
	firstBatchFraction = 0.5
	// firstBatchHostFraction limits the first batch relative to the wave's hosts:
	// a wave that breaks every host it reboots breaks at most a tenth of them, and
	// stays within the budgets.
	firstBatchHostFraction = 0.1
	// slowGrowth and fastGrowth are how many more hosts may be out for each host
	// that returned healthy. A growth of 1 doubles the parallelism with each batch.
	slowGrowth = 1
	fastGrowth = 2
)

// speedWeightOf returns the weight of rollout time against buffer cost, from 0
// to 1.
func speedWeightOf(policy *record.Policy) float64 {
	if policy == nil || policy.RolloutWeight+policy.BufferWeight == 0 {
		return evenWeight
	}
	return float64(policy.RolloutWeight) / float64(policy.RolloutWeight+policy.BufferWeight)
}

// maxConcurrentPools returns on how many of its pools a wave works at once. In
// each pool it takes out as many hosts as the budget allows: a service with k
// hosts out and r reserved for a failure costs a buffer of 1 + r/k host-times per
// host, so a smaller k increases the cost. Fewer concurrent pools need a smaller
// buffer at any moment, more of them shorten the wave.
func maxConcurrentPools(pools int, speedWeight float64) int {
	fraction := min(1, minPoolFraction+speedWeight*(1-minPoolFraction)/evenWeight)
	return atLeastOne(float64(pools)*fraction, pools)
}

// initialParallelism returns how many hosts a wave takes out before any has
// returned.
func initialParallelism(limit, hosts int, speedWeight float64) int {
	return atLeastOne(min(float64(limit)*speedWeight*firstBatchFraction, float64(hosts)*firstBatchHostFraction), limit)
}

// growthPerSuccess returns how many more hosts may be out for each host that
// returned healthy.
func growthPerSuccess(speedWeight float64) int {
	if speedWeight >= evenWeight {
		return fastGrowth
	}
	return slowGrowth
}

func atLeastOne(hosts float64, limit int) int {
	return min(limit, max(1, int(math.Ceil(hosts-1e-9))))
}
