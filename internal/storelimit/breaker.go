package storelimit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/store"
)

const (
	// openAfter failures in a row take the store to be away.
	openAfter = 5
	// probePause and probePauseMax bound the time between two probes.
	probePause    = 500 * time.Millisecond
	probePauseMax = 4 * time.Second
)

// CircuitOpenError is the cause of calls that weren't made because the store is
// away.
type CircuitOpenError struct{ OpenFor time.Duration }

func (e *CircuitOpenError) Error() string { return fmt.Sprintf("not asked: away for %s", e.OpenFor) }

// breaker keeps calls from a store that is away. One call at a time goes
// through as a probe, after a pause that grows and is jittered, so that the
// processes neither hammer the store nor come back in step.
type breaker struct {
	log     zerolog.Logger
	metrics *metrics

	mu       sync.Mutex
	failures int
	open     bool
	since    time.Time
	probing  bool
	pause    time.Duration
	probeAt  time.Time
}

func newBreaker(log zerolog.Logger, m *metrics) *breaker { return &breaker{log: log, metrics: m} }

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// refuse returns an error while the store is away, and never takes the probe.
func (b *breaker) refuse(op string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return nil
	}
	return b.away(op)
}

func (b *breaker) away(op string) error {
	return &store.UnavailableError{Op: op, Cause: &CircuitOpenError{OpenFor: time.Since(b.since)}}
}

// admit lets a call through, as the probe when the store is away.
func (b *breaker) admit(op string) (probe bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return false, nil
	}
	if b.probing || time.Now().Before(b.probeAt) {
		return false, b.away(op)
	}
	b.probing = true
	return true, nil
}

// answered takes note that the store answered, and reports whether it had been
// taken to be away. Only the probe closes the breaker: a late answer to a call
// from before the outage says nothing about now.
func (b *breaker) answered(probe bool) (back bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open && !probe {
		return false
	}
	b.failures = 0
	if !b.open {
		return false
	}
	b.open, b.probing, b.pause = false, false, 0
	b.metrics.away.Set(0)
	b.log.Info().Dur("away", time.Since(b.since)).Msg("Store is back.")
	return true
}

func (b *breaker) failed(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	switch {
	case probe:
		b.probing = false
		b.nextProbe()
	case !b.open && b.failures >= openAfter:
		b.open, b.since = true, time.Now()
		b.metrics.away.Set(1)
		b.log.Warn().Int("failures", b.failures).Msg("Store taken to be away.")
		b.nextProbe()
	}
}

// unanswered ends a probe whose caller gave up.
func (b *breaker) unanswered(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probing = false
	}
}

func (b *breaker) nextProbe() {
	b.pause = min(max(2*b.pause, probePause), probePauseMax)
	// The jitter is as wide as the pause: all processes lost the store at the
	// same moment, and a tenth of it would keep them in step.
	b.probeAt = time.Now().Add(b.pause/2 + rand.N(b.pause))
}
