// Package fakeworkers is an in-memory fake of the platform's workers: tasks under
// leases, lagging reports, checkpoints, workers that fail every task, and tasks
// that use other resources than were allocated. It counts what actually ran.
package fakeworkers

import (
	"context"
	"sort"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/record"
)

// Behaviour is the actual behaviour of a task, whatever was allocated to it.
type Behaviour struct {
	Used record.Resources
	// Work is how long the task runs unthrottled.
	Work time.Duration
	// FailReason, when set, makes the task fail at its end with this reason.
	FailReason string
}

// Options configure the fake.
type Options struct {
	// ReportLag is how far reports lag behind the actual state.
	ReportLag time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// Behave returns the behaviour of a task. If it is nil, every task runs for
	// one second and uses no resources.
	Behave func(task fleet.Task) Behaviour
}

// Counts is what the workers have counted.
type Counts struct {
	// Placed counts tasks that started to run, Finished those that ran to their
	// end, and Failed those that ended in failure.
	Placed   int `json:"placed"`
	Finished int `json:"finished"`
	Failed   int `json:"failed"`
	// DoubleRuns counts starts of a task while the same task of the same job
	// was already running on any host.
	DoubleRuns int `json:"double_runs"`
	// LeaseEnds counts tasks stopped because their lease expired.
	LeaseEnds   int `json:"lease_ends"`
	Checkpoints int `json:"checkpoints"`
	Throttles   int `json:"throttles"`
	Stops       int `json:"stops"`
	Calls       int `json:"calls"`
}

// Workers is the fake.
type Workers struct {
	options Options

	mu          sync.Mutex
	hosts       map[string]*host
	checkpoints map[string]time.Duration
	active      map[taskKey]int
	counts      Counts
	faults      faults
	starts      []Started
}

// Started is one start of a task.
type Started struct {
	Task fleet.Task
	Host string
	At   time.Time
}

type taskKey struct {
	job   string
	index int
}

type host struct {
	name        string
	up          bool
	unreachable bool
	blackHole   bool
	tasks       map[string]*task
	reports     []fleet.TaskReport
	reportedAt  time.Time
}

type task struct {
	fleet.Task
	behaviour Behaviour
	state     fleet.TaskState
	reason    string
	// completed is the work done by the time since; from then on the task has
	// run at its current speed.
	completed time.Duration
	since     time.Time
	started   time.Time
	ended     time.Time
	throttled bool
	end       *time.Timer
	lease     *time.Timer
}

var _ fleet.Workers = (*Workers)(nil)

const (
	throttledSlowdown = 4
	failAfter         = 100 * time.Millisecond
	defaultWork       = time.Second
)

// New returns workers on the named hosts, all of them up.
func New(hosts []string, options Options) *Workers {
	w := &Workers{
		options: options, hosts: make(map[string]*host, len(hosts)),
		checkpoints: make(map[string]time.Duration), active: make(map[taskKey]int),
	}
	for _, name := range hosts {
		w.hosts[name] = &host{name: name, up: true, tasks: make(map[string]*task)}
	}
	return w
}

// Start implements fleet.Workers.
func (w *Workers) Start(ctx context.Context, name string, requested fleet.Task) error {
	return w.call(ctx, "start", name, func(h *host) error {
		if known := h.tasks[requested.ID]; known != nil {
			if known.state != fleet.TaskRunning {
				return &fleet.TaskEndedError{Host: name, Task: requested.ID, State: known.state}
			}
			return nil
		}
		w.startTask(h, requested)
		return nil
	})
}

func (w *Workers) startTask(h *host, requested fleet.Task) {
	t := &task{Task: requested, behaviour: w.behaviourOf(h, requested), state: fleet.TaskRunning, throttled: requested.Throttled}
	t.started, t.since = time.Now(), time.Now()
	t.completed = w.checkpoints[requested.ResumeFrom]
	h.tasks[requested.ID] = t
	key := taskKey{requested.Job, requested.Index}
	w.active[key]++
	if w.active[key] > 1 {
		w.counts.DoubleRuns++
	}
	w.counts.Placed++
	w.starts = append(w.starts, Started{Task: requested, Host: h.name, At: time.Now()})
	t.lease = time.AfterFunc(requested.LeaseTTL, func() { w.expireLease(h, t) })
	w.schedule(h, t)
}

func (w *Workers) behaviourOf(h *host, requested fleet.Task) Behaviour {
	b := Behaviour{Work: defaultWork}
	if w.options.Behave != nil {
		b = w.options.Behave(requested)
	}
	switch {
	case h.blackHole:
		b = Behaviour{Work: failAfter, FailReason: "worker broken"}
	case b.Used.MemoryMB > requested.Allocated.MemoryMB:
		b.Work, b.FailReason = min(b.Work, failAfter), fleet.ReasonOutOfMemory
	}
	return b
}

// schedule sets the timer for the task's end from its remaining work.
func (w *Workers) schedule(h *host, t *task) {
	remaining := max(0, t.behaviour.Work-t.completed)
	if t.throttled {
		remaining *= throttledSlowdown
	}
	t.end = time.AfterFunc(remaining, func() { w.complete(h, t) })
}

func (w *Workers) complete(h *host, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.behaviour.FailReason != "" {
		w.endLocked(t, fleet.TaskFailed, t.behaviour.FailReason)
		return
	}
	w.endLocked(t, fleet.TaskFinished, "")
}

func (w *Workers) expireLease(h *host, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.state == fleet.TaskRunning {
		w.counts.LeaseEnds++
	}
	w.endLocked(t, fleet.TaskStopped, "lease ended")
}

func (w *Workers) endLocked(t *task, state fleet.TaskState, reason string) {
	if t.state != fleet.TaskRunning {
		return
	}
	t.completed = t.progress()
	t.state, t.reason, t.ended = state, reason, time.Now()
	t.end.Stop()
	t.lease.Stop()
	w.active[taskKey{t.Job, t.Index}]--
	switch state {
	case fleet.TaskFinished:
		w.counts.Finished++
	case fleet.TaskFailed:
		w.counts.Failed++
	}
}

func (t *task) progress() time.Duration {
	elapsed := time.Since(t.since)
	if t.throttled {
		elapsed /= throttledSlowdown
	}
	return t.completed + elapsed
}

// Renew implements fleet.Workers.
func (w *Workers) Renew(ctx context.Context, name string, ids []string, ttl time.Duration) error {
	return w.call(ctx, "renew", name, func(h *host) error {
		for _, id := range ids {
			if t := h.tasks[id]; t != nil && t.state == fleet.TaskRunning {
				t.lease.Reset(ttl)
			}
		}
		return nil
	})
}

// Checkpoint implements fleet.Workers.
func (w *Workers) Checkpoint(ctx context.Context, name, id string) error {
	if err := w.call(ctx, "checkpoint", name, func(h *host) error { return h.checkRunning(id) }); err != nil {
		return err
	}
	select {
	case <-time.After(w.options.CheckpointTime):
	case <-ctx.Done():
		return &fleet.UnreachableError{Op: "checkpoint", Host: name, MaybeSent: true, Cause: ctx.Err()}
	}
	return w.call(ctx, "checkpoint", name, func(h *host) error {
		if err := h.checkRunning(id); err != nil {
			return err
		}
		t := h.tasks[id]
		w.endLocked(t, fleet.TaskCheckpointed, "")
		w.checkpoints[id] = t.completed
		w.counts.Checkpoints++
		return nil
	})
}

func (h *host) checkRunning(id string) error {
	t := h.tasks[id]
	if t == nil {
		return &fleet.TaskEndedError{Host: h.name, Task: id, State: fleet.TaskStopped}
	}
	if t.state != fleet.TaskRunning {
		return &fleet.TaskEndedError{Host: h.name, Task: id, State: t.state}
	}
	return nil
}

// Throttle implements fleet.Workers.
func (w *Workers) Throttle(ctx context.Context, name, id string, on bool) error {
	return w.call(ctx, "throttle", name, func(h *host) error {
		if err := h.checkRunning(id); err != nil {
			return err
		}
		t := h.tasks[id]
		if t.throttled == on {
			return nil
		}
		t.completed = t.progress()
		t.since, t.throttled = time.Now(), on
		t.end.Stop()
		w.schedule(h, t)
		w.counts.Throttles++
		return nil
	})
}

// Stop implements fleet.Workers. A task that was never started is remembered as
// stopped, so that a late Start is refused.
func (w *Workers) Stop(ctx context.Context, name, id string) error {
	return w.call(ctx, "stop", name, func(h *host) error {
		t := h.tasks[id]
		if t == nil {
			h.tasks[id] = &task{Task: fleet.Task{ID: id}, state: fleet.TaskStopped, ended: time.Now()}
			return nil
		}
		w.endLocked(t, fleet.TaskStopped, "asked")
		w.counts.Stops++
		return nil
	})
}

// Reports implements fleet.Workers.
func (w *Workers) Reports(ctx context.Context, name string) ([]fleet.TaskReport, error) {
	var reports []fleet.TaskReport
	err := w.call(ctx, "reports", name, func(h *host) error {
		if time.Since(h.reportedAt) >= w.options.ReportLag {
			h.reports, h.reportedAt = h.buildReports(), time.Now()
		}
		reports = append([]fleet.TaskReport(nil), h.reports...)
		return nil
	})
	return reports, err
}

func (h *host) buildReports() []fleet.TaskReport {
	var reports []fleet.TaskReport
	for id, t := range h.tasks {
		if t.started.IsZero() {
			continue
		}
		report := fleet.TaskReport{ID: id, Job: t.Job, State: t.state, PeakUsage: t.behaviour.Used, Reason: t.reason}
		report.RanFor = time.Since(t.started)
		if !t.ended.IsZero() {
			report.RanFor = t.ended.Sub(t.started)
		}
		report.PeakUsage.MemoryMB = min(report.PeakUsage.MemoryMB, t.Allocated.MemoryMB)
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].ID < reports[j].ID })
	return reports
}
