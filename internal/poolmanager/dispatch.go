package poolmanager

import (
	"time"

	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/worker"
)

func (m *Manager) dispatch(order sched.Order) {
	switch order.Verb {
	case sched.Start:
		m.Metrics.starts.Inc()
		m.Starts.Spend(order.Bytes(), time.Now())
		if order.Speculative {
			m.Metrics.speculativeStarts.Inc()
			m.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Msg("Starting a speculative run.")
		}
		m.Log.Debug().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Msg("Starting a task.")
		go m.startRun(order, time.Now())
	case sched.Stop:
		m.Metrics.stops.Inc()
		m.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).
			Str("reason", order.Reason).Msg("Stopping a run.")
		go m.stopRun(order)
	case sched.Throttle:
		m.Metrics.throttles.Inc()
		go m.throttle(order)
	}
}

func (m *Manager) throttle(order sched.Order) {
	sent := time.Now()
	outcome := m.Workers.Throttle(m.ctx, order.To, worker.Throttle{
		Task: order.Task, Run: order.Run, Percent: order.Percent, Fence: order.To.Fence,
	})
	m.Metrics.recordCall("pace", outcome, time.Since(sent))
	m.enqueuePart(m.ctx, partOrders, func() { m.pool.ThrottleOutcome(order, outcome) })
}

func (m *Manager) requestAdvice(request sched.AdviceRequest) {
	if m.Adviser == nil {
		return
	}
	sent := time.Now()
	tickets, validity, err := m.Adviser.Advise(m.ctx, request.Step, request.Hosts)
	if err != nil {
		m.Log.Warn().Err(err).Str("step", request.Step).Msg("Failed to get placement advice.")
	}
	m.enqueue(m.ctx, func() { m.pool.ApplyAdvice(request, tickets, validity, err == nil, sent, time.Now()) })
}

// nextHeartbeat is a heartbeat and the host that it is for. known is false when the
// pool does not have the host.
type nextHeartbeat struct {
	heartbeat worker.Heartbeat
	target    worker.Target
	known     bool
}

// nextHeartbeat returns the next heartbeat for a host, whose reply the host may
// delay by wait. ok is false when the host is no longer in the pool or the
// manager has stopped; the heartbeat loop ends then.
func (m *Manager) nextHeartbeat(id string, wait time.Duration) (next nextHeartbeat, ok bool) {
	next, ok = query(m.ctx, m, func() (n nextHeartbeat) {
		now := time.Now()
		m.confirm(now)
		n.heartbeat, n.known = m.pool.NextHeartbeat(id, wait, now)
		n.target, _ = m.pool.Target(id)
		if !n.known {
			delete(m.heartbeating, id)
		}
		return n
	})
	return next, ok && next.known
}
