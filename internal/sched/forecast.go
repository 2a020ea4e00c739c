package sched

import (
	"math"
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Forecast estimates what would become of a job that is submitted now. It answers the
// load of a pool that is handed more than it can do.
type Forecast struct {
	// Known is false while the pool knows too little to judge: shortly after a
	// takeover, and for jobs without an objective or with one that they can't come near
	// even on an empty pool.
	Known bool
	// InTime reports whether the job can be done within its objective, Worthwhile
	// whether it can be done before it is worth nothing.
	InTime, Worthwhile bool
	// Own is the job's work and Ahead the work that goes before it, in core-seconds.
	Own, Ahead float64
	// Cores is the capacity for jobs of the hosts that are listed.
	Cores float64
	// RoomIn is how long the pool needs for the work that is too much, at least.
	RoomIn time.Duration
	// OrganisationWork is the unfinished work of the job's organisation, TotalWork
	// that of all organisations, in core-seconds.
	OrganisationWork, TotalWork float64
	// Age is how old the estimate of the unfinished work is.
	Age time.Duration
}

const (
	// forecastMargin times what the hosts can do until then must be ahead of a job
	// for it to count as impossible: run times may be half of what is expected, and
	// as many hosts again may be on their way.
	forecastMargin = 2
	// backlogMaxAge is how long a summary of the unfinished work is used.
	backlogMaxAge = 100 * time.Millisecond
)

// backlog summarises the unfinished work of a pool, in core-seconds.
type backlog struct {
	at time.Time
	// inTime are the jobs that can still be done in time, late those that can't and
	// are still worth something.
	inTime, late sizes
	// atRisk is the late work that goes before all other.
	atRisk float64
	// added are the jobs that were submitted since, with negative work those that will
	// not be stored.
	added          []float64
	byOrganisation map[string]float64
	total          float64
	cores          float64
	// idle are the cores that no task uses although the hosts take work, unstored is
	// the work of the submitted jobs that may still take them.
	idle, unstored float64
}

// sizes holds the sizes of jobs in ascending order, with the sums up to each.
type sizes struct{ each, sums []float64 }

func newSizes(each []float64) sizes {
	slices.Sort(each)
	sums := make([]float64, len(each))
	sum := 0.0
	for i, size := range each {
		sum += size
		sums[i] = sum
	}
	return sizes{each, sums}
}

// upTo returns the total of the jobs that are no larger than limit.
func (s sizes) upTo(limit float64) float64 {
	after, _ := slices.BinarySearchFunc(s.each, limit, func(size, limit float64) int {
		if size <= limit {
			return -1
		}
		return 1
	})
	if after == 0 {
		return 0
	}
	return s.sums[after-1]
}

func (s sizes) total() float64 {
	if len(s.sums) == 0 {
		return 0
	}
	return s.sums[len(s.sums)-1]
}

// Forecast estimates what would become of a job that its client first submitted at
// arrived.
func (p *Pool) Forecast(record *work.JobRecord, arrived, now time.Time) Forecast {
	if record.Spec.LongRunning() || record.Spec.Repeats > 0 || now.Sub(p.started) < warmupPeriod {
		return Forecast{}
	}
	needs := p.needsOf(record)
	if worthlessFactor*needs.goal < needs.chain {
		return Forecast{}
	}
	b := p.currentBacklog(now)
	waited := now.Sub(arrived)
	f := Forecast{
		Known: true, Own: needs.coreSeconds, Cores: b.cores, Age: now.Sub(b.at),
		OrganisationWork: b.byOrganisation[record.Organisation], TotalWork: b.total,
	}
	slack := needs.goal - reportingMargin - needs.chain - waited
	before := b.inTime.upTo(f.Own) + b.addedUpTo(f.Own) + b.atRisk
	f.InTime = slack >= 0 && before+f.Own <= b.capacityWithin(slack+needs.chain/2)
	f.Ahead = b.inTime.total() + b.late.upTo(f.Own) + b.addedUpTo(math.MaxFloat64)
	left := worthlessFactor*needs.goal - needs.chain - waited
	room := left + needs.chain/2
	f.Worthwhile = f.InTime || left >= 0 && (f.Ahead+f.Own <= b.capacityWithin(room) || b.fitsIdle(f.Own, room))
	if excess := f.Ahead + f.Own - b.capacityWithin(room); excess > 0 && b.cores > 0 {
		f.RoomIn = seconds(excess / b.cores)
	}
	return f
}

// capacityWithin returns the core-seconds that the hosts can do at the most.
func (b *backlog) capacityWithin(d time.Duration) float64 {
	return forecastMargin * b.cores * max(0, d).Seconds()
}

// fitsIdle reports whether a job can be done on idle hosts. What waits while hosts are
// idle can't use them, for instance for its organisation's limit, and goes before nothing.
func (b *backlog) fitsIdle(own float64, within time.Duration) bool {
	if b.idle <= (1-packingShare)*b.cores {
		return false
	}
	before := b.unstored + b.addedUpTo(math.MaxFloat64)
	return before+own <= forecastMargin*b.idle*within.Seconds()
}

// currentBacklog returns a summary of the unfinished work that is no older than
// backlogMaxAge.
func (p *Pool) currentBacklog(now time.Time) *backlog {
	if p.backlog == nil || now.Sub(p.backlog.at) > backlogMaxAge {
		p.backlog = p.summariseBacklog(now)
	}
	return p.backlog
}

// forgetBacklog drops a summary that is too old for use. While nothing is forecast, it
// would go on growing with each submitted job.
func (p *Pool) forgetBacklog(now time.Time) {
	if p.backlog != nil && now.Sub(p.backlog.at) > backlogMaxAge {
		p.backlog = nil
	}
}

func (p *Pool) summariseBacklog(now time.Time) *backlog {
	b := &backlog{at: now, byOrganisation: make(map[string]float64), cores: p.listedCores(), idle: p.idleCores(now)}
	var inTime, late []float64
	for _, j := range p.active {
		if j.state != "" || j.record.Spec.LongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			if o.timeUntilWorthless(now) < 0 {
				continue
			}
			left := o.remaining().coreSeconds
			b.total += left
			b.byOrganisation[j.record.Organisation] += left
			if o.slack(now) >= 0 {
				inTime = append(inTime, left)
				continue
			}
			late = append(late, left)
			if o.atRisk(now) {
				b.atRisk += left
			}
		}
	}
	for _, s := range p.submitted {
		if s.dropped {
			continue
		}
		b.unstored += s.work
		inTime = append(inTime, s.work)
		b.total += s.work
		b.byOrganisation[s.organisation] += s.work
	}
	b.inTime, b.late = newSizes(inTime), newSizes(late)
	return b
}

// add counts a job that was submitted after the summary was made, with negative work one
// that will not be stored.
func (b *backlog) add(work float64, organisation string) {
	if b == nil {
		return
	}
	b.added = append(b.added, work)
	b.total += work
	b.byOrganisation[organisation] += work
}

// addedUpTo returns the total of the jobs submitted since that are no larger than limit.
func (b *backlog) addedUpTo(limit float64) float64 {
	sum := 0.0
	for _, work := range b.added {
		if math.Abs(work) <= limit {
			sum += work
		}
	}
	return sum
}

// listedCores returns the cores for jobs of all hosts that are listed and stay. Hosts
// that don't respond yet count, since most of them have just been moved to the pool.
func (p *Pool) listedCores() float64 {
	millis := 0
	for _, h := range p.hosts {
		if h.listed && !h.Draining && !h.unschedulable {
			millis += max(0, h.Capacity.MilliCPU-h.longRunningCPU)
		}
	}
	return float64(millis) / milli
}

// idleCores returns the cores that are free on the hosts that take work, of each host no
// greater a part than of its memory.
func (p *Pool) idleCores(now time.Time) float64 {
	idle := 0.0
	for _, h := range p.hosts {
		if p.unusable(h, now) != "" {
			continue
		}
		free := h.free()
		part := float64(free.MilliCPU) / float64(max(1, h.Capacity.MilliCPU))
		if h.Capacity.MemMB > 0 {
			part = min(part, float64(free.MemMB)/float64(h.Capacity.MemMB))
		}
		idle += max(0, part) * float64(h.Capacity.MilliCPU)
	}
	return idle / milli
}

// needsOf returns the expected work of a job that has not started.
func (p *Pool) needsOf(record *work.JobRecord) remainingWork {
	var needs remainingWork
	model := p.runtimesOf(record.Queue.Name)
	ends := make([]time.Duration, len(record.Spec.Steps))
	for i := range record.Spec.Steps {
		s := &record.Spec.Steps[i]
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		each := model.estimate(s.Estimate)
		ends[i] += each
		needs.coreSeconds += float64(s.Count*s.Resources.MilliCPU) / milli * each.Seconds()
		needs.chain = max(needs.chain, ends[i])
	}
	needs.goal = time.Duration(record.Queue.Stretch*float64(needs.chain)) + record.Queue.Slack
	return needs
}
