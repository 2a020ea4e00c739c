// Package feed keeps the configuration in force in one process: it follows the
// store's shared keys and hands out immutable snapshots that only move forward.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

const retryPause = 500 * time.Millisecond

// Feed holds the snapshot in force.
type Feed struct {
	store     store.Store
	log       zerolog.Logger
	invariant *invariant.Checker
	revision  prometheus.Gauge

	mu       sync.Mutex
	current  *catalog.Snapshot
	changed  chan struct{}
	received bool
}

// New returns a feed whose snapshot is empty until Serve has listed.
func New(s store.Store, log zerolog.Logger, checker *invariant.Checker, registerer prometheus.Registerer) *Feed {
	f := &Feed{
		store:     s,
		log:       log,
		invariant: checker,
		current:   catalog.Empty(),
		changed:   make(chan struct{}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_config_revision",
			Help: "Store revision of the configuration in force in this process.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(f.revision)
	}
	return f
}

// Current returns the snapshot in force and a channel that closes when a
// newer one is.
func (f *Feed) Current() (*catalog.Snapshot, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// Snapshot returns the snapshot in force.
func (f *Feed) Snapshot() *catalog.Snapshot {
	snapshot, _ := f.Current()
	return snapshot
}

// Ready reports whether any configuration has been received.
func (f *Feed) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// Serve follows the store until ctx ends.
func (f *Feed) Serve(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		err := f.step(ctx, &listed)
		if err == nil {
			continue
		}
		if store.IsCompacted(err) {
			listed = false
			continue
		}
		if ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("Store not followed.")
		}
		pause.For(ctx, pause.Jitter(retryPause))
	}
	return ctx.Err()
}

func (f *Feed) step(ctx context.Context, listed *bool) error {
	if !*listed {
		listing, err := f.store.List(ctx, keys.SharedPrefix)
		if err != nil {
			return err
		}
		f.Install(catalog.FromListing(f.Snapshot(), listing))
		*listed = true
		return nil
	}
	snapshot := f.Snapshot()
	batch, err := f.store.Watch(ctx, keys.SharedPrefix, snapshot.Revision)
	if err != nil {
		return err
	}
	f.Install(snapshot.Apply(batch))
	return nil
}

// Install puts a snapshot in force unless it is older than the one that is.
func (f *Feed) Install(next *catalog.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received && next.Revision <= f.current.Revision {
		return
	}
	f.invariant.Hold(invariant.RevisionForward, next.Revision >= f.current.Revision, func() string {
		return "revision went back"
	})
	f.current = next
	f.received = true
	f.revision.Set(float64(next.Revision))
	close(f.changed)
	f.changed = make(chan struct{})
}
