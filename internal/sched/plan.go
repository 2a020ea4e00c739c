package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Verb is the kind of an order.
type Verb int

// The kinds of orders.
const (
	Start Verb = iota
	Stop
	Throttle
)

// Order is an order to one host.
type Order struct {
	Verb Verb
	To   worker.Target
	Task work.TaskName
	Run  int
	// Percent is the speed of a Throttle order, in percent of full speed.
	Percent int
	// Payload, DeadlineMs, Checkpoint and Ticket are for a Start order.
	Payload    string
	DeadlineMs int64
	Checkpoint string
	Ticket     string
	// Speculative is set when an earlier run of the task may execute beside this
	// one.
	Speculative bool
	// Reason is the cause of the order, for the log.
	Reason string
}

// startOverhead is what a start takes on the wire beside what its task says, in
// bytes: names, the host's address and the framing.
const startOverhead = 200

// Bytes returns about how many bytes a start takes on the wire.
func (o *Order) Bytes() int {
	return startOverhead + len(o.Payload) + len(o.Checkpoint) + len(o.Ticket)
}

// AdviceRequest asks the advice service which hosts may run a step.
type AdviceRequest struct {
	Step  string
	Hosts []string
}

// Plan holds the orders and the requests for advice to send now.
type Plan struct {
	Orders         []Order
	AdviceRequests []AdviceRequest
	// Stragglers holds what was decided about runs that take long.
	Stragglers []StragglerDecision
	// Absences holds the long-running tasks that are out of service for long, or were
	// until now.
	Absences []Absence
	// Restarts holds the starts of tasks whose last run was given up.
	Restarts []Restart
	// Runtimes and Copies hold what was measured since the last plan.
	Runtimes []RuntimeRecord
	Copies   []CopyRecord
}

// stopRetry is the pause between two stops of one run.
const stopRetry = 500 * time.Millisecond

// runScanInterval is the pause between two scans of all runs for those to throttle
// or to execute speculatively. These change within half a second, and scanning in
// every plan of a large pool costs too much.
const runScanInterval = 100 * time.Millisecond

// SetStartBytes limits the next plans: each begins no start once its starts take
// that many bytes. This answers a demand burst on a thin link: starts that fill the
// link delay the lease renewals behind them, and the leases of all hosts expire.
func (p *Pool) SetStartBytes(bytes int) { p.maxStartBytes = bytes }

// Plan decides what to do now and records its orders as sent.
func (p *Pool) Plan(now, wall time.Time) Plan {
	pl := &planner{Pool: p, now: now, wall: wall, startBytes: p.maxStartBytes, noRoomFor: make(map[taskShape]bool)}
	pl.hidden = pl.hiddenRoom()
	pl.forgetDemands()
	pl.collectOpen()
	for _, j := range p.active {
		p.addDueOccurrences(j, now, wall)
		pl.lowestPriority = max(pl.lowestPriority, j.record.Queue.Priority)
	}
	scan := now.Sub(p.lastRunScan) >= runScanInterval
	if scan {
		p.lastRunScan = now
		pl.throttleRuns()
		pl.speculate()
	}
	pl.evacuate()
	pl.scheduleStarts()
	pl.sendStops()
	if scan {
		pl.noteAbsences()
	}
	measured := p.records.take()
	pl.plan.Runtimes, pl.plan.Copies = measured.runtimes, measured.copies
	return pl.plan
}

type planner struct {
	*Pool
	now, wall time.Time
	plan      Plan
	// startBytes is how many bytes of starts may still be sent.
	startBytes int
	// open holds the hosts that take new work; none of them has more of any
	// resource free than maxFree.
	open    []*host
	maxFree work.Resources
	// available holds the open hosts and the avoided ones, nil before it is needed; none of
	// them had more of any resource free than maxAvailable then.
	available    []*host
	maxAvailable work.Resources
	// hidden bounds what runs of earlier holders use on hosts that have not answered.
	hidden work.Resources
	// noRoomFor holds the kinds of tasks that found no room in this plan.
	noRoomFor map[taskShape]bool
	// lowestPriority is the priority of the least urgent job; nothing is preempted
	// for work of that priority.
	lowestPriority int
	reserved       reservations
}

// taskShape is a kind of task that found no room: what decides which hosts it may have,
// but for what is its own.
type taskShape struct {
	resources              work.Resources
	requires, rack         string
	priority               int
	longRunning            bool
	impatient, standsStill bool
	// acceptsRemote is set if the task has waited long enough for a host near its data.
	acceptsRemote bool
}

func (pl *planner) shapeOf(t *task) taskShape {
	s := t.step
	return taskShape{
		resources: s.spec.Reserved(), requires: s.spec.Requires, rack: s.spec.DataRack, priority: s.priority(), longRunning: s.spec.LongRunning,
		impatient: pl.impatient(t), standsStill: pl.standsStill(t), acceptsRemote: s.spec.DataRack != "" && pl.acceptRemote(s),
	}
}

// hostsOfItsOwn reports whether which hosts a task may have also depends on where tasks of its
// step run, on its tickets, or on where a copy of it runs. That it finds no room says nothing
// about others of its shape.
func (t *task) hostsOfItsOwn() bool {
	s := t.step
	return s.spec.MaxPerHost > 0 || s.spec.Requires != "" || s.spec.SameRack || s.occurrence.job.record.Queue.Advice != nil || t.liveRuns > 0
}

// collectOpen collects the hosts that take new work.
func (pl *planner) collectOpen() {
	for _, h := range pl.hosts {
		if pl.usable(h) {
			pl.open = append(pl.open, h)
		}
	}
	pl.updateMaxFree()
}

// updateMaxFree recomputes the largest free amount of each resource. It is called
// when a task has found no room: all others that need as much are then skipped
// without a search of the hosts and without entries of their own in noRoomFor.
func (pl *planner) updateMaxFree() {
	pl.maxFree = work.Resources{}
	for _, h := range pl.open {
		pl.maxFree = pl.maxFree.Max(h.free())
	}
}

// sendStops orders the stops that are due.
func (pl *planner) sendStops() {
	if pl.stops == 0 {
		return
	}
	for _, h := range pl.hosts {
		for _, r := range h.runs {
			if r.state != stopping || pl.now.Sub(r.stopSentAt) < stopRetry {
				continue
			}
			r.stopSentAt = pl.now
			if r.stopsInDoubt++; r.stopsInDoubt == 1 {
				r.doubtedStopAt = pl.now
			}
			pl.plan.Orders = append(pl.plan.Orders, Order{
				Verb: Stop, To: h.target(), Task: r.task.name, Run: r.number, Reason: r.reason,
			})
		}
	}
}

func (pl *planner) startStep(s *step) {
	if s.occurrence.job.state != "" {
		// Another step of the job failed it in this plan.
		return
	}
	if s.occurrence.job.record.Queue.Advice != nil && !pl.hasTickets(s) {
		return
	}
	if s.crashes >= minProvenCrashes {
		if at := slices.IndexFunc(s.tasks, (*task).crashesHosts); at >= 0 {
			pl.failForCrashes(s.tasks[at], pl.now, pl.wall)
			return
		}
	}
	if pl.startBytes <= 0 {
		return
	}
	if s.spec.Gang {
		pl.startGang(s)
		return
	}
	for _, t := range s.tasks {
		if t.done || t.run != nil || pl.now.Before(t.notBefore) || !pl.lossConfirmed(t) {
			continue
		}
		if pl.startBytes <= 0 || !pl.withinQuota(s, 1) {
			return
		}
		if pl.suspectedCrashes(t, pl.now) > 0 {
			pl.startSuspect(t)
			continue
		}
		shape := pl.shapeOf(t)
		if !s.spec.LongRunning && !shape.impatient && !s.spec.Reserved().Fits(pl.maxFree) {
			pl.preempt(s)
			return
		}
		if pl.noRoomFor[shape] && !t.overdue(pl.now) {
			return
		}
		h := pl.find(t)
		if h == nil {
			pl.noRoom(t, shape)
			if t.liveRuns > 0 {
				continue
			}
			return
		}
		pl.start(t, h, t.lastRun+1)
	}
}

// noRoom records that a task found no room.
func (pl *planner) noRoom(t *task, shape taskShape) {
	if !t.hostsOfItsOwn() {
		pl.noRoomFor[shape] = true
		pl.updateMaxFree()
	}
	pl.reserveRoom(t.step)
}

// reserveRoom makes room for a step that waits, and reserves a host for a long-running
// one.
func (pl *planner) reserveRoom(s *step) {
	pl.preempt(s)
	if s.spec.LongRunning {
		pl.reserve(s)
	}
}

func (pl *planner) start(t *task, h *host, number int) {
	crashes := pl.suspectedCrashes(t, pl.now)
	r := &run{
		task: t, number: number, host: h, state: starting, orderedAt: pl.now, progressedAt: pl.now, speed: fullPercent, resumed: t.checkpoint != "",
		suspect: crashes > 0, isolated: crashes >= strongSuspect,
	}
	pl.noteRestart(r, t.lastRun)
	t.run, t.lastRun, t.chargedRun = r, number, 0
	t.step.waiting--
	j := t.job()
	if r.suspect {
		j.version++
	}
	if j.started = true; j.firstStart.IsZero() {
		j.firstStart = pl.now
	}
	j.starts++
	h.addRun(r)
	// Also a start that is refused extends the leases of the runs that are there.
	h.leaseSentAt = pl.now
	if !t.step.spec.LongRunning {
		j.account.CountStart()
	}
	order := Order{
		Verb: Start, To: h.target(), Task: t.name, Run: number,
		Payload: t.job().record.Spec.Payload, DeadlineMs: h.deadline(pl.leaseLeft(pl.now), pl.now), Checkpoint: t.checkpoint,
		Speculative: len(t.copies) > 0,
	}
	if t.step.advice != nil {
		order.Ticket = t.step.advice.ticket(h.ID, pl.now)
	}
	pl.startBytes -= order.Bytes()
	pl.plan.Orders = append(pl.plan.Orders, order)
}

// startGang starts all members of a gang, or none.
func (pl *planner) startGang(s *step) {
	number := 0
	checkpoint := ""
	for _, t := range s.tasks {
		if t.run != nil || pl.now.Before(t.notBefore) || t.pausedForCrashes(pl.now) || !pl.lossConfirmed(t) {
			return
		}
		number = max(number, t.lastRun+1)
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
	}
	if !pl.withinQuota(s, len(s.tasks)) || !pl.gangCrashesRecorded(s, number) {
		return
	}
	var placed []*host
	for _, t := range s.tasks {
		h := pl.find(t)
		if h == nil {
			if pl.suspectedCrashes(t, pl.now) >= strongSuspect {
				pl.reserveForSuspect(t)
			}
			break
		}
		placed = append(placed, h)
		// Counted while the others are placed, and removed below.
		s.onHost[h]++
		h.used = h.used.Plus(s.spec.Reserved())
	}
	for _, h := range placed {
		s.removeRun(h)
		h.used = h.used.Minus(s.spec.Reserved())
	}
	if len(placed) < len(s.tasks) {
		return
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		pl.start(t, placed[i], number)
	}
}
