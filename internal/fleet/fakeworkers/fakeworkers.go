// Package fakeworkers is a small in-memory stand-in for the platform's
// workers: tasks under leases, lagging reports, checkpoints, workers that fail
// everything, and tasks that need something else than was declared. It counts
// what ran on its own side.
package fakeworkers

import (
	"context"
	"sort"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/record"
)

// Behaviour is what a task really does, whatever was declared.
type Behaviour struct {
	Used record.Resources
	// Work is how long the task runs unthrottled.
	Work time.Duration
	// FailReason, when set, is the reason with which the task fails at its end.
	FailReason string
}

// Options shape the stand-in.
type Options struct {
	// ReportLag is how far reports lag behind the truth.
	ReportLag time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// Behave says what a task does; nil makes every task run for a
	// second and use nothing to speak of.
	Behave func(task fleet.Task) Behaviour
}

// Counts is what the workers saw.
type Counts struct {
	// Placed counts tasks that began to run, Finished those that ran to their
	// end, Failed those that ended badly.
	Placed   int `json:"placed"`
	Finished int `json:"finished"`
	Failed   int `json:"failed"`
	// DoubleRuns counts starts while the same task of the same job was running
	// already, anywhere.
	DoubleRuns int `json:"double_runs"`
	// LeaseEnds counts tasks that ended because nobody renewed them.
	LeaseEnds   int `json:"lease_ends"`
	Checkpoints int `json:"checkpoints"`
	Throttles   int `json:"throttles"`
	Stops       int `json:"stops"`
	Calls       int `json:"calls"`
}

// Workers is the stand-in.
type Workers struct {
	options Options

	mu     sync.Mutex
	hosts  map[string]*host
	saved  map[string]time.Duration
	active map[taskKey]int
	counts Counts
	faults faults
	starts []Started
}

// Started is one task that began to run.
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
	// done is the work done up to since, at the current speed from then on.
	done    time.Duration
	since   time.Time
	started time.Time
	ended   time.Time
	slow    bool
	end     *time.Timer
	lease   *time.Timer
}

var _ fleet.Workers = (*Workers)(nil)

const (
	throttledSlowdown = 4
	failAfter         = 100 * time.Millisecond
	defaultWork       = time.Second
)

// New returns workers on the named hosts, all up.
func New(hosts []string, options Options) *Workers {
	w := &Workers{
		options: options, hosts: make(map[string]*host, len(hosts)),
		saved: make(map[string]time.Duration), active: make(map[taskKey]int),
	}
	for _, name := range hosts {
		w.hosts[name] = &host{name: name, up: true, tasks: make(map[string]*task)}
	}
	return w
}

// Start implements fleet.Workers.
func (w *Workers) Start(ctx context.Context, name string, asked fleet.Task) error {
	return w.call(ctx, "start", name, func(h *host) error {
		if known := h.tasks[asked.ID]; known != nil {
			if known.state != fleet.TaskRunning {
				return &fleet.TaskEndedError{Host: name, Task: asked.ID, State: known.state}
			}
			return nil
		}
		w.begin(h, asked)
		return nil
	})
}

func (w *Workers) begin(h *host, asked fleet.Task) {
	t := &task{Task: asked, behaviour: w.behave(h, asked), state: fleet.TaskRunning, slow: asked.Throttled}
	t.started, t.since = time.Now(), time.Now()
	t.done = w.saved[asked.ResumeFrom]
	h.tasks[asked.ID] = t
	key := taskKey{asked.Job, asked.Index}
	w.active[key]++
	if w.active[key] > 1 {
		w.counts.DoubleRuns++
	}
	w.counts.Placed++
	w.starts = append(w.starts, Started{Task: asked, Host: h.name, At: time.Now()})
	t.lease = time.AfterFunc(asked.LeaseTTL, func() { w.leaseEnds(h, t) })
	w.schedule(h, t)
}

func (w *Workers) behave(h *host, asked fleet.Task) Behaviour {
	b := Behaviour{Work: defaultWork}
	if w.options.Behave != nil {
		b = w.options.Behave(asked)
	}
	switch {
	case h.blackHole:
		b = Behaviour{Work: failAfter, FailReason: "worker broken"}
	case b.Used.MemoryMB > asked.Allocated.MemoryMB:
		b.Work, b.FailReason = min(b.Work, failAfter), fleet.ReasonOutOfMemory
	}
	return b
}

// schedule sets the timer of the task's end by the work that is left.
func (w *Workers) schedule(h *host, t *task) {
	left := max(0, t.behaviour.Work-t.done)
	if t.slow {
		left *= throttledSlowdown
	}
	t.end = time.AfterFunc(left, func() { w.runsOut(h, t) })
}

func (w *Workers) runsOut(h *host, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.behaviour.FailReason != "" {
		w.endLocked(t, fleet.TaskFailed, t.behaviour.FailReason)
		return
	}
	w.endLocked(t, fleet.TaskFinished, "")
}

func (w *Workers) leaseEnds(h *host, t *task) {
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
	t.done = t.progress()
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
	passed := time.Since(t.since)
	if t.slow {
		passed /= throttledSlowdown
	}
	return t.done + passed
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
	if err := w.call(ctx, "checkpoint", name, func(h *host) error { return h.running(id) }); err != nil {
		return err
	}
	select {
	case <-time.After(w.options.CheckpointTime):
	case <-ctx.Done():
		return &fleet.UnreachableError{Op: "checkpoint", Host: name, Sent: true, Cause: ctx.Err()}
	}
	return w.call(ctx, "checkpoint", name, func(h *host) error {
		if err := h.running(id); err != nil {
			return err
		}
		t := h.tasks[id]
		w.endLocked(t, fleet.TaskCheckpointed, "")
		w.saved[id] = t.done
		w.counts.Checkpoints++
		return nil
	})
}

func (h *host) running(id string) error {
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
		if err := h.running(id); err != nil {
			return err
		}
		t := h.tasks[id]
		if t.slow == on {
			return nil
		}
		t.done = t.progress()
		t.since, t.slow = time.Now(), on
		t.end.Stop()
		w.schedule(h, t)
		w.counts.Throttles++
		return nil
	})
}

// Stop implements fleet.Workers. A task that never came is remembered as
// stopped, so that a late Start runs nothing.
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
			h.reports, h.reportedAt = h.report(), time.Now()
		}
		reports = append([]fleet.TaskReport(nil), h.reports...)
		return nil
	})
	return reports, err
}

func (h *host) report() []fleet.TaskReport {
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
