// Package storelimit spends one process's calls to the platform's store: from
// a token bucket, the most important first; not at all while the store is
// away, but for a probe now and then; and slowly at first once it is back.
// Every part of a process shares one Budget.
package storelimit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/store"
)

// Config is what a Budget is made of. Zero values mean the defaults.
type Config struct {
	// MaxRate is how many calls a second this process may make when the store
	// takes them all.
	MaxRate int
	// FleetRate is how many calls a second all processes together may make
	// while the store is throttling or has just come back. The platform's
	// service takes about two thousand reads and several hundred writes.
	FleetRate int
	// Members returns how many processes share FleetRate.
	Members func() int
	// CheckWrite, when set, says why a key must not be written at present.
	CheckWrite func(key string) error
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Defaults of a Config.
const (
	DefaultMaxRate   = 400
	DefaultFleetRate = 600
)

// Store is a store.Store that makes its calls within the budget. Calls it
// doesn't make return *store.ThrottledError, or *store.UnavailableError while
// the store is away; nothing has happened then.
type Store struct {
	inner   store.Store
	check   func(key string) error
	bucket  *bucket
	breaker *breaker
	metrics *metrics
}

var _ store.Store = (*Store)(nil)

// New returns a budget around inner.
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
		return max(leastRate, min(float64(config.MaxRate), float64(config.FleetRate)/float64(max(config.Members(), 1))))
	}
	return &Store{
		inner:   inner,
		check:   config.CheckWrite,
		bucket:  newBucket(float64(config.MaxRate), floor),
		breaker: newBreaker(config.Log, m),
		metrics: m,
	}
}

// CircuitOpen reports whether the store is taken to be away.
func (b *Store) CircuitOpen() bool { return b.breaker.isOpen() }

// Get implements store.Store.
func (b *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	return spend(ctx, b, "get", ofKey(key), func() (store.Entry, error) { return b.inner.Get(ctx, key) })
}

// List implements store.Store.
func (b *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	return spend(ctx, b, "list", ofKey(prefix), func() (store.Listing, error) { return b.inner.List(ctx, prefix) })
}

// CompareAndSwap implements store.Store.
func (b *Store) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	if b.check != nil {
		if err := b.check(write.Key); err != nil {
			return 0, &store.UnavailableError{Op: "compare-and-swap", Cause: err}
		}
	}
	return spend(ctx, b, "compare-and-swap", ofKey(write.Key), func() (store.Revision, error) {
		return b.inner.CompareAndSwap(ctx, write)
	})
}

// Watch implements store.Store. It never serves as the probe of an absent
// store: it can wait for long without saying anything.
func (b *Store) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := b.breaker.refuse("watch"); err != nil {
		b.metrics.refused(Watch, outcomeAway)
		return store.WatchBatch{}, err
	}
	return spend(ctx, b, "watch", Watch, func() (store.WatchBatch, error) {
		return b.inner.Watch(ctx, prefix, after)
	})
}

// Grant implements store.Store.
func (b *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return spend(ctx, b, "grant", Lease, func() (store.Lease, error) { return b.inner.Grant(ctx, ttl) })
}

// KeepAlive implements store.Store.
func (b *Store) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	return spend(ctx, b, "keep-alive", Lease, func() (store.Lease, error) { return b.inner.KeepAlive(ctx, id) })
}

// Revoke implements store.Store.
func (b *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := spend(ctx, b, "revoke", Lease, func() (struct{}, error) { return struct{}{}, b.inner.Revoke(ctx, id) })
	return err
}

// spend makes one call if the budget has room for it and the store is there.
func spend[T any](ctx context.Context, b *Store, op string, class Class, call func() (T, error)) (T, error) {
	var none T
	if err := b.bucket.take(ctx, op, class); err != nil {
		b.metrics.refused(class, outcomeThrottled)
		return none, err
	}
	probe, err := b.breaker.admit(op)
	if err != nil {
		b.bucket.putBack()
		b.metrics.refused(class, outcomeAway)
		return none, err
	}
	b.metrics.made(class)
	answer, err := call()
	b.learn(ctx, probe, err)
	return answer, err
}

// learn draws conclusions from an answer: what the store said about the call
// itself, such as a conflict, shows it to be well.
func (b *Store) learn(ctx context.Context, probe bool, err error) {
	switch {
	case isThrottled(err):
		b.breaker.answered(probe)
		b.bucket.slowDown()
	case errors.Is(ctx.Err(), context.Canceled) && isFailure(err):
		// The caller stopped; that says nothing about the store. A deadline
		// that passed does: a store that never answers fails no other way.
		b.breaker.unanswered(probe)
	case isFailure(err):
		b.breaker.failed(probe)
	default:
		if b.breaker.answered(probe) {
			b.bucket.restart()
		}
		b.bucket.speedUp()
	}
	b.metrics.rate.Set(b.bucket.currentRate())
}
