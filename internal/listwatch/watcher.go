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
	// heldUpAfter is the time on the wall clock from a call to its response after which the
	// response was held up, as in a process that was suspended. A watch waits for a second.
	heldUpAfter = 2 * time.Second
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
	// changes are known. It may be nil.
	OnCurrent func(at time.Time)
	// OnSeen is called after each successful call with the moment whose state was
	// seen: when the store's own response arrived, unless it was held up, or else as for
	// OnCurrent. It may be nil.
	OnSeen func(at time.Time)
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
		w.current(sent, listing.Quiet, listing.Relayed)
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
	w.current(sent, batch.Quiet, batch.Relayed)
	return batch.Revision, nil
}

func (w *Watcher) current(sent time.Time, quiet time.Duration, relayed bool) {
	if w.OnCurrent != nil {
		w.OnCurrent(sent.Add(quiet))
	}
	if w.OnSeen != nil {
		w.OnSeen(seenAt(sent, time.Now(), quiet, relayed))
	}
}

// seenAt returns the moment whose state a response showed that arrived now. A response that
// was held up may be as old as its call: in a process that resumes after a suspension, a
// claim that has since passed to another process would appear to be held still.
func seenAt(sent, now time.Time, quiet time.Duration, relayed bool) time.Time {
	heldUp := now.Round(0).Sub(sent.Round(0)) > heldUpAfter
	if relayed || heldUp {
		return sent.Add(quiet)
	}
	return now
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
