package loadsim

import "time"

// Distribution is a quantity that varies from job to job: lognormal about Mean with the
// logarithm's deviation Spread, and at most Most.
type Distribution struct{ Mean, Spread, Max float64 }

// JobClass is a queue's jobs.
type JobClass struct {
	Name, Pool string
	// Rate is the mean of jobs handed in a second.
	Rate float64
	// Steps and Width are how many steps a job has and tasks a step.
	Steps, Width Distribution
	// MilliCPU and MemMB are what a task asks for, Seconds how long it works.
	MilliCPU, MemMB, Seconds Distribution
	// RunTimeSpread is the spread of run times within a step, Off that of the client's
	// estimate about the truth.
	RunTimeSpread, EstimateSpread float64
	// Speculative and Checkpoints are the shares of steps that allow them.
	Speculative, Checkpoints float64
	Priority                 int
	Stretch                  float64
	Slack                    time.Duration
	// Worth is what a mean job earns when it is done in time.
	Worth float64
}

// Pool is some hosts and what runs on them all day.
type Pool struct {
	Name  string
	Hosts int
	// LongRunningJobs jobs of LastingTasks each, no two of one job on a host.
	LongRunningJobs, LongRunningTasks int
	LongRunningMilliCPU               int
}

// Bursts is how demand rises and falls: one pool after the other has its turn.
type Bursts struct {
	// Length of one turn; zero leaves demand steady.
	Length time.Duration
	// High and Low times its mean rate is a pool's demand in its turn and
	// between.
	High, Low float64
	// Ramp is how long a turn takes to rise, and to fall.
	Ramp time.Duration
	// Order draws whose turn is next.
	Order Order
}

// Order is how turns follow each other.
type Order string

// The orders of turns.
const (
	// Rotating: always the same drawn order.
	Rotating Order = "rotating"
	// Random: any pool but the last one.
	Random Order = "random"
	// Alternating: two of the pools by turns, the others have none.
	Alternating Order = "alternating"
)

// Wave asks for maintenance of a part of the hosts.
type Wave struct {
	At, Timeout time.Duration
	Share       float64
	AtOnce      int
}

// Pattern is a deployment and a day on it.
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
	// RackOutageAt, when above zero, is when a rack of the busiest pool goes silent
	// for DarkFor and loses what runs there.
	RackOutageAt, RackOutageTime time.Duration
	// SpikeAt, when above zero, is when each kind is handed in BurstTimes as
	// often for two seconds.
	SpikeAt     time.Duration
	SpikeFactor float64
	// HostSecondCost and Move are what a second of a host in a pool and a move
	// cost, as shares of all that a day can earn.
	HostSecondCost, MoveCost float64
}

const (
	bookTaskMB  = 2000
	holdTaskMB  = 910
	usualSlack  = 600 * time.Millisecond
	stretch     = 1.6
	bookWorth   = 5.63
	holdWorth   = 0.477
	usualLength = 34 * time.Second
)

// hold is a queue of small urgent jobs, book one of larger ones.
func hold(name, pool string, rate float64) JobClass {
	return JobClass{
		Name: name, Pool: pool, Rate: rate, Steps: Distribution{1.6, 0.4, 4}, Width: Distribution{6, 0.6, 24},
		MilliCPU: Distribution{880, 0.45, 2700}, MemMB: Distribution{holdTaskMB, 0.6, 3 * holdTaskMB}, Seconds: Distribution{0.64, 0.5, 1.6},
		RunTimeSpread: 0.3, EstimateSpread: 0.5, Speculative: 0.3, Stretch: stretch, Slack: usualSlack, Worth: holdWorth,
	}
}

func book(name, pool string, rate float64) JobClass {
	return JobClass{
		Name: name, Pool: pool, Rate: rate, Steps: Distribution{2, 0.4, 5}, Width: Distribution{8, 0.6, 32},
		MilliCPU: Distribution{1900, 0.45, 5700}, MemMB: Distribution{bookTaskMB, 0.6, 3 * bookTaskMB}, Seconds: Distribution{2.1, 0.5, 5.2},
		RunTimeSpread: 0.3, EstimateSpread: 0.9, Checkpoints: 0.8, Priority: 1, Stretch: stretch, Slack: usualSlack, Worth: bookWorth,
	}
}

// small is a deployment of 48 hosts in four pools and a spare one.
func small() Pattern {
	return Pattern{
		Length: usualLength, Spare: 8, HostCores: 16, HostMemMB: 32768, RackHosts: 4,
		Classes: []JobClass{
			hold("chapel", "p1", 10.6), book("cremation", "p2", 1.0), hold("hearse", "p3", 13.2), book("burial", "p4", 1.24),
		},
		Pools: []Pool{
			{"p1", 8, 2, 5, 1300}, {"p2", 9, 2, 5, 1500}, {"p3", 11, 2, 5, 1600}, {"p4", 12, 2, 5, 1800},
		},
		Bursts:         Bursts{Length: 8500 * time.Millisecond, High: 4, Low: 0.05, Ramp: 2 * time.Second, Order: Rotating},
		HostSecondCost: 1.12e-4, MoveCost: 1.3e-4,
	}
}

// check is hold on large hosts, scan book.
func check(name, pool string, rate float64) JobClass {
	const taskMB = 26_000
	k := hold(name, pool, rate)
	k.Width, k.RunTimeSpread, k.EstimateSpread = Distribution{8, 0.6, 32}, 0.15, 0.9
	k.MilliCPU, k.MemMB, k.Worth = Distribution{8900, 0.45, 27_000}, Distribution{taskMB, 0.6, 3 * taskMB}, 0.27
	return k
}

func scan(name, pool string, rate float64) JobClass {
	const taskMB = 55_000
	k := book(name, pool, rate)
	k.MilliCPU, k.MemMB, k.Seconds, k.Worth = Distribution{19_000, 0.45, 58_000}, Distribution{taskMB, 0.6, 3 * taskMB}, Distribution{1.3, 0.5, 3.3}, 1.46
	return k
}

// large is a deployment of 1,100 hosts in four pools and a spare one. All pools
// together have three times what a turn of demand needs.
func large() Pattern {
	return Pattern{
		Length: usualLength, Spare: 177, HostCores: 64, HostMemMB: 262_144, RackHosts: 12,
		Classes: []JobClass{check("quick", "p1", 52.6), scan("catalogue", "p2", 10.9), check("clip", "p3", 65.7), scan("archive", "p4", 13.3)},
		Pools: []Pool{
			{"p1", 195, 5, 24, 9600}, {"p2", 219, 6, 24, 9600}, {"p3", 243, 7, 24, 9600}, {"p4", 266, 7, 24, 9600},
		},
		Bursts:         Bursts{Length: 8500 * time.Millisecond, High: 4, Low: 0.05, Ramp: 2 * time.Second, Order: Rotating},
		HostSecondCost: 4.9e-6, MoveCost: 5.3e-6,
	}
}

// Patterns returns the load patterns by name.
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
		named("steady", func(p *Pattern) { p.Bursts.Length = 0 }),
		named("bursts", func(p *Pattern) { p.Bursts.Length, p.SpikeAt, p.SpikeFactor = 0, 12*time.Second, 4 }),
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

// as returns another pattern under this one's name.
func (p *Pattern) as(other Pattern) Pattern {
	other.Name = p.Name
	return other
}
