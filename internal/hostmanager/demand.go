package hostmanager

import (
	"cmp"
	"slices"
)

// DemandTier is work of one value that a pool could do with more capacity.
type DemandTier struct {
	MilliCPU int
	// Value is what a core brings there. Queues configure no worth, so that all jobs
	// count by their core-seconds.
	Value float64
}

// Values of a core's work.
const (
	InTimeValue = 1
	// headroomValue is for the capacity that a burst gets beyond its offered load,
	// as jobs arrive in batches: it is used half of the time.
	headroomValue = 0.5
	// LateValue is for jobs that are late and not yet worthless. A late answer still
	// helps somewhat.
	LateValue = 0.1
)

// valueCurve is what a pool's capacity brings, in tiers with the highest value first.
type valueCurve []curveTier

type curveTier struct{ milliCPU, value float64 }

// curve returns the value of a pool's capacity. Long-running tasks come first.
func (p *PoolView) curve() valueCurve {
	longRunning := float64(p.Load.LongRunning)
	if len(p.Load.Demand) == 0 {
		return valueCurve{{p.need(), InTimeValue}}
	}
	c := valueCurve{{longRunning, InTimeValue}}
	inTime := 0.0
	for _, tier := range p.Load.Demand {
		c = append(c, curveTier{float64(tier.MilliCPU), tier.Value})
		if tier.Value >= InTimeValue {
			inTime += float64(tier.MilliCPU)
		}
	}
	if headroom := max(p.BurstNeed, retainFactor*float64(p.Load.Offered)) - inTime; headroom > 0 {
		c = append(c, curveTier{headroom, headroomValue})
	}
	slices.SortStableFunc(c, func(a, b curveTier) int { return cmp.Compare(b.value, a.value) })
	return c
}

// meanValue returns the mean value of the capacity between two sizes in millicores.
func (c valueCurve) meanValue(from, to float64) float64 {
	if to <= from {
		return 0
	}
	sum, start := 0.0, 0.0
	for _, tier := range c {
		end := start + tier.milliCPU
		if overlap := min(to, end) - max(from, start); overlap > 0 {
			sum += overlap * tier.value
		}
		start = end
	}
	return sum / (to - from)
}
