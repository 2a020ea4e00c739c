package loadsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// of draws a value of at least least.
func (d Distribution) of(random *rand.Rand, least float64) float64 {
	value := d.Mean * math.Exp(d.Spread*random.NormFloat64()-d.Spread*d.Spread/2)
	return max(least, min(value, d.Max))
}

// handIn is a job that a client hands in, and what the day knows of it.
type handIn struct {
	kind   *JobClass
	at     time.Duration
	record *work.Record
	// seconds are the true run times by step and task.
	seconds [][]float64
	// cores is its work in core-seconds, goal its objective.
	cores float64
	goal  time.Duration
	worth float64
	// done is when a client can be shown that, zero for never.
	done time.Duration
}

// usualWork is the mean work of a kind's jobs in core-seconds.
func (k *JobClass) usualWork() float64 {
	return k.Steps.Mean * k.Width.Mean * k.MilliCPU.Mean / 1000 * k.Seconds.Mean
}

const (
	// smallShare of a job's worth is for any job, the rest goes by its work, up
	// to mostWorth times the mean.
	smallShare = 0.3
	mostWorth  = 4
)

func (k *JobClass) job(random *rand.Rand, number int, at time.Duration) *handIn {
	h := &handIn{kind: k, at: at}
	spec := work.Spec{Payload: fmt.Sprintf("%s %d", k.Name, number)}
	size := work.Resources{MilliCPU: int(k.MilliCPU.of(random, 50)), MemMB: int(k.MemMB.of(random, 20))}
	chain := 0.0
	for i := range int(math.Round(k.Steps.of(random, 1))) {
		base := k.Seconds.of(random, 0.05)
		step := work.Step{
			Count: int(math.Round(k.Width.of(random, 1))), Resources: size,
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
			h.cores += seconds * float64(size.MilliCPU) / 1000
		}
		chain += slices.Max(times)
		h.seconds = append(h.seconds, times)
		spec.Steps = append(spec.Steps, step)
	}
	h.goal = time.Duration(k.Stretch*chain*float64(time.Second)) + k.Slack
	h.worth = k.Worth * min(mostWorth, smallShare+(1-smallShare)*h.cores/k.usualWork())
	h.record = &work.Record{
		ID: fmt.Sprintf("%016x", number), Spec: spec,
		Queue: work.Queue{Name: k.Name, Pool: k.Pool, Priority: k.Priority, MaxAttempts: 4, Stretch: k.Stretch, Slack: k.Slack},
	}
	return h
}

// schedule draws all that is handed in on a day, in order.
func (p *Pattern) schedule(random *rand.Rand) []*handIn {
	turns := p.turnsOf(random)
	var jobs []*handIn
	const step = 10 * time.Millisecond
	number := 1
	for at := time.Duration(0); at < p.Length; at += step {
		for i := range p.Classes {
			k := &p.Classes[i]
			rate := k.Rate * p.factor(turns, k.Pool, at)
			if p.SpikeAt > 0 && at >= p.SpikeAt && at < p.SpikeAt+2*time.Second {
				rate *= p.SpikeFactor
			}
			if random.Float64() < rate*step.Seconds() {
				jobs = append(jobs, k.job(random, number, at))
				number++
			}
		}
	}
	return jobs
}

// turnsOf draws whose turn it is, turn by turn.
func (p *Pattern) turnsOf(random *rand.Rand) []string {
	if p.Bursts.Length == 0 {
		return nil
	}
	var names []string
	for _, pool := range p.Pools {
		names = append(names, pool.Name)
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var turns []string
	for i := range int(p.Length/p.Bursts.Length) + 1 {
		next := names[i%len(names)]
		switch p.Bursts.Order {
		case Random:
			for next = names[random.IntN(len(names))]; i > 0 && next == turns[i-1]; {
				next = names[random.IntN(len(names))]
			}
		case Alternating:
			next = names[i%2]
		}
		turns = append(turns, next)
	}
	return turns
}

// factor is a pool's demand at a time, against its mean.
func (p *Pattern) factor(turns []string, pool string, at time.Duration) float64 {
	if len(turns) == 0 {
		return 1
	}
	high := 0.0
	for i, name := range turns {
		if name != pool {
			continue
		}
		begin := time.Duration(i) * p.Bursts.Length
		end := begin + p.Bursts.Length
		if at >= begin && at < end+p.Bursts.Ramp {
			up := float64(at-begin) / float64(p.Bursts.Ramp)
			down := float64(end+p.Bursts.Ramp-at) / float64(p.Bursts.Ramp)
			high = max(high, min(1, up, down))
		}
	}
	return p.Bursts.Low + high*(p.Bursts.High-p.Bursts.Low)
}
