package hostmanager

import "time"

// BurstTracker tracks the demand bursts of pools. It estimates what an active burst
// needs, and how likely each pool has the next one. What counts as a burst depends
// on the pool's own earlier bursts, its own load between them and its own hosts, so
// that neither a larger pool nor its noise hides a small pool's bursts.
//
// If bursts rotate through the pools, the pool whose last burst is the oldest is
// the likeliest to be next, and the one whose burst has just ended the least likely.
// How far that holds is counted for each burst: if bursts come in any order, all
// pools soon get similar likelihoods.
type BurstTracker struct {
	pools map[string]*burstState
	// hits counts the ranks that the pools of past bursts had as these started.
	hits rankCounts
}

// burstPhase is the phase of a pool's burst.
type burstPhase int

const (
	noBurst burstPhase = iota
	burstActive
	// burstPaused means that jobs have stopped arriving. If they return before a
	// host could have moved away and back, the same burst continues.
	burstPaused
)

// burstState is the state of one pool's bursts.
type burstState struct {
	phase burstPhase
	// restored is set once the pool has reported what its earlier bursts were.
	restored bool
	// startedAt is when the last burst started, zero for none yet; previousStart is
	// that of the burst before it. pausedAt is when jobs last stopped arriving.
	startedAt, previousStart, pausedAt time.Time
	// proven is set once the burst has lasted long enough to learn from. Until
	// then ranks are those to count for it.
	proven bool
	ranks  rankCounts
	// startLevel is the offered load from which the burst counted as one, and
	// lowSamples the number of samples since it was last near that.
	startLevel float64
	lowSamples int
	// samples counts the samples of the burst. offered and usage are moving averages
	// of the offered load and of what runs or waits, in millicores.
	samples        int
	offered, usage float64
	// quiet is the moving average of the offered load between bursts, and peak what
	// the pool's bursts need; it decays slowly. Both are in millicores.
	quiet, peak float64
	// likelihood is how likely the pool has the next burst.
	likelihood float64
}

const (
	// timeToMove is how long a moving host serves nobody: it moves, and the
	// destination's holder gets it with its next list.
	timeToMove = 2300 * time.Millisecond
	// startShare is the share of a pool's usual burst at which a burst has certainly
	// started; risingShare is enough if the recent offered load exceeds startShare.
	startShare, risingShare = 0.4, 0.08
	// firstStartShare and firstRisingShare are the same in terms of a pool's
	// capacity, for a pool without an earlier burst.
	firstStartShare, firstRisingShare = 0.5, 0.15
	// minStartShare is the least share of a pool's capacity that a burst needs:
	// smaller ones find enough hosts.
	minStartShare = 0.125
	// quietFactor times the usual load between bursts is the least load of a burst.
	quietFactor = 2
	// quietWeight is the weight of a sample in the load between bursts, which covers
	// about four seconds.
	quietWeight = 0.05
	// endShare is the share of a burst's offered load below which the recent offered
	// load must fall for the burst to end, confirmShare the same for the offered load.
	// Recent jobs alone also run out between two bunches of jobs.
	endShare, confirmShare = 0.25, 0.5
	// stayShare is the share of its start level that a burst must keep up, and
	// maxLowSamples how many samples it may be below: about a second.
	stayShare     = 0.5
	maxLowSamples = 4
	// sampleWeight is the weight of a sample in a burst's moving averages, which
	// cover about a second.
	sampleWeight = 0.15
	// peakDecay is the share of a peak that remains after each sample.
	peakDecay = 0.99
	// minNeedSamples is how many samples a burst must have for its averages to
	// count as its need.
	minNeedSamples = 2
	// minUsageSamples is how many samples a burst must have for its usage to limit
	// its need.
	minUsageSamples = 8
	// minProvenSamples is how many samples a burst must have to be learned from: the
	// two seconds that a host takes to arrive for it.
	minProvenSamples = 10
	// needFactor times the offered load is the capacity that a burst gets. Jobs
	// arrive in batches and tasks don't fill hosts to the last core.
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
	// Offered is the offered load, Typical what the pool's bursts typically need,
	// both in millicores.
	Offered int
	Typical float64
}

// Observe takes a sample of all pools, and sets their BurstNeed and BurstLikelihood.
// It returns the bursts that started or ended. A burst has ended once its jobs have
// been missing for as long as a host takes to move; its BurstNeed ends before.
func (bt *BurstTracker) Observe(pools []PoolView, now time.Time) (changes []BurstChange) {
	for i := range pools {
		p := &pools[i]
		if !p.Known || p.Spare {
			continue
		}
		t := bt.pools[p.Name]
		if t == nil {
			t = &burstState{}
			bt.pools[p.Name] = t
		}
		if p.Load.WarmingUp {
			p.BurstNeed = t.need(&p.Load)
			continue
		}
		if !t.restored {
			t.restore(p, now)
		}
		wasOver := t.phase == noBurst
		bt.update(p, now)
		if over := t.phase == noBurst; over != wasOver {
			changes = append(changes, BurstChange{p.Name, wasOver, p.Load.Offered, t.peak})
		}
		p.BurstNeed = t.need(&p.Load)
	}
	bt.setLikelihoods(pools, now)
	return changes
}

// restore sets the state of a pool that reports its load for the first time, from the
// peak that its holder reports. It answers the loss of the host manager: a burst
// that is under way is continued and not counted, since the order of the bursts
// before it is unknown.
func (t *burstState) restore(p *PoolView, now time.Time) {
	t.restored = true
	peak := float64(p.Load.Peak)
	if peak < max(minStartShare*float64(p.Load.Capacity), 1) {
		return
	}
	t.peak, t.startedAt = peak, now.Add(-p.Load.SincePeak)
	if p.Load.SincePeak < timeToMove && float64(p.Load.Offered) > startShare*peak {
		t.phase, t.proven, t.startLevel = burstActive, true, startShare*peak
	}
}

// update advances a pool's burst by one sample.
func (bt *BurstTracker) update(p *PoolView, now time.Time) {
	t := bt.pools[p.Name]
	switch t.phase {
	case noBurst:
		if !t.starts(&p.Load) {
			t.quiet += quietWeight * (float64(p.Load.Offered) - t.quiet)
			return
		}
		t.start(&p.Load, bt.rankShares(p.Name), now)
	case burstActive:
		t.sample(&p.Load)
		bt.learn(t)
		if t.stops(&p.Load) {
			t.phase, t.pausedAt = burstPaused, now
		}
	case burstPaused:
		switch {
		case t.starts(&p.Load):
			t.phase, t.lowSamples = burstActive, 0
		case now.Sub(t.pausedAt) >= timeToMove:
			t.end()
		}
	}
}

// start starts a burst.
func (t *burstState) start(l *Load, ranks rankCounts, now time.Time) {
	*t = burstState{
		phase: burstActive, restored: true, startedAt: now, previousStart: t.startedAt, ranks: ranks, startLevel: t.level(l),
		quiet: t.quiet, peak: t.peak, likelihood: t.likelihood,
	}
}

// end ends a burst. One that wasn't proven is forgotten.
func (t *burstState) end() {
	t.phase = noBurst
	if !t.proven {
		t.startedAt = t.previousStart
	}
}

// level is the offered load from which the pool has a burst, in millicores. What was
// learned from a burst that has faded does not start it again.
func (t *burstState) level(l *Load) float64 {
	level := firstStartShare * float64(l.Capacity)
	if t.peak > 0 {
		level = max(startShare*t.peak, minStartShare*float64(l.Capacity))
	}
	if t.phase == burstPaused {
		level = max(level, t.startLevel)
	}
	return max(level, quietFactor*t.quiet)
}

// risingLevel is the offered load that is enough if the recent load exceeds level.
func (t *burstState) risingLevel(l *Load) float64 {
	if t.peak > 0 {
		return risingShare * t.peak
	}
	return firstRisingShare * float64(l.Capacity)
}

// starts reports whether a burst of the pool starts. It answers a load that rises
// to a multiple within a second, in a pool of any size, and not single large jobs.
func (t *burstState) starts(l *Load) bool {
	offered, recent, level := float64(l.Offered), float64(l.RecentOffered), t.level(l)
	return offered > level || recent > level && offered > t.risingLevel(l)
}

// sample adds a sample to the averages of an active burst.
func (t *burstState) sample(l *Load) {
	t.samples++
	weight := max(1/float64(t.samples), sampleWeight)
	t.offered += weight * (float64(l.Offered) - t.offered)
	t.usage += weight * (l.usage() - t.usage)
	t.lowSamples++
	if float64(l.Offered) >= stayShare*t.startLevel {
		t.lowSamples = 0
	}
}

// learn updates what is known of the pool's bursts from an active one. It answers
// noise: a burst that ends before hosts could arrive leaves no trace.
func (bt *BurstTracker) learn(t *burstState) {
	if !t.proven && t.samples >= minProvenSamples && t.offered >= stayShare*t.startLevel {
		t.proven = true
		bt.hits.add(t.ranks)
	}
	if t.proven {
		t.peak = max(t.peak*peakDecay, t.offered)
	}
}

// stops reports whether jobs have stopped arriving. It answers the end of a burst,
// whose hosts another pool may need at once, and one that was none and fades: its
// average fades with it, so that only the level at its start shows it. Jobs that
// arrive in bunches do not end it.
func (t *burstState) stops(l *Load) bool {
	if t.lowSamples > maxLowSamples {
		return true
	}
	return float64(l.RecentOffered) < endShare*t.offered && float64(l.Offered) < confirmShare*t.offered
}

// need is the capacity that the burst needs, in millicores; zero if none is active.
func (t *burstState) need(l *Load) float64 {
	if t.phase != burstActive || t.samples < minNeedSamples {
		return 0
	}
	need := needFactor * t.offered
	if t.samples > minUsageSamples {
		need = min(need, maxUsageFactor*max(t.usage, l.usage()))
	}
	return need
}

// usage is what runs and waits, without long-running tasks, in millicores.
func (l Load) usage() float64 { return float64(l.finiteUsed() + l.Waiting) }
