// Package listwatch tracks all keys under a prefix of the store: it lists them,
// watches from the list's revision, and lists again when that history is compacted.
package listwatch

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

const (
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
)

// Watcher tracks the keys under one prefix.
type Watcher struct {
	Store  store.Store
	Prefix string
	// MinInterval is the minimum time between two calls. Events within it arrive
	// together, which costs one call.
	MinInterval time.Duration
	// Interval, if it isn't nil, returns the minimum time in place of MinInterval.
	Interval func() time.Duration
	// RelistOnError lists again after a failed watch. A list returns at once, while
	// the next watch may take as long as the last one.
	RelistOnError bool
	// OnList receives all entries; keys that aren't among them don't exist.
	OnList func(entries []store.Entry)
	// OnEvents receives changes in order. It is called without events when the
	// store reports that there were none.
	OnEvents func(events []store.Event)
	// OnCurrent is called after each successful call with the moment up to which all
	// changes are known: the sending of the call, or later by as long as the store is known
	// to have waited. A response may arrive much later: dated by that, a claim would count
	// as held after another process has replaced it. It may be nil.
	OnCurrent func(at time.Time)
	// OnAvailability is called with the cause when the store becomes unavailable,
	// and with nil when it is available again. It may be nil.
	OnAvailability func(cause error)
}

// Run lists and watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var revision store.Revision
	unavailable := false
	for ctx.Err() == nil {
		next, err := w.listOrWatch(ctx, revision)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != unavailable {
			unavailable = err != nil
			if w.OnAvailability != nil {
				w.OnAvailability(err)
			}
		}
		revision = next
		if err != nil {
			pause.For(ctx, pause.Jitter(retryInterval))
			continue
		}
		pause.For(ctx, w.minInterval())
	}
}

func (w *Watcher) minInterval() time.Duration {
	if w.Interval != nil {
		return w.Interval()
	}
	return w.MinInterval
}

// listOrWatch makes one call and returns the revision to watch from, zero to list.
func (w *Watcher) listOrWatch(ctx context.Context, revision store.Revision) (store.Revision, error) {
	sent := time.Now()
	if revision == 0 {
		listing, err := w.Store.List(ctx, w.Prefix)
		if err != nil {
			return 0, err
		}
		w.OnList(listing.Entries)
		w.current(sent.Add(listing.Quiet))
		return listing.Revision, nil
	}
	batch, err := w.Store.Watch(ctx, w.Prefix, revision)
	if store.IsCompacted(err) {
		return 0, nil
	}
	if err != nil {
		if w.RelistOnError {
			revision = 0
		}
		return revision, err
	}
	w.OnEvents(batch.Events)
	w.current(sent.Add(batch.Quiet))
	return batch.Revision, nil
}

func (w *Watcher) current(at time.Time) {
	if w.OnCurrent != nil {
		w.OnCurrent(at)
	}
}

// WrittenEntries returns the entries that events wrote, without the deleted ones.
func WrittenEntries(events []store.Event) (entries []store.Entry) {
	for _, event := range events {
		if !event.Deleted {
			entries = append(entries, event.Entry)
		}
	}
	return entries
}
