package hostmanager

import (
	"cmp"
	"slices"
	"time"
)

// BurstTracker tracks the demand bursts of pools. It estimates what an active burst
// needs, and how likely each pool has the next one.
//
// If bursts rotate through the pools, the pool whose last burst is the oldest is
// the likeliest to be next, and the one whose burst has just ended the least likely.
// How far that holds is counted at the start of each burst: if bursts come in any
// order, all pools soon get similar likelihoods.
type BurstTracker struct {
	pools map[string]*burstState
	// hits counts, at the start of each burst, the rank of its pool in the order
	// of last bursts, latest first.
	hits [rankBuckets]float64
	// sizeKnown is set once the pools' peaks have shown how large bursts are.
	sizeKnown bool
}

// burstState is the state of one pool's bursts.
type burstState struct {
	// active is set during a burst. startedAt is when the last one started, zero
	// for none yet.
	active    bool
	startedAt time.Time
	// samples counts the samples of the active burst. offered and usage are moving
	// averages of the offered load and of what runs or waits, in millicores.
	samples        int
	offered, usage float64
	// peak is what the pool's bursts need in millicores; it decays slowly.
	peak float64
	// likelihood is how likely the pool has the next burst.
	likelihood float64
}

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
	// startShare is the share of a typical burst's need at which a burst has
	// certainly started; risingShare is enough if the recent offered load exceeds
	// startShare.
	startShare, risingShare = 0.4, 0.08
	// endShare is the share of a burst's offered load below which the recent offered
	// load must fall for the burst to end. When that load covers two gaps between
	// jobs, these must take as long as eight usual ones, which happens by chance once
	// in seventy seconds of bursts.
	endShare = 0.25
	// sampleWeight is the weight of a sample in a burst's moving averages, which
	// cover about a second.
	sampleWeight = 0.15
	// peakDecay is the share of a peak that remains after each sample.
	peakDecay = 0.99
	// minBurstRatio times the median offered load of the pools is the least peak of a
	// pool that shows how large bursts are. Below it there may have been none.
	minBurstRatio = 4
	// minNeedSamples is how many samples a burst must have for its averages to
	// count as its need.
	minNeedSamples = 2
	// minUsageSamples is how many samples a burst must have for its usage to limit
	// its need.
	minUsageSamples = 8
	// minPeakSamples is how many samples a burst must have to update the peak.
	minPeakSamples = 10
	// needFactor times the offered load is the capacity that a burst gets: jobs arrive
	// in batches and tasks don't fill hosts to the last core.
	needFactor = 1.6
	// maxUsageFactor times what runs and waits limits that capacity: with more,
	// hosts are idle while the next burst starts in another pool.
	maxUsageFactor = 1.7
)

// NewBurstTracker returns a tracker without observations.
func NewBurstTracker() *BurstTracker { return &BurstTracker{pools: make(map[string]*burstState)} }

// BurstChange is the start or the end of a pool's demand burst.
type BurstChange struct {
	Pool    string
	Started bool
	// Offered is the offered load, Typical what bursts typically need, both in
	// millicores.
	Offered int
	Typical float64
}

// Observe takes a sample of all pools, and sets their BurstNeed and BurstLikelihood.
// It returns the bursts that started or ended.
func (bt *BurstTracker) Observe(pools []PoolView, now time.Time) (changes []BurstChange) {
	bt.restore(pools, now)
	typical := 0.0
	for i := range pools {
		if p := &pools[i]; p.Known && !p.Spare {
			typical = max(typical, bt.sample(p))
		}
	}
	for i := range pools {
		if p := &pools[i]; p.Known && !p.Spare {
			wasActive := bt.pools[p.Name].active
			bt.updateBurst(p, typical, now)
			if active := bt.pools[p.Name].active; active != wasActive {
				changes = append(changes, BurstChange{p.Name, active, p.Load.Offered, typical})
			}
		}
	}
	bt.setLikelihoods(pools)
	bt.setLargestBurst(pools)
	return changes
}

// setLargestBurst sets the pools' LargestBurst. Once it is known it remains so: while
// several pools have bursts at once, the peaks don't stand out from what is offered.
func (bt *BurstTracker) setLargestBurst(pools []PoolView) {
	largest, offered := 0, make([]int, 0, len(pools))
	for i := range pools {
		if p := &pools[i]; p.Known && !p.Spare {
			largest = max(largest, p.Load.Peak)
			offered = append(offered, p.Load.Offered)
		}
	}
	if len(offered) == 0 {
		return
	}
	slices.Sort(offered)
	bt.sizeKnown = bt.sizeKnown || largest > 0 && largest >= minBurstRatio*offered[(len(offered)-1)/2]
	if !bt.sizeKnown {
		return
	}
	for i := range pools {
		pools[i].LargestBurst = float64(largest)
	}
}

// restore initializes the state of pools that are observed for the first time from
// the peaks that their holders report, as a process that has just become the host
// manager has observed no bursts.
func (bt *BurstTracker) restore(pools []PoolView, now time.Time) {
	highest := 0
	for i := range pools {
		highest = max(highest, pools[i].Load.Peak)
	}
	for i := range pools {
		p := &pools[i]
		if !p.Known || p.Spare || bt.pools[p.Name] != nil {
			continue
		}
		t := &burstState{}
		if p.Load.Peak > 0 && float64(p.Load.Peak) >= startShare*float64(highest) {
			t.peak, t.startedAt = float64(p.Load.Peak), now.Add(-p.Load.SincePeak)
		}
		bt.pools[p.Name] = t
	}
}

// sample updates the averages of an active burst, and returns what the pool's bursts
// need. The reports of a holder that has just taken over are too low and are not
// used.
func (bt *BurstTracker) sample(p *PoolView) (peak float64) {
	t := bt.pools[p.Name]
	if !t.active || p.Load.WarmingUp {
		return t.peak
	}
	t.samples++
	weight := max(1/float64(t.samples), sampleWeight)
	t.offered += weight * (float64(p.Load.Offered) - t.offered)
	t.usage += weight * (p.Load.usage() - t.usage)
	if t.samples >= minPeakSamples {
		t.peak = max(t.peak*peakDecay, t.offered)
	}
	return t.peak
}

// updateBurst detects the start and the end of a pool's burst, and sets its
// BurstNeed. typical is what bursts typically need, zero if none was observed.
func (bt *BurstTracker) updateBurst(p *PoolView, typical float64, now time.Time) {
	t := bt.pools[p.Name]
	switch {
	case p.Load.WarmingUp:
	case !t.active && p.Load.burstStarted(typical):
		bt.countRank(p.Name)
		*t = burstState{active: true, startedAt: now, peak: t.peak, likelihood: t.likelihood}
	case t.active && t.samples > 0 && float64(p.Load.RecentOffered) < endShare*t.offered:
		t.active = false
	}
	if !t.active {
		return
	}
	if t.samples >= minNeedSamples {
		p.BurstNeed = needFactor * t.offered
	}
	if t.samples > minUsageSamples {
		p.BurstNeed = min(p.BurstNeed, maxUsageFactor*max(t.usage, p.Load.usage()))
	}
}

// usage is what runs and waits, without long-running tasks, in millicores.
func (l Load) usage() float64 { return float64(l.finiteUsed() + l.Waiting) }

// burstStarted reports whether a demand burst of the pool has started.
func (l Load) burstStarted(typical float64) bool {
	offered, recent := float64(l.Offered), float64(l.RecentOffered)
	if typical == 0 {
		return offered > float64(l.Capacity)/2
	}
	return offered > startShare*typical || recent > startShare*typical && offered > risingShare*typical
}

// countRank counts the rank of a pool whose burst starts.
func (bt *BurstTracker) countRank(name string) {
	for bucket, share := range bt.rankShares(name) {
		bt.hits[bucket] += share
	}
}

// rankShares returns the shares of a pool in the buckets of the order of last bursts,
// latest first. Pools without a burst share the ranks at its end.
func (bt *BurstTracker) rankShares(name string) (shares [rankBuckets]float64) {
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

// setLikelihoods sets how likely each pool has the next burst.
func (bt *BurstTracker) setLikelihoods(pools []PoolView) {
	total := 0.0
	var weights [rankBuckets]float64
	for bucket := range weights {
		weights[bucket] = bt.hits[bucket] + rankPrior*float64(bucket)
		total += weights[bucket]
	}
	for i := range pools {
		p := &pools[i]
		t := bt.pools[p.Name]
		if t == nil {
			continue
		}
		p.BurstLikelihood = minLikelihood
		for bucket, share := range bt.rankShares(p.Name) {
			p.BurstLikelihood += share * weights[bucket] / total
		}
		if t.active {
			p.BurstLikelihood = activeLikelihood
		}
		t.likelihood = p.BurstLikelihood
	}
}
