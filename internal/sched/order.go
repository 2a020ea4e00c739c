package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// candidate is a step with tasks that wait, and its rank.
type candidate struct {
	step *step
	// class orders what can't be compared.
	class    int
	priority int
	// value orders within a class, the least first: what time a job that can
	// still be done in time may wait, in seconds, and what work others have
	// left, in core-seconds.
	value float64
	// age is for how long it has been due; place is where it was found, for an
	// order that is the same each time.
	age   time.Duration
	place int
}

func (c candidate) compare(other candidate) int {
	switch {
	case c.class != other.class:
		return cmp.Compare(c.class, other.class)
	case c.priority != other.priority:
		return cmp.Compare(c.priority, other.priority)
	case c.value != other.value:
		return cmp.Compare(c.value, other.value)
	case c.age != other.age:
		return cmp.Compare(other.age, c.age)
	}
	return cmp.Compare(c.place, other.place)
}

const (
	classLasting = iota
	// classAtRisk is late work that will soon be worth nothing.
	classAtRisk
	// classInTime are the jobs that can be done in time together.
	classInTime
	classLate
	classTooLate
)

const (
	// lateFactor times the goal is until when a late job is worth something.
	lateFactor = 3
	// riskWithin is how long before that a late job goes before others. Small
	// jobs come first otherwise, and a large one could wait until it has
	// failed its client.
	riskWithin = 900 * time.Millisecond
	// shownAfter is kept in hand of a job's goal: its last end has to be heard
	// and stored, and its client has to ask.
	shownAfter = 300 * time.Millisecond
	// fillShare is the part of the cores that tasks of all sizes fill.
	fillShare = 0.9
	// begunFactor makes a job that has begun count as smaller when some have to
	// wait: what was done of it would be lost for its client.
	begunFactor = 0.3
)

// starts orders what is to run next: by class and priority, in time by slack.
func (pl *planner) starts() {
	if pl.unconfirmed {
		return
	}
	pl.admit()
	candidates := pl.scratch.candidates[:0]
	for _, j := range pl.active {
		if j.state != "" {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready() && pl.settled(s) {
					c := pl.rank(s)
					c.place = len(candidates)
					candidates = append(candidates, c)
				}
			}
		}
	}
	slices.SortFunc(candidates, candidate.compare)
	for _, c := range candidates {
		pl.startStep(c.step)
	}
	clear(candidates)
	pl.scratch.candidates = candidates
}

// settled reports whether tasks of a step may start: none of them can be on a
// host that an earlier holder used and that we haven't heard yet, or copies of
// them may run.
func (pl *planner) settled(s *step) bool {
	return !s.of.job.adopted || len(pl.unreached) == 0 || s.spec.Speculative && pl.now.Sub(pl.started) > firstAnswers
}

func (pl *planner) rank(s *step) candidate {
	j := s.of.job
	if s.since.IsZero() {
		s.since = pl.now
	}
	c := candidate{step: s, priority: j.record.Queue.Priority, age: pl.now.Sub(s.of.due)}
	if s.spec.LongRunning {
		c.class = classLasting
		return c
	}
	left := s.of.remaining()
	c.value = left.rest
	switch {
	case s.of.admitted:
		c.class = classInTime
		c.value = s.of.slack(pl.now).Seconds()
	case s.of.slack(pl.now) < 0 && s.of.atRisk(pl.now):
		c.class = classAtRisk
	case s.of.worthLeft(pl.now) >= 0:
		c.class = classLate
	default:
		c.class = classTooLate
	}
	return c
}

// admit picks the occurrences that can all be done in time: each is taken in the
// order of its deadline, and whenever the hosts can't do what was taken by then,
// the one with the most work left is put back behind the others. That leaves out
// as few as can be, of any size while there is room for large ones. With the least
// work first the largest jobs would wait longest, and with slack first alone each
// would make the next one late.
func (pl *planner) admit() {
	cores := pl.coresForJobs() * fillShare
	waiting, work := pl.inTime()
	slices.SortFunc(waiting, func(a, b *applicant) int {
		return cmp.Or(cmp.Compare(a.slack+a.chain, b.slack+b.chain), cmp.Compare(a.place, b.place))
	})
	taken := &pl.scratch.taken
	*taken = (*taken)[:0]
	for _, a := range waiting {
		heap.Push(taken, a)
		work += a.rest
		for within := a.roomWithin().Seconds(); work > cores*within && len(*taken) > 0; {
			last := heap.Pop(taken).(*applicant)
			last.admitted = false
			work -= last.rest
		}
	}
	pl.scratch.done()
}

// applicant is an occurrence that could still be done in time, as this plan sees
// it, worked out once for all comparisons.
type applicant struct {
	*occurrence
	// slack is how long it may still wait; with its chain, its deadline follows.
	slack, chain time.Duration
	rest, weight float64
	// place is where it was found, for an order that is the same each time.
	place int
}

// inTime lists the occurrences that could still be done in time, each admitted
// for now, and returns what work late ones that go before them have left, in
// core-seconds.
func (pl *planner) inTime() (waiting []*applicant, atRisk float64) {
	made := pl.scratch.applicants[:0]
	for _, j := range pl.active {
		if j.state != "" || j.record.Spec.LongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			left := o.remaining()
			slack := o.slack(pl.now)
			if slack < 0 && o.atRisk(pl.now) {
				atRisk += left.rest
			}
			if o.admitted = slack >= 0; o.admitted {
				made = append(made, applicant{o, slack, left.chain, left.rest, o.weight(), len(made)})
			}
		}
	}
	waiting = pl.scratch.waiting[:0]
	for i := range made {
		waiting = append(waiting, &made[i])
	}
	pl.scratch.applicants, pl.scratch.waiting = made, waiting
	return waiting, atRisk
}

// scratch is what a plan needs for a moment, kept for the next one: plans follow each
// other a hundred times a second in a turn of demand.
type scratch struct {
	candidates []candidate
	applicants []applicant
	waiting    []*applicant
	taken      mostWork
}

// done lets go of what the lists of an admission point to.
func (s *scratch) done() {
	clear(s.applicants)
	clear(s.waiting)
	clear(s.taken[:cap(s.taken)])
}

// coresForJobs is what the hosts that take work have for what doesn't last.
func (pl *planner) coresForJobs() float64 {
	millis := 0
	for _, h := range pl.open {
		millis += h.Capacity.MilliCPU - h.lastingCPU
	}
	return float64(millis) / milli
}

// mostWork is a heap of applicants, that with the most work left first.
type mostWork []*applicant

func (m mostWork) Len() int           { return len(m) }
func (m mostWork) Less(i, j int) bool { return m[i].weight > m[j].weight }
func (m mostWork) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *mostWork) Push(a any)        { *m = append(*m, a.(*applicant)) }

func (m *mostWork) Pop() any {
	last := len(*m) - 1
	a := (*m)[last]
	*m = (*m)[:last]
	return a
}

// weight is the work that an occurrence has left, less where it has begun.
func (o *occurrence) weight() float64 {
	if o.job.begun {
		return begunFactor * o.remaining().rest
	}
	return o.remaining().rest
}

// deadline is when an occurrence has to be done to be in time.
func (o *occurrence) deadline() time.Time { return o.due.Add(o.remaining().goal - shownAfter) }

// roomWithin is how long the hosts have for all work up to an occurrence for it to
// be in time: its tasks have to find room by the end of its slack, and what runs
// by then is half done as a mean. All the time up to its deadline would admit too
// many at the start of a turn, and make most of them late.
func (a *applicant) roomWithin() time.Duration { return a.slack + a.chain/2 }

// slack is how long an occurrence may still wait and be in time.
func (o *occurrence) slack(now time.Time) time.Duration {
	return o.deadline().Sub(now) - o.remaining().chain
}

// worthLeft is how long an occurrence may still wait before its end is too late
// to be worth anything; it is too late already when that is negative.
func (o *occurrence) worthLeft(now time.Time) time.Duration {
	left := o.remaining()
	return lateFactor*left.goal - now.Sub(o.due) - left.chain
}

// atRisk reports whether a late occurrence will soon be worth nothing.
func (o *occurrence) atRisk(now time.Time) bool {
	worth := o.worthLeft(now)
	return worth >= 0 && worth < riskWithin
}

// remainder is what is left of an occurrence.
type remainder struct {
	// chain is the longest chain of run times that is left, rest the work in
	// core-seconds.
	chain time.Duration
	rest  float64
	// goal is when it should be done after it was due.
	goal time.Duration
}

// remaining is worked out again when a task was done.
func (o *occurrence) remaining() *remainder {
	if o.left == nil {
		o.left = o.reckon()
	}
	return o.left
}

func (o *occurrence) reckon() *remainder {
	var left remainder
	var whole time.Duration
	ends, all := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		for _, before := range s.spec.After {
			ends[i], all[i] = max(ends[i], ends[before]), max(all[i], all[before])
		}
		each := s.expected()
		all[i] += each
		if tasks := len(s.tasks) - s.done; tasks > 0 {
			ends[i] += each
			left.rest += float64(tasks*s.spec.Resources.MilliCPU) / milli * each.Seconds()
		}
		left.chain, whole = max(left.chain, ends[i]), max(whole, all[i])
	}
	queue := &o.job.record.Queue
	left.goal = time.Duration(queue.Stretch*float64(whole)) + queue.Slack
	return &left
}
