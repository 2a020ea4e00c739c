package emulate

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// reach finds the life that an order is meant for. It waits as long as a
// caller would for a host that is silent.
func (w *Workers) reach(ctx context.Context, to worker.Target) (*host, worker.Outcome) {
	w.mu.Lock()
	h := w.hosts[to.ID]
	dark, down := h != nil && h.behavior.Unresponsive, w.crashed[to.ID] != nil
	w.mu.Unlock()
	if down {
		return nil, worker.NotSent
	}
	if h == nil {
		return nil, worker.Gone
	}
	if dark {
		pause.For(ctx, noAnswer)
		return nil, worker.Unknown
	}
	pause.For(ctx, answerTime)
	return h, worker.Accepted
}

// late reports whether an order is to be carried out late, and does so.
func (w *Workers) late(ctx context.Context, h *host, act func()) bool {
	w.mu.Lock()
	is := h.behavior.DelayRate > 0 && w.random.Float64() < h.behavior.DelayRate
	if h.behavior.DelayNext > 0 {
		h.behavior.DelayNext--
		is = true
	}
	after := lateLeast + time.Duration(w.random.Int64N(int64(lateMost-lateLeast)))
	w.mu.Unlock()
	if !is {
		return false
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !h.gone {
			act()
		}
	})
	pause.For(ctx, noAnswer)
	return true
}

// carryOut has a host do what an order asks, late or at once.
func (w *Workers) carryOut(ctx context.Context, to worker.Target, act func(h *host) worker.Outcome) worker.Outcome {
	h, outcome := w.reach(ctx, to)
	if h == nil {
		return outcome
	}
	if w.late(ctx, h, func() { act(h) }) {
		return worker.Unknown
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.gone {
		return h.cutOff()
	}
	return act(h)
}

// cutOff is what a call under way hears of a life that has ended.
func (h *host) cutOff() worker.Outcome {
	if h.crash {
		return worker.Unknown
	}
	return worker.Gone
}

// Start implements worker.Orders.
func (w *Workers) Start(ctx context.Context, to worker.Target, o worker.Start) worker.Outcome {
	sent := time.Now()
	return w.carryOut(ctx, to, func(h *host) worker.Outcome { return w.startLocked(h, o, sent) })
}

func (w *Workers) startLocked(h *host, o worker.Start, sent time.Time) worker.Outcome {
	if o.Fence < h.fence {
		return worker.Fenced
	}
	h.fence = o.Fence
	if o.DeadlineMs < h.clockMs() {
		return worker.TooLate
	}
	h.heldUntil = max(h.heldUntil, min(o.DeadlineMs, h.clockMs()+w.MaxLeaseTTL.Milliseconds()))
	if r := h.runs[o.Task]; r != nil && r.number == o.Run {
		return worker.Accepted
	}
	if o.Run <= h.barred[o.Task] {
		return worker.Outdated
	}
	if r := h.runs[o.Task]; r != nil {
		return worker.Outdated
	}
	step := w.Checker.step(o.Task)
	r := &run{name: o.Task, number: o.Run, began: time.Now(), pace: 100, text: o.Payload, saved: o.Checkpoint}
	if step != nil {
		r.length, r.lasting, r.saves = step.Estimate, step.LongRunning, step.Checkpoint
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

// Stop implements worker.Orders.
func (w *Workers) Stop(ctx context.Context, to worker.Target, o worker.Stop) worker.Outcome {
	return w.carryOut(ctx, to, func(h *host) worker.Outcome { return w.stopLocked(h, o) })
}

func (w *Workers) stopLocked(h *host, o worker.Stop) worker.Outcome {
	if o.Fence < h.fence {
		return worker.Fenced
	}
	h.fence = o.Fence
	h.barred[o.Task] = max(h.barred[o.Task], o.Run)
	if r := h.runs[o.Task]; r != nil && r.number == o.Run && r.stopping.IsZero() {
		if r.lasting && w.percent(r) == 100 {
			w.Checker.stopping(h.ID, r.name, w.atWorkLocked(r.name))
		}
		r.stopping = time.Now().Add(w.StopGrace)
	}
	return worker.Accepted
}

// atWorkLocked tells which tasks of a step serve their users.
func (w *Workers) atWorkLocked(of work.TaskName) map[int]bool {
	atWork := make(map[int]bool)
	for _, h := range w.hosts {
		for name, r := range h.runs {
			if name.SameStep(of) {
				atWork[name.Index] = r.stopping.IsZero() && w.percent(r) == 100
			}
		}
	}
	return atWork
}

// Throttle implements worker.Orders.
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
		r.pace = o.Percent
	}
	return worker.Accepted
}

// Heartbeat implements worker.Orders.
func (w *Workers) Heartbeat(ctx context.Context, to worker.Target, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	h, outcome := w.reach(ctx, to)
	if h == nil {
		return worker.HeartbeatReply{}, outcome
	}
	w.mu.Lock()
	if h.gone {
		w.mu.Unlock()
		return worker.HeartbeatReply{}, h.cutOff()
	}
	if o.Fence < h.fence {
		w.mu.Unlock()
		return worker.HeartbeatReply{}, worker.Fenced
	}
	h.fence = o.Fence
	if o.DeadlineMs > 0 {
		h.heldUntil = max(h.heldUntil, min(o.DeadlineMs, h.clockMs()+w.MaxLeaseTTL.Milliseconds()))
	}
	h.ended = slices.DeleteFunc(h.ended, func(e worker.RunEnd) bool {
		if e.Number <= o.AckedEnd {
			w.Checker.noted(h.ID, e)
			return true
		}
		return false
	})
	news, waits := h.news, len(h.ended) == 0 && o.Wait > 0
	mute := h.behavior.HeartbeatLossRate > 0 && w.random.Float64() < h.behavior.HeartbeatLossRate
	w.mu.Unlock()
	if mute {
		pause.For(ctx, o.Wait+holdGrace)
		return worker.HeartbeatReply{}, worker.Unknown
	}
	if waits {
		timer := time.NewTimer(o.Wait)
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return w.answer(h, o)
}

func (w *Workers) answer(h *host, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.gone {
		return worker.HeartbeatReply{}, h.cutOff()
	}
	if h.behavior.Unresponsive {
		return worker.HeartbeatReply{}, worker.Unknown
	}
	if o.Fence < h.fence {
		return worker.HeartbeatReply{}, worker.Fenced
	}
	answer := worker.HeartbeatReply{ClockMs: h.clockMs()}
	for _, r := range h.runs {
		answer.Running = append(answer.Running, worker.Report{
			Task: r.name, Run: r.number, Checkpoint: r.saved, Percent: w.percent(r),
		})
	}
	answer.Ended = append(answer.Ended, h.ended[:min(len(h.ended), worker.MaxEnds)]...)
	return answer, worker.Accepted
}

func (w *Workers) percent(r *run) int {
	length := r.length
	if r.lasting {
		length = w.Startup
	}
	if length <= 0 {
		return 100
	}
	return min(100, int(100*r.worked/length))
}
