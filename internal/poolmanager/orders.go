package poolmanager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/worker"
)

const (
	// orderRepeat is how long a start or stop is without an answer before it is
	// sent again beside the first attempt. A host carries the same order out
	// once, however often it hears it. A job waits for the slowest of its orders.
	orderRepeat = 250 * time.Millisecond
	// lossyRepeat is that where hosts leave calls unanswered.
	lossyRepeat = 120 * time.Millisecond
	// lossyWait and lossyGrace are how long a hold waits on its host there, and
	// how much longer its answer may take. A host tells ends only with the answer
	// to a hold, and is asked several times a second: with few calls lost many
	// hosts are unheard for a second at any time.
	lossyWait  = 120 * time.Millisecond
	lossyGrace = 250 * time.Millisecond
	// lossyShare of the holds unanswered makes the difference, each of the last
	// ones counted with lossWeight: 2%, seen within some forty holds.
	lossyShare = 0.02
	lossWeight = 1.0 / 128
	// orderFactor times the usual time of an order is waited at least: answers
	// that are late since this process is busy aren't asked for again.
	orderFactor = 4
	// orderAttempts bounds the attempts of one order.
	orderAttempts = 3
	// mostRepeats bounds the second attempts under way to all hosts: when many
	// hosts are silent at once, more would only cost processor time.
	mostRepeats = 64
)

// repeats is what second attempts go by.
type repeats struct {
	// tookMicros is how long an order takes of late.
	tookMicros atomic.Int64
	open       atomic.Int64

	mu sync.Mutex
	// lost is the share of holds that weren't answered of late; losing is set
	// when it is over lossyShare, until it is under half of that.
	lost   float64
	losing bool
}

// patience is how long to wait before an order is sent again.
func (r *repeats) patience() time.Duration {
	least := orderRepeat
	if r.lossy() {
		least = lossyRepeat
	}
	return max(least, orderFactor*r.usual())
}

// heard notes a hold that was answered, and whether the one before it to the
// same host was not. Hosts that stay silent don't count. It reports whether what
// lossy says has changed.
func (r *repeats) heard(afterLoss bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost -= r.lost * lossWeight
	if afterLoss {
		r.lost += lossWeight
	}
	before := r.losing
	if r.losing {
		r.losing = r.lost > lossyShare/2
	} else {
		r.losing = r.lost > lossyShare
	}
	return r.losing != before
}

// lossy reports whether hosts that are well leave calls unanswered.
func (r *repeats) lossy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.losing
}

// heard notes that a host answered a hold, after one that it didn't answer or
// not.
func (k *Manager) heard(afterLoss bool) {
	if !k.repeats.heard(afterLoss) {
		return
	}
	if k.repeats.lossy() {
		k.Metrics.lossy.Inc()
		k.Log.Warn().Float64("share_over", lossyShare).Msg("Hosts leave calls unanswered; they are asked again sooner.")
		return
	}
	k.Log.Info().Float64("share_under", lossyShare/2).Msg("Hosts answer again.")
}

// rest is the pause before the next hold of a host: what an order takes of late,
// within bounds.
func (r *repeats) rest() time.Duration {
	return min(holdPauseBusy, max(holdPause, r.usual()))
}

// usual is how long an order takes of late.
func (r *repeats) usual() time.Duration {
	return time.Duration(r.tookMicros.Load()) * time.Microsecond
}

func (r *repeats) took(d time.Duration) {
	r.tookMicros.Store((7*r.tookMicros.Load() + d.Microseconds()) / 8)
}

// settles reports whether an outcome of one attempt tells what became of all.
func settles(outcome worker.Outcome) bool {
	return outcome == worker.Accepted || outcome == worker.Gone || outcome == worker.Fenced
}

// repeated makes a call, again while it has no answer and is wanted, and returns
// what is certain of it. An attempt that was refused says nothing about an
// earlier one that is still on its way: the outcome is unknown then.
func (r *repeats) repeated(counter prometheus.Counter, wanted func() bool, call func() worker.Outcome) worker.Outcome {
	answers := make(chan worker.Outcome, orderAttempts)
	attempt := func() {
		sent := time.Now()
		outcome := call()
		if settles(outcome) {
			r.took(time.Since(sent))
		}
		answers <- outcome
	}
	go attempt()
	timer := time.NewTimer(r.patience())
	defer timer.Stop()
	open, sent := 1, 1
	for open > 0 {
		select {
		case outcome := <-answers:
			open--
			if settles(outcome) || sent == 1 {
				return outcome
			}
		case <-timer.C:
			if sent == orderAttempts || r.open.Load() >= mostRepeats || !wanted() {
				continue
			}
			open++
			sent++
			r.open.Add(1)
			counter.Inc()
			go func() {
				defer r.open.Add(-1)
				attempt()
			}()
			timer.Reset(r.patience())
		}
	}
	return worker.Unknown
}

func (k *Manager) start(order sched.Order) {
	sent := time.Now()
	wanted := func() bool { return k.wantsStart(order) }
	outcome := k.repeats.repeated(k.Metrics.repeats, wanted, func() worker.Outcome {
		return k.Workers.Start(k.ctx, order.To, worker.Start{
			Task: order.Task, Run: order.Run, Payload: order.Payload, DeadlineMs: order.DeadlineMs,
			Fence: k.grant.Head.Fence, Checkpoint: order.Checkpoint, Ticket: order.Ticket,
		})
	})
	k.Metrics.order("start", outcome, time.Since(sent))
	if outcome != worker.Accepted {
		k.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).
			Stringer("outcome", outcome).Msg("A start was not accepted.")
	}
	k.doPart(k.ctx, partOrders, func() { k.pool.StartOutcome(order.To.ID, order.Task, order.Run, outcome, time.Now(), k.WallClock()) })
}

// wantsStart asks the pool whether a start without an answer may go out again.
// The task may have been found done elsewhere since it was first sent, or its
// job cancelled; the host would begin a run that nobody wants, after what ended
// it was already stored.
func (k *Manager) wantsStart(order sched.Order) bool {
	wanted, ok := query(k.ctx, k, func() bool { return k.pool.StartPending(order.To.ID, order.Task, order.Run) })
	return ok && wanted
}

func (k *Manager) stop(order sched.Order) {
	sent := time.Now()
	always := func() bool { return true }
	outcome := k.repeats.repeated(k.Metrics.repeats, always, func() worker.Outcome {
		return k.Workers.Stop(k.ctx, order.To, worker.Stop{Task: order.Task, Run: order.Run, Fence: k.grant.Head.Fence})
	})
	k.Metrics.order("stop", outcome, time.Since(sent))
	k.doPart(k.ctx, partOrders, func() { k.pool.StopOutcome(order.To.ID, order.Task, order.Run, outcome, time.Now(), k.WallClock()) })
}

// ask holds one host for as long as the pool knows it. After a hold without an
// answer the next one doesn't wait on the host, so that a single lost one
// doesn't make it count as silent.
func (k *Manager) ask(target worker.Target) {
	lost := 0
	for {
		wait, within := holdWait, time.Duration(0)
		if k.repeats.lossy() {
			wait, within = lossyWait, lossyWait+lossyGrace
		}
		if lost > 0 {
			wait = 0
		}
		hold, ok := k.nextHold(target.ID, wait)
		if !ok {
			return
		}
		if within > 0 {
			within += hold.ExtraTimeout
		}
		rest := k.repeats.rest()
		if _, outcome := k.hold(target, hold, within); outcome == worker.Accepted {
			k.heard(lost > 0)
			lost = 0
		} else if lost++; lost > 1 {
			rest = holdRetry
		}
		pause.For(k.ctx, rest)
		if k.ctx.Err() != nil {
			return
		}
	}
}

// hold makes one call and posts what came of it. within bounds it, unless zero.
func (k *Manager) hold(target worker.Target, hold worker.Heartbeat, within time.Duration) (worker.HeartbeatReply, worker.Outcome) {
	sent := time.Now()
	ctx := k.ctx
	if within > 0 {
		bounded, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		ctx = bounded
	}
	answer, outcome := k.Workers.Heartbeat(ctx, target, hold)
	k.Metrics.order("hold", outcome, time.Since(sent))
	if outcome == worker.Accepted {
		k.doPart(k.ctx, partHolds, func() { k.pool.ApplyHeartbeat(target.ID, sent, answer, time.Now(), k.WallClock()) })
	} else {
		k.doPart(k.ctx, partHolds, func() { k.holdFailed(target.ID, outcome) })
	}
	return answer, outcome
}

func (k *Manager) holdFailed(id string, outcome worker.Outcome) {
	if outcome == worker.Gone {
		k.Log.Info().Str("host", id).Msg("This life of a host has ended.")
	}
	k.pool.HeartbeatFailed(id, outcome, time.Now(), k.WallClock())
}
