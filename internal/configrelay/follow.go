package configrelay

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/listwatch"
	"auburnglade.example/glade/internal/store"
)

// Source is where the operator's entries are watched.
type Source struct {
	Store store.Store
	// Prefix is the prefix of all of the operator's entries, Key the key of the
	// configuration.
	Prefix, Key string
	// MinInterval is the minimum time between two calls.
	MinInterval time.Duration
	// Other receives the entries written under other keys. It may be nil.
	Other func(store.Entry)
}

// Follow keeps the newest version that a source shows, until ctx ends.
func (r *Relay) Follow(ctx context.Context, source Source) {
	apply := func(entries []store.Entry) {
		for _, entry := range entries {
			switch {
			case entry.Key == source.Key:
				r.Written(Version{Revision: entry.ModRevision, Data: entry.Value})
			case source.Other != nil:
				source.Other(entry)
			}
		}
	}
	watcher := listwatch.Watcher{
		Store: source.Store, Prefix: source.Prefix, MinInterval: source.MinInterval, OnList: apply,
		OnEvents:  func(events []store.Event) { apply(listwatch.WrittenEntries(events)) },
		OnCurrent: r.Confirmed,
		OnAvailability: func(cause error) {
			if cause != nil {
				r.StoreFailed()
			}
		},
	}
	watcher.Run(ctx)
}
