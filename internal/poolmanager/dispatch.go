package poolmanager

import (
	"time"

	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/worker"
)

func (k *Manager) dispatch(order sched.Order) {
	switch order.Verb {
	case sched.Start:
		k.Metrics.starts.Inc()
		if order.Speculative {
			k.Metrics.copies.Inc()
			k.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Msg("Starts a copy.")
		}
		k.Log.Debug().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Msg("Starts a task.")
		go k.start(order)
	case sched.Stop:
		k.Metrics.stops.Inc()
		k.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).
			Str("reason", order.Reason).Msg("Stops a run.")
		go k.stop(order)
	case sched.Throttle:
		k.Metrics.paces.Inc()
		go k.pace(order)
	}
}

func (k *Manager) pace(order sched.Order) {
	sent := time.Now()
	outcome := k.Workers.Throttle(k.ctx, order.To, worker.Throttle{
		Task: order.Task, Run: order.Run, Percent: order.Percent, Fence: k.grant.Head.Fence,
	})
	k.Metrics.order("pace", outcome, time.Since(sent))
	k.doPart(k.ctx, partOrders, func() { k.pool.ThrottleOutcome(order.To.ID, order, outcome) })
}

func (k *Manager) question(question sched.AdviceRequest) {
	if k.Adviser == nil {
		return
	}
	sent := time.Now()
	tickets, validity, err := k.Adviser.Advise(k.ctx, question.Step, question.Hosts)
	if err != nil {
		k.Log.Warn().Err(err).Str("step", question.Step).Msg("No advice.")
	}
	k.do(k.ctx, func() { k.pool.ApplyAdvice(question, tickets, validity, err == nil, sent, time.Now()) })
}

// nextHold asks the pool for the next hold of a host, which may wait for wait.
func (k *Manager) nextHold(id string, wait time.Duration) (worker.Heartbeat, bool) {
	type next struct {
		hold worker.Heartbeat
		ok   bool
	}
	answer, ok := query(k.ctx, k, func() (n next) {
		now := time.Now()
		n.hold, n.ok = k.pool.NextHeartbeat(id, wait, k.surelyHeld(now), now)
		if !n.ok {
			delete(k.asking, id)
		}
		return n
	})
	return answer.hold, ok && answer.ok
}
