package emulate

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// reach returns the host incarnation that a call is addressed to, after the
// response latency. If the host is unresponsive, it waits for the call timeout.
func (w *Workers) reach(ctx context.Context, to worker.Target) (*host, worker.Outcome) {
	w.mu.Lock()
	h := w.hosts[to.ID]
	lost := w.lost[to.ID]
	unresponsive, down := h != nil && h.faults.Unresponsive || lost != nil, w.crashed[to.ID] != nil || lost != nil && lost.refuses
	w.mu.Unlock()
	if down {
		return nil, worker.NotSent
	}
	if h == nil && lost == nil {
		return nil, worker.Gone
	}
	if unresponsive {
		pause.For(ctx, callTimeout)
		return nil, worker.Unknown
	}
	pause.For(ctx, callLatency)
	return h, worker.Accepted
}

// delayed reports whether the faults of a host delay this call. If so, it
// schedules act for later and blocks for the call timeout, as the response is lost.
func (w *Workers) delayed(ctx context.Context, h *host, act func()) bool {
	w.mu.Lock()
	delay := h.faults.DelayRate > 0 && w.random.Float64() < h.faults.DelayRate
	if h.faults.DelayNext > 0 {
		h.faults.DelayNext--
		delay = true
	}
	after := minCallDelay + time.Duration(w.random.Int64N(int64(maxCallDelay-minCallDelay)))
	w.mu.Unlock()
	if !delay {
		return false
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !h.stopped {
			act()
		}
	})
	pause.For(ctx, callTimeout)
	return true
}

// execute runs act on a host, immediately or delayed by its faults.
func (w *Workers) execute(ctx context.Context, to worker.Target, act func(h *host) worker.Outcome) worker.Outcome {
	h, outcome := w.reach(ctx, to)
	if h == nil {
		return outcome
	}
	if w.delayed(ctx, h, func() { act(h) }) {
		return worker.Unknown
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.stopped {
		return h.stoppedOutcome()
	}
	return act(h)
}

// stoppedOutcome returns the outcome of a call in flight to a host that has
// stopped: unknown after a crash, which breaks the connections, otherwise gone.
func (h *host) stoppedOutcome() worker.Outcome {
	if h.crashed {
		return worker.Unknown
	}
	return worker.Gone
}

// Start implements worker.Client.
func (w *Workers) Start(ctx context.Context, to worker.Target, o worker.Start) worker.Outcome {
	sent := time.Now()
	return w.execute(ctx, to, func(h *host) worker.Outcome { return w.startLocked(h, o, sent) })
}

func (w *Workers) startLocked(h *host, o worker.Start, sent time.Time) worker.Outcome {
	if o.Fence < h.fence {
		return worker.Fenced
	}
	h.fence = o.Fence
	if o.DeadlineMs < h.clockMs() {
		return worker.TooLate
	}
	h.leaseUntil = max(h.leaseUntil, min(o.DeadlineMs, h.clockMs()+w.MaxLeaseTTL.Milliseconds()))
	if r := h.runs[o.Task]; r != nil && r.number == o.Run {
		return worker.Accepted
	}
	if o.Run <= h.maxEndedRun[o.Task] {
		return worker.StaleRun
	}
	if r := h.runs[o.Task]; r != nil {
		return worker.StaleRun
	}
	step := w.Checker.step(o.Task)
	r := &run{name: o.Task, number: o.Run, began: time.Now(), throttlePercent: 100, payload: o.Payload, checkpoint: o.Checkpoint}
	if step != nil {
		r.length, r.longRunning, r.checkpoints = step.Estimate, step.LongRunning, step.Checkpoint
		if step.Gang {
			r.gang = step.Count
		}
	}
	if w.RunTime != nil {
		r.length = w.RunTime(o.Task)
	}
	r.crashes = w.Crashes != nil && w.Crashes(o.Task)
	r.fails = w.Fails != nil && w.Fails(o.Task, o.Run)
	h.runs[o.Task] = r
	w.Checker.started(h, o, sent)
	return worker.Accepted
}

// Stop implements worker.Client.
func (w *Workers) Stop(ctx context.Context, to worker.Target, o worker.Stop) worker.Outcome {
	return w.execute(ctx, to, func(h *host) worker.Outcome { return w.stopLocked(h, o) })
}

func (w *Workers) stopLocked(h *host, o worker.Stop) worker.Outcome {
	if o.Fence < h.fence {
		return worker.Fenced
	}
	h.fence = o.Fence
	h.maxEndedRun[o.Task] = max(h.maxEndedRun[o.Task], o.Run)
	if r := h.runs[o.Task]; r != nil && r.number == o.Run && r.stopping.IsZero() {
		if r.longRunning && w.percent(r) == 100 {
			w.Checker.stopping(h.ID, r.name, w.servingLocked(r.name))
		}
		r.stopping = time.Now().Add(w.StopGrace)
	}
	return worker.Accepted
}

// servingLocked returns, by task index, which tasks of a step have started up and
// aren't stopping.
func (w *Workers) servingLocked(task work.TaskName) map[int]bool {
	serving := make(map[int]bool)
	for _, h := range w.hosts {
		for name, r := range h.runs {
			if name.SameStep(task) {
				serving[name.Index] = r.stopping.IsZero() && w.percent(r) == 100
			}
		}
	}
	return serving
}

// Throttle implements worker.Client.
func (w *Workers) Throttle(ctx context.Context, to worker.Target, o worker.Throttle) worker.Outcome {
	h, outcome := w.reach(ctx, to)
	if h == nil {
		return outcome
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < h.fence {
		return worker.Fenced
	}
	if r := h.runs[o.Task]; r != nil && r.number == o.Run {
		r.throttlePercent = o.Percent
	}
	return worker.Accepted
}

// Heartbeat implements worker.Client.
func (w *Workers) Heartbeat(ctx context.Context, to worker.Target, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	h, outcome := w.reach(ctx, to)
	if h == nil {
		return worker.HeartbeatReply{}, outcome
	}
	w.mu.Lock()
	if h.stopped {
		w.mu.Unlock()
		return worker.HeartbeatReply{}, h.stoppedOutcome()
	}
	if o.Fence < h.fence {
		w.mu.Unlock()
		return worker.HeartbeatReply{}, worker.Fenced
	}
	h.fence = o.Fence
	if o.DeadlineMs > 0 {
		h.leaseUntil = max(h.leaseUntil, min(o.DeadlineMs, h.clockMs()+w.MaxLeaseTTL.Milliseconds()))
	}
	h.ended = slices.DeleteFunc(h.ended, func(e worker.RunEnd) bool {
		if e.Seq <= o.AckedEnd {
			w.Checker.acknowledged(h.ID, e)
			return true
		}
		return false
	})
	runEnded, wait := h.runEnded, len(h.ended) == 0 && o.Wait > 0
	lost := h.faults.HeartbeatLossRate > 0 && w.random.Float64() < h.faults.HeartbeatLossRate
	w.mu.Unlock()
	if lost {
		pause.For(ctx, o.Wait+heartbeatGrace)
		return worker.HeartbeatReply{}, worker.Unknown
	}
	if wait {
		timer := time.NewTimer(o.Wait)
		select {
		case <-runEnded:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return w.heartbeatReply(h, o)
}

// heartbeatReply builds the reply to a heartbeat from the current state of the host.
func (w *Workers) heartbeatReply(h *host, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.stopped {
		return worker.HeartbeatReply{}, h.stoppedOutcome()
	}
	if h.faults.Unresponsive {
		return worker.HeartbeatReply{}, worker.Unknown
	}
	if o.Fence < h.fence {
		return worker.HeartbeatReply{}, worker.Fenced
	}
	reply := worker.HeartbeatReply{Born: h.Born, ClockMs: h.clockMs()}
	for _, r := range h.runs {
		reply.Running = append(reply.Running, worker.Report{
			Task: r.name, Run: r.number, Checkpoint: r.checkpoint, Percent: w.percent(r),
		})
	}
	reply.Ended = append(reply.Ended, h.ended[:min(len(h.ended), worker.MaxEnds)]...)
	return reply, worker.Accepted
}

// percent returns the progress of a run. For a long-running task it is the
// progress of its startup.
func (w *Workers) percent(r *run) int {
	length := r.length
	if r.longRunning {
		length = w.Startup
	}
	if length <= 0 {
		return 100
	}
	return min(100, int(100*r.worked/length))
}
