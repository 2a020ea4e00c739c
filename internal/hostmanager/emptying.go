package hostmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/pause"
)

// empty waits until nothing runs on a host any more and nothing will, and no
// longer than within.
func (k *Manager) empty(ctx context.Context, host Host, within time.Duration) bool {
	until := time.Now().Add(within)
	for ctx.Err() == nil && !k.isDeposed() && time.Now().Before(until) {
		if k.stillEmpty(ctx, host, false) {
			return true
		}
		if k.livesAnew(host) {
			return false
		}
		pause.For(ctx, emptyEvery)
	}
	return false
}

// call makes a call until its outcome is certain. It reports whether it was
// carried out.
func (k *Manager) call(ctx context.Context, host Host, act func() Outcome) (carriedOut bool, last Outcome) {
	called, until := false, time.Now().Add(emptyWithin)
	for ctx.Err() == nil && !k.isDeposed() {
		if !k.acts() || !k.stillEmpty(ctx, host, called) {
			if !called && (time.Now().After(until) || k.livesAnew(host)) {
				return false, Refused
			}
			pause.For(ctx, retryEvery)
			continue
		}
		if !k.pace.Allow() {
			// Its host is asked again before the call: work may have come to it.
			pause.For(ctx, pause.Jitter(paceRetry))
			continue
		}
		last, called = act(), true
		k.Log.Info().Str("host", host.Name).Str("pool", host.Pool).Int64("fence", k.fence).Stringer("outcome", last).Msg("Called the platform for a host.")
		switch last {
		case Done:
			return true, last
		case Fenced:
			k.depose()
			return false, last
		case Busy, NotInWave, NoSuchHost:
			return false, last
		}
		pause.For(ctx, retryEvery)
	}
	return false, last
}

// stillEmpty asks right before a call whether a host is empty: some time may
// have gone since it was, waiting for the store, and its pool takes it back
// into use when nobody asks. After a call without an outcome the host may be
// gone from its pool, and the call has to be made again to know.
func (k *Manager) stillEmpty(ctx context.Context, host Host, called bool) bool {
	if !k.HasHolder(host.Pool) {
		return true
	}
	e, ok := k.questions.ask(ctx, host.Pool, host.Worker)
	return ok && (e.Known && e.Empty || !e.Known && called)
}

// livesAnew reports whether the list shows a host in another life than the one
// that was to be emptied: it crashed, and its pool knows the old life no more.
// Waited for until the time was up, twenty seconds, it was left over in its wave.
func (k *Manager) livesAnew(host Host) bool {
	now, listed := k.host(host.Name)
	return !listed || now.Up && now.Worker != host.Worker
}

// awaitBack waits until a host is up in another life. One that is up in the
// same life some time after the call was already done with.
func (k *Manager) awaitBack(ctx context.Context, host Host) {
	began := time.Now()
	until := began.Add(backWithin)
	for ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, retryEvery)
		if err := k.list(ctx); err != nil {
			continue
		}
		now, listed := k.host(host.Name)
		if !listed || now.Up && (now.Worker != host.Worker || time.Since(began) > sameLifeAfter) {
			return
		}
	}
}
