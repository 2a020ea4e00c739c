package sched

import (
	"math"
	"time"
)

const (
	// ratioGrowth is the ratio of the bounds of a bucket. A quantile is off by its
	// square root, 5%, at most.
	ratioGrowth = 1.1
	// ratioBuckets buckets cover ratios from 1/maxRatio to maxRatio.
	ratioBuckets = 88
	// ratioDecay is the part of the weights that is kept with each new run: the last
	// 300 or so count, as in runtimeModel.
	ratioDecay = runtimeDecay
)

// maxRatio is the largest ratio that is told from larger ones.
var maxRatio = math.Pow(ratioGrowth, ratioBuckets/2)

// ratioSketch holds the distribution of the ratio of taken to declared run time of one
// queue, in buckets of constant relative width. It answers queues in which few tasks
// take many times as long as the rest: no mean is right for either. It starts with
// priorRuns runs that took as long as declared.
type ratioSketch struct {
	weights [ratioBuckets]float64
	total   float64
}

func (s *ratioSketch) add(declared, took time.Duration) {
	if s.total == 0 {
		s.total = priorRuns
		s.weights[ratioBucket(1)] = priorRuns
	}
	for i := range s.weights {
		s.weights[i] *= ratioDecay
	}
	s.total = s.total*ratioDecay + 1
	s.weights[ratioBucket(ratio(declared, took))]++
}

// quantile returns the ratio that the part q of the runs does not exceed, off by the
// square root of ratioGrowth at most. Without runs it is 1.
func (s *ratioSketch) quantile(q float64) float64 {
	if s == nil || s.total == 0 {
		return 1
	}
	below, last := 0.0, 0
	for i, weight := range s.weights {
		if weight == 0 {
			continue
		}
		below, last = below+weight, i
		if below >= q*s.total {
			break
		}
	}
	return math.Pow(ratioGrowth, float64(last-ratioBuckets/2)+0.5)
}

// ratio returns the ratio of taken to declared run time.
func ratio(declared, took time.Duration) float64 {
	return max(took, minRuntime).Seconds() / max(declared, minRuntime).Seconds()
}

// ratioBucket returns the bucket of a ratio; those out of range are in the first and
// the last one.
func ratioBucket(ratio float64) int {
	i := int(math.Floor(math.Log(ratio)/math.Log(ratioGrowth))) + ratioBuckets/2
	return min(ratioBuckets-1, max(0, i))
}
