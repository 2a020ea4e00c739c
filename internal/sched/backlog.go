package sched

import (
	"maps"
	"math"
	"slices"
	"time"
)

// backlogMaxAge is how long a summary of the unfinished work is used.
const backlogMaxAge = 100 * time.Millisecond

// backlog summarises the unfinished work of a pool, in core-seconds.
type backlog struct {
	at time.Time
	// inTime are the jobs that can still be done in time.
	inTime sizes
	// ranked is the work by the priority of its queue, first those that go first.
	ranked []rankedWork
	// atRisk is the late work that goes before all other.
	atRisk float64
	// added are the jobs that were submitted since, with negative work those that will
	// not be stored.
	added          []addedWork
	byOrganisation map[string]float64
	total          float64
	cores          float64
	// idle are the cores that no task uses although the hosts take work, unstored is
	// the work of the submitted jobs that may still take them.
	idle, unstored float64
}

// rankedWork is the unfinished work of one priority: what can still be done in time, the
// part of it that the last plan admitted, and late jobs that are still worth something.
type rankedWork struct {
	priority         int
	inTime, admitted float64
	late             sizes
}

// addedWork is the work of a job that was submitted, and its priority.
type addedWork struct {
	work     float64
	priority int
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
	b := &backlog{at: now, byOrganisation: make(map[string]float64), cores: p.listedCores(now), idle: p.idleCores(now)}
	var inTime []float64
	byPriority := make(map[int]*rankedWork)
	for _, j := range p.active {
		if j.state != "" || j.record.Spec.LongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			if o.timeUntilWorthless(now) < 0 {
				continue
			}
			left := o.remaining().coreSeconds
			rank := rankOf(byPriority, j.record.Queue.Priority)
			b.count(j.record.Organisation, left)
			if o.slack(now) >= 0 {
				inTime = append(inTime, left)
				rank.addInTime(left, o.admitted)
				continue
			}
			rank.late.each = append(rank.late.each, left)
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
		rankOf(byPriority, s.priority).addInTime(s.work, false)
		b.count(s.organisation, s.work)
	}
	b.inTime = newSizes(inTime)
	b.rank(byPriority)
	return b
}

// rank takes the work by priority.
func (b *backlog) rank(byPriority map[int]*rankedWork) {
	for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
		rank := byPriority[priority]
		rank.late = newSizes(rank.late.each)
		b.ranked = append(b.ranked, *rank)
	}
}

// add counts a job that was submitted after the summary was made, with negative work one
// that will not be stored.
func (b *backlog) add(s submittedJob, work float64) {
	if b == nil {
		return
	}
	b.added = append(b.added, addedWork{work, s.priority})
	b.count(s.organisation, work)
}

// count counts work of an organisation.
func (b *backlog) count(organisation string, work float64) {
	b.total += work
	b.byOrganisation[organisation] += work
}

// addedUpTo returns the total of the jobs submitted since that are no larger than limit.
func (b *backlog) addedUpTo(limit float64) float64 {
	sum := 0.0
	for _, a := range b.added {
		if math.Abs(a.work) <= limit {
			sum += a.work
		}
	}
	return sum
}

// ahead returns the work that goes before a job that can't be done in time: all that may
// be in time and late jobs that are no larger, of lower priorities only what is admitted.
func (b *backlog) ahead(own float64, priority int) float64 {
	sum := 0.0
	for _, rank := range b.ranked {
		if rank.priority > priority {
			sum += rank.admitted
			continue
		}
		sum += rank.inTime + rank.late.upTo(own)
	}
	for _, a := range b.added {
		if a.priority <= priority {
			sum += a.work
		}
	}
	return sum
}

// rankOf returns the work of a priority.
func rankOf(byPriority map[int]*rankedWork, priority int) *rankedWork {
	rank := byPriority[priority]
	if rank == nil {
		rank = &rankedWork{priority: priority}
		byPriority[priority] = rank
	}
	return rank
}

func (r *rankedWork) addInTime(work float64, admitted bool) {
	r.inTime += work
	if admitted {
		r.admitted += work
	}
}
