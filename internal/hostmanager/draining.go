package hostmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/pause"
)

// awaitDrained waits until a host is drained, for at most timeout. It reports
// whether it is.
func (m *Manager) awaitDrained(ctx context.Context, host Host, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && !m.isFenced() && time.Now().Before(deadline) {
		if m.isDrained(ctx, host, false) {
			return true
		}
		if m.replaced(host) {
			return false
		}
		pause.For(ctx, drainPollInterval)
	}
	return false
}

// callPlatform makes a call for a drained host and repeats it until the outcome is
// certain. It reports whether the call was carried out, and the last outcome: Unknown if any
// call may still be.
func (m *Manager) callPlatform(ctx context.Context, host Host, act func() Outcome) (carriedOut bool, last Outcome) {
	called, uncertain, deadline := false, false, time.Now().Add(drainTimeout)
	for ctx.Err() == nil && !m.isFenced() {
		if !m.mayAct() || !m.isDrained(ctx, host, called) {
			if !called && (time.Now().After(deadline) || m.replaced(host)) {
				return false, Refused
			}
			pause.For(ctx, retryInterval)
			continue
		}
		if !m.limiter.Allow() {
			// The drain state is checked again before the call, since the host may
			// have received work meanwhile.
			pause.For(ctx, pause.Jitter(rateLimitRetry))
			continue
		}
		last, called = act(), true
		m.Log.Info().Str("host", host.Name).Str("pool", host.Pool).Int64("fence", m.fence).Stringer("outcome", last).Msg("Called the platform for a host.")
		switch last {
		case Done:
			return true, last
		case Fenced:
			m.setFenced()
			return false, last
		case Busy, NotInWave, NoSuchHost:
			if uncertain {
				return false, Unknown
			}
			return false, last
		case Unknown:
			uncertain = true
		}
		pause.For(ctx, retryInterval)
	}
	return false, last
}

// isDrained checks right before a call whether a host is drained. Some time may
// have passed since the last check while the store was slow, and the pool uses a
// host again if no drain requests arrive. After a call with an unknown outcome the
// host may be gone from its pool, and the call has to be repeated to find out.
func (m *Manager) isDrained(ctx context.Context, host Host, called bool) bool {
	if !m.HasHolder(host.Pool) {
		return true
	}
	state, ok := m.drains.drain(ctx, host.Pool, host.Worker)
	return ok && (state.Known && state.Empty || !state.Known && called)
}

// replaced reports whether the list shows another instance of a host than the one
// to be drained: the host crashed, and its pool no longer has the old instance.
// Waiting for the full drain timeout of twenty seconds instead left the host out
// of its wave.
func (m *Manager) replaced(host Host) bool {
	now, listed := m.host(host.Name)
	return !listed || now.Up && now.Worker != host.Worker
}

// awaitReturn waits until a host is up with another instance. A host that is up
// with the same instance some time after the call was already done before.
func (m *Manager) awaitReturn(ctx context.Context, host Host) {
	start := time.Now()
	deadline := start.Add(returnTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		pause.For(ctx, retryInterval)
		if err := m.list(ctx); err != nil {
			continue
		}
		now, listed := m.host(host.Name)
		if !listed || now.Up && (now.Worker != host.Worker || time.Since(start) > sameInstanceAfter) {
			return
		}
	}
}
