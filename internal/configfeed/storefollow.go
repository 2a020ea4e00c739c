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
	retryPause = 500 * time.Millisecond
	// heardBackLife is how long a peer's word that the store is behind counts:
	// a few polls.
	heardBackLife = 10 * time.Second
	// sawBackLife is how long what this process saw itself counts: a relay looks
	// again within less.
	sawBackLife = 20 * time.Second
)

// StoreBehindError says that the store shows an older revision than the one in
// force, as after a restore from a backup. The configuration in force stays.
// Store is zero when only a peer has seen it.
type StoreBehindError struct{ StoreRevision, ActiveRevision store.Revision }

func (e *StoreBehindError) Error() string {
	if e.StoreRevision == 0 {
		return fmt.Sprintf("the store is behind revision %d in force: it was restored or replaced", e.ActiveRevision)
	}
	return fmt.Sprintf("the store is at revision %d, behind %d in force", e.StoreRevision, e.ActiveRevision)
}

// Serve follows the store until ctx ends.
func (f *Feed) Serve(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		err := f.ListOrWatch(ctx, &listed)
		if err == nil {
			continue
		}
		if ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("Store not followed.")
		}
		pause.For(ctx, pause.Jitter(retryPause))
	}
	return ctx.Err()
}

// ListOrWatch lists once, when listed is false, and waits for one batch of
// events otherwise. It keeps listed up to date: a watch that can't go on where
// it was must list again, or the events in between are lost unseen.
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
		return f.reportBack(batch.Revision, snapshot.Revision)
	}
	f.install(snapshot.Apply(batch), batch.Events)
	return nil
}

// Relist takes the whole configuration from the store. It returns
// *WentBackError when the store is behind what is in force.
func (f *Feed) Relist(ctx context.Context) error {
	before := f.Snapshot()
	listing, err := f.store.List(ctx, storekeys.SharedPrefix)
	if err != nil {
		return err
	}
	if listing.Revision < before.Revision {
		return f.reportBack(listing.Revision, before.Revision)
	}
	f.reportForward()
	f.installListed(configstate.FromListing(f.Snapshot(), listing))
	return nil
}

// installListed also repairs what has missed an event on the way.
func (f *Feed) installListed(next *configstate.Snapshot) {
	if !f.repair(next) {
		f.install(next, nil)
	}
}

// repair replaces a snapshot by the store's own listing at the revision in
// force, if that has other contents, and reports whether it did.
func (f *Feed) repair(next *configstate.Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.received || next.Revision != f.current.Revision || next.Digest == f.current.Digest {
		return false
	}
	f.metrics.repairs.Inc()
	f.log.Error().Int64("revision", int64(next.Revision)).Msg("Configuration had missed an event and was repaired.")
	// Peers can't be led from the wrong contents to the right ones.
	f.replace(next, nil)
	f.recent.reset(next.Revision)
	return true
}

func (f *Feed) reportBack(at, inForce store.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.wentBack.Set(float64(inForce - at))
	if !f.wentBack {
		f.log.Error().Int64("store_revision", int64(at)).Int64("in_force", int64(inForce)).
			Msg("The store went back: it was restored or replaced. The configuration in force is kept.")
	}
	f.wentBack = true
	f.sawBack = time.Now()
	return &StoreBehindError{StoreRevision: at, ActiveRevision: inForce}
}

// StoreBehind reports whether this process, or a peer a moment ago, sees the
// store behind the configuration in force. What is written to it then doesn't
// come into force, and its ledgers may lack what has been granted since.
func (f *Feed) StoreBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seesBackLocked() || (!f.heardBack.IsZero() && time.Since(f.heardBack) < heardBackLife)
}

// StoreBehindLocally reports whether this process itself sees it. Only that is told
// to peers: news of it that went in circles would never end.
func (f *Feed) StoreBehindLocally() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seesBackLocked()
}

// seesBackLocked lets what was seen lapse: a process that is no relay any more
// doesn't look again, and would go on saying it for ever.
func (f *Feed) seesBackLocked() bool {
	return f.wentBack && time.Since(f.sawBack) < sawBackLife
}

// NoteStoreBehind takes note that a peer sees the store behind.
func (f *Feed) NoteStoreBehind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardBack = time.Now()
}

// CheckWrite returns *WentBackError for a write that must not be made while the
// store is behind: an operator's change, which would be accepted and not come
// into force, and a disruption or a placement, which would be decided by old
// ledgers and tasks.
func (f *Feed) CheckWrite(key string) error {
	for _, prefix := range []string{storekeys.SpecPrefix, storekeys.HostPrefix, storekeys.GrantSetPrefix, storekeys.PlacementPrefix} {
		if strings.HasPrefix(key, prefix) && f.StoreBehind() {
			return &StoreBehindError{ActiveRevision: f.Snapshot().Revision}
		}
	}
	return nil
}

func (f *Feed) reportForward() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.wentBack.Set(0)
	if f.wentBack {
		f.log.Warn().Msg("The store has passed the revision in force again.")
	}
	f.wentBack = false
}
