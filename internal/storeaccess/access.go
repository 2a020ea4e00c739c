// Package storeaccess is an entry host's way to the store. What all entry hosts watch is
// read from the store by a few of them in each availability zone, the relays, and followed
// by the others, so that the store's calls don't grow with the fleet. A process whose
// calls the store refuses makes those that matter through another entry host.
package storeaccess

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/store"
)

const (
	// minAvoid is the mean time for which a source that failed isn't asked. It doubles with
	// each further failure, up to maxAvoid. A relay that has just started is current after
	// some tens of milliseconds. The time is spread, so that followers don't come back at
	// once.
	minAvoid = 100 * time.Millisecond
	maxAvoid = 800 * time.Millisecond
	// throttledFor is how long the store must have refused all calls for its rate limit
	// before another entry host makes them. A store that is busy refuses some calls of
	// all, and each refused call would be made several times.
	throttledFor = 300 * time.Millisecond
	// relayBackoff is the pause after all entry hosts that were asked were refused too:
	// the store is then unavailable to all.
	relayBackoff = time.Second
	// relayTimeout bounds the tries of one call through other entry hosts, and a list by a
	// relay.
	relayTimeout = 700 * time.Millisecond
	// followTimeout bounds a watch of a relay, or through another entry host. It answers
	// when the store has confirmed, which it does once a second, or says that it hasn't.
	followTimeout = maxServedAge + 300*time.Millisecond
)

// Peers calls other entry hosts in place of the store. An entry host never passes such a
// call on to a third one. A call that never left, or that the store refused there, returns
// *store.UnavailableError or *store.ThrottledError; a write without a response
// *store.UnknownOutcomeError.
type Peers interface {
	// ListShared and WatchShared return what a relay knows of a shared prefix, or
	// *NotCurrentError.
	ListShared(ctx context.Context, address, prefix string) (store.Listing, error)
	WatchShared(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error)
	Commit(ctx context.Context, address string, txn store.Txn) (store.Revision, error)
	Get(ctx context.Context, address, key string) (store.Entry, error)
	List(ctx context.Context, address, prefix string) (store.Listing, error)
	Watch(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error)
	Grant(ctx context.Context, address string, ttl time.Duration) (store.Lease, error)
	KeepAlive(ctx context.Context, address string, id store.LeaseID) (store.Lease, error)
}

// Config configures an Access.
type Config struct {
	// Direct is the client of the store.
	Direct store.Transactor
	Peers  Peers
	// Shared are the prefixes that all entry hosts watch.
	Shared []string
	// Route returns how this process reaches the store now.
	Route   func() Route
	Log     zerolog.Logger
	Metrics *Metrics
}

// Access implements store.Transactor. It is safe for concurrent use.
type Access struct {
	Config
	caches map[string]*cache

	mu sync.Mutex
	// failing are the sources that failed last, by address; the store's is empty.
	failing map[string]failing
	// source is where the last answer to a watch of a shared prefix came from.
	source string
	// refusedSince is since when the store has refused all calls, zero if it serves.
	refusedSince time.Time
	// relayAfter is when calls may go through other entry hosts again.
	relayAfter time.Time
}

var _ store.Transactor = (*Access)(nil)

// New returns an Access.
func New(config Config) *Access {
	a := &Access{Config: config, caches: make(map[string]*cache), failing: make(map[string]failing)}
	for _, prefix := range config.Shared {
		a.caches[prefix] = newCache(prefix)
	}
	return a
}

// NoSourceError reports that all sources of a shared prefix failed a moment ago.
type NoSourceError struct{ Prefix string }

func (e *NoSourceError) Error() string { return fmt.Sprintf("no source of %s responds", e.Prefix) }

// sources returns where a shared prefix is read, in order, without those that failed a
// moment ago. A process that watches the store itself has it as a last resort.
func (a *Access) sources(now time.Time) []string {
	sources := a.Route().sources()
	a.mu.Lock()
	defer a.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(sources), func(source string) bool { return now.Before(a.failing[source].until) })
	if len(usable) == 0 && sources[0] == directSource {
		return sources[:1]
	}
	return usable
}

// read tries the sources of a shared prefix in order until one answers.
func (a *Access) read(ctx context.Context, prefix string, from func(ctx context.Context, source string) error) error {
	var failure error = &store.UnavailableError{Op: "read", Cause: &NoSourceError{prefix}}
	for _, source := range a.sources(time.Now()) {
		err := from(ctx, source)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil || store.IsCompacted(err) {
			a.answered(source)
			return err
		}
		a.didNotAnswer(source, err)
		failure = err
	}
	return failure
}

// answered records that a source serves this process.
func (a *Access) answered(source string) {
	a.mu.Lock()
	before := a.source
	a.source = source
	delete(a.failing, source)
	a.mu.Unlock()
	a.Metrics.follows(source)
	if before != source {
		a.Log.Info().Str("from", sourceName(source)).Str("before", sourceName(before)).Msg("Changed the source of shared entries.")
	}
}

func sourceName(source string) string {
	if source == directSource {
		return "the store"
	}
	return source
}

// failing is a source that failed.
type failing struct {
	// until is when it may be asked again, wait the mean time that it isn't asked.
	until time.Time
	wait  time.Duration
}

func (a *Access) didNotAnswer(source string, cause error) {
	if a.avoid(source) {
		a.Log.Warn().Err(cause).Str("from", sourceName(source)).Msg("The source of shared entries did not answer.")
	}
}

// avoid records that a source failed, and reports whether it was the one in use.
func (a *Access) avoid(source string) (inUse bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := max(minAvoid, min(maxAvoid, 2*a.failing[source].wait))
	a.failing[source] = failing{until: time.Now().Add(spread(wait)), wait: wait}
	return a.source == source
}

// spread returns a random duration around a mean.
func spread(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Follows returns the address of the relay that this process follows, empty if it reads
// from the store.
func (a *Access) Follows() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.source
}

// List implements store.Store.
func (a *Access) List(ctx context.Context, prefix string) (listing store.Listing, err error) {
	shared := a.caches[prefix]
	if shared == nil {
		return throughPeers(ctx, a, relayTimeout, func() (store.Listing, error) { return a.Direct.List(ctx, prefix) },
			func(ctx context.Context, address string) (store.Listing, error) {
				return a.Peers.List(ctx, address, prefix)
			})
	}
	err = a.read(ctx, prefix, func(ctx context.Context, source string) (err error) {
		sent := time.Now()
		if source == directSource {
			if listing, err = a.Direct.List(ctx, prefix); err != nil {
				shared.failed()
				return err
			}
			shared.listed(listing, true, sent)
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		if listing, err = a.Peers.ListShared(ctx, source, prefix); err != nil {
			return err
		}
		listing.Relayed = true
		// A relay may be behind the one followed before.
		if listing.Revision < shared.lastRevision() {
			return &NotCurrentError{prefix}
		}
		shared.listed(listing, false, sent)
		return nil
	})
	return listing, err
}

// Watch implements store.Store.
func (a *Access) Watch(ctx context.Context, prefix string, after store.Revision) (batch store.WatchBatch, err error) {
	shared := a.caches[prefix]
	if shared == nil {
		return throughPeers(ctx, a, followTimeout, func() (store.WatchBatch, error) { return a.Direct.Watch(ctx, prefix, after) },
			func(ctx context.Context, address string) (store.WatchBatch, error) {
				return a.Peers.Watch(ctx, address, prefix, after)
			})
	}
	err = a.read(ctx, prefix, func(ctx context.Context, source string) (err error) {
		sent := time.Now()
		if source == directSource {
			if batch, err = a.Direct.Watch(ctx, prefix, after); err != nil {
				if !store.IsCompacted(err) {
					shared.failed()
				}
				return err
			}
			shared.watched(batch, true, sent.Add(batch.Quiet))
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		if batch, err = a.Peers.WatchShared(ctx, source, prefix, after); err != nil {
			return err
		}
		batch.Relayed = true
		shared.watched(batch, false, sent)
		return nil
	})
	return batch, err
}

// Own returns this process's own client of the store, for a call made for another entry
// host.
func (a *Access) Own() store.Transactor {
	a.Metrics.serves(servedCall)
	return a.Direct
}

// ServeList returns the entries under a shared prefix to a follower, or *NotCurrentError.
func (a *Access) ServeList(prefix string) (store.Listing, error) {
	shared := a.caches[prefix]
	if shared == nil {
		return store.Listing{}, &NotCurrentError{prefix}
	}
	a.Metrics.serves(servedList)
	return shared.list(time.Now())
}

// ServeWatch returns the changes under a shared prefix to a follower once there are some,
// or once the store has confirmed that there are none. It returns *NotCurrentError when
// this process doesn't know.
func (a *Access) ServeWatch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	shared := a.caches[prefix]
	if shared == nil {
		return store.WatchBatch{}, &NotCurrentError{prefix}
	}
	a.Metrics.serves(servedWatch)
	return shared.watch(ctx, after)
}
