package sched

import (
	"math"
	"time"
)

// runtimeModel tells how long tasks of one queue really run, given what their client
// declared: a line through logarithms, ln(true) = y + slope (ln(declared) - x),
// from all runs that ended well. Declared times are off by a half and more, each
// client's in its own way, and slack, order and the hosts that a pool asks for
// all rest on them.
type runtimeModel struct {
	// Weighted sums over the runs, older ones counting less.
	weight, x, y, xx, xy, yy float64
}

const (
	// fitKeeps is what is kept of a fit with each new run: some 300 runs count,
	// a few seconds of a busy pool, so that it follows a change.
	fitKeeps = 1 - 1.0/300
	// fitPrior is how many runs as declared a fit starts with, spread over
	// fitPriorSpread in the logarithm: until some have ended, clients are
	// believed.
	fitPrior       = 6
	fitPriorSpread = 0.5
	// shortestRun bounds what is learned from: a run that ends at once tells
	// nothing but how long answers take.
	shortestRun = 5 * time.Millisecond
)

func (f *runtimeModel) add(declared, took time.Duration) {
	x, y := logSeconds(declared), logSeconds(took)
	if f.weight == 0 {
		f.weight, f.x, f.y = fitPrior, fitPrior*x, fitPrior*x
		f.xx = fitPrior * (x*x + fitPriorSpread*fitPriorSpread)
		f.xy, f.yy = f.xx, f.xx
	}
	f.weight = f.weight*fitKeeps + 1
	f.x = f.x*fitKeeps + x
	f.y = f.y*fitKeeps + y
	f.xx = f.xx*fitKeeps + x*x
	f.xy = f.xy*fitKeeps + x*y
	f.yy = f.yy*fitKeeps + y*y
}

// estimate is how long a task with a declared time should run.
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
	// The mean of what scatters about the line lies above it by half of the
	// variance.
	scatter := f.yy/f.weight - meanY*meanY - slope*slope*spread
	return seconds(math.Exp(meanY + slope*(logSeconds(declared)-meanX) + max(0, scatter)/2))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, shortestRun).Seconds()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fitOf returns what is known of a queue's run times.
func (p *Pool) fitOf(queue string) *runtimeModel {
	f := p.fits[queue]
	if f == nil {
		f = &runtimeModel{}
		p.fits[queue] = f
	}
	return f
}

// stepPrior is how many tasks of a step must have ended for what they took to
// count as much as what its queue's other tasks did.
const stepPrior = 1

// expected is how long one task of a step should run.
func (s *step) expected() time.Duration {
	usual := s.of.job.fit.estimate(s.spec.Estimate)
	if s.measured == 0 {
		return usual
	}
	return (usual*stepPrior + s.took) / time.Duration(s.measured+stepPrior)
}

// tookRun learns from a run that ended well.
func (s *step) tookRun(took time.Duration) {
	if s.spec.LongRunning || s.of.job.fit == nil || took < shortestRun {
		return
	}
	s.measured++
	s.took += took
	s.of.job.fit.add(s.spec.Estimate, took)
}
