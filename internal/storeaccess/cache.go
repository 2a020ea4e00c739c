package storeaccess

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/store"
)

const (
	// maxSilence is the time without a byte from the store after which a relay sends its
	// followers away. A watch that waits in vain is answered once a second; a later answer
	// means that the store doesn't respond.
	maxSilence = 1600 * time.Millisecond
	// maxFailures is how many calls in a row may fail before a relay sends its followers
	// away: a single lost answer would send them all to the store.
	maxFailures = 2
	// stalledAfter is the time without a byte after which an answer doesn't count as
	// arriving. On a full link packets wait half as long.
	stalledAfter = 500 * time.Millisecond
	// maxHistoryEvents, maxHistoryBytes and maxGaps bound the recent changes that are kept
	// for followers. One that is further behind lists.
	maxHistoryEvents = 2048
	maxHistoryBytes  = 1 << 20
	maxGaps          = 16
)

// NotCurrentError reports that an entry host doesn't know the current state of the store.
type NotCurrentError struct{ Prefix string }

func (e *NotCurrentError) Error() string {
	return "the current entries under " + e.Prefix + " are not known here"
}

// cache holds the entries under one prefix and their recent changes, as the store or a
// relay showed them, and serves them to followers while the store confirms them here.
type cache struct {
	prefix string

	mu       sync.Mutex
	entries  map[string]store.Entry
	revision store.Revision
	// history are the recent events in order, complete for revisions after historyFrom.
	history      []store.Event
	historyFrom  store.Revision
	historyBytes int
	// gaps are the spans of revisions that lists skipped. A follower whose revision lies
	// in one may know a key that neither list has, written and deleted in between, of
	// which no event tells.
	gaps []gap
	// currentAt is the moment up to which the store itself has shown all changes, heardAt
	// when it last sent something. A large answer is old when it has arrived.
	currentAt, heardAt time.Time
	// arrivedAt is when the last part of an unfinished answer arrived, zero for none.
	arrivedAt time.Time
	// failures counts the direct calls in a row that failed.
	failures int
	// changed is closed and replaced when something to serve has changed.
	changed chan struct{}
}

// gap is the span between two lists, without its ends.
type gap struct{ from, to store.Revision }

func newCache(prefix string) *cache {
	return &cache{prefix: prefix, entries: make(map[string]store.Entry), changed: make(chan struct{})}
}

// progressed records that a part of an answer has arrived, from the store itself if direct
// is set.
func (c *cache) progressed(direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedAt = time.Now()
	if direct {
		c.heardAt = c.arrivedAt
	}
}

// finished records that no answer is awaited.
func (c *cache) finished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedAt = time.Time{}
}

// arriving reports whether an answer is arriving.
func (c *cache) arriving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return elapsed.Between(c.arrivedAt, time.Now()) < stalledAfter
}

// listed replaces the entries. The differences become events, so that followers go on
// without a list of their own. direct is set for a list by the store, sent at the moment at.
func (c *cache) listed(listing store.Listing, direct bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.revision > 0
	listed := make(map[string]store.Entry, len(listing.Entries))
	var events []store.Event
	for _, entry := range listing.Entries {
		listed[entry.Key] = entry
		if old, ok := c.entries[entry.Key]; !ok || old.ModRevision < entry.ModRevision {
			events = append(events, store.Event{Entry: entry})
		}
	}
	slices.SortFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Entry.ModRevision, b.Entry.ModRevision) })
	for key := range c.entries {
		if _, ok := listed[key]; !ok {
			events = append(events, store.Event{Entry: store.Entry{Key: key, ModRevision: listing.Revision}, Deleted: true})
		}
	}
	before := c.revision
	c.entries, c.revision = listed, max(before, listing.Revision)
	if !known {
		c.historyFrom = listing.Revision
	} else if direct {
		c.gaps = append(c.gaps, gap{before, listing.Revision})
		c.appendLocked(events)
	}
	c.notedLocked(direct, at)
}

// watched applies the answer to a watch.
func (c *cache) watched(batch store.WatchBatch, direct bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range batch.Events {
		if event.Deleted {
			delete(c.entries, event.Entry.Key)
		} else {
			c.entries[event.Entry.Key] = event.Entry
		}
	}
	c.revision = max(c.revision, batch.Revision)
	if direct {
		c.appendLocked(batch.Events)
	}
	c.notedLocked(direct, at)
}

func (c *cache) notedLocked(direct bool, at time.Time) {
	defer c.wakeLocked()
	if !direct {
		// A follower serves nobody and keeps no history.
		c.history, c.historyBytes, c.historyFrom, c.gaps = nil, 0, c.revision, nil
		return
	}
	c.failures, c.heardAt = 0, time.Now()
	if at.After(c.currentAt) {
		c.currentAt = at
	}
}

func (c *cache) wakeLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// failed records that the store didn't answer.
func (c *cache) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.failures == maxFailures {
		c.wakeLocked()
	}
}

func (c *cache) appendLocked(events []store.Event) {
	for _, event := range events {
		c.history = append(c.history, event)
		c.historyBytes += eventBytes(event)
	}
	drop := 0
	for len(c.history)-drop > maxHistoryEvents || c.historyBytes > maxHistoryBytes && drop < len(c.history) {
		c.historyBytes -= eventBytes(c.history[drop])
		c.historyFrom = max(c.historyFrom, c.history[drop].Entry.ModRevision)
		drop++
	}
	c.history = slices.Delete(c.history, 0, drop)
	c.gaps = slices.DeleteFunc(c.gaps, func(g gap) bool { return g.to <= c.historyFrom })
	if over := len(c.gaps) - maxGaps; over > 0 {
		c.historyFrom = max(c.historyFrom, c.gaps[over-1].to)
		c.gaps = slices.Delete(c.gaps, 0, over)
	}
}

// completeAfterLocked reports whether the history has all changes after a revision.
func (c *cache) completeAfterLocked(after store.Revision) bool {
	skipped := slices.ContainsFunc(c.gaps, func(g gap) bool { return g.from < after && after < g.to })
	return after >= c.historyFrom && !skipped
}

func eventBytes(event store.Event) int { return len(event.Entry.Key) + len(event.Entry.Value) }

// lastRevision is the newest revision that was shown.
func (c *cache) lastRevision() store.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// checkLocked returns *NotCurrentError if the store doesn't respond here. What is known may
// be older than its last answer, which is told; followers that are sent away for it would
// all read the same answer from the store.
func (c *cache) checkLocked(now time.Time) error {
	if c.currentAt.IsZero() || c.failures >= maxFailures || elapsed.Between(c.heardAt, now) > maxSilence {
		return &NotCurrentError{c.prefix}
	}
	return nil
}

// quietLocked is how long after the moment received all changes are known; negative for
// before.
func (c *cache) quietLocked(received, now time.Time) time.Duration {
	return now.Sub(received) - elapsed.Between(c.currentAt, now)
}

// list returns all entries, for a call that arrived at the moment received.
func (c *cache) list(received time.Time) (store.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err := c.checkLocked(now); err != nil {
		return store.Listing{}, err
	}
	listing := store.Listing{Revision: c.revision, Quiet: c.quietLocked(received, now)}
	for _, entry := range c.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	slices.SortFunc(listing.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

// watch waits for events after a revision, for the next confirmation by the store, or
// until the state can't be served any more.
func (c *cache) watch(ctx context.Context, after store.Revision) (store.WatchBatch, error) {
	received := time.Now()
	timeout := time.NewTimer(maxSilence)
	defer timeout.Stop()
	var confirmed time.Time
	for {
		batch, currentAt, changed, err := c.eventsAfter(after, received)
		if confirmed.IsZero() {
			confirmed = currentAt
		}
		if err != nil || len(batch.Events) > 0 || currentAt.After(confirmed) {
			return batch, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			batch, _, _, err := c.eventsAfter(after, received)
			return batch, err
		case <-ctx.Done():
			return store.WatchBatch{}, ctx.Err()
		}
	}
}

func (c *cache) eventsAfter(after store.Revision, received time.Time) (batch store.WatchBatch, currentAt time.Time, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err := c.checkLocked(now); err != nil {
		return batch, c.currentAt, c.changed, err
	}
	if !c.completeAfterLocked(after) {
		return batch, c.currentAt, c.changed, &store.CompactedError{Asked: after, Oldest: c.historyFrom}
	}
	batch = store.WatchBatch{Revision: max(after, c.revision), Quiet: c.quietLocked(received, now)}
	for _, event := range c.history {
		if event.Entry.ModRevision > after {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, c.currentAt, c.changed, nil
}
