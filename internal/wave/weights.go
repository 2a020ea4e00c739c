package wave

import (
	"math"

	"auburnglade.example/glade/internal/record"
)

// How the policy's weights shape a wave. The figures are from the runs in
// docs/design/waves.md.
const (
	// evenShare is the share of speed without a policy, and the one from which
	// on a wave uses all the room that the budgets give.
	evenShare = 0.5
	// leastWidth is the part of that room used when only buffer cost counts: a
	// third keeps a wave over three times as fast as one host at a time even
	// in a fleet whose budgets let ten out.
	leastWidth = 1.0 / 3
	// firstBatch is the part of the width that a wave starts with when only
	// speed counts.
	firstBatch = 0.5
	// firstPart bounds the first batch by the wave's hosts: a wave that breaks
	// every host it touches then breaks a tenth of them, and within the budgets.
	firstPart = 0.1
)

// speedShare is how much roll-out time weighs against buffer cost, 0 to 1.
func speedShare(policy *record.Policy) float64 {
	if policy == nil || policy.RolloutWeight+policy.BufferWeight == 0 {
		return evenShare
	}
	return float64(policy.RolloutWeight) / float64(policy.RolloutWeight+policy.BufferWeight)
}

// widest returns how many hosts a wave may have out at once when safe would be
// within the budgets.
func widest(safe int, share float64) int {
	part := min(1, leastWidth+share*(1-leastWidth)/evenShare)
	return atLeastOne(float64(safe)*part, safe)
}

// first returns how many hosts a wave takes out before any has come back.
func first(limit, hosts int, share float64) int {
	return atLeastOne(min(float64(limit)*share*firstBatch, float64(hosts)*firstPart), limit)
}

func atLeastOne(hosts float64, limit int) int {
	return min(limit, max(1, int(math.Ceil(hosts-1e-9))))
}
