package loadsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	// tick is the step of virtual time and the interval between two plans of a pool.
	tick = 5 * time.Millisecond
	// acceptTime is the time to store a submitted job, commitInterval the interval
	// between two commits of changes.
	acceptTime     = 35 * time.Millisecond
	commitInterval = 30 * time.Millisecond
	// warmUp is how long hosts are up before the first job is submitted.
	warmUp = 5 * time.Second
	// coolDown is how long the simulation continues after the day.
	coolDown = 8 * time.Second
	// sparePool is the pool whose hosts are switched off and have no cost.
	sparePool = "spare"
	// leaseTTL is the lease TTL, long enough that no lease expires in a simulation.
	leaseTTL = time.Hour
	// maxChangesPerCommit is the maximum number of jobs per commit.
	maxChangesPerCommit = 30
)

// epoch is the start of every day. Only differences from it matter.
var epoch = time.Unix(1_700_000_000, 0)

// pool is the production scheduler of one pool on simulated hosts.
type pool struct {
	name  string
	sched *sched.Pool
	// dirty reports whether anything has changed since the last plan, relist whether
	// the host list has.
	dirty, relist bool
	roster        []string
	committed     time.Duration
}

// event is a function to call at a time.
type event struct {
	at  time.Duration
	act func()
}

// world is the simulation of one day.
type world struct {
	*Pattern
	policy       Policy
	random       *rand.Rand
	now          time.Duration
	pools        map[string]*pool
	names        []string
	machines     []*machine
	jobs         map[string]*submission
	events       []event
	incarnations int
	operations   map[*machine]*hostOperation
	outTimes     hostmanager.MaintenanceTimes
	figures      Figures
}

// Simulate simulates one day of a pattern under a policy.
func Simulate(p Pattern, policy Policy, seed uint64) Figures {
	w := &world{
		Pattern: &p, policy: policy, random: rand.New(rand.NewPCG(seed, 2)), pools: make(map[string]*pool),
		machines: p.machines(), jobs: make(map[string]*submission), operations: make(map[*machine]*hostOperation), outTimes: hostmanager.NewMaintenanceTimes(), now: -warmUp,
	}
	for _, each := range p.Pools {
		w.names = append(w.names, each.Name)
		w.pools[each.Name] = &pool{name: each.Name, relist: true, sched: sched.New(sched.Config{
			Fence: 1, LeaseTTL: leaseTTL, StopGrace: stopTime, RemoteFactor: 1.5, StatusRetention: leaseTTL,
		}, sched.Roster{}, w.time())}
	}
	for _, each := range w.pools {
		each.sched.SetShares(p.weights())
	}
	submissions := p.schedule(rand.New(rand.NewPCG(seed, 3)))
	for _, h := range submissions {
		w.jobs[h.record.ID] = h
	}
	w.submitLongRunning()
	w.markDue()
	next := 0
	for ; w.now < p.Length+coolDown; w.now += tick {
		for next < len(submissions) && submissions[next].at <= w.now {
			w.submit(submissions[next])
			next++
		}
		w.step()
	}
	w.score(submissions)
	return w.figures
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, act func()) {
	w.events = append(w.events, event{w.now + d, act})
}

func (w *world) submit(h *submission) {
	h.record.ArrivedMs = w.time().UnixMilli()
	w.after(acceptTime, func() {
		p := w.pools[h.class.Pool]
		p.sched.Accept(h.record, w.time(), w.time())
		p.dirty = true
	})
}

// submitLongRunning submits the long-running jobs.
func (w *world) submitLongRunning() {
	for i, each := range w.Pools {
		for j := range each.LongRunningJobs {
			record := &work.JobRecord{
				ID: fmt.Sprintf("%08x%08x", i+1, j), ArrivedMs: w.time().UnixMilli(),
				Queue: work.Queue{Name: each.Name + "-lasting", Pool: each.Name, MaxAttempts: 4},
				Spec: work.Spec{Steps: []work.Step{{
					Count: each.LongRunningTasks, Resources: work.Resources{MilliCPU: each.LongRunningMilliCPU, MemMB: 4300},
					LongRunning: true, MaxPerHost: 1, MaxUnavailable: 1,
				}}},
			}
			w.after(time.Second, func() {
				w.pools[each.Name].sched.Accept(record, w.time(), w.time())
				w.pools[each.Name].dirty = true
			})
		}
	}
}

// step simulates one tick.
func (w *world) step() {
	w.runEvents()
	w.bringUpHosts()
	w.failRack()
	for _, m := range w.machines {
		w.advanceHost(m)
	}
	for _, name := range w.names {
		w.advancePool(w.pools[name])
	}
	w.runHostManager()
	if w.now >= 0 && w.now < w.Length {
		for _, m := range w.machines {
			if m.pool != sparePool {
				w.figures.HostSeconds += tick.Seconds()
			}
		}
	}
}

// runEvents runs the events that are due, in order.
func (w *world) runEvents() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at > w.now {
			w.events = append(w.events, e)
			continue
		}
		e.act()
	}
}

// advanceHost advances the runs of a host and exchanges a heartbeat with its pool
// if one is due.
func (w *world) advanceHost(m *machine) {
	p := w.pools[m.pool]
	if m.current == nil || p == nil {
		return
	}
	m.current.advance(w.now)
	if !m.inList || w.now < m.unresponsiveUntil {
		return
	}
	since := w.now - m.current.lastHeartbeat
	if since < minHeartbeatInterval || !m.current.runEnded && since < maxHeartbeatInterval && !m.current.neverContacted() {
		return
	}
	sent := w.time()
	if m.current.contacted {
		sent = sent.Add(-since + minHeartbeatInterval/2)
	}
	heartbeat, ok := p.sched.NextHeartbeat(m.current.id, maxHeartbeatInterval, sent)
	if !ok {
		return
	}
	m.current.lastHeartbeat, m.current.runEnded, m.current.contacted = w.now, false, true
	p.sched.ApplyHeartbeat(m.current.id, sent, m.current.heartbeatReply(heartbeat.AckedEnd, w.now), w.time(), w.time())
	p.dirty = true
}

// advancePool updates the host list of a pool, commits its changes, and plans.
func (w *world) advancePool(p *pool) {
	if p.relist {
		p.relist, p.dirty = false, true
		var list []worker.Host
		for _, m := range w.machines {
			if m.pool == p.name && m.current != nil && m.inList {
				list = append(list, m.host())
			}
		}
		p.sched.SetHosts(list, w.time())
	}
	if w.now%(100*time.Millisecond) == 0 {
		p.sched.Tick(w.time(), w.time())
		p.dirty = true
	}
	w.commit(p)
	if !p.dirty {
		return
	}
	p.dirty = false
	for _, order := range p.sched.Plan(w.time(), w.time()).Orders {
		w.execute(p, order)
	}
}

// commit stores the changes of a pool: the hosts in use and the progress of jobs.
func (w *world) commit(p *pool) {
	if w.now-p.committed < commitInterval {
		return
	}
	p.committed = w.now
	roster := p.sched.Roster(w.time())
	slices.Sort(roster.InUse)
	if !slices.Equal(roster.InUse, p.roster) {
		p.roster = slices.Clone(roster.InUse)
		p.sched.RosterSent(roster)
		p.sched.RosterStored(roster)
		p.dirty = true
	}
	changes := p.sched.Changes(maxChangesPerCommit, nil)
	for _, c := range changes {
		if h := w.jobs[c.Job]; h != nil && c.Progress.State == work.Done && h.done == 0 {
			h.done = w.now
		}
	}
	p.sched.ChangesStored(changes)
}

func (w *world) machineOf(id string) *machine {
	for _, m := range w.machines {
		if m.current != nil && m.current.id == id {
			return m
		}
	}
	return nil
}

// execute executes a start or stop call and reports its outcome to the pool.
func (w *world) execute(p *pool, order sched.Order) {
	w.after(workerCallTime/2, func() {
		m := w.machineOf(order.To.ID)
		outcome := worker.Accepted
		switch {
		case m == nil || m.pool != p.name:
			outcome = worker.Gone
		case w.now < m.unresponsiveUntil:
			outcome = worker.Unknown
		case order.Verb == sched.Start:
			w.figures.Starts++
			m.current.start(order, w.length(order.Task), w.now)
		case order.Verb == sched.Stop:
			if r := m.current.runs[order.Task]; r != nil && r.number == order.Run && !r.stopping {
				r.stopping, r.stopsAt = true, w.now+stopTime
				w.figures.Stops++
			}
		}
		w.after(workerCallTime/2, func() { w.reportOutcome(p, order, outcome) })
	})
}

func (w *world) reportOutcome(p *pool, order sched.Order, outcome worker.Outcome) {
	switch order.Verb {
	case sched.Start:
		p.sched.StartOutcome(order.To, order.Task, order.Run, outcome, w.time(), w.time())
	case sched.Stop:
		p.sched.StopOutcome(order.To, order.Task, order.Run, outcome, w.time(), w.time())
	}
	p.dirty = true
}

func (l *incarnation) start(order sched.Order, length time.Duration, now time.Duration) {
	if r := l.runs[order.Task]; r != nil {
		return
	}
	l.runs[order.Task] = &run{name: order.Task, number: order.Run, began: now, length: length, longRunning: length == 0}
}

// length returns the actual run time of a task, zero for a long-running one.
func (w *world) length(name work.TaskName) time.Duration {
	h := w.jobs[name.Job]
	if h == nil {
		return 0
	}
	return time.Duration(h.seconds[name.Step][name.Index] * float64(time.Second))
}
