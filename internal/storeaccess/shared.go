package storeaccess

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

const (
	// minAvoid is the mean time for which a source that failed isn't asked. It doubles with
	// each further failure, up to maxAvoid. A relay that has just started is current after
	// some tens of milliseconds. The time is spread, so that followers don't come back at
	// once.
	minAvoid = 100 * time.Millisecond
	maxAvoid = 800 * time.Millisecond
	// followTimeout bounds each wait for more of the answer to a watch of a relay, or through
	// another entry host. It answers when the store has confirmed, which it does once a
	// second, or says that it hasn't.
	followTimeout = maxSilence + 300*time.Millisecond
)

// NoSourceError reports that all sources of a shared prefix failed a moment ago.
type NoSourceError struct{ Prefix string }

func (e *NoSourceError) Error() string { return fmt.Sprintf("no source of %s responds", e.Prefix) }

// failing is a source that failed.
type failing struct {
	// until is when it may be asked again, wait the mean time that it isn't asked.
	until time.Time
	wait  time.Duration
}

// listShared lists a shared prefix from the first source that answers.
func (a *Access) listShared(ctx context.Context, c *cache) (listing store.Listing, err error) {
	err = a.read(ctx, c, func(ctx context.Context, source string) (err error) {
		listing, err = a.listFrom(ctx, source, c)
		return err
	})
	return listing, err
}

func (a *Access) listFrom(ctx context.Context, source string, c *cache) (store.Listing, error) {
	sent := time.Now()
	if source == directSource {
		listing, err := a.Direct.List(ctx, c.prefix)
		if err != nil {
			c.failed()
			return listing, err
		}
		c.listed(listing, true, sent)
		return listing, nil
	}
	ctx, cancel := progress.WithTimeout(ctx, relayTimeout)
	defer cancel()
	listing, err := a.Peers.ListShared(ctx, source, c.prefix)
	if err != nil {
		return listing, err
	}
	if listing.Revision < c.lastRevision() {
		// The relay is behind the one followed before.
		return listing, &NotCurrentError{c.prefix}
	}
	listing.Quiet = min(listing.Quiet, time.Since(sent))
	c.listed(listing, false, sent)
	return listing, nil
}

// watchShared watches a shared prefix at the first source that answers.
func (a *Access) watchShared(ctx context.Context, c *cache, after store.Revision) (batch store.WatchBatch, err error) {
	err = a.read(ctx, c, func(ctx context.Context, source string) (err error) {
		batch, err = a.watchFrom(ctx, source, c, after)
		return err
	})
	return batch, err
}

func (a *Access) watchFrom(ctx context.Context, source string, c *cache, after store.Revision) (store.WatchBatch, error) {
	sent := time.Now()
	if source == directSource {
		batch, err := a.Direct.Watch(ctx, c.prefix, after)
		switch {
		case err == nil:
			c.watched(batch, true, sent.Add(batch.Quiet))
		case !store.IsCompacted(err):
			c.failed()
		}
		return batch, err
	}
	ctx, cancel := progress.WithTimeout(ctx, followTimeout)
	defer cancel()
	batch, err := a.Peers.WatchShared(ctx, source, c.prefix, after)
	if err == nil {
		// While this process was suspended, its clock stood still and the relay's went on.
		batch.Quiet = min(batch.Quiet, time.Since(sent))
		c.watched(batch, false, sent)
	}
	return batch, err
}

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
func (a *Access) read(ctx context.Context, c *cache, from func(ctx context.Context, source string) error) error {
	var failure error = &store.UnavailableError{Op: "read", Cause: &NoSourceError{c.prefix}}
	defer c.finished()
	for _, source := range a.sources(time.Now()) {
		began := time.Now()
		err := from(progress.Observe(ctx, func() { c.progressed(source == directSource) }), source)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil || store.IsCompacted(err) {
			a.answered(source)
			return err
		}
		a.didNotAnswer(source, c.prefix, time.Since(began), err)
		failure = err
	}
	return failure
}

// Arriving reports whether an answer about a shared prefix is arriving.
func (a *Access) Arriving(prefix string) bool {
	c := a.caches[prefix]
	return c != nil && c.arriving()
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

func (a *Access) didNotAnswer(source, prefix string, took time.Duration, cause error) {
	if a.avoid(source) {
		a.Log.Warn().Err(cause).Str("from", sourceName(source)).Str("prefix", prefix).Dur("took_ms", took).
			Msg("The source of shared entries did not answer.")
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
