// Package emulate is an in-memory platform for tests in virtual time: hosts that
// run tasks under fencing tokens and leases, the service that moves and maintains
// the hosts, and the network between entry hosts. Faults of each part can be
// injected. A Checker observes the calls that the hosts execute and records rule
// violations, so that tests don't depend on the state of the code under test.
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
	// callLatency is the latency of a call to a host.
	callLatency = 3 * time.Millisecond
	// callTimeout is the time after which a call to an unresponsive host times out.
	callTimeout = 900 * time.Millisecond
	// heartbeatGrace is added to the wait of a heartbeat to give its timeout.
	heartbeatGrace = 450 * time.Millisecond
	// shrinkDelay is the time after which a reduced capacity is enforced: the pool
	// manager has to learn of it first.
	shrinkDelay = 4500 * time.Millisecond
	// minCallDelay and maxCallDelay bound the delay of a delayed call.
	minCallDelay = 2 * time.Second
	maxCallDelay = 12 * time.Second
	// crashDelay is the time from the start of a crashing task to the crash of its
	// host, and restartDelay the time until the host's next incarnation is up.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 3 * time.Second
	// tickInterval is the interval at which the progress of runs is updated.
	tickInterval = 20 * time.Millisecond
)

// HostFaults are the faults to inject into a host.
type HostFaults struct {
	// Unresponsive makes the host ignore all calls while its runs continue.
	Unresponsive bool
	// DelayRate is the fraction of start and stop calls that get no response and
	// are executed seconds later.
	DelayRate float64
	// HeartbeatLossRate is the fraction of heartbeats whose reply is lost.
	HeartbeatLossRate float64
	// DelayNext is the number of upcoming calls that are delayed as by DelayRate.
	DelayNext int
	// FailAll makes every run fail immediately.
	FailAll bool
	// Stalled stops the progress of all runs.
	Stalled bool
	// SlowFactor is the factor by which runs take longer, if above 1.
	SlowFactor float64
}

// WorkersConfig configures emulated hosts.
type WorkersConfig struct {
	Seed        uint64
	MaxLeaseTTL time.Duration
	StopGrace   time.Duration
	// GangTimeout is how long a member of a gang waits for the other members.
	GangTimeout time.Duration
	// Checkpoint is the work time between two checkpoints.
	Checkpoint time.Duration
	// Startup is the startup time of a long-running task.
	Startup time.Duration
	// RunTime returns the actual run time of a task. If nil, the estimate is used.
	RunTime func(name work.TaskName) time.Duration
	// Fails reports whether a run fails because of its task.
	Fails func(name work.TaskName, run int) bool
	// Crashes reports whether a task crashes each host that starts it.
	Crashes func(name work.TaskName) bool
	// KeepsID reports whether a crashed host restarts under its ID, nil for never.
	KeepsID func(id string) bool
}

// Workers emulates the hosts of all pools. It implements worker.Client and
// worker.HostSource.
type Workers struct {
	WorkersConfig
	Checker *Checker

	mu      sync.Mutex
	random  *rand.Rand
	hosts   map[string]*host
	next    int
	changed chan struct{}
	// crashed are the crashed incarnations whose host isn't back yet: connections
	// to their addresses fail, but the host list still contains them.
	crashed map[string]*host
	// lost are the incarnations of hosts that are gone for good.
	lost map[string]*lostHost
	// onRestart, if not nil, is called when a crashed host is back, with the IDs of
	// the previous and the new incarnation.
	onRestart func(before, after string)
	// onTick, if not nil, is called after each tick.
	onTick func()
}

var (
	_ worker.Client     = (*Workers)(nil)
	_ worker.HostSource = (*Workers)(nil)
)

type host struct {
	worker.Host
	// previousCapacity is the capacity before the last resize, which is allowed
	// until previousUntil.
	previousCapacity work.Resources
	previousUntil    time.Time
	faults           HostFaults
	// clockOffset is the reading of the host's clock at the start; clockRate is its
	// speed relative to real time.
	born        time.Time
	clockOffset time.Duration
	clockRate   float64
	fence       int64
	leaseUntil  int64
	runs        map[work.TaskName]*run
	// maxEndedRun is the highest run number of each task that has ended or been
	// stopped on this host; runs up to it aren't started again.
	maxEndedRun map[work.TaskName]int
	ended       []worker.RunEnd
	lastEnd     int64
	// runEnded is closed and replaced when a run ends.
	runEnded chan struct{}
	stopped  bool
	// crashed reports whether the host stopped by a crash, which breaks its
	// connections.
	crashed bool
}

type run struct {
	name            work.TaskName
	number          int
	began           time.Time
	length          time.Duration
	worked          time.Duration
	longRunning     bool
	checkpoints     bool
	fails           bool
	crashes         bool
	throttlePercent int
	stopping        time.Time
	payload         string
	checkpoint      string
	gang            int
}

// NewWorkers returns a platform without hosts.
func NewWorkers(config WorkersConfig) *Workers {
	return &Workers{
		WorkersConfig: config, Checker: NewChecker(), random: rand.New(rand.NewPCG(config.Seed, 1)),
		hosts: make(map[string]*host), changed: make(chan struct{}), crashed: make(map[string]*host),
		lost: make(map[string]*lostHost),
	}
}

// Run runs the emulated hosts until ctx ends.
func (w *Workers) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.tick()
			if w.onTick != nil {
				w.onTick()
			}
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
		Host:        worker.Host{ID: id, Pool: pool, Address: id, Rack: rack, Labels: []string{"a", rack}, Capacity: capacity},
		born:        time.Now(),
		clockOffset: time.Duration(w.random.IntN(1000)) * time.Second,
		clockRate:   1 - 0.02*w.random.Float64(), runs: make(map[work.TaskName]*run), maxEndedRun: make(map[work.TaskName]int),
		runEnded: make(chan struct{}),
	}
	if w.KeepsID != nil {
		w.hosts[id].Born = time.Now().UnixMilli()
	}
	w.notifyLocked()
	return id
}

// restart starts the next incarnation of a crashed host under the ID that it had. Its
// clock starts anew.
func (w *Workers) restart(crashed *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := crashed.Host
	entry.Born = time.Now().UnixMilli()
	w.hosts[entry.ID] = &host{
		Host: entry, born: time.Now(), clockRate: 1 - 0.02*w.random.Float64(),
		runs: make(map[work.TaskName]*run), maxEndedRun: make(map[work.TaskName]int), runEnded: make(chan struct{}),
	}
	w.notifyLocked()
}

// SetFaults replaces the injected faults of a host.
func (w *Workers) SetFaults(id string, faults HostFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[id]; h != nil {
		h.faults = faults
	}
}

// Resize changes the capacity that a host reports. A reduction is enforced only
// after a delay, as the pool manager learns of it later.
func (w *Workers) Resize(id string, to work.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[id]
	if h == nil {
		return
	}
	h.previousCapacity, h.previousUntil = h.allowedCapacity(), time.Now().Add(shrinkDelay)
	h.Capacity = to
	w.notifyLocked()
}

// allowedCapacity returns the capacity up to which runs may be placed on the host now.
func (h *host) allowedCapacity() work.Resources {
	if time.Now().After(h.previousUntil) {
		return h.Capacity
	}
	return work.Resources{
		MilliCPU: max(h.Capacity.MilliCPU, h.previousCapacity.MilliCPU), MemMB: max(h.Capacity.MemMB, h.previousCapacity.MemMB), GPU: max(h.Capacity.GPU, h.previousCapacity.GPU),
	}
}

// Kill stops an incarnation of a host immediately. Its runs are lost.
func (w *Workers) Kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[id]
	if h == nil || h.stopped {
		return
	}
	w.stopHostLocked(h)
	w.notifyLocked()
}

// StartDraining makes a host report that it is draining.
func (w *Workers) StartDraining(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[id]; h != nil {
		h.Draining = true
		w.notifyLocked()
	}
}

// Running returns the number of runs on a host.
func (w *Workers) Running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[id]; h != nil {
		return len(h.runs)
	}
	return 0
}

// IDs returns the sorted IDs of the hosts of a pool.
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

// notifyLocked wakes the watchers of the host list.
func (w *Workers) notifyLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// listDelay is the delay with which changes appear in the host list.
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
		for _, h := range w.lost {
			if h.Pool == pool && h.listed {
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

// clockMs returns the reading of the host's clock in milliseconds.
func (h *host) clockMs() int64 {
	return (h.clockOffset + time.Duration(float64(time.Since(h.born))*h.clockRate)).Milliseconds()
}

// tick advances every run by one tick interval.
func (w *Workers) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		if name, ok := h.crashing(); ok {
			w.Checker.taskCrashedHost(name)
			w.crashLocked(h)
			continue
		}
		for _, r := range h.runs {
			w.advanceLocked(h, r)
		}
		if h.clockMs() > h.leaseUntil {
			w.Checker.leaseExpired(h.ID, h.ended)
		}
	}
}

// crashing returns the task that crashes the host now, if any.
func (h *host) crashing() (work.TaskName, bool) {
	for name, r := range h.runs {
		if r.crashes && time.Since(r.began) >= crashDelay {
			return name, true
		}
	}
	return work.TaskName{}, false
}

// Crash lets hosts crash at the same moment, for no fault of their tasks.
func (w *Workers) Crash(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if h := w.hosts[id]; h != nil {
			w.crashLocked(h)
		}
	}
}

// crashLocked stops an incarnation of a host. The host's next incarnation starts
// later.
func (w *Workers) crashLocked(h *host) {
	w.Checker.hostCrashed(h)
	w.stopHostLocked(h)
	h.crashed = true
	// The crash resets the connections of heartbeats that wait.
	close(h.runEnded)
	w.crashed[h.ID] = h
	time.AfterFunc(restartDelay, func() {
		w.mu.Lock()
		delete(w.crashed, h.ID)
		w.mu.Unlock()
		if w.KeepsID != nil && w.KeepsID(h.ID) {
			w.restart(h)
			return
		}
		next := w.Add(h.Pool, h.Rack, h.Capacity)
		if w.onRestart != nil {
			w.onRestart(h.ID, next)
		}
	})
}

// isDown reports whether a host has crashed and isn't back yet.
func (w *Workers) isDown(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed[id] != nil
}

// stopHostLocked stops an incarnation of a host and loses its runs.
func (w *Workers) stopHostLocked(h *host) {
	for _, r := range h.runs {
		w.Checker.ended(h.ID, r.name, r.number, "lost")
	}
	h.stopped = true
	clear(h.runs)
	delete(w.hosts, h.ID)
}

// advanceLocked advances a run by one tick and ends it when its lease, grace period
// or work is over.
func (w *Workers) advanceLocked(h *host, r *run) {
	now := time.Now()
	switch {
	case h.clockMs() > h.leaseUntil:
		w.endLocked(h, r, work.EndExpired)
		w.endGangLocked(r, work.EndGangBroken)
		return
	case !r.stopping.IsZero() && now.After(r.stopping):
		w.endLocked(h, r, work.EndStopped)
		w.endGangLocked(r, work.EndGangBroken)
		return
	case h.faults.Stalled:
		return
	case r.gang > 1 && w.gangRunningLocked(r) < r.gang:
		if now.Sub(r.began) > w.GangTimeout {
			w.endLocked(h, r, work.EndGangTimeout)
		}
		return
	}
	progress := float64(tickInterval) * float64(r.throttlePercent) / 100
	if h.faults.SlowFactor > 1 {
		progress /= h.faults.SlowFactor
	}
	r.worked += time.Duration(progress)
	if r.checkpoints {
		r.checkpoint = fmt.Sprintf("%08d", r.worked/w.Checkpoint)
	}
	switch {
	case r.fails && r.worked > r.length/2 || h.faults.FailAll:
		w.endLocked(h, r, work.EndFailed)
		w.endGangLocked(r, work.EndGangBroken)
	case !r.longRunning && r.worked >= r.length:
		w.endLocked(h, r, work.EndDone)
		w.endGangLocked(r, work.EndDone)
	}
}

// endGangLocked ends the other members of a gang after one has ended. The members
// of a gang succeed together; any other end breaks the whole gang.
func (w *Workers) endGangLocked(r *run, reason work.EndReason) {
	if r.gang <= 1 {
		return
	}
	for _, h := range w.hosts {
		for name, other := range h.runs {
			if name.SameStep(r.name) && other.number == r.number {
				w.endLocked(h, other, reason)
			}
		}
	}
}

// gangRunningLocked returns the number of members of a run's gang that are running.
func (w *Workers) gangRunningLocked(r *run) int {
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

// endLocked ends a run and wakes the pending heartbeat of its host.
func (w *Workers) endLocked(h *host, r *run, reason work.EndReason) {
	delete(h.runs, r.name)
	h.maxEndedRun[r.name] = max(h.maxEndedRun[r.name], r.number)
	h.lastEnd++
	h.ended = append(h.ended, worker.RunEnd{Seq: h.lastEnd, Task: r.name, Run: r.number, Reason: reason, Checkpoint: r.checkpoint})
	w.Checker.ended(h.ID, r.name, r.number, reason)
	close(h.runEnded)
	h.runEnded = make(chan struct{})
}
