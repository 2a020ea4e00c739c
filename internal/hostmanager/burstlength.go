package hostmanager

import "time"

const (
	// initialBurstLength is the assumed length of demand bursts before one was seen
	// whole: the shortest one for which a busy host is worth moving.
	initialBurstLength = 2*timeToMove + minUse
	// burstLengthWeight is the weight of each burst in the mean length. Two outweigh
	// the initial assumption.
	burstLengthWeight = 0.5
	// minBurstLength is the shortest burst that counts. Shorter ones are over before a
	// host has moved, and single large jobs look like one.
	minBurstLength = timeToMove
)

// BurstLengths estimates for how long active demand bursts go on, from the bursts of
// all pools. It answers short bursts that alternate between pools: hosts that were
// drained for each would serve neither.
type BurstLengths struct {
	mean   time.Duration
	active map[string]span
}

// span is a burst from its first to its latest sample.
type span struct{ from, to time.Time }

// NewBurstLengths returns an estimate without observations.
func NewBurstLengths() *BurstLengths {
	return &BurstLengths{mean: initialBurstLength, active: make(map[string]span)}
}

// Observe takes a sample of the pools after a BurstTracker has set their BurstNeed, and
// sets their BurstLeft. A burst that was under way before the first sample counts as
// beginning then.
func (b *BurstLengths) Observe(pools []PoolView, now time.Time) {
	for i := range pools {
		p := &pools[i]
		p.BurstLeft = 0
		seen, known := b.active[p.Name]
		switch {
		case p.BurstNeed > 0:
			if !known {
				seen.from = now
			}
			seen.to = now
			b.active[p.Name] = seen
			p.BurstLeft = max(0, b.mean-now.Sub(seen.from))
		case known && now.Sub(seen.to) >= timeToMove:
			b.add(seen.to.Sub(seen.from))
			delete(b.active, p.Name)
		}
	}
}

func (b *BurstLengths) add(length time.Duration) {
	if length >= minBurstLength {
		b.mean += time.Duration(burstLengthWeight * float64(length-b.mean))
	}
}
