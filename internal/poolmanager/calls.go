package poolmanager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/worker"
)

const (
	// orderHedgeDelay is how long a start or stop waits for a response before it
	// is sent again while the first attempt is still in flight. A host carries
	// out an order once however often it receives it. A job waits for the slowest
	// of its orders.
	orderHedgeDelay = 250 * time.Millisecond
	// lossyOrderHedgeDelay replaces orderHedgeDelay while hosts leave calls
	// unanswered.
	lossyOrderHedgeDelay = 120 * time.Millisecond
	// lossyHeartbeatWait and lossyHeartbeatGrace are, in that state, how long a
	// host may delay its reply to a heartbeat and how much longer the reply may
	// take to arrive. Hosts report run ends only in heartbeat replies, several
	// times a second: even when few calls are lost, many hosts are without a
	// reply for a second at any time.
	lossyHeartbeatWait  = 120 * time.Millisecond
	lossyHeartbeatGrace = 250 * time.Millisecond
	// lossThreshold is the share of lost heartbeats (2%) above which calls count
	// as lossy. Each of the latest heartbeats has weight lossWeight, so that such
	// a loss is detected within about 40 heartbeats.
	lossThreshold = 0.02
	lossWeight    = 1.0 / 128
	// orderHedgeFactor times the order latency is the least delay before an order
	// is sent again: responses that are late because this process is overloaded
	// are not requested again.
	orderHedgeFactor = 4
	// maxHedges bounds the repeated attempts in flight to all hosts: when many
	// hosts are unresponsive at once, more would only cost processor time.
	maxHedges = 64
)

// hedger sends orders again that have no response yet, beside the attempts in
// flight, with delays based on the observed latency and loss.
type hedger struct {
	// latencyMicros is a moving average of the latency of orders, in
	// microseconds.
	latencyMicros atomic.Int64
	// hedgesInFlight counts the repeated attempts in flight.
	hedgesInFlight atomic.Int64

	mu sync.Mutex
	// lossRate is the recent share of lost heartbeats. isLossy is set when it
	// rises above lossThreshold and cleared when it falls to half of that.
	lossRate float64
	isLossy  bool
}

// hedgeDelay returns how long to wait for a response before an order is sent
// again.
func (h *hedger) hedgeDelay() time.Duration {
	minDelay := orderHedgeDelay
	if h.lossy() {
		minDelay = lossyOrderHedgeDelay
	}
	return max(minDelay, orderHedgeFactor*h.latency())
}

// recordReply records a heartbeat that was answered, and whether the previous
// heartbeat to the same host was lost. Hosts that stay unresponsive do not count.
// It reports whether the lossy state has changed.
func (h *hedger) recordReply(afterLoss bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lossRate -= h.lossRate * lossWeight
	if afterLoss {
		h.lossRate += lossWeight
	}
	before := h.isLossy
	if h.isLossy {
		h.isLossy = h.lossRate > lossThreshold/2
	} else {
		h.isLossy = h.lossRate > lossThreshold
	}
	return h.isLossy != before
}

// lossy reports whether healthy hosts leave calls unanswered.
func (h *hedger) lossy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLossy
}

// recordReply records a heartbeat reply, and whether it follows a lost heartbeat
// to the same host.
func (m *Manager) recordReply(afterLoss bool) {
	if !m.hedger.recordReply(afterLoss) {
		return
	}
	if m.hedger.lossy() {
		m.Metrics.lossyPeriods.Inc()
		m.Log.Warn().Float64("share_over", lossThreshold).Msg("Hosts leave calls unanswered; resending sooner.")
		return
	}
	m.Log.Info().Float64("share_under", lossThreshold/2).Msg("Hosts respond to calls again.")
}

// heartbeatDelay returns the pause before the next heartbeat to a host: the
// recent latency of an order, within bounds.
func (h *hedger) heartbeatDelay() time.Duration {
	return min(heartbeatMaxDelay, max(heartbeatMinDelay, h.latency()))
}

// latency returns the recent latency of orders.
func (h *hedger) latency() time.Duration {
	return time.Duration(h.latencyMicros.Load()) * time.Microsecond
}

func (h *hedger) recordLatency(d time.Duration) {
	h.latencyMicros.Store((7*h.latencyMicros.Load() + d.Microseconds()) / 8)
}

// conclusive reports whether the outcome of one attempt determines the outcome of
// all attempts of the same order.
func conclusive(outcome worker.Outcome) bool {
	return outcome == worker.Accepted || outcome == worker.Gone || outcome == worker.Fenced
}

// do makes a call, repeats it while it has no response and is still wanted, and
// returns the certain outcome. A refused attempt does not determine the outcome
// of an earlier one that is still in flight: the outcome is Unknown then. settled is
// set if every attempt has had a response, so that none may be executed later.
func (h *hedger) do(counter prometheus.Counter, wanted func() bool, call func() worker.Outcome) (outcome worker.Outcome, settled bool) {
	outcomes := make(chan worker.Outcome, worker.MaxOrderAttempts)
	attempt := func() {
		sent := time.Now()
		outcome := call()
		if conclusive(outcome) {
			h.recordLatency(time.Since(sent))
		}
		outcomes <- outcome
	}
	go attempt()
	timer := time.NewTimer(h.hedgeDelay())
	defer timer.Stop()
	inFlight, sent := 1, 1
	answered := true
	for inFlight > 0 {
		select {
		case outcome := <-outcomes:
			inFlight--
			answered = answered && outcome != worker.Unknown
			if conclusive(outcome) || sent == 1 {
				return outcome, answered && inFlight == 0
			}
		case <-timer.C:
			if sent == worker.MaxOrderAttempts || h.hedgesInFlight.Load() >= maxHedges || !wanted() {
				continue
			}
			inFlight++
			sent++
			h.hedgesInFlight.Add(1)
			counter.Inc()
			go func() {
				defer h.hedgesInFlight.Add(-1)
				attempt()
			}()
			timer.Reset(h.hedgeDelay())
		}
	}
	return worker.Unknown, answered
}

// startRun sends a start that was ordered at that time. A process that was suspended before
// an attempt does not make it: the host may have restarted under its ID since.
func (m *Manager) startRun(order sched.Order, ordered time.Time) {
	sent := time.Now()
	wanted := func() bool { return m.startPending(order) && m.Starts.TrySpend(order.Bytes(), time.Now()) }
	outcome, settled := m.hedger.do(m.Metrics.hedges, wanted, func() worker.Outcome {
		if elapsed.Between(ordered, time.Now()) > worker.AttemptsOutlast {
			return worker.Expired
		}
		return m.Workers.Start(m.ctx, order.To, worker.Start{
			Task: order.Task, Run: order.Run, Payload: order.Payload, DeadlineMs: order.DeadlineMs,
			Fence: order.To.Fence, Checkpoint: order.Checkpoint, Ticket: order.Ticket,
		})
	})
	m.Metrics.recordCall("start", outcome, time.Since(sent))
	if outcome != worker.Accepted {
		m.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Int64("born", order.To.Born).
			Int64("fence", order.To.Fence).Stringer("outcome", outcome).Bool("settled", settled).Msg("A start was not accepted.")
	}
	m.enqueuePart(m.ctx, partOrders, func() {
		if !settled {
			m.pool.StartUnsettled(order.To, order.Task, order.Run)
		}
		m.pool.StartOutcome(order.To, order.Task, order.Run, outcome, time.Now(), m.WallClock())
	})
}

// startPending reports whether a start without a response may be sent again.
// Since it was first sent, the task may have completed elsewhere or its job may
// have been cancelled; the host would then begin an unwanted run after that end
// was stored.
func (m *Manager) startPending(order sched.Order) bool {
	wanted, ok := query(m.ctx, m, func() bool { return m.pool.StartPending(order.To.ID, order.Task, order.Run) })
	return ok && wanted
}

func (m *Manager) stopRun(order sched.Order) {
	sent := time.Now()
	always := func() bool { return true }
	outcome, _ := m.hedger.do(m.Metrics.hedges, always, func() worker.Outcome {
		return m.Workers.Stop(m.ctx, order.To, worker.Stop{Task: order.Task, Run: order.Run, Fence: order.To.Fence})
	})
	m.Metrics.recordCall("stop", outcome, time.Since(sent))
	m.enqueuePart(m.ctx, partOrders, func() { m.pool.StopOutcome(order.To, order.Task, order.Run, outcome, time.Now(), m.WallClock()) })
}

// heartbeatLoop sends heartbeats to one host for as long as it is in the pool.
// The heartbeat after a lost one requests an immediate reply, so that a single
// loss does not make the host count as unresponsive.
func (m *Manager) heartbeatLoop(id string) {
	lost := 0
	for {
		wait, timeout := heartbeatWait, time.Duration(0)
		if m.hedger.lossy() {
			wait, timeout = lossyHeartbeatWait, lossyHeartbeatWait+lossyHeartbeatGrace
		}
		if lost > 0 {
			wait = 0
		}
		next, ok := m.nextHeartbeat(id, wait)
		if !ok {
			return
		}
		if timeout > 0 {
			timeout += next.heartbeat.ExtraTimeout
		}
		delay := m.hedger.heartbeatDelay()
		if _, outcome := m.sendHeartbeat(next.target, next.heartbeat, timeout); outcome == worker.Accepted {
			m.recordReply(lost > 0)
			lost = 0
		} else if lost++; lost > 1 {
			delay = heartbeatRetryDelay
		}
		pause.For(m.ctx, delay)
		if m.ctx.Err() != nil {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat and posts its outcome to the pool's
// goroutine. A timeout of zero sets no bound beyond that of the client.
func (m *Manager) sendHeartbeat(target worker.Target, heartbeat worker.Heartbeat, timeout time.Duration) (worker.HeartbeatReply, worker.Outcome) {
	sent := time.Now()
	ctx := m.ctx
	if timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	reply, outcome := m.Workers.Heartbeat(ctx, target, heartbeat)
	took := time.Since(sent)
	m.Metrics.recordCall("hold", outcome, took)
	if outcome == worker.Accepted {
		late := max(0, took-heartbeat.Wait)
		m.Metrics.replyLateSeconds.Observe(late.Seconds())
		m.enqueuePart(m.ctx, partHeartbeats, func() {
			m.maxReplyLate = max(m.maxReplyLate, late)
			m.pool.ApplyHeartbeat(target.ID, sent, reply, time.Now(), m.WallClock())
		})
	} else {
		m.enqueuePart(m.ctx, partHeartbeats, func() { m.heartbeatFailed(target, outcome) })
	}
	return reply, outcome
}

func (m *Manager) heartbeatFailed(target worker.Target, outcome worker.Outcome) {
	if outcome == worker.Gone {
		m.Log.Info().Str("host", target.ID).Int64("born", target.Born).Msg("A host instance has ended.")
	}
	m.pool.HeartbeatFailed(target, outcome, time.Now(), m.WallClock())
}
