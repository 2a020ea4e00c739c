// Package listwatch keeps up with all keys under a prefix of the store: it lists
// them, watches from there, and lists again when the history it needs is gone.
package listwatch

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// retryPause is the pause after a call that failed.
const retryPause = 150 * time.Millisecond

// Watcher follows one prefix.
type Watcher struct {
	Store  store.Store
	Prefix string
	// MinInterval is the least time between two calls: events that come within it
	// arrive together, which costs one call.
	MinInterval time.Duration
	// RelistOnError lists again after a watch without an answer. What a list says is
	// known at once, while the next watch may wait as long as the last one.
	RelistOnError bool
	// OnList takes over all entries; whatever isn't among them is gone.
	OnList func(entries []store.Entry)
	// OnEvents takes over changes in order, and is called without any when the
	// store says that there were none.
	OnEvents func(events []store.Event)
	// OnAvailability is told when the store is lost, with the cause, and when it is
	// back, with nil. It may be nil.
	OnAvailability func(cause error)
}

// Run follows until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	var revision store.Revision
	lost := false
	for ctx.Err() == nil {
		next, err := f.once(ctx, revision)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			if f.OnAvailability != nil {
				f.OnAvailability(err)
			}
		}
		revision = next
		if err != nil {
			pause.For(ctx, pause.Jitter(retryPause))
			continue
		}
		pause.For(ctx, f.MinInterval)
	}
}

// once makes one call and returns the revision to go on from, zero to list.
func (f *Watcher) once(ctx context.Context, revision store.Revision) (store.Revision, error) {
	if revision == 0 {
		listing, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return 0, err
		}
		f.OnList(listing.Entries)
		return listing.Revision, nil
	}
	batch, err := f.Store.Watch(ctx, f.Prefix, revision)
	if store.IsCompacted(err) {
		return 0, nil
	}
	if err != nil {
		if f.RelistOnError {
			revision = 0
		}
		return revision, err
	}
	f.OnEvents(batch.Events)
	return batch.Revision, nil
}

// WrittenEntries returns the entries that events wrote, without those deleted.
func WrittenEntries(events []store.Event) (entries []store.Entry) {
	for _, event := range events {
		if !event.Deleted {
			entries = append(entries, event.Entry)
		}
	}
	return entries
}
