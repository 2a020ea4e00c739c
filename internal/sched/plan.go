package sched

import (
	"cmp"
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Verb is what an order asks of a host.
type Verb int

// The verbs of orders.
const (
	Start Verb = iota
	Stop
	Pace
)

// Order is one order to one host.
type Order struct {
	Verb Verb
	To   worker.Target
	Task work.TaskName
	Run  int
	// Percent is for Pace.
	Percent int
	// Text, DeadlineMs, Saved and Ticket are for Start.
	Text       string
	DeadlineMs int64
	Saved      string
	Ticket     string
	// Copy: an earlier run of the task may go on beside this one.
	Copy bool
	// Reason says why, for the log.
	Reason string
}

// Question asks the advice service which hosts may run a step.
type Question struct {
	Step  string
	Hosts []string
}

// Plan is what to do now.
type Plan struct {
	Orders    []Order
	Questions []Question
}

// stopRetry is the pause between two stops of one run.
const stopRetry = 500 * time.Millisecond

// lookEvery is the pause between two looks at all runs for those to pace or to
// copy, which change over half a second. In every plan they took more than half
// of its time at 250 hosts.
const lookEvery = 100 * time.Millisecond

// Plan decides what to do now and takes it as ordered.
func (p *Pool) Plan(now, wall time.Time) Plan {
	pl := &planner{Pool: p, now: now, refused: make(map[refusal]bool), reserved: make(map[*host]bool)}
	pl.survey()
	for _, j := range p.active {
		p.unfold(j, now, wall)
		pl.least = max(pl.least, j.record.Queue.Priority)
	}
	if now.Sub(p.looked) >= lookEvery {
		p.looked = now
		pl.paces()
		pl.copies()
	}
	pl.evacuate()
	pl.starts()
	pl.sendStops()
	return pl.plan
}

type planner struct {
	*Pool
	now  time.Time
	plan Plan
	// open are the hosts that take new work; no host among them has more free
	// of anything than most.
	open []*host
	most work.Size
	// refused remembers which kinds of task found no room in this plan.
	refused map[refusal]bool
	// least is the least urgent priority of all jobs: nothing makes room for
	// work of that one.
	least int
	// reserved hosts are kept for lasting tasks that wait for room.
	reserved map[*host]bool
}

// refusal is a kind of task that has no room.
type refusal struct {
	size     work.Size
	requires string
	rack     string
}

// survey looks at every host once.
func (pl *planner) survey() {
	for _, h := range pl.hosts {
		if !pl.usable(h) {
			continue
		}
		pl.open = append(pl.open, h)
		free := h.free()
		pl.most = work.Size{
			MilliCPU: max(pl.most.MilliCPU, free.MilliCPU), MemMB: max(pl.most.MemMB, free.MemMB), GPU: max(pl.most.GPU, free.GPU),
		}
	}
}

// sendStops sends the stops that are due.
func (pl *planner) sendStops() {
	if pl.stops == 0 {
		return
	}
	for _, h := range pl.hosts {
		for _, r := range h.runs {
			if r.state != stopping || pl.now.Sub(r.stopSent) < stopRetry {
				continue
			}
			r.stopSent = pl.now
			pl.plan.Orders = append(pl.plan.Orders, Order{
				Verb: Stop, To: worker.Target{ID: h.ID, Address: h.Address}, Task: r.task.name, Run: r.number, Reason: r.reason,
			})
		}
	}
}

// candidate is a step with tasks that wait, and its rank.
type candidate struct {
	step *step
	// class orders what can't be compared: lasting tasks, jobs that can make
	// their goal, the rest.
	class    int
	priority int
	// value is the rest of the job's work in core-seconds: the less, the
	// sooner it is worth something.
	value   float64
	arrived time.Time
}

const (
	classLasting = iota
	// classAtRisk is late work that will soon be worth nothing.
	classAtRisk
	classInTime
	classLate
	classTooLate
)

func (pl *planner) starts() {
	var candidates []candidate
	for _, j := range pl.active {
		if j.state != "" {
			continue
		}
		for _, o := range j.times {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready() && pl.settled(s) {
					candidates = append(candidates, pl.rank(s))
				}
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.value, b.value), a.arrived.Compare(b.arrived))
	})
	for _, c := range candidates {
		pl.startStep(c.step)
	}
}

// settled reports whether tasks of a step may start: none of them can be on a
// host that an earlier holder used and that we haven't heard yet, or copies of
// them may run.
func (pl *planner) settled(s *step) bool {
	return !s.of.job.adopted || len(pl.unreached) == 0 || s.spec.Copies && pl.now.Sub(pl.started) > firstAnswers
}

func (pl *planner) rank(s *step) candidate {
	j := s.of.job
	if s.since.IsZero() {
		s.since = pl.now
	}
	c := candidate{step: s, priority: j.record.Queue.Priority, arrived: s.of.due}
	if s.spec.Lasting {
		c.class = classLasting
		return c
	}
	chain, rest := s.of.remaining()
	c.value = rest
	switch left := s.of.worthLeft(pl.now); {
	case pl.now.Sub(s.of.due)+chain <= j.goal:
		c.class = classInTime
	case left >= 0 && left < riskWithin:
		c.class = classAtRisk
	case left >= 0:
		c.class = classLate
	default:
		c.class = classTooLate
	}
	return c
}

const (
	// lateFactor times the goal is until when a late job is worth something.
	lateFactor = 3
	// riskWithin is how long before that a late job goes before others. Small
	// jobs come first otherwise, and a large one could wait until it has
	// failed its client.
	riskWithin = 900 * time.Millisecond
)

// worthLeft is how long an occurrence may still wait before its end is too late
// to be worth anything; it is too late already when that is negative.
func (o *occurrence) worthLeft(now time.Time) time.Duration {
	chain, _ := o.remaining()
	return lateFactor*o.job.goal - now.Sub(o.due) - chain
}

// remainder is the longest chain and the work in core-seconds that are left.
type remainder struct {
	chain time.Duration
	rest  float64
}

func (o *occurrence) remaining() (chain time.Duration, rest float64) {
	if o.left == nil {
		o.left = o.reckon()
	}
	return o.left.chain, o.left.rest
}

func (o *occurrence) reckon() *remainder {
	var left remainder
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		for _, before := range s.spec.After {
			ends[i] = max(ends[i], ends[before])
		}
		if tasks := len(s.tasks) - s.done; tasks > 0 {
			ends[i] += s.spec.Estimate
			left.rest += float64(tasks) * float64(s.spec.Size.MilliCPU) / 1000 * s.spec.Estimate.Seconds()
		}
		left.chain = max(left.chain, ends[i])
	}
	return &left
}

func (pl *planner) startStep(s *step) {
	if s.of.job.record.Queue.Advice != nil && !pl.advised(s) {
		return
	}
	if s.spec.Gang {
		pl.startGang(s)
		return
	}
	for _, t := range s.tasks {
		if t.done || t.run != nil || pl.now.Before(t.notBefore) {
			continue
		}
		kind := refusal{s.spec.Counted(), s.spec.Requires, s.spec.DataRack}
		if pl.refused[kind] {
			return
		}
		h := pl.find(t)
		if h == nil {
			pl.noRoom(s, kind)
			return
		}
		pl.start(t, h, t.lastRun+1)
	}
}

// noRoom notes that a step waits for room. For a lasting one, the host where
// it will fit soonest takes no lesser work until then.
func (pl *planner) noRoom(s *step, kind refusal) {
	if s.spec.MostPerWorker == 0 && s.spec.Requires == "" && !s.spec.SameRack {
		pl.refused[kind] = true
	}
	pl.displace(s)
	if !s.spec.Lasting {
		return
	}
	var best *host
	for _, h := range pl.hosts {
		if pl.usable(h) && pl.allowed(s, h) && s.spec.Counted().Fits(h.Capacity) && !pl.reserved[h] {
			if best == nil || h.free().MilliCPU > best.free().MilliCPU {
				best = h
			}
		}
	}
	if best != nil {
		pl.reserved[best] = true
	}
}

// usable reports whether a host takes new work at all.
func (pl *planner) usable(h *host) bool { return pl.unusable(h, pl.now) == "" }

// unusable says what keeps a host from new work, or nothing.
func (p *Pool) unusable(h *host, now time.Time) string {
	switch {
	case !h.listed:
		return "not listed"
	case !h.reached || h.silent(now):
		return "silent"
	case !p.roster[h.ID]:
		return "not stored as in use"
	case h.Leaving:
		return "leaving"
	case h.closed:
		return "closed"
	case h.strays > 0:
		return "runs what isn't known"
	case now.Before(h.rested):
		return "rests after a refusal"
	case now.Before(h.health.until):
		return "in quarantine"
	case h.onTrial():
		return "has to prove itself"
	}
	return ""
}

// allowed reports whether a step's constraints let a task run on a host.
func (pl *planner) allowed(s *step, h *host) bool {
	if s.spec.Requires != "" && !h.Has(s.spec.Requires) {
		return false
	}
	if s.spec.MostPerWorker > 0 && s.onHost[h] >= s.spec.MostPerWorker {
		return false
	}
	return s.of.job.record.Queue.Advice == nil || s.advice.ticket(h.ID, pl.now) != ""
}

// leave takes one run of the step off a host.
func (s *step) leave(h *host) {
	if s.onHost[h]--; s.onHost[h] <= 0 {
		delete(s.onHost, h)
	}
}

func (s *step) onRack(rack string) int {
	count := 0
	for h, runs := range s.onHost {
		if h.Rack == rack {
			count += runs
		}
	}
	return count
}

// find picks the host for a task, or nil.
func (pl *planner) find(t *task) *host {
	s := t.step
	size := s.spec.Counted()
	if !size.Fits(pl.most) {
		return nil
	}
	var best *host
	var bestScore float64
	for _, h := range pl.open {
		if h.onTrial() || !size.Fits(h.free()) || !pl.allowed(s, h) || h.runs[t.name] != nil {
			continue
		}
		if pl.reserved[h] && !s.spec.Lasting || h.promised.keepsOut(s, pl.now) {
			continue
		}
		score, ok := pl.score(s, h)
		if ok && (best == nil || score < bestScore || score == bestScore && h.ID < best.ID) {
			best, bestScore = h, score
		}
	}
	return best
}

const (
	// rackWeight makes a lasting step's spread over racks count more than its
	// spread over hosts, and that more than the fit.
	rackWeight = 1000
	hostWeight = 100
	// dueWeight puts any other host before one that is due for maintenance.
	dueWeight = 100_000
	// farWeight puts any host near the data before any other.
	farWeight = 10_000
)

// score says how well a host suits a step; less is better. ok is false when it
// is better to wait.
func (pl *planner) score(s *step, h *host) (score float64, ok bool) {
	if s.spec.DataRack != "" && h.Rack != s.spec.DataRack {
		if !pl.goFar(s) {
			return 0, false
		}
		score += farWeight
	}
	left := float64(h.free().MilliCPU-s.spec.Counted().MilliCPU) / float64(max(1, h.Capacity.MilliCPU))
	if s.spec.Lasting {
		// One rack that goes dark should take few of a step's tasks along.
		score += rackWeight*float64(s.onRack(h.Rack)) + hostWeight*float64(s.onHost[h])
		if pl.now.Before(h.due) {
			score += dueWeight
		}
		return score - left, true
	}
	if s.spec.SameRack {
		score -= rackWeight * float64(s.onRack(h.Rack))
	}
	// The fullest host that has room keeps the others whole for large tasks.
	return score + left, true
}

// goFar reports whether a task should run away from its data rather than wait
// on. Away it takes longer by the far factor.
func (pl *planner) goFar(s *step) bool {
	extra := time.Duration(float64(s.spec.Estimate) * max(0, pl.FarFactor-1))
	return pl.now.Sub(s.since) > min(extra, longestNearWait)
}

// longestNearWait bounds the wait for a host near the data: a task whose turn
// has come may not wait for three seconds while there is room.
const longestNearWait = time.Second

func (pl *planner) start(t *task, h *host, number int) {
	r := &run{task: t, number: number, host: h, state: starting, asked: pl.now, moved: pl.now, pace: atWork}
	t.run, t.lastRun = r, number
	t.step.waiting--
	j := t.job()
	if j.begun = true; j.firstStart.IsZero() {
		j.firstStart = pl.now
	}
	j.starts++
	t.step.onHost[h]++
	h.runs[t.name] = r
	h.used = h.used.Plus(t.step.spec.Counted())
	order := Order{
		Verb: Start, To: worker.Target{ID: h.ID, Address: h.Address}, Task: t.name, Run: number,
		Text: t.job().record.Spec.Text, DeadlineMs: h.deadline(pl.HoldFor, pl.now), Saved: t.saved,
		Copy: len(t.copies) > 0,
	}
	if t.step.advice != nil {
		order.Ticket = t.step.advice.ticket(h.ID, pl.now)
	}
	pl.plan.Orders = append(pl.plan.Orders, order)
}

// startGang starts all members of a gang, or none.
func (pl *planner) startGang(s *step) {
	number := 0
	saved := ""
	for _, t := range s.tasks {
		if t.run != nil || pl.now.Before(t.notBefore) {
			return
		}
		number = max(number, t.lastRun+1)
		if t.saved > saved {
			saved = t.saved
		}
	}
	var placed []*host
	for _, t := range s.tasks {
		h := pl.find(t)
		if h == nil {
			break
		}
		placed = append(placed, h)
		// Counted while the others are placed, and taken back below.
		s.onHost[h]++
		h.used = h.used.Plus(s.spec.Counted())
	}
	for _, h := range placed {
		s.leave(h)
		h.used = h.used.Minus(s.spec.Counted())
	}
	if len(placed) < len(s.tasks) {
		return
	}
	for i, t := range s.tasks {
		t.saved = saved
		pl.start(t, placed[i], number)
	}
}
