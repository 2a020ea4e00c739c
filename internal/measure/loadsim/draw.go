package loadsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// draw draws a value of at least minValue and at most d.Max.
func (d Distribution) draw(random *rand.Rand, minValue float64) float64 {
	value := d.Mean * math.Exp(d.Spread*random.NormFloat64()-d.Spread*d.Spread/2)
	return max(minValue, min(value, d.Max))
}

// submission is a job that a client submits, with its actual run times and result.
type submission struct {
	class  *JobClass
	at     time.Duration
	record *work.JobRecord
	// seconds are the actual run times by step and task.
	seconds [][]float64
	// coreSeconds is the work of the job in core-seconds, goal the time within which
	// it should be done.
	coreSeconds float64
	goal        time.Duration
	worth       float64
	// beyond is set for a job beyond what its organisation usually submits.
	beyond bool
	// done is the time from which a client can see that the job is done; zero if it
	// isn't done.
	done time.Duration
}

// meanWork returns the mean work of the class's jobs in core-seconds.
func (k *JobClass) meanWork() float64 {
	return k.Steps.Mean * k.Width.Mean * k.MilliCPU.Mean / 1000 * k.Seconds.Mean
}

const (
	// baseWorthShare is the fraction of a job's worth that is independent of its size.
	// The rest is proportional to its work. The total is at most maxWorthFactor times
	// the mean worth.
	baseWorthShare = 0.3
	maxWorthFactor = 4
)

// job draws a job of the class that is submitted at the given time.
func (k *JobClass) job(random *rand.Rand, number int, at time.Duration) *submission {
	h := &submission{class: k, at: at}
	spec := work.Spec{Payload: fmt.Sprintf("%s %d", k.Name, number)}
	size := work.Resources{MilliCPU: int(k.MilliCPU.draw(random, 50)), MemMB: int(k.MemMB.draw(random, 20))}
	chain := 0.0
	for i := range int(math.Round(k.Steps.draw(random, 1))) {
		base := k.Seconds.draw(random, 0.05)
		step := work.Step{
			Count: int(math.Round(k.Width.draw(random, 1))), Resources: size,
			Estimate:    time.Duration(base * math.Exp(k.EstimateSpread*random.NormFloat64()) * float64(time.Second)),
			Speculative: random.Float64() < k.Speculative, Checkpoint: random.Float64() < k.Checkpoints,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		var times []float64
		for range step.Count {
			seconds := base * math.Exp(k.RunTimeSpread*random.NormFloat64()-k.RunTimeSpread*k.RunTimeSpread/2)
			times = append(times, seconds)
			h.coreSeconds += seconds * float64(size.MilliCPU) / 1000
		}
		chain += slices.Max(times)
		h.seconds = append(h.seconds, times)
		spec.Steps = append(spec.Steps, step)
	}
	h.goal = time.Duration(k.Stretch*chain*float64(time.Second)) + k.Slack
	h.worth = k.Worth * min(maxWorthFactor, baseWorthShare+(1-baseWorthShare)*h.coreSeconds/k.meanWork())
	h.record = &work.JobRecord{
		ID: fmt.Sprintf("%016x", number), Spec: spec,
		Queue: work.Queue{Name: k.Name, Pool: k.Pool, Priority: k.Priority, MaxAttempts: 4, Stretch: k.Stretch, Slack: k.Slack},
	}
	return h
}

// schedule draws all jobs submitted in a day, in order of submission.
func (p *Pattern) schedule(random *rand.Rand) []*submission {
	burstPools := p.drawBurstPools(random)
	var jobs []*submission
	const step = 10 * time.Millisecond
	number := 1
	for at := time.Duration(0); at < p.Length; at += step {
		for i := range p.Classes {
			k := &p.Classes[i]
			rate := k.Rate * p.demandFactor(burstPools, k.Pool, at) * p.totalLoudness(at)
			if p.SpikeAt > 0 && at >= p.SpikeAt && at < p.SpikeAt+2*time.Second {
				rate *= p.SpikeFactor
			}
			if random.Float64() < rate*step.Seconds() {
				h := k.job(random, number, at)
				p.assign(random, h)
				jobs = append(jobs, h)
				number++
			}
		}
	}
	return jobs
}

// drawBurstPools draws which pool has each of the consecutive demand bursts.
func (p *Pattern) drawBurstPools(random *rand.Rand) []string {
	if p.Bursts.Length == 0 {
		return nil
	}
	var names []string
	for _, pool := range p.Pools {
		names = append(names, pool.Name)
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var burstPools []string
	for i := range int(p.Length/p.Bursts.Length) + 1 {
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
func (p *Pattern) demandFactor(burstPools []string, pool string, at time.Duration) float64 {
	if len(burstPools) == 0 {
		return 1
	}
	high := 0.0
	for i, name := range burstPools {
		if name != pool {
			continue
		}
		begin := time.Duration(i) * p.Bursts.Length
		end := begin + p.Bursts.Length + p.Bursts.Overlap
		if at >= begin && at < end+p.Bursts.Ramp {
			rise := float64(at-begin) / float64(p.Bursts.Ramp)
			fall := float64(end+p.Bursts.Ramp-at) / float64(p.Bursts.Ramp)
			high = max(high, min(1, rise, fall))
		}
	}
	return p.Bursts.Low + high*(p.Bursts.High-p.Bursts.Low)
}
