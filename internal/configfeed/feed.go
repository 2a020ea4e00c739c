// Package configfeed keeps the configuration in force in one process and hands out
// immutable snapshots that only move forward, whoever they come from: the
// store's shared keys, or a peer.
package configfeed

import (
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/store"
)

// Feed holds the snapshot in force.
type Feed struct {
	store     store.Store
	log       zerolog.Logger
	invariant *invariant.Checker
	metrics   *metrics

	mu       sync.Mutex
	current  *configstate.Snapshot
	changed  chan struct{}
	received bool
	recent   ring
	// seen is the highest revision heard of from anyone.
	seen store.Revision
	// worked holds, per part that works with the configuration, the revision
	// it works with.
	worked map[string]store.Revision
	// wentBack is set while the store shows an older revision than ours.
	wentBack bool
	// sawBack is when this process last saw that.
	sawBack time.Time
	// heardBack is when a peer last told that it sees that.
	heardBack time.Time
}

// Option shapes a feed.
type Option func(*Feed)

// WithMaxSchema makes the feed understand record schemas up to maxSchema only,
// as an older build does.
func WithMaxSchema(maxSchema int) Option {
	return func(f *Feed) { f.current = configstate.EmptyWithMaxSchema(maxSchema) }
}

// New returns a feed whose snapshot is empty until something is installed.
func New(s store.Store, log zerolog.Logger, checker *invariant.Checker, registerer prometheus.Registerer, options ...Option) *Feed {
	f := &Feed{
		store:     s,
		log:       log,
		invariant: checker,
		metrics:   newMetrics(registerer),
		current:   configstate.Empty(),
		changed:   make(chan struct{}),
		worked:    make(map[string]store.Revision),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Current returns the snapshot in force and a channel that closes when a
// newer one is.
func (f *Feed) Current() (*configstate.Snapshot, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// Snapshot returns the snapshot in force.
func (f *Feed) Snapshot() *configstate.Snapshot {
	snapshot, _ := f.Current()
	return snapshot
}

// Ready reports whether any configuration has been received.
func (f *Feed) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// Install puts a snapshot in force unless it is older than the one that is.
func (f *Feed) Install(next *configstate.Snapshot) {
	if next.Revision < f.Snapshot().Revision {
		f.metrics.refused.WithLabelValues(reasonOlder).Inc()
		return
	}
	f.install(next, nil)
}

// ApplyDelta puts a delta from a peer in force. It returns *catalog.OlderError or
// *catalog.DigestError when the delta was refused.
func (f *Feed) ApplyDelta(delta configstate.Delta) error {
	snapshot := f.Snapshot()
	next, err := snapshot.ApplyDelta(delta)
	if err != nil {
		f.metrics.refuse(err)
		return err
	}
	if delta.Full {
		f.install(next, nil)
		return nil
	}
	f.install(next, events(delta))
	return nil
}

func events(delta configstate.Delta) []store.Event {
	list := make([]store.Event, len(delta.Changes))
	for i, change := range delta.Changes {
		list[i] = store.Event{Entry: change.Entry, Deleted: change.Deleted}
	}
	return list
}

// install puts next in force. steps are the events that lead to it; nil makes
// it find them by comparing.
func (f *Feed) install(next *configstate.Snapshot, steps []store.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received && next.Revision <= f.current.Revision {
		// Another source was faster.
		return
	}
	if steps == nil {
		steps = f.current.Diff(next)
	}
	f.replace(next, steps)
}

func (f *Feed) replace(next *configstate.Snapshot, steps []store.Event) {
	f.invariant.Assert(invariant.RevisionMonotonic, next.Revision >= f.current.Revision, func() string {
		return fmt.Sprintf("from revision %d to %d", f.current.Revision, next.Revision)
	})
	if f.received {
		f.recent.add(f.current.Revision, steps)
	} else {
		f.recent.reset(next.Revision)
	}
	f.current = next
	f.received = true
	f.seen = max(f.seen, next.Revision)
	f.metrics.revision.Set(float64(next.Revision))
	f.metrics.rejected.Set(float64(len(next.Rejected)))
	f.metrics.setSeen(f.seen)
	close(f.changed)
	f.changed = make(chan struct{})
}

// DeltaSince returns what a process at revision after lacks: the events it missed
// when they are still kept, everything otherwise.
func (f *Feed) DeltaSince(after store.Revision) configstate.Delta {
	snapshot, steps, kept := f.stepsSince(after)
	if !kept || after > snapshot.Revision {
		return snapshot.FullDelta()
	}
	delta := configstate.Delta{Revision: snapshot.Revision, Digest: snapshot.Digest}
	for _, step := range steps {
		change := configstate.Change{Entry: step.Entry, Deleted: step.Deleted}
		if snapshot.Raw[step.Entry.Key].ModRevision == step.Entry.ModRevision {
			change.LastGood = snapshot.LastGood[step.Entry.Key]
		}
		delta.Changes = append(delta.Changes, change)
	}
	return delta
}

func (f *Feed) stepsSince(after store.Revision) (snapshot *configstate.Snapshot, steps []store.Event, kept bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	steps, kept = f.recent.after(after)
	return f.current, steps, kept
}

// ObserveRevision takes note of a revision that somebody has, and reports whether this
// process is behind it.
func (f *Feed) ObserveRevision(revision store.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, revision)
	f.metrics.setSeen(f.seen)
	return revision > f.current.Revision
}

// FastForward moves the revision forward when a peer that holds a later one holds
// the same contents: changes to other keys of the store raise revisions too,
// and need no fetch. It reports whether the contents are the same.
func (f *Feed) FastForward(revision store.Revision, digest uint64) bool {
	snapshot := f.Snapshot()
	if !f.Ready() || digest != snapshot.Digest {
		return false
	}
	if revision > snapshot.Revision {
		return f.ApplyDelta(configstate.Delta{Revision: revision, Digest: digest}) == nil
	}
	return true
}

// SeenRevision returns the highest revision heard of from anyone.
func (f *Feed) SeenRevision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// RegisterConsumer registers a part of the process that acts on the configuration
// and returns the function by which it tells the revision it acts on. Until
// its first call the process confirms no revision: a confirmation that runs
// ahead of the routing table lets a host be stopped while it still gets work.
func (f *Feed) RegisterConsumer(part string) func(store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worked[part] = 0
	return func(revision store.Revision) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.worked[part] = max(f.worked[part], revision)
	}
}

// ServedRevision returns the revision that every part of the process works with.
func (f *Feed) ServedRevision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := f.current.Revision
	for _, revision := range f.worked {
		served = min(served, revision)
	}
	return served
}
