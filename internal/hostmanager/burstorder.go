package hostmanager

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rankBuckets is how many buckets the order of last bursts is divided into:
	// the latest bursts, those between, and the oldest.
	rankBuckets = 3
	// rankPrior is the weight, in bursts, of the assumption that bursts rotate,
	// before any was observed: a third of a burst, so that two observed ones
	// outweigh it.
	rankPrior = 0.34
	// minLikelihood is the minimum for any pool, and activeLikelihood the value for
	// a pool with an active burst, where 1 is shared out among all pools.
	minLikelihood, activeLikelihood = 0.1, 0.15
	// overdueFactor times the longest interval between two bursts is the time after
	// which the next one counts as not coming.
	overdueFactor = 2
)

// rankCounts counts bursts by the rank that their pool had in the order of last
// bursts, latest first.
type rankCounts [rankBuckets]float64

// add adds the shares of one burst's pool.
func (c *rankCounts) add(shares rankCounts) {
	for bucket, share := range shares {
		c[bucket] += share
	}
}

// rankShares returns the shares of a pool in the buckets of the order of last bursts.
// Pools without a burst share the ranks at its end.
func (bt *BurstTracker) rankShares(name string) (shares rankCounts) {
	var names []string
	for other := range bt.pools {
		names = append(names, other)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(bt.pools[b].startedAt.Compare(bt.pools[a].startedAt), cmp.Compare(a, b))
	})
	var ranks []int
	for i, other := range names {
		if bt.pools[other].startedAt.Equal(bt.pools[name].startedAt) {
			ranks = append(ranks, i)
		}
	}
	for _, rank := range ranks {
		shares[rank*rankBuckets/len(names)] += 1 / float64(len(ranks))
	}
	return shares
}

// Likelihoods returns, by pool, how likely it had the next burst at the last
// observation.
func (bt *BurstTracker) Likelihoods() map[string]float64 {
	likelihoods := make(map[string]float64, len(bt.pools))
	for name, t := range bt.pools {
		likelihoods[name] = t.likelihood
	}
	return likelihoods
}

// setLikelihoods sets how likely each pool has the next burst. It answers bursts
// that come in an order, and bursts that stop coming: hosts that wait in the pool
// whose turn it was are then worth the same everywhere.
func (bt *BurstTracker) setLikelihoods(pools []PoolView, now time.Time) {
	total := 0.0
	var weights rankCounts
	for bucket := range weights {
		weights[bucket] = bt.hits[bucket] + rankPrior*float64(bucket)
		total += weights[bucket]
	}
	overdue := bt.overdue(now)
	for i := range pools {
		p := &pools[i]
		t := bt.pools[p.Name]
		if t == nil {
			continue
		}
		p.BurstLikelihood = minLikelihood
		switch {
		case t.phase == burstActive:
			p.BurstLikelihood = activeLikelihood
		case overdue:
			p.BurstLikelihood += 1 / float64(len(bt.pools))
		default:
			for bucket, share := range bt.rankShares(p.Name) {
				p.BurstLikelihood += share * weights[bucket] / total
			}
		}
		t.likelihood = p.BurstLikelihood
	}
}

// overdue reports whether the next burst should have started long ago. It depends
// on the last burst of each pool only, so that a new host manager gets the same.
func (bt *BurstTracker) overdue(now time.Time) bool {
	var starts []time.Time
	for _, t := range bt.pools {
		if t.phase != noBurst {
			return false
		}
		if !t.startedAt.IsZero() {
			starts = append(starts, t.startedAt)
		}
	}
	if len(starts) < 2 {
		return false
	}
	slices.SortFunc(starts, time.Time.Compare)
	longest := time.Duration(0)
	for i := range starts[1:] {
		longest = max(longest, starts[i+1].Sub(starts[i]))
	}
	return now.Sub(starts[len(starts)-1]) > overdueFactor*max(longest, timeToMove)
}
