package hostmanager

import (
	"cmp"
	"slices"
	"time"
)

// BurstTracker watches how pools' demand rises and falls. It tells what a turn that is
// on needs, and whose turn is to be expected next.
//
// Where demand goes around, the pool that has waited longest is the likeliest to
// be next, and the one whose turn has just passed the least. How far that holds
// is counted at each turn that begins: where turns come in any order, all pools
// are soon expected alike.
type BurstTracker struct {
	pools map[string]*turns
	// hits counts by place in the order of last turns where the pools whose turn
	// began stood: first those of the latest turns.
	hits [placeParts]float64
}

// turns is what is known of one pool's turns.
type turns struct {
	// on: its turn is on. began is when the last one did, zero for none yet.
	on    bool
	began time.Time
	// looks counts the looks at the turn that is on; arriving and usage are means
	// over the last ones of what arrives and what runs or waits.
	looks           int
	arriving, usage float64
	// peak is what its turns need, fading slowly.
	peak float64
	// expect is how likely its turn is next.
	expect float64
}

const (
	// placeParts is into how many parts the order of last turns is divided: the
	// latest turns, those between, and the longest ago.
	placeParts = 3
	// placePrior is how many turns are believed to have gone around before any
	// was seen: a third of one, so that two turns seen outweigh it.
	placePrior = 0.34
	// leastExpect and onExpect are what is expected at the least of any pool, and
	// of one whose turn is on, against 1 shared out among all.
	leastExpect, onExpect = 0.1, 0.15
	// beginsAt is the share of a usual turn's need at which one has certainly
	// begun; risesAt suffices where the very last jobs say as much as that.
	beginsAt, risesAt = 0.4, 0.08
	// endsAt is the share of what arrived in a turn below which the very last
	// jobs must fall for it to be over. With the two last gaps between jobs as
	// long as eight were, that is so by chance once in seventy turns' seconds.
	endsAt = 0.25
	// lookWeight is what each look counts in the means of a turn: a second or so.
	lookWeight = 0.15
	// peakFades is what is kept of a peak with each look.
	peakFades = 0.99
	// settledLooks is how many looks a turn must have had for its means to count
	// as what it needs.
	settledLooks = 2
	// usedLooks is how many it must have had for its use to bound that.
	usedLooks = 8
	// peakLooks is how many it must have had to tell what turns need.
	peakLooks = 10
	// steadyFactor times what arrives is what a turn is given. Jobs come in
	// bunches and tasks don't fill hosts to the last core: with a fifth more
	// instead of twice as much, a tenth of the jobs of a turn was late.
	steadyFactor = 1.6
	// usageFactor times what runs and waits bounds that: more stands idle while
	// the next turn begins elsewhere.
	usageFactor = 1.7
)

// NewBurstTracker returns a rhythm that has seen nothing.
func NewBurstTracker() *BurstTracker { return &BurstTracker{pools: make(map[string]*turns)} }

// BurstChange tells that a pool's turn of demand begins or is over.
type BurstChange struct {
	Pool    string
	Started bool
	// Offered is what arrived, Usual what turns need, in thousandths of a core.
	Offered int
	Typical float64
}

// Observe takes a look at all pools and notes in them what it expects. It returns
// the turns that begin or are over.
func (r *BurstTracker) Observe(pools []PoolView, now time.Time) (changes []BurstChange) {
	r.recall(pools, now)
	usual := 0.0
	for i := range pools {
		if p := &pools[i]; p.Known && !p.Spare {
			usual = max(usual, r.look(p))
		}
	}
	for i := range pools {
		if p := &pools[i]; p.Known && !p.Spare {
			was := r.pools[p.Name].on
			r.turn(p, usual, now)
			if on := r.pools[p.Name].on; on != was {
				changes = append(changes, BurstChange{p.Name, on, p.Load.Offered, usual})
			}
		}
	}
	r.expect(pools)
	return changes
}

// recall takes over what pools that are seen for the first time remember of their
// turns: a process that has just begun to look after the hosts has seen none.
func (r *BurstTracker) recall(pools []PoolView, now time.Time) {
	highest := 0
	for i := range pools {
		highest = max(highest, pools[i].Load.Peak)
	}
	for i := range pools {
		p := &pools[i]
		if !p.Known || p.Spare || r.pools[p.Name] != nil {
			continue
		}
		t := &turns{}
		if p.Load.Peak > 0 && float64(p.Load.Peak) >= beginsAt*float64(highest) {
			t.peak, t.began = float64(p.Load.Peak), now.Add(-p.Load.PeakAgo)
		}
		r.pools[p.Name] = t
	}
}

// look takes the means of a turn that is on, and returns what the pool's turns
// need. What a holder that has just taken over says is less than the truth.
func (r *BurstTracker) look(p *PoolView) (peak float64) {
	t := r.pools[p.Name]
	if !t.on || p.Load.WarmingUp {
		return t.peak
	}
	t.looks++
	weight := max(1/float64(t.looks), lookWeight)
	t.arriving += weight * (float64(p.Load.Offered) - t.arriving)
	t.usage += weight * (p.Load.usage() - t.usage)
	if t.looks >= peakLooks {
		t.peak = max(t.peak*peakFades, t.arriving)
	}
	return t.peak
}

// turn notes whether a pool's turn begins or ends, and what it needs. usual is
// what turns need, zero while none was seen.
func (r *BurstTracker) turn(p *PoolView, usual float64, now time.Time) {
	t := r.pools[p.Name]
	switch {
	case p.Load.WarmingUp:
	case !t.on && p.Load.begins(usual):
		r.count(p.Name)
		*t = turns{on: true, began: now, peak: t.peak, expect: t.expect}
	case t.on && t.looks > 0 && float64(p.Load.RecentOffered) < endsAt*t.arriving:
		t.on = false
	}
	if !t.on {
		return
	}
	if t.looks >= settledLooks {
		p.BurstNeed = steadyFactor * t.arriving
	}
	if t.looks > usedLooks {
		p.BurstNeed = min(p.BurstNeed, usageFactor*max(t.usage, p.Load.usage()))
	}
}

// usage is what runs and waits of what doesn't last.
func (l Load) usage() float64 { return float64(l.running() + l.Waiting) }

// begins reports whether a pool's turn has begun.
func (l Load) begins(usual float64) bool {
	arriving, onset := float64(l.Offered), float64(l.RecentOffered)
	if usual == 0 {
		return arriving > float64(l.Capacity)/2
	}
	return arriving > beginsAt*usual || onset > beginsAt*usual && arriving > risesAt*usual
}

// count notes how long ago the pool whose turn begins had its last one.
func (r *BurstTracker) count(name string) {
	for part, share := range r.place(name) {
		r.hits[part] += share
	}
}

// place tells in which parts of the order of last turns a pool stands, the latest
// first. Pools that had none yet share the places at its end.
func (r *BurstTracker) place(name string) (shares [placeParts]float64) {
	var names []string
	for other := range r.pools {
		names = append(names, other)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(r.pools[b].began.Compare(r.pools[a].began), cmp.Compare(a, b))
	})
	var places []int
	for i, other := range names {
		if r.pools[other].began.Equal(r.pools[name].began) {
			places = append(places, i)
		}
	}
	for _, place := range places {
		shares[place*placeParts/len(names)] += 1 / float64(len(places))
	}
	return shares
}

// Likelihoods tells by pool how likely its turn was next when it was last watched.
func (r *BurstTracker) Likelihoods() map[string]float64 {
	expected := make(map[string]float64, len(r.pools))
	for name, t := range r.pools {
		expected[name] = t.expect
	}
	return expected
}

// expect notes in each pool how likely its turn is next.
func (r *BurstTracker) expect(pools []PoolView) {
	total := 0.0
	var chance [placeParts]float64
	for part := range chance {
		chance[part] = r.hits[part] + placePrior*float64(part)
		total += chance[part]
	}
	for i := range pools {
		p := &pools[i]
		t := r.pools[p.Name]
		if t == nil {
			continue
		}
		p.BurstLikelihood = leastExpect
		for part, share := range r.place(p.Name) {
			p.BurstLikelihood += share * chance[part] / total
		}
		if t.on {
			p.BurstLikelihood = onExpect
		}
		t.expect = p.BurstLikelihood
	}
}
