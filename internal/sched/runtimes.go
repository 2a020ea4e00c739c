package sched

import (
	"math"
	"time"
)

// runtimeModel predicts the run times of one queue's tasks from the times that
// clients declare. It is a line in logarithms, ln(true) = y + slope (ln(declared) -
// x), fitted to all runs that ended successfully. Declared times are off by a half
// and more, differently for each client, and slack, order and the number of hosts
// that a pool asks for all depend on them.
type runtimeModel struct {
	// Weighted sums over the runs; older runs have less weight.
	weight, x, y, xx, xy, yy float64
}

const (
	// runtimeDecay is the part of the sums that is kept with each new run: the last
	// 300 runs or so count, a few seconds of a busy pool, so that the fit follows
	// changes.
	runtimeDecay = 1 - 1.0/300
	// priorRuns is the weight, in runs that took as long as declared, that a fit
	// starts with, spread by priorSpread in the logarithm. Declared times are
	// trusted until some runs have ended.
	priorRuns   = 6
	priorSpread = 0.5
	// minRuntime is the shortest run that is learned from: the time of a run that
	// ends at once is mostly that of the replies.
	minRuntime = 5 * time.Millisecond
)

func (f *runtimeModel) add(declared, took time.Duration) {
	x, y := logSeconds(declared), logSeconds(took)
	if f.weight == 0 {
		f.weight, f.x, f.y = priorRuns, priorRuns*x, priorRuns*x
		f.xx = priorRuns * (x*x + priorSpread*priorSpread)
		f.xy, f.yy = f.xx, f.xx
	}
	f.weight = f.weight*runtimeDecay + 1
	f.x = f.x*runtimeDecay + x
	f.y = f.y*runtimeDecay + y
	f.xx = f.xx*runtimeDecay + x*x
	f.xy = f.xy*runtimeDecay + x*y
	f.yy = f.yy*runtimeDecay + y*y
}

// estimate returns the predicted run time for a declared one.
func (f *runtimeModel) estimate(declared time.Duration) time.Duration {
	if f == nil || f.weight == 0 {
		return declared
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	spread := f.xx/f.weight - meanX*meanX
	slope := 1.0
	if spread > 0 {
		slope = min(1, max(0, (f.xy/f.weight-meanX*meanY)/spread))
	}
	// The mean of values that scatter log-normally about the line is above it by
	// half of their variance.
	scatter := f.yy/f.weight - meanY*meanY - slope*slope*spread
	return seconds(math.Exp(meanY + slope*(logSeconds(declared)-meanX) + max(0, scatter)/2))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRuntime).Seconds()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runtimesOf returns the run-time model of a queue.
func (p *Pool) runtimesOf(queue string) *runtimeModel {
	f := p.runtimes[queue]
	if f == nil {
		f = &runtimeModel{}
		p.runtimes[queue] = f
	}
	return f
}

// ratiosOf returns the distribution of the ratios of a queue.
func (p *Pool) ratiosOf(queue string) *ratioSketch {
	s := p.ratios[queue]
	if s == nil {
		s = &ratioSketch{}
		p.ratios[queue] = s
	}
	return s
}

// stepPrior is the number of a step's tasks that must have ended for their run
// times to weigh as much as the model of the queue.
const stepPrior = 1

// expectedRuntime returns the expected run time of one task of a step.
func (s *step) expectedRuntime() time.Duration {
	predicted := s.occurrence.job.runtimes.estimate(s.spec.Estimate)
	if s.runtimeSamples == 0 {
		return predicted
	}
	return (predicted*stepPrior + s.totalRuntime) / time.Duration(s.runtimeSamples+stepPrior)
}

// recordRuntime records the run time of a successful run.
func (s *step) recordRuntime(took time.Duration) {
	if s.spec.LongRunning || s.occurrence.job.runtimes == nil || took < minRuntime {
		return
	}
	s.runtimeSamples++
	s.totalRuntime += took
	s.occurrence.job.runtimes.add(s.spec.Estimate, took)
	s.occurrence.job.ratios.add(s.spec.Estimate, took)
}
