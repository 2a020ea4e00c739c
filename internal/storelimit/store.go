// Package storelimit rate-limits one process's calls to the platform's store. A
// token bucket serves the most important calls first; a circuit breaker stops all
// calls but an occasional probe while the store is unavailable; after an outage
// the rate starts low. All components of a process share one Store.
package storelimit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/store"
)

// Config configures a Store. Zero values select the defaults.
type Config struct {
	// MaxRate is the rate limit of this process in calls a second while the
	// store accepts all calls.
	MaxRate int
	// FleetRate is the rate limit in calls a second of all processes together
	// while the store throttles or has just become available again. The
	// platform's service accepts about 2,000 reads and several hundred writes a
	// second.
	FleetRate int
	// Members returns the number of processes that share FleetRate.
	Members func() int
	// CheckWrite, if set, returns an error if a key must not be written at
	// present.
	CheckWrite func(key string) error
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Defaults of a Config.
const (
	DefaultMaxRate   = 400
	DefaultFleetRate = 600
)

// Store is a store.Store that rate-limits its calls. A call that is not made
// returns *store.ThrottledError, or *store.UnavailableError while the circuit is
// open; it has had no effect.
type Store struct {
	inner      store.Store
	checkWrite func(key string) error
	bucket     *bucket
	breaker    *breaker
	metrics    *metrics
}

var _ store.Store = (*Store)(nil)

// New returns a Store that sends its calls to inner.
func New(inner store.Store, config Config) *Store {
	if config.MaxRate == 0 {
		config.MaxRate = DefaultMaxRate
	}
	if config.FleetRate == 0 {
		config.FleetRate = DefaultFleetRate
	}
	if config.Members == nil {
		config.Members = func() int { return 1 }
	}
	m := newMetrics(config.Registerer)
	floor := func() float64 {
		return max(minRate, min(float64(config.MaxRate), float64(config.FleetRate)/float64(max(config.Members(), 1))))
	}
	return &Store{
		inner:      inner,
		checkWrite: config.CheckWrite,
		bucket:     newBucket(float64(config.MaxRate), floor),
		breaker:    newBreaker(config.Log, m),
		metrics:    m,
	}
}

// CircuitOpen reports whether the store is considered unavailable.
func (s *Store) CircuitOpen() bool { return s.breaker.isOpen() }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	return limited(ctx, s, "get", classOfKey(key), func() (store.Entry, error) { return s.inner.Get(ctx, key) })
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	return limited(ctx, s, "list", classOfKey(prefix), func() (store.Listing, error) { return s.inner.List(ctx, prefix) })
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if s.checkWrite != nil {
		if err := s.checkWrite(write.Key); err != nil {
			return 0, &store.UnavailableError{Op: "compare-and-swap", Cause: err}
		}
	}
	return limited(ctx, s, "compare-and-swap", classOfKey(write.Key), func() (store.Revision, error) {
		return s.inner.CompareAndSwap(ctx, write)
	})
}

// Watch implements store.Store. A watch never serves as the probe of an
// unavailable store, because it can block for long without a response.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := s.breaker.checkClosed("watch"); err != nil {
		s.metrics.recordRefused(Watch, outcomeUnavailable)
		return store.WatchBatch{}, err
	}
	return limited(ctx, s, "watch", Watch, func() (store.WatchBatch, error) {
		return s.inner.Watch(ctx, prefix, after)
	})
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return limited(ctx, s, "grant", Lease, func() (store.Lease, error) { return s.inner.Grant(ctx, ttl) })
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	return limited(ctx, s, "keep-alive", Lease, func() (store.Lease, error) { return s.inner.KeepAlive(ctx, id) })
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := limited(ctx, s, "revoke", Lease, func() (struct{}, error) { return struct{}{}, s.inner.Revoke(ctx, id) })
	return err
}

// limited makes one call if the bucket grants a token and the circuit breaker
// admits it.
func limited[T any](ctx context.Context, s *Store, op string, class Class, call func() (T, error)) (T, error) {
	var zero T
	if err := s.bucket.acquire(ctx, op, class); err != nil {
		s.metrics.recordRefused(class, outcomeThrottled)
		return zero, err
	}
	probe, err := s.breaker.admit(op)
	if err != nil {
		s.bucket.refund()
		s.metrics.recordRefused(class, outcomeUnavailable)
		return zero, err
	}
	s.metrics.recordMade(class)
	response, err := call()
	s.recordResult(ctx, probe, err)
	return response, err
}

// recordResult adjusts the circuit breaker and the rate to the result of a call.
// An error about the call itself, such as a conflict, counts as success: the
// store is available.
func (s *Store) recordResult(ctx context.Context, probe bool, err error) {
	switch {
	case isThrottled(err):
		s.breaker.onResponse(probe)
		s.bucket.onThrottled()
	case errors.Is(ctx.Err(), context.Canceled) && isFailure(err):
		// A call that its caller cancelled tells nothing about the store. An
		// expired deadline does count as a failure, since a store that never
		// responds causes no other error.
		s.breaker.onAbandoned(probe)
	case isFailure(err):
		s.breaker.onFailure(probe)
	default:
		if s.breaker.onResponse(probe) {
			s.bucket.resetToFloor()
		}
		s.bucket.raiseRate()
	}
	s.metrics.rate.Set(s.bucket.currentRate())
}
