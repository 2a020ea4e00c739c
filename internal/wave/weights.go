package wave

import (
	"math"

	"auburnglade.example/glade/internal/record"
)

// How the policy's weights shape a wave. The figures are from the runs in
// docs/design/waves.md.
const (
	// evenShare is the share of speed without a policy, and the one from which
	// on a wave works on all its pools at once.
	evenShare = 0.5
	// leastPools is the part of its pools that a wave works on at once when
	// only buffer cost counts: a third keeps it at least three times as fast
	// as one host at a time wherever each pool lets at least one host out.
	leastPools = 1.0 / 3
	// firstBatch is the part of the width that a wave starts with when only
	// speed counts.
	firstBatch = 0.5
	// firstPart bounds the first batch by the wave's hosts: a wave that breaks
	// every host it touches then breaks a tenth of them, and within the budgets.
	firstPart = 0.1
	// slowGrowth and fastGrowth are how many more hosts may be out for each
	// that came back whole: one doubles the width with each batch.
	slowGrowth = 1
	fastGrowth = 2
)

// speedShare is how much roll-out time weighs against buffer cost, 0 to 1.
func speedShare(policy *record.Policy) float64 {
	if policy == nil || policy.RolloutWeight+policy.BufferWeight == 0 {
		return evenShare
	}
	return float64(policy.RolloutWeight) / float64(policy.RolloutWeight+policy.BufferWeight)
}

// poolsAtOnce returns on how many of its pools a wave works at once. Each of
// them it does as wide as its budget lets it: a service with k hosts out at
// once and r kept for a failure costs a buffer of 1 + r/k host-times for each
// host, so a narrow service costs more and not less. Fewer pools at once hold
// less at any moment; more make the wave shorter.
func poolsAtOnce(pools int, share float64) int {
	part := min(1, leastPools+share*(1-leastPools)/evenShare)
	return atLeastOne(float64(pools)*part, pools)
}

// first returns how many hosts a wave takes out before any has come back.
func first(limit, hosts int, share float64) int {
	return atLeastOne(min(float64(limit)*share*firstBatch, float64(hosts)*firstPart), limit)
}

// growth returns how many more hosts may be out for each that came back whole.
func growth(share float64) int {
	if share >= evenShare {
		return fastGrowth
	}
	return slowGrowth
}

func atLeastOne(hosts float64, limit int) int {
	return min(limit, max(1, int(math.Ceil(hosts-1e-9))))
}
