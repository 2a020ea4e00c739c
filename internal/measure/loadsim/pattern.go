package loadsim

import "time"

// Distribution is a lognormal distribution with mean Mean and standard deviation
// Spread of the logarithm, truncated at Max.
type Distribution struct{ Mean, Spread, Max float64 }

// JobClass describes the jobs of one queue.
type JobClass struct {
	Name, Pool string
	// Rate is the mean number of jobs submitted per second.
	Rate float64
	// Steps is the number of steps of a job, Width the number of tasks of a step.
	Steps, Width Distribution
	// MilliCPU and MemMB are the resources that a task requests, Seconds is its run
	// time.
	MilliCPU, MemMB, Seconds Distribution
	// RunTimeSpread is the spread of run times within a step, EstimateSpread that of
	// the client's estimate around the mean run time of the step.
	RunTimeSpread, EstimateSpread float64
	// Speculative and Checkpoints are the fractions of steps that allow speculative
	// execution and checkpoints.
	Speculative, Checkpoints float64
	Priority                 int
	Stretch                  float64
	Slack                    time.Duration
	// Worth is the credit of a job of mean size that is done in time.
	Worth float64
}

// Pool describes the hosts of a pool and the long-running jobs on them.
type Pool struct {
	Name  string
	Hosts int
	// LongRunningJobs is the number of long-running jobs, LongRunningTasks the number
	// of tasks of each. No two tasks of a job share a host.
	LongRunningJobs, LongRunningTasks int
	LongRunningMilliCPU               int
}

// Bursts describes how demand varies: one pool after the other has a demand burst.
type Bursts struct {
	// Length is the duration of a burst; zero makes demand steady.
	Length time.Duration
	// High and Low are the demand of a pool during and between its bursts, relative
	// to its mean rate.
	High, Low float64
	// Ramp is the duration of the rise and of the fall of a burst.
	Ramp time.Duration
	// Overlap is for how long a burst goes on after the next one has started.
	Overlap time.Duration
	// Order determines which pool has the next burst.
	Order Order
	// Irregular makes the lengths, heights and gaps of bursts random; some overlap.
	Irregular bool
}

// Order is the order in which pools have demand bursts.
type Order string

// The orders of demand bursts.
const (
	// Rotating repeats one random order of all pools.
	Rotating Order = "rotating"
	// Random draws any pool except the last one.
	Random Order = "random"
	// Alternating alternates between two of the pools; the others have no bursts.
	Alternating Order = "alternating"
)

// Wave requests maintenance of a fraction of the hosts.
type Wave struct {
	At, Timeout time.Duration
	Share       float64
	AtOnce      int
}

// Pattern describes a deployment and the load of a day on it.
type Pattern struct {
	Name      string
	Length    time.Duration
	Classes   []JobClass
	Pools     []Pool
	Spare     int
	HostCores int
	HostMemMB int
	RackHosts int
	Bursts    Bursts
	Wave      *Wave
	// RackOutageAt, if above zero, is the time at which a rack of the busiest pool
	// becomes unavailable for RackOutageTime and loses its runs.
	RackOutageAt, RackOutageTime time.Duration
	// SpikeAt, if above zero, is the time at which the rate of every class is
	// multiplied by SpikeFactor for two seconds.
	SpikeAt     time.Duration
	SpikeFactor float64
	// Organisations is the number of organisations that submit the jobs, none for
	// zero; Loud lists the times at which one submits more than its usual.
	Organisations int
	Loud          []Loudness
	// NoShares is set to play without the weights of organisations.
	NoShares bool
	// NoiseJobs is how many jobs of each class are submitted at once at the start,
	// NoiseLead the time from then on to the first demand.
	NoiseJobs int
	NoiseLead time.Duration
	// HostSecondCost is the cost of a host in a pool for a second, MoveCost that of
	// a move, both as fractions of the maximum credit of a day.
	HostSecondCost, MoveCost float64
}

const (
	batchTaskMB   = 2000
	urgentTaskMB  = 910
	defaultSlack  = 600 * time.Millisecond
	stretch       = 1.6
	batchWorth    = 5.63
	urgentWorth   = 0.477
	defaultLength = 34 * time.Second
)

// urgentJobs returns a class of small urgent jobs.
func urgentJobs(name, pool string, rate float64) JobClass {
	return JobClass{
		Name: name, Pool: pool, Rate: rate, Steps: Distribution{1.6, 0.4, 4}, Width: Distribution{6, 0.6, 24},
		MilliCPU: Distribution{880, 0.45, 2700}, MemMB: Distribution{urgentTaskMB, 0.6, 3 * urgentTaskMB}, Seconds: Distribution{0.64, 0.5, 1.6},
		RunTimeSpread: 0.3, EstimateSpread: 0.5, Speculative: 0.3, Stretch: stretch, Slack: defaultSlack, Worth: urgentWorth,
	}
}

// batchJobs returns a class of larger jobs with a lower priority.
func batchJobs(name, pool string, rate float64) JobClass {
	return JobClass{
		Name: name, Pool: pool, Rate: rate, Steps: Distribution{2, 0.4, 5}, Width: Distribution{8, 0.6, 32},
		MilliCPU: Distribution{1900, 0.45, 5700}, MemMB: Distribution{batchTaskMB, 0.6, 3 * batchTaskMB}, Seconds: Distribution{2.1, 0.5, 5.2},
		RunTimeSpread: 0.3, EstimateSpread: 0.9, Checkpoints: 0.8, Priority: 1, Stretch: stretch, Slack: defaultSlack, Worth: batchWorth,
	}
}

// small returns a deployment of 48 hosts in four pools and a spare pool.
func small() Pattern {
	return Pattern{
		Length: defaultLength, Spare: 8, HostCores: 16, HostMemMB: 32768, RackHosts: 4,
		Classes: []JobClass{
			urgentJobs("chapel", "p1", 10.6), batchJobs("cremation", "p2", 1.0), urgentJobs("hearse", "p3", 13.2), batchJobs("burial", "p4", 1.24),
		},
		Pools: []Pool{
			{"p1", 8, 2, 5, 1300}, {"p2", 9, 2, 5, 1500}, {"p3", 11, 2, 5, 1600}, {"p4", 12, 2, 5, 1800},
		},
		Bursts:         Bursts{Length: 8500 * time.Millisecond, High: 4, Low: 0.05, Ramp: 2 * time.Second, Order: Rotating},
		HostSecondCost: 1.12e-4, MoveCost: 1.3e-4,
	}
}

// largeUrgentJobs returns a class of small urgent jobs for large hosts.
func largeUrgentJobs(name, pool string, rate float64) JobClass {
	const taskMB = 26_000
	k := urgentJobs(name, pool, rate)
	k.Width, k.RunTimeSpread, k.EstimateSpread = Distribution{8, 0.6, 32}, 0.15, 0.9
	k.MilliCPU, k.MemMB, k.Worth = Distribution{8900, 0.45, 27_000}, Distribution{taskMB, 0.6, 3 * taskMB}, 0.27
	return k
}

// largeBatchJobs returns a class of larger jobs for large hosts.
func largeBatchJobs(name, pool string, rate float64) JobClass {
	const taskMB = 55_000
	k := batchJobs(name, pool, rate)
	k.MilliCPU, k.MemMB, k.Seconds, k.Worth = Distribution{19_000, 0.45, 58_000}, Distribution{taskMB, 0.6, 3 * taskMB}, Distribution{1.3, 0.5, 3.3}, 1.46
	return k
}

// large returns a deployment of 1,100 hosts in four pools and a spare pool. All
// pools together have three times the capacity that a demand burst needs.
func large() Pattern {
	return Pattern{
		Length: defaultLength, Spare: 177, HostCores: 64, HostMemMB: 262_144, RackHosts: 12,
		Classes: []JobClass{largeUrgentJobs("quick", "p1", 52.6), largeBatchJobs("catalogue", "p2", 10.9), largeUrgentJobs("clip", "p3", 65.7), largeBatchJobs("archive", "p4", 13.3)},
		Pools: []Pool{
			{"p1", 195, 5, 24, 9600}, {"p2", 219, 6, 24, 9600}, {"p3", 243, 7, 24, 9600}, {"p4", 266, 7, 24, 9600},
		},
		Bursts:         Bursts{Length: 8500 * time.Millisecond, High: 4, Low: 0.05, Ramp: 2 * time.Second, Order: Rotating},
		HostSecondCost: 4.9e-6, MoveCost: 5.3e-6,
	}
}

// Patterns returns all load patterns.
func Patterns() []Pattern {
	named := func(name string, change func(p *Pattern)) Pattern {
		p := small()
		p.Name = name
		change(&p)
		return p
	}
	return []Pattern{
		named("turns", func(*Pattern) {}),
		named("turns-wave", func(p *Pattern) {
			p.Wave = &Wave{At: 3400 * time.Millisecond, Timeout: 26 * time.Second, Share: 0.48, AtOnce: 10}
		}),
		named("turns-dark", func(p *Pattern) { p.RackOutageAt, p.RackOutageTime = 10*time.Second, 6*time.Second }),
		named("short-turns", func(p *Pattern) { p.Bursts.Length, p.Length = 4*time.Second, 48*time.Second }),
		named("random-turns", func(p *Pattern) { p.Bursts.Order, p.Bursts.Length, p.Length = Random, 6*time.Second, 48*time.Second }),
		named("two-by-turns", func(p *Pattern) {
			p.Bursts.Order, p.Bursts.Length, p.Length = Alternating, 5*time.Second, 40*time.Second
		}),
		named("irregular-turns", func(p *Pattern) {
			p.Bursts.Irregular, p.Bursts.Length, p.Bursts.Ramp = true, 4*time.Second, 500*time.Millisecond
			p.NoiseJobs, p.NoiseLead, p.Length = 4, 4*time.Second, 48*time.Second
		}),
		named("steady", func(p *Pattern) { p.Bursts.Length = 0 }),
		named("bursts", func(p *Pattern) { p.Bursts.Length, p.SpikeAt, p.SpikeFactor = 0, 12*time.Second, 4 }),
		named("loud", func(p *Pattern) {
			p.Organisations, p.Loud = organisations, []Loudness{{0, 8 * time.Second, 6 * time.Second, 5}}
		}),
		named("two-loud", func(p *Pattern) {
			p.Organisations, p.Loud = organisations, []Loudness{{1, 6 * time.Second, 6 * time.Second, 7}, {2, 14 * time.Second, 6 * time.Second, 7}}
		}),
		named("loud-burst", func(p *Pattern) {
			p.Bursts.Length, p.SpikeAt, p.SpikeFactor = 0, 10*time.Second, 2.5
			p.Organisations, p.Loud = organisations, []Loudness{{0, 8 * time.Second, 7 * time.Second, 6}}
		}),
		// The bursts of two pools overlap, and each needs more than its pool has.
		named("overlap", func(p *Pattern) { p.Bursts.Overlap, p.Bursts.High = 4*time.Second, 5 }),
		// Each burst leaves a backlog of late jobs behind, beside which the next one starts.
		named("backlog", func(p *Pattern) { p.Bursts.High = 7 }),
		// Two pools have bursts in turn, so that one starts on the pool that gives hosts.
		named("donor-burst", func(p *Pattern) {
			p.Bursts.Order, p.Bursts.Length, p.Bursts.Overlap, p.Bursts.High = Alternating, 4*time.Second, time.Second, 7
		}),
		// Small pools beside large ones, with the demand for their size.
		named("small-pools", func(p *Pattern) {
			p.Bursts.Overlap, p.Bursts.High = 3*time.Second, 6
			p.Pools = []Pool{{"p1", 4, 1, 2, 1300}, {"p2", 16, 2, 5, 1500}, {"p3", 4, 1, 2, 1600}, {"p4", 16, 2, 5, 1800}}
			p.Classes[0].Rate, p.Classes[2].Rate = p.Classes[0].Rate/2, p.Classes[2].Rate/2
		}),
		named("large-turns", func(p *Pattern) { *p = p.as(large()) }),
		named("large-wave", func(p *Pattern) {
			*p = p.as(large())
			p.Wave = &Wave{At: 1300 * time.Millisecond, Timeout: 24 * time.Second, Share: 0.45, AtOnce: 207}
		}),
		named("large-random", func(p *Pattern) {
			*p = p.as(large())
			p.Bursts.Order, p.Bursts.Length = Random, 6*time.Second
		}),
	}
}

// as returns other with the name of p.
func (p *Pattern) as(other Pattern) Pattern {
	other.Name = p.Name
	return other
}
