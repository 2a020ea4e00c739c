package hostmanager

import "time"

const (
	// initialBurstLength is the assumed length of demand bursts before one was seen
	// whole: the shortest one for which a busy host is worth moving.
	initialBurstLength = 2*outTime + minUse
	// burstLengthWeight is the weight of each burst in the mean length. Two outweigh
	// the initial assumption.
	burstLengthWeight = 0.5
	// minBurstLength is the shortest burst that counts. Shorter ones are over before a
	// host has moved, and single large jobs look like one.
	minBurstLength = outTime
)

// BurstLengths estimates for how long active demand bursts go on, from the bursts of
// all pools. It answers short bursts that alternate between pools: hosts that were
// drained for each would serve neither.
type BurstLengths struct {
	mean    time.Duration
	started map[string]time.Time
}

// NewBurstLengths returns an estimate without observations.
func NewBurstLengths() *BurstLengths {
	return &BurstLengths{mean: initialBurstLength, started: make(map[string]time.Time)}
}

// Observe records the bursts that started or ended, and sets the pools' BurstLeft.
func (b *BurstLengths) Observe(changes []BurstChange, pools []PoolView, now time.Time) {
	for _, change := range changes {
		if change.Started {
			b.started[change.Pool] = now
			continue
		}
		if started, known := b.started[change.Pool]; known {
			b.add(now.Sub(started))
		}
		delete(b.started, change.Pool)
	}
	for i := range pools {
		p := &pools[i]
		p.BurstLeft = 0
		if started, active := b.started[p.Name]; active {
			p.BurstLeft = max(0, b.mean-now.Sub(started))
		}
	}
}

func (b *BurstLengths) add(length time.Duration) {
	if length >= minBurstLength {
		b.mean += time.Duration(burstLengthWeight * float64(length-b.mean))
	}
}
