package loadsim

import (
	"math/rand/v2"
	"time"
)

// burst is one demand burst. Its height is relative to Bursts.High.
type burst struct {
	pool        string
	begin, last time.Duration
	height      float64
}

// drawBursts draws the demand bursts of a day.
func (p *Pattern) drawBursts(random *rand.Rand) []burst {
	if p.Bursts.Length == 0 {
		return nil
	}
	bursts := make([]burst, int(p.Length/p.Bursts.Length)+1)
	for i, pool := range p.drawBurstPools(random, len(bursts)) {
		begin := time.Duration(i) * p.Bursts.Length
		bursts[i] = burst{pool, begin, p.Bursts.Length, 1}
		if p.Bursts.Irregular {
			bursts[i].vary(random)
		}
	}
	return bursts
}

// vary draws the length of a burst between half and one and a half of the usual, its
// height between a third and the usual, and its start within half a length.
func (b *burst) vary(random *rand.Rand) {
	usual := float64(b.last)
	b.begin += time.Duration(usual * random.Float64() / 2)
	b.last = time.Duration(usual * (0.5 + random.Float64()))
	b.height = (1 + 2*random.Float64()) / 3
}

// drawBurstPools draws which pool has each of the consecutive demand bursts.
func (p *Pattern) drawBurstPools(random *rand.Rand, count int) []string {
	var names []string
	for _, pool := range p.Pools {
		names = append(names, pool.Name)
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var burstPools []string
	for i := range count {
		next := names[i%len(names)]
		switch p.Bursts.Order {
		case Random:
			for next = names[random.IntN(len(names))]; i > 0 && next == burstPools[i-1]; {
				next = names[random.IntN(len(names))]
			}
		case Alternating:
			next = names[i%2]
		}
		burstPools = append(burstPools, next)
	}
	return burstPools
}

// demandFactor returns the demand of a pool at a time, relative to its mean.
func (p *Pattern) demandFactor(bursts []burst, pool string, at time.Duration) float64 {
	if len(bursts) == 0 {
		return 1
	}
	high := 0.0
	for _, b := range bursts {
		end := b.begin + b.last + p.Bursts.Overlap
		if b.pool == pool && at >= b.begin && at < end+p.Bursts.Ramp {
			rise := float64(at-b.begin) / float64(p.Bursts.Ramp)
			fall := float64(end+p.Bursts.Ramp-at) / float64(p.Bursts.Ramp)
			high = max(high, b.height*min(1, rise, fall))
		}
	}
	return p.Bursts.Low + high*(p.Bursts.High-p.Bursts.Low)
}
