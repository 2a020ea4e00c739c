// Package emulate plays the users' platform in memory and in virtual time:
// hosts that take orders under a fence and a hold, the service that moves and
// maintains them, and the calls between entry hosts. Everything can misbehave
// the way the platform's own parts may. A Judge watches what the hosts saw and
// says which rule was broken, so that no test rests on what the code under
// test believes.
package emulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	// answerTime is how long a host takes to answer an order.
	answerTime = 3 * time.Millisecond
	// noAnswer is how long a caller waits for a host that is silent.
	noAnswer = 900 * time.Millisecond
	// holdGrace is how much longer than its wait a caller waits for the answer
	// to a hold.
	holdGrace = 450 * time.Millisecond
	// shrunkAfter is from when on a room that has shrunk counts: it has to be told.
	shrunkAfter = 4500 * time.Millisecond
	// lateLeast and lateMost bound when a late order is carried out.
	lateLeast = 2 * time.Second
	lateMost  = 12 * time.Second
	// crashAfter is how long a task that crashes its host takes to do so, and
	// backAfter how long until the host is back with another life.
	crashAfter = 10 * time.Millisecond
	backAfter  = 3 * time.Second
	// tickEvery is how often a run's progress is worked out.
	tickEvery = 20 * time.Millisecond
)

// HostFaults is what is wrong with a host.
type HostFaults struct {
	// Unresponsive: it hears nothing and says nothing, but works on.
	Unresponsive bool
	// DelayRate of its orders gets no answer and is carried out seconds later.
	DelayRate float64
	// HeartbeatLossRate of the holds that it takes gets no answer.
	HeartbeatLossRate float64
	// DelayNext is how many of its next orders fare like that.
	DelayNext int
	// FailAll: every run that it starts fails at once.
	FailAll bool
	// Stuck: nothing on it makes progress.
	Stuck bool
	// SlowFactor times longer takes everything on it, when above 1.
	SlowFactor float64
}

// WorkersConfig is what emulated hosts go by.
type WorkersConfig struct {
	Seed        uint64
	MaxLeaseTTL time.Duration
	StopGrace   time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// Checkpoint is how much work makes a new checkpoint.
	Checkpoint time.Duration
	// Startup is how long a lasting task takes until it is at work.
	Startup time.Duration
	// RunTime is how long a task really takes; nil takes its estimate.
	RunTime func(name work.TaskName) time.Duration
	// Fails reports whether a run fails through its own fault.
	Fails func(name work.TaskName, run int) bool
	// Crashes reports whether a task crashes each host that starts it.
	Crashes func(name work.TaskName) bool
}

// Workers are the hosts of all pools. It implements worker.Orders and
// worker.HostSource.
type Workers struct {
	WorkersConfig
	Checker *Checker

	mu      sync.Mutex
	random  *rand.Rand
	hosts   map[string]*host
	next    int
	changed chan struct{}
	// crashed are the lives that crashed and whose host isn't back yet: nothing
	// listens at their addresses, and the list still shows them.
	crashed map[string]*host
	// reborn is told of a host's next life after a crash, unless nil.
	reborn func(before, after string)
}

var (
	_ worker.Client     = (*Workers)(nil)
	_ worker.HostSource = (*Workers)(nil)
)

type host struct {
	worker.Host
	// former is what it had before it shrank, which counts until formerUntil.
	former      work.Resources
	formerUntil time.Time
	behavior    HostFaults
	// clockAhead is what its clock shows at the start; rate is its speed.
	born       time.Time
	clockAhead time.Duration
	rate       float64
	fence      int64
	heldUntil  int64
	runs       map[work.TaskName]*run
	// barred is the highest run of a task that ended or was stopped here.
	barred map[work.TaskName]int
	ended  []worker.RunEnd
	number int64
	// news is closed and replaced when a run ends.
	news chan struct{}
	gone bool
	// crash: it ended by a crash, which breaks its connections.
	crash bool
}

type run struct {
	name     work.TaskName
	number   int
	began    time.Time
	length   time.Duration
	worked   time.Duration
	lasting  bool
	saves    bool
	fails    bool
	crashes  bool
	pace     int
	stopping time.Time
	text     string
	saved    string
	gang     int
}

// NewWorkers returns an empty platform of hosts.
func NewWorkers(config WorkersConfig) *Workers {
	return &Workers{
		WorkersConfig: config, Checker: NewChecker(), random: rand.New(rand.NewPCG(config.Seed, 1)),
		hosts: make(map[string]*host), changed: make(chan struct{}), crashed: make(map[string]*host),
	}
}

// Run plays the hosts until ctx ends.
func (w *Workers) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.tick()
		}
	}
}

// Add starts a host and returns its ID.
func (w *Workers) Add(pool, rack string, capacity work.Resources) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id := fmt.Sprintf("w-%03d", w.next)
	w.hosts[id] = &host{
		Host:       worker.Host{ID: id, Pool: pool, Address: id, Rack: rack, Labels: []string{"a", rack}, Capacity: capacity},
		born:       time.Now(),
		clockAhead: time.Duration(w.random.IntN(1000)) * time.Second,
		rate:       1 - 0.02*w.random.Float64(), runs: make(map[work.TaskName]*run), barred: make(map[work.TaskName]int),
		news: make(chan struct{}),
	}
	w.toldLocked()
	return id
}

// SetFaults changes what is wrong with a host.
func (w *Workers) SetFaults(id string, b HostFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[id]; h != nil {
		h.behavior = b
	}
}

// Resize changes what a host says that it has.
func (w *Workers) Resize(id string, to work.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[id]
	if h == nil {
		return
	}
	h.former, h.formerUntil = h.room(), time.Now().Add(shrunkAfter)
	h.Capacity = to
	w.toldLocked()
}

// room is what a host may be given now.
func (h *host) room() work.Resources {
	if time.Now().After(h.formerUntil) {
		return h.Capacity
	}
	return work.Resources{
		MilliCPU: max(h.Capacity.MilliCPU, h.former.MilliCPU), MemMB: max(h.Capacity.MemMB, h.former.MemMB), GPU: max(h.Capacity.GPU, h.former.GPU),
	}
}

// Kill ends a life of a host at once; everything on it is lost.
func (w *Workers) Kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[id]
	if h == nil || h.gone {
		return
	}
	w.loseLocked(h)
	w.toldLocked()
}

// StartDraining makes a host say that it leaves.
func (w *Workers) StartDraining(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[id]; h != nil {
		h.Draining = true
		w.toldLocked()
	}
}

// Running counts the runs on a host.
func (w *Workers) Running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[id]; h != nil {
		return len(h.runs)
	}
	return 0
}

// IDs lists the hosts of a pool.
func (w *Workers) IDs(pool string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, h := range w.hosts {
		if h.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Workers) toldLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// listDelay is how late the platform's list is.
const listDelay = 200 * time.Millisecond

// Watch implements worker.HostSource.
func (w *Workers) Watch(ctx context.Context, pool string, update func([]worker.Host)) {
	for ctx.Err() == nil {
		w.mu.Lock()
		var list []worker.Host
		for _, h := range w.hosts {
			if h.Pool == pool {
				list = append(list, h.Host)
			}
		}
		for _, h := range w.crashed {
			if h.Pool == pool {
				list = append(list, h.Host)
			}
		}
		changed := w.changed
		w.mu.Unlock()
		update(list)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		pause.For(ctx, listDelay)
	}
}

func (h *host) clockMs() int64 {
	return (h.clockAhead + time.Duration(float64(time.Since(h.born))*h.rate)).Milliseconds()
}

// tick lets every run work on for a while.
func (w *Workers) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		if name, ok := h.crashing(); ok {
			w.crashLocked(h, name)
			continue
		}
		for _, r := range h.runs {
			w.workLocked(h, r)
		}
	}
}

// crashing returns the task that crashes the host now, if there is one.
func (h *host) crashing() (work.TaskName, bool) {
	for name, r := range h.runs {
		if r.crashes && time.Since(r.began) >= crashAfter {
			return name, true
		}
	}
	return work.TaskName{}, false
}

// crashLocked ends a life of a host through a task. The host is back later.
func (w *Workers) crashLocked(h *host, by work.TaskName) {
	w.Checker.crashed(by, h)
	w.loseLocked(h)
	h.crash = true
	w.crashed[h.ID] = h
	time.AfterFunc(backAfter, func() {
		w.mu.Lock()
		delete(w.crashed, h.ID)
		w.mu.Unlock()
		next := w.Add(h.Pool, h.Rack, h.Capacity)
		if w.reborn != nil {
			w.reborn(h.ID, next)
		}
	})
}

// isDown reports whether a host has crashed and isn't back yet.
func (w *Workers) isDown(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed[id] != nil
}

// loseLocked ends a life of a host with all that runs on it.
func (w *Workers) loseLocked(h *host) {
	for _, r := range h.runs {
		w.Checker.ended(h.ID, r.name, r.number, "lost")
	}
	h.gone = true
	clear(h.runs)
	delete(w.hosts, h.ID)
}

func (w *Workers) workLocked(h *host, r *run) {
	now := time.Now()
	switch {
	case h.clockMs() > h.heldUntil:
		w.endLocked(h, r, work.EndExpired)
		w.endGangLocked(r, work.EndGangBroken)
		return
	case !r.stopping.IsZero() && now.After(r.stopping):
		w.endLocked(h, r, work.EndStopped)
		w.endGangLocked(r, work.EndGangBroken)
		return
	case h.behavior.Stuck:
		return
	case r.gang > 1 && w.presentLocked(r) < r.gang:
		if now.Sub(r.began) > w.GangTimeout {
			w.endLocked(h, r, work.EndGangTimeout)
		}
		return
	}
	part := float64(tickEvery) * float64(r.pace) / 100
	if h.behavior.SlowFactor > 1 {
		part /= h.behavior.SlowFactor
	}
	r.worked += time.Duration(part)
	if r.saves {
		r.saved = fmt.Sprintf("%08d", r.worked/w.Checkpoint)
	}
	switch {
	case r.fails && r.worked > r.length/2 || h.behavior.FailAll:
		w.endLocked(h, r, work.EndFailed)
		w.endGangLocked(r, work.EndGangBroken)
	case !r.lasting && r.worked >= r.length:
		w.endLocked(h, r, work.EndDone)
		w.endGangLocked(r, work.EndDone)
	}
}

// endGangLocked ends the other members of a gang of which one has ended: they
// succeed together, and any other end breaks them all.
func (w *Workers) endGangLocked(r *run, how work.EndReason) {
	if r.gang <= 1 {
		return
	}
	for _, h := range w.hosts {
		for name, other := range h.runs {
			if name.SameStep(r.name) && other.number == r.number {
				w.endLocked(h, other, how)
			}
		}
	}
}

// presentLocked counts the members of a run's gang that are there.
func (w *Workers) presentLocked(r *run) int {
	count := 0
	for _, h := range w.hosts {
		for name, other := range h.runs {
			if name.SameStep(r.name) && other.number == r.number {
				count++
			}
		}
	}
	return count
}

func (w *Workers) endLocked(h *host, r *run, how work.EndReason) {
	delete(h.runs, r.name)
	h.barred[r.name] = max(h.barred[r.name], r.number)
	h.number++
	h.ended = append(h.ended, worker.RunEnd{Number: h.number, Task: r.name, Run: r.number, Reason: how, Checkpoint: r.saved})
	w.Checker.ended(h.ID, r.name, r.number, how)
	close(h.news)
	h.news = make(chan struct{})
}
