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
	// tick is the step of virtual time: the pause between two plans of a pool.
	tick = 5 * time.Millisecond
	// acceptTime is how long it takes to store what a client hands in, and
	// commitEvery the pause between two commits of what has changed.
	acceptTime  = 35 * time.Millisecond
	commitEvery = 30 * time.Millisecond
	// warmUp is how long hosts are up before the first job is handed in.
	warmUp = 5 * time.Second
	// coolDown is how long the day goes on after the last one.
	coolDown = 8 * time.Second
	// sparePool is the pool whose hosts are off and cost nothing.
	sparePool = "spare"
	// holdFor is how long holds last; nothing lapses in these days.
	holdFor = time.Hour
	// changesAtOnce is how many jobs one commit stores.
	changesAtOnce = 30
)

// epoch is when every day begins; only differences from it matter.
var epoch = time.Unix(1_700_000_000, 0)

// pool is one pool's real scheduler on simulated hosts.
type pool struct {
	name  string
	sched *sched.Pool
	// dirty: something has changed since the last plan; relist: its hosts have.
	dirty, relist bool
	roster        []string
	committed     time.Duration
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	act func()
}

// world is a day as it is played.
type world struct {
	*Pattern
	policy   Policy
	random   *rand.Rand
	now      time.Duration
	pools    map[string]*pool
	names    []string
	machines []*machine
	jobs     map[string]*handIn
	later    []event
	lives    int
	errands  map[*machine]*errand
	outTimes hostmanager.MaintenanceTimes
	figures  Figures
}

// Simulate plays one day of a pattern under a policy.
func Simulate(p Pattern, policy Policy, seed uint64) Figures {
	w := &world{
		Pattern: &p, policy: policy, random: rand.New(rand.NewPCG(seed, 2)), pools: make(map[string]*pool),
		machines: p.machines(), jobs: make(map[string]*handIn), errands: make(map[*machine]*errand), outTimes: hostmanager.NewMaintenanceTimes(), now: -warmUp,
	}
	for _, each := range p.Pools {
		w.names = append(w.names, each.Name)
		w.pools[each.Name] = &pool{name: each.Name, relist: true, sched: sched.New(sched.Config{
			Fence: 1, LeaseTTL: holdFor, StopGrace: stopTime, RemoteFactor: 1.5, StatusRetention: holdFor,
		}, sched.Roster{}, w.time())}
	}
	handIns := p.schedule(rand.New(rand.NewPCG(seed, 3)))
	for _, h := range handIns {
		w.jobs[h.record.ID] = h
	}
	w.handInLasting()
	w.markDue()
	next := 0
	for ; w.now < p.Length+coolDown; w.now += tick {
		for next < len(handIns) && handIns[next].at <= w.now {
			w.handIn(handIns[next])
			next++
		}
		w.step()
	}
	w.score(handIns)
	return w.figures
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, act func()) { w.later = append(w.later, event{w.now + d, act}) }

func (w *world) handIn(h *handIn) {
	h.record.ArrivedMs = w.time().UnixMilli()
	w.after(acceptTime, func() {
		p := w.pools[h.kind.Pool]
		p.sched.Accept(h.record, w.time(), w.time())
		p.dirty = true
	})
}

// handInLasting starts what runs all day.
func (w *world) handInLasting() {
	for i, each := range w.Pools {
		for j := range each.LongRunningJobs {
			record := &work.Record{
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

// step lets one tick pass.
func (w *world) step() {
	w.happen()
	w.comeBack()
	w.goDark()
	for _, m := range w.machines {
		w.playHost(m)
	}
	for _, name := range w.names {
		w.playPool(w.pools[name])
	}
	w.playDuty()
	if w.now >= 0 && w.now < w.Length {
		for _, m := range w.machines {
			if m.pool != sparePool {
				w.figures.HostSeconds += tick.Seconds()
			}
		}
	}
}

// happen carries out what is due, in order.
func (w *world) happen() {
	due := w.later
	w.later = nil
	for _, e := range due {
		if e.at > w.now {
			w.later = append(w.later, e)
			continue
		}
		e.act()
	}
}

// playHost lets a host work and answer the holds that its pool asks with.
func (w *world) playHost(m *machine) {
	p := w.pools[m.pool]
	if m.life == nil || p == nil {
		return
	}
	m.life.work(w.now)
	if !m.known || w.now < m.dark {
		return
	}
	since := w.now - m.life.answered
	if since < answerPause || !m.life.news && since < holdWait && !m.life.fresh() {
		return
	}
	sent := w.time().Add(-since + answerPause/2)
	hold, ok := p.sched.NextHeartbeat(m.life.id, holdWait, true, sent)
	if !ok {
		return
	}
	m.life.answered, m.life.news, m.life.asked = w.now, false, true
	p.sched.ApplyHeartbeat(m.life.id, sent, m.life.answer(hold.AckedEnd, w.now), w.time(), w.time())
	p.dirty = true
}

// playPool lets a pool see its hosts, plan, and store what has changed.
func (w *world) playPool(p *pool) {
	if p.relist {
		p.relist, p.dirty = false, true
		var list []worker.Host
		for _, m := range w.machines {
			if m.pool == p.name && m.life != nil && m.known {
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
		w.order(p, order)
	}
}

// commit stores what has changed of a pool: who is in use, and how far jobs are.
func (w *world) commit(p *pool) {
	if w.now-p.committed < commitEvery {
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
	changes := p.sched.Changes(changesAtOnce, nil)
	for _, c := range changes {
		if h := w.jobs[c.Job]; h != nil && c.Progress.State == work.Done && h.done == 0 {
			h.done = w.now
		}
	}
	p.sched.ChangesStored(changes)
}

func (w *world) machineOf(life string) *machine {
	for _, m := range w.machines {
		if m.life != nil && m.life.id == life {
			return m
		}
	}
	return nil
}

// order carries an order out and tells the pool.
func (w *world) order(p *pool, order sched.Order) {
	w.after(orderTime/2, func() {
		m := w.machineOf(order.To.ID)
		outcome := worker.Accepted
		switch {
		case m == nil || m.pool != p.name:
			outcome = worker.Gone
		case w.now < m.dark:
			outcome = worker.Unknown
		case order.Verb == sched.Start:
			w.figures.Starts++
			m.life.start(order, w.length(order.Task), w.now)
		case order.Verb == sched.Stop:
			if r := m.life.runs[order.Task]; r != nil && r.number == order.Run && !r.hasStopped {
				r.hasStopped, r.stopped = true, w.now+stopTime
				w.figures.Stops++
			}
		}
		w.after(orderTime/2, func() { w.told(p, order, outcome) })
	})
}

func (w *world) told(p *pool, order sched.Order, outcome worker.Outcome) {
	switch order.Verb {
	case sched.Start:
		p.sched.StartOutcome(order.To.ID, order.Task, order.Run, outcome, w.time(), w.time())
	case sched.Stop:
		p.sched.StopOutcome(order.To.ID, order.Task, order.Run, outcome, w.time(), w.time())
	}
	p.dirty = true
}

func (l *life) start(order sched.Order, length time.Duration, now time.Duration) {
	if r := l.runs[order.Task]; r != nil {
		return
	}
	l.runs[order.Task] = &run{name: order.Task, number: order.Run, began: now, length: length, lasting: length == 0}
}

// length is a task's true run time, zero for one that lasts.
func (w *world) length(name work.TaskName) time.Duration {
	h := w.jobs[name.Job]
	if h == nil {
		return 0
	}
	return time.Duration(h.seconds[name.Step][name.Index] * float64(time.Second))
}
