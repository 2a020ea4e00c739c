package sched

import (
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
	Throttle
)

// Order is one order to one host.
type Order struct {
	Verb Verb
	To   worker.Target
	Task work.TaskName
	Run  int
	// Percent is for Pace.
	Percent int
	// Payload, DeadlineMs, Saved and Ticket are for Start.
	Payload    string
	DeadlineMs int64
	Checkpoint string
	Ticket     string
	// Speculative: an earlier run of the task may go on beside this one.
	Speculative bool
	// Reason says why, for the log.
	Reason string
}

// AdviceRequest asks the advice service which hosts may run a step.
type AdviceRequest struct {
	Step  string
	Hosts []string
}

// Plan is what to do now.
type Plan struct {
	Orders         []Order
	AdviceRequests []AdviceRequest
}

// stopRetry is the pause between two stops of one run.
const stopRetry = 500 * time.Millisecond

// lookEvery is the pause between two looks at all runs for those to pace or to
// copy, which change over half a second: too dear for every plan of a large pool.
const lookEvery = 100 * time.Millisecond

// Plan decides what to do now and takes it as ordered.
func (p *Pool) Plan(now, wall time.Time) Plan {
	pl := &planner{Pool: p, now: now, wall: wall, refused: make(map[refusal]bool), reserved: make(map[*host]bool)}
	pl.survey()
	for _, j := range p.active {
		p.addDueOccurrences(j, now, wall)
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
	now, wall time.Time
	plan      Plan
	// open are the hosts that take new work; no host among them has more free
	// of anything than most.
	open []*host
	most work.Resources
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
	size     work.Resources
	requires string
	rack     string
}

// survey looks at every host once.
func (pl *planner) survey() {
	for _, h := range pl.hosts {
		if pl.usable(h) {
			pl.open = append(pl.open, h)
		}
	}
	pl.measure()
}

// measure finds anew what the open hosts have free at most. It is called when a
// task has found no room: all that wait for as much are then turned away without
// a look at the hosts, where each would leave a refusal of its own behind.
func (pl *planner) measure() {
	pl.most = work.Resources{}
	for _, h := range pl.open {
		free := h.free()
		pl.most = work.Resources{
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

func (pl *planner) startStep(s *step) {
	if s.of.job.state != "" {
		// Another step of the job was given up in this plan.
		return
	}
	if s.of.job.record.Queue.Advice != nil && !pl.advised(s) {
		return
	}
	if s.crashes >= crashesMost {
		if at := slices.IndexFunc(s.tasks, (*task).condemned); at >= 0 {
			pl.giveUp(s.tasks[at], pl.now, pl.wall)
			return
		}
	}
	if s.spec.Gang {
		pl.startGang(s)
		return
	}
	for _, t := range s.tasks {
		if t.done || t.run != nil || pl.now.Before(t.notBefore) {
			continue
		}
		if pl.suspicion(t, pl.now) > 0 {
			pl.startSuspect(t)
			continue
		}
		if !s.spec.LongRunning && !s.spec.Reserved().Fits(pl.most) {
			pl.displace(s)
			return
		}
		kind := refusal{s.spec.Reserved(), s.spec.Requires, s.spec.DataRack}
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

// noRoom notes that a step waits for room.
func (pl *planner) noRoom(s *step, kind refusal) {
	if s.spec.MaxPerHost == 0 && s.spec.Requires == "" && !s.spec.SameRack {
		pl.refused[kind] = true
		pl.measure()
	}
	pl.makeWay(s)
}

// makeWay sees to room for a step that waits for it. For a lasting one, the host
// where it will fit soonest takes no lesser work until then.
func (pl *planner) makeWay(s *step) {
	pl.displace(s)
	if !s.spec.LongRunning {
		return
	}
	var best *host
	for _, h := range pl.hosts {
		if pl.usable(h) && pl.allowed(s, h) && s.spec.Reserved().Fits(h.Capacity) && !pl.reserved[h] {
			if best == nil || h.free().MilliCPU > best.free().MilliCPU {
				best = h
			}
		}
	}
	if best != nil {
		pl.reserved[best] = true
	}
}

func (pl *planner) start(t *task, h *host, number int) {
	suspicion := pl.suspicion(t, pl.now)
	r := &run{
		task: t, number: number, host: h, state: starting, asked: pl.now, moved: pl.now, pace: fullPercent,
		suspect: suspicion > 0, guarded: suspicion >= strongSuspect,
	}
	t.run, t.lastRun, t.trial = r, number, 0
	t.step.waiting--
	j := t.job()
	if r.suspect {
		j.version++
	}
	if j.begun = true; j.firstStart.IsZero() {
		j.firstStart = pl.now
	}
	j.starts++
	h.put(r)
	order := Order{
		Verb: Start, To: worker.Target{ID: h.ID, Address: h.Address}, Task: t.name, Run: number,
		Payload: t.job().record.Spec.Payload, DeadlineMs: h.deadline(pl.LeaseTTL, pl.now), Checkpoint: t.saved,
		Speculative: len(t.copies) > 0,
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
		if t.run != nil || pl.now.Before(t.notBefore) || t.heldBack() {
			return
		}
		number = max(number, t.lastRun+1)
		if t.saved > saved {
			saved = t.saved
		}
	}
	if !pl.gangAnnounced(s, number) {
		return
	}
	var placed []*host
	for _, t := range s.tasks {
		h := pl.find(t)
		if h == nil {
			if pl.suspicion(t, pl.now) >= strongSuspect {
				pl.quieten(t)
			}
			break
		}
		placed = append(placed, h)
		// Counted while the others are placed, and taken back below.
		s.onHost[h]++
		h.used = h.used.Plus(s.spec.Reserved())
	}
	for _, h := range placed {
		s.leave(h)
		h.used = h.used.Minus(s.spec.Reserved())
	}
	if len(placed) < len(s.tasks) {
		return
	}
	for i, t := range s.tasks {
		t.saved = saved
		pl.start(t, placed[i], number)
	}
}
