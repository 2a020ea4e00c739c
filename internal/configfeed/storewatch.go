package configfeed

import (
	"context"
	"fmt"
	"strings"
	"time"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	retryInterval = 500 * time.Millisecond
	// reportedBehindTTL is how long a peer's report that the store is behind
	// stays valid: a few polls.
	reportedBehindTTL = 10 * time.Second
	// observedBehindTTL is how long this process's own observation stays valid: a
	// relay checks again within a shorter time.
	observedBehindTTL = 20 * time.Second
)

// StoreBehindError reports that the store has an older revision than the active
// one, as after a restore from a backup. The active configuration is kept.
// StoreRevision is zero when only a peer observed it.
type StoreBehindError struct{ StoreRevision, ActiveRevision store.Revision }

func (e *StoreBehindError) Error() string {
	if e.StoreRevision == 0 {
		return fmt.Sprintf("the store is behind revision %d in force: it was restored or replaced", e.ActiveRevision)
	}
	return fmt.Sprintf("the store is at revision %d, behind %d in force", e.StoreRevision, e.ActiveRevision)
}

// Serve watches the store until ctx ends.
func (f *Feed) Serve(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		err := f.ListOrWatch(ctx, &listed)
		if err == nil {
			continue
		}
		if ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("Failed to list or watch the store.")
		}
		pause.For(ctx, pause.Jitter(retryInterval))
	}
	return ctx.Err()
}

// ListOrWatch lists the shared keys when listed is false, and otherwise waits
// for one batch of events. It updates listed: a watch that can't continue at
// its revision must list again, or the events in between would be lost without
// notice.
func (f *Feed) ListOrWatch(ctx context.Context, listed *bool) error {
	if !*listed {
		err := f.Relist(ctx)
		*listed = err == nil
		return err
	}
	snapshot := f.Snapshot()
	batch, err := f.store.Watch(ctx, storekeys.SharedPrefix, snapshot.Revision)
	if store.IsCompacted(err) {
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Revision < snapshot.Revision {
		*listed = false
		return f.recordStoreBehind(batch.Revision, snapshot.Revision)
	}
	f.install(snapshot.Apply(batch), batch.Events)
	return nil
}

// Relist reads the whole configuration from the store. It returns
// *StoreBehindError when the store is behind the active revision.
func (f *Feed) Relist(ctx context.Context) error {
	before := f.Snapshot()
	listing, err := f.store.List(ctx, storekeys.SharedPrefix)
	if err != nil {
		return err
	}
	if listing.Revision < before.Revision {
		return f.recordStoreBehind(listing.Revision, before.Revision)
	}
	f.recordStoreCaughtUp()
	f.installListed(configstate.FromListing(f.Snapshot(), listing))
	return nil
}

// installListed activates a listed snapshot, and repairs contents that missed
// an event.
func (f *Feed) installListed(next *configstate.Snapshot) {
	if !f.repair(next) {
		f.install(next, nil)
	}
}

// repair replaces the active snapshot by the store's listing at the same
// revision if the contents differ, and reports whether it did.
func (f *Feed) repair(next *configstate.Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.received || next.Revision != f.current.Revision || next.Digest == f.current.Digest {
		return false
	}
	f.metrics.repairs.Inc()
	f.log.Error().Int64("revision", int64(next.Revision)).Msg("Configuration missed an event; replaced it by the store's listing.")
	// No sequence of events leads peers from the wrong contents to the right
	// ones.
	f.replace(next, nil)
	f.recentEvents.reset(next.Revision)
	return true
}

func (f *Feed) recordStoreBehind(at, active store.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.storeBehind.Set(float64(active - at))
	if !f.storeBehind {
		f.log.Error().Int64("store_revision", int64(at)).Int64("in_force", int64(active)).
			Msg("Store is behind the active configuration: it was restored or replaced. Keeping the active configuration.")
	}
	f.storeBehind = true
	f.observedBehindAt = time.Now()
	return &StoreBehindError{StoreRevision: at, ActiveRevision: active}
}

// StoreBehind reports whether this process, or a peer recently, observes that
// the store is behind the active configuration. Writes to the store don't
// become active then, and its grant sets may lack recent grants.
func (f *Feed) StoreBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeBehindLocked() || (!f.reportedBehindAt.IsZero() && time.Since(f.reportedBehindAt) < reportedBehindTTL)
}

// StoreBehindLocally reports whether this process itself observes it. Only this
// is sent to peers: reports that were forwarded in a loop would never expire.
func (f *Feed) StoreBehindLocally() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeBehindLocked()
}

// storeBehindLocked reports an unexpired local observation. Observations expire
// because a process that is no longer a relay doesn't check again and would
// otherwise report it forever.
func (f *Feed) storeBehindLocked() bool {
	return f.storeBehind && time.Since(f.observedBehindAt) < observedBehindTTL
}

// NoteStoreBehind records that a peer observes that the store is behind.
func (f *Feed) NoteStoreBehind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportedBehindAt = time.Now()
}

// CheckWrite returns *StoreBehindError for writes that must not be made while
// the store is behind: an operator's change, which would be accepted without
// becoming active, and a disruption or placement, which would be based on
// outdated grant sets and tasks.
func (f *Feed) CheckWrite(key string) error {
	for _, prefix := range []string{storekeys.SpecPrefix, storekeys.HostPrefix, storekeys.GrantSetPrefix, storekeys.PlacementPrefix} {
		if strings.HasPrefix(key, prefix) && f.StoreBehind() {
			return &StoreBehindError{ActiveRevision: f.Snapshot().Revision}
		}
	}
	return nil
}

func (f *Feed) recordStoreCaughtUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.storeBehind.Set(0)
	if f.storeBehind {
		f.log.Warn().Msg("Store has passed the active revision again.")
	}
	f.storeBehind = false
}
