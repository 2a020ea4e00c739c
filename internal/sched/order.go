package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"auburnglade.example/glade/internal/fairshare"
)

// candidate is a step with waiting tasks, together with its rank.
type candidate struct {
	step *step
	// class ranks first; the values of different classes cannot be compared.
	class    int
	priority int
	// value ranks within a class, lowest first: for a job that can be done in time
	// the seconds that it may still wait, for others the remaining core-seconds.
	value float64
	// tag and running rank before value while not all jobs can be done in time, and
	// are zero otherwise: the start tag, and what the job's organisation runs.
	tag, running float64
	// age is how long it has been due; position is where the search found it, which
	// makes the order deterministic.
	age      time.Duration
	position int
}

func (c candidate) compare(other candidate) int {
	switch {
	case c.class != other.class:
		return cmp.Compare(c.class, other.class)
	case c.priority != other.priority:
		return cmp.Compare(c.priority, other.priority)
	case c.tag != other.tag:
		return cmp.Compare(c.tag, other.tag)
	case c.running != other.running:
		return cmp.Compare(c.running, other.running)
	case c.value != other.value:
		return cmp.Compare(c.value, other.value)
	case c.age != other.age:
		return cmp.Compare(other.age, c.age)
	}
	return cmp.Compare(c.position, other.position)
}

const (
	classLongRunning = iota
	// classAtRisk is for late work that will soon be worth nothing.
	classAtRisk
	// classInTime is for jobs that can all be done in time.
	classInTime
	classLate
	classTooLate
)

const (
	// worthlessFactor is the multiple of its goal after which a late job is worth
	// nothing.
	worthlessFactor = 3
	// atRiskWindow is how long before that a late job goes before others. Small
	// jobs go first otherwise, and a large one could wait until it is worth nothing
	// to its client.
	atRiskWindow = 900 * time.Millisecond
	// reportingMargin is reserved from a job's goal: its last end has to be
	// received and stored, and its client has to ask for the state.
	reportingMargin = 300 * time.Millisecond
	// packingShare is the part of the cores that tasks of mixed sizes can fill.
	packingShare = 0.9
	// startedFactor makes a started job count as smaller when some jobs have to
	// wait, since its finished work would be lost to its client.
	startedFactor = 0.3
)

// scheduleStarts starts the waiting tasks, ordered by class, priority and, for
// those in time, slack.
func (pl *planner) scheduleStarts() {
	if pl.claimUnconfirmed {
		return
	}
	pl.admit()
	candidates := pl.scratch.candidates[:0]
	for _, j := range pl.active {
		if j.state != "" {
			continue
		}
		for _, o := range j.occurrences {
			if !o.begun(pl.now) {
				continue
			}
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready() && pl.takeoverSettled(s) {
					c := pl.rank(s)
					c.position = len(candidates)
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

// takeoverSettled reports whether tasks of a step may start: none of them can be on
// a host that an earlier holder used and that has not answered yet, or the step
// allows speculative execution.
func (pl *planner) takeoverSettled(s *step) bool {
	return !s.occurrence.job.adopted || len(pl.unreached) == 0 || s.spec.Speculative && pl.now.Sub(pl.started) > takeoverReplyTime
}

func (pl *planner) rank(s *step) candidate {
	j := s.occurrence.job
	if s.readySince.IsZero() {
		s.readySince = pl.now
	}
	c := candidate{step: s, priority: j.record.Queue.Priority, age: pl.now.Sub(s.occurrence.due)}
	if s.spec.LongRunning {
		c.class = classLongRunning
		return c
	}
	left := s.occurrence.remaining()
	c.value = left.coreSeconds
	switch {
	case s.occurrence.tagged:
		c.class = classInTime
		c.tag, c.running = s.occurrence.startTag, j.account.Running()
		c.value = s.occurrence.slack(pl.now).Seconds()
	case s.occurrence.admitted:
		c.class = classInTime
		c.value = s.occurrence.slack(pl.now).Seconds()
	case s.occurrence.slack(pl.now) < 0 && s.occurrence.atRisk(pl.now) && !s.occurrence.postponed:
		c.class = classAtRisk
	case s.occurrence.timeUntilWorthless(pl.now) >= 0:
		c.class = classLate
	default:
		c.class = classTooLate
	}
	return c
}

// admit selects the occurrences that can all be done in time. It takes them in the
// order of their deadlines, and whenever the hosts cannot do what was taken by
// then, it drops the one with the most remaining work. That drops as few as
// possible, and large ones only when there is no room for them. Ordered by the
// least work, the largest jobs would wait longest; ordered by slack alone, each job
// would make the next one late.
func (pl *planner) admit() {
	cores := pl.coresForJobs() * packingShare
	waiting, work := pl.inTime()
	slices.SortFunc(waiting, func(a, b *applicant) int {
		return cmp.Or(cmp.Compare(a.slack+a.chain, b.slack+b.chain), cmp.Compare(a.position, b.position))
	})
	if pl.shares.Weighted() {
		pl.admitByShare(waiting, cores)
	} else {
		pl.admitLeastWork(waiting, cores, work)
	}
	pl.scratch.release()
}

// admitLeastWork drops the occurrence with the most remaining work each time.
func (pl *planner) admitLeastWork(waiting []*applicant, cores, work float64) {
	accepted := &pl.scratch.accepted
	*accepted = (*accepted)[:0]
	for _, a := range waiting {
		heap.Push(accepted, a)
		work += a.coreSeconds
		for within := a.roomWithin().Seconds(); work > cores*within && len(*accepted) > 0; {
			last := heap.Pop(accepted).(*applicant)
			last.admitted = false
			work -= last.coreSeconds
		}
	}
}

// applicant is an occurrence that can still be done in time, with the values of
// this plan, computed once for all comparisons.
type applicant struct {
	*occurrence
	// slack is how long it may still wait; slack plus chain is the time to its
	// deadline.
	slack, chain        time.Duration
	coreSeconds, weight float64
	// position is where the search found it, which makes the order deterministic.
	position int
	// atRiskNow is set for late work that will soon be worth nothing; its slack is the
	// time until then.
	atRiskNow bool
}

// inTime returns the occurrences that can still be done in time, each marked as
// admitted for now, and the remaining core-seconds of the late ones that go before
// them. Where organisations have shares, those late ones are among the returned.
func (pl *planner) inTime() (waiting []*applicant, atRisk float64) {
	found, weighted := pl.scratch.applicants[:0], pl.shares.Weighted()
	for _, j := range pl.active {
		if j.state != "" || j.record.Spec.LongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			left := o.remaining()
			slack := o.slack(pl.now)
			o.postponed, o.tagged = false, false
			if slack < 0 && o.atRisk(pl.now) {
				atRisk += left.coreSeconds
				if weighted {
					found = append(found, applicant{o, o.timeUntilWorthless(pl.now), left.chain, left.coreSeconds, o.weight(), len(found), true})
				}
			}
			if o.admitted = slack >= 0; o.admitted {
				found = append(found, applicant{o, slack, left.chain, left.coreSeconds, o.weight(), len(found), false})
			}
		}
	}
	waiting = pl.scratch.waiting[:0]
	for i := range found {
		waiting = append(waiting, &found[i])
	}
	pl.scratch.applicants, pl.scratch.waiting = found, waiting
	return waiting, atRisk
}

// scratch holds the temporary slices of a plan, which the next one reuses: in a
// demand burst there are a hundred plans a second.
type scratch struct {
	candidates []candidate
	applicants []applicant
	waiting    []*applicant
	accepted   workHeap
	selection  fairshare.Selection
}

// release clears the pointers of an admission.
func (s *scratch) release() {
	clear(s.applicants)
	clear(s.waiting)
	clear(s.accepted[:cap(s.accepted)])
}

// coresForJobs returns the cores of the hosts that take work, without those of
// long-running tasks.
func (pl *planner) coresForJobs() float64 {
	millis := 0
	for _, h := range pl.open {
		millis += h.Capacity.MilliCPU - h.longRunningUsed.MilliCPU
	}
	return float64(millis) / milli
}

// workHeap is a heap of applicants with the most remaining work on top.
type workHeap []*applicant

func (m workHeap) Len() int           { return len(m) }
func (m workHeap) Less(i, j int) bool { return m[i].weight > m[j].weight }
func (m workHeap) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *workHeap) Push(a any)        { *m = append(*m, a.(*applicant)) }

func (m *workHeap) Pop() any {
	last := len(*m) - 1
	a := (*m)[last]
	*m = (*m)[:last]
	return a
}

// weight returns the remaining work of an occurrence, reduced when its job has
// started.
func (o *occurrence) weight() float64 {
	if o.job.started {
		return startedFactor * o.remaining().coreSeconds
	}
	return o.remaining().coreSeconds
}

// deadline returns when an occurrence has to be done to be in time.
func (o *occurrence) deadline() time.Time { return o.due.Add(o.remaining().goal - reportingMargin) }

// roomWithin returns the time that the hosts have for all work up to an occurrence
// for it to be in time: its tasks have to start before its slack is over, and the
// work running then is half done on average. The time up to its deadline would
// admit too many at the start of a burst and make most of them late.
func (a *applicant) roomWithin() time.Duration { return a.slack + a.chain/2 }

// slack returns how long an occurrence may still wait and be in time.
func (o *occurrence) slack(now time.Time) time.Duration {
	return o.deadline().Sub(now) - o.remaining().chain
}

// timeUntilWorthless returns how long an occurrence may still wait before it is
// worth nothing, which it is when that is negative.
func (o *occurrence) timeUntilWorthless(now time.Time) time.Duration {
	left := o.remaining()
	return worthlessFactor*left.goal - now.Sub(o.due) - left.chain
}

// atRisk reports whether a late occurrence will soon be worth nothing.
func (o *occurrence) atRisk(now time.Time) bool {
	left := o.timeUntilWorthless(now)
	return left >= 0 && left < atRiskWindow
}

// remainingWork is the remaining work of an occurrence.
type remainingWork struct {
	// chain is the longest remaining chain of run times, coreSeconds the work in
	// core-seconds.
	chain       time.Duration
	coreSeconds float64
	// goal is the time after it was due by which it should be done.
	goal time.Duration
}

// remaining returns the remaining work, computed again after each task that is
// done.
func (o *occurrence) remaining() *remainingWork {
	if o.cachedRemaining == nil {
		o.cachedRemaining = o.computeRemaining()
	}
	return o.cachedRemaining
}

func (o *occurrence) computeRemaining() *remainingWork {
	var left remainingWork
	var longest time.Duration
	ends, allEnds := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		for _, before := range s.spec.After {
			ends[i], allEnds[i] = max(ends[i], ends[before]), max(allEnds[i], allEnds[before])
		}
		each := s.expectedRuntime()
		allEnds[i] += each
		if tasks := len(s.tasks) - s.done; tasks > 0 {
			ends[i] += each
			left.coreSeconds += float64(tasks*s.spec.Resources.MilliCPU) / milli * each.Seconds()
		}
		left.chain, longest = max(left.chain, ends[i]), max(longest, allEnds[i])
	}
	queue := &o.job.record.Queue
	left.goal = time.Duration(queue.Stretch*float64(longest)) + queue.Slack
	return &left
}
