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
	// failureThreshold consecutive failures open the circuit.
	failureThreshold = 5
	// minProbeDelay and maxProbeDelay bound the backoff between two probes,
	// before jitter.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
)

// CircuitOpenError is the cause of calls that were not made because the circuit
// is open: the store is considered unavailable.
type CircuitOpenError struct{ OpenFor time.Duration }

func (e *CircuitOpenError) Error() string { return fmt.Sprintf("not asked: away for %s", e.OpenFor) }

// breaker is a circuit breaker for the store. While it is open, one call at a
// time is admitted as a probe, after an exponential backoff with jitter, so that
// processes neither overload the store nor retry in lockstep.
type breaker struct {
	log     zerolog.Logger
	metrics *metrics

	mu         sync.Mutex
	failures   int
	open       bool
	openedAt   time.Time
	probing    bool
	probeDelay time.Duration
	probeAt    time.Time
}

func newBreaker(log zerolog.Logger, m *metrics) *breaker { return &breaker{log: log, metrics: m} }

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// checkClosed returns an error while the circuit is open, and never admits a
// probe.
func (b *breaker) checkClosed(op string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return nil
	}
	return b.openError(op)
}

func (b *breaker) openError(op string) error {
	return &store.UnavailableError{Op: op, Cause: &CircuitOpenError{OpenFor: time.Since(b.openedAt)}}
}

// admit admits a call while the circuit is closed, and at most one at a time as a
// probe while it is open. It returns *store.UnavailableError otherwise.
func (b *breaker) admit(op string) (probe bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return false, nil
	}
	if b.probing || time.Now().Before(b.probeAt) {
		return false, b.openError(op)
	}
	b.probing = true
	return true, nil
}

// onResponse records a response of the store, and reports whether it closed the
// circuit. Only a probe's response closes it: a late response to a call made
// before the outage does not show that the store is available now.
func (b *breaker) onResponse(probe bool) (closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open && !probe {
		return false
	}
	b.failures = 0
	if !b.open {
		return false
	}
	b.open, b.probing, b.probeDelay = false, false, 0
	b.metrics.unavailable.Set(0)
	b.log.Info().Dur("away", time.Since(b.openedAt)).Msg("Store available again; circuit closed.")
	return true
}

func (b *breaker) onFailure(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	switch {
	case probe:
		b.probing = false
		b.scheduleProbe()
	case !b.open && b.failures >= failureThreshold:
		b.open, b.openedAt = true, time.Now()
		b.metrics.unavailable.Set(1)
		b.log.Warn().Int("failures", b.failures).Msg("Store unavailable; circuit opened.")
		b.scheduleProbe()
	}
}

// onAbandoned ends a probe that its caller cancelled; the next call may probe.
func (b *breaker) onAbandoned(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probing = false
	}
}

func (b *breaker) scheduleProbe() {
	b.probeDelay = min(max(2*b.probeDelay, minProbeDelay), maxProbeDelay)
	// The jitter is as wide as the delay: all processes lose the store at the
	// same moment, and a tenth of the delay would keep their probes in lockstep.
	b.probeAt = time.Now().Add(b.probeDelay/2 + rand.N(b.probeDelay))
}
