// Package configfeed holds the active configuration of one process and provides
// immutable snapshots of it. Their revision never decreases, whether an update
// comes from the store's shared keys or from a peer.
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

// Feed holds the active snapshot.
type Feed struct {
	store     store.Store
	log       zerolog.Logger
	invariant *invariant.Checker
	metrics   *metrics

	mu           sync.Mutex
	current      *configstate.Snapshot
	changed      chan struct{}
	received     bool
	recentEvents ring
	// seen is the highest revision reported by any process.
	seen store.Revision
	// consumerRevisions holds, for each registered consumer of the
	// configuration, the revision that it uses.
	consumerRevisions map[string]store.Revision
	// storeBehind is set while the store has an older revision than this process.
	storeBehind bool
	// observedBehindAt is when this process last observed that itself.
	observedBehindAt time.Time
	// reportedBehindAt is when a peer last reported that it observes this.
	reportedBehindAt time.Time
}

// Option configures a feed.
type Option func(*Feed)

// WithMaxSchema limits the supported record schemas to maxSchema, as in an
// older build.
func WithMaxSchema(maxSchema int) Option {
	return func(f *Feed) { f.current = configstate.EmptyWithMaxSchema(maxSchema) }
}

// New returns a feed whose snapshot is empty until one is installed.
func New(s store.Store, log zerolog.Logger, checker *invariant.Checker, registerer prometheus.Registerer, options ...Option) *Feed {
	f := &Feed{
		store:             s,
		log:               log,
		invariant:         checker,
		metrics:           newMetrics(registerer),
		current:           configstate.Empty(),
		changed:           make(chan struct{}),
		consumerRevisions: make(map[string]store.Revision),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Current returns the active snapshot and a channel that is closed when a newer
// one becomes active.
func (f *Feed) Current() (*configstate.Snapshot, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// Snapshot returns the active snapshot.
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

// Install activates a snapshot unless it is older than the active one.
func (f *Feed) Install(next *configstate.Snapshot) {
	if next.Revision < f.Snapshot().Revision {
		f.metrics.refused.WithLabelValues(reasonOlder).Inc()
		return
	}
	f.install(next, nil)
}

// ApplyDelta activates a delta from a peer. It returns
// *configstate.StaleRevisionError or *configstate.DigestError when the delta
// was refused.
func (f *Feed) ApplyDelta(delta configstate.Delta) error {
	snapshot := f.Snapshot()
	next, err := snapshot.ApplyDelta(delta)
	if err != nil {
		f.metrics.recordRefusal(err)
		return err
	}
	if delta.Full {
		f.install(next, nil)
		return nil
	}
	f.install(next, eventsOf(delta))
	return nil
}

func eventsOf(delta configstate.Delta) []store.Event {
	list := make([]store.Event, len(delta.Changes))
	for i, change := range delta.Changes {
		list[i] = store.Event{Entry: change.Entry, Deleted: change.Deleted}
	}
	return list
}

// install activates next. events are the events that lead to it; if nil, they
// are computed by comparing the snapshots.
func (f *Feed) install(next *configstate.Snapshot, events []store.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received && next.Revision <= f.current.Revision {
		// Another source has already delivered this revision or a newer one.
		return
	}
	if events == nil {
		events = f.current.Diff(next)
	}
	f.replace(next, events)
}

func (f *Feed) replace(next *configstate.Snapshot, events []store.Event) {
	f.invariant.Assert(invariant.RevisionMonotonic, next.Revision >= f.current.Revision, func() string {
		return fmt.Sprintf("from revision %d to %d", f.current.Revision, next.Revision)
	})
	if f.received {
		f.recentEvents.add(f.current.Revision, events)
	} else {
		f.recentEvents.reset(next.Revision)
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

// DeltaSince returns what a process at revision after is missing: the events
// since then if they are still buffered, otherwise the full configuration.
func (f *Feed) DeltaSince(after store.Revision) configstate.Delta {
	snapshot, events, kept := f.eventsSince(after)
	if !kept || after > snapshot.Revision {
		return snapshot.FullDelta()
	}
	delta := configstate.Delta{Revision: snapshot.Revision, Digest: snapshot.Digest}
	for _, event := range events {
		change := configstate.Change{Entry: event.Entry, Deleted: event.Deleted}
		if snapshot.Raw[event.Entry.Key].ModRevision == event.Entry.ModRevision {
			change.LastGood = snapshot.LastGood[event.Entry.Key]
		}
		delta.Changes = append(delta.Changes, change)
	}
	return delta
}

func (f *Feed) eventsSince(after store.Revision) (snapshot *configstate.Snapshot, events []store.Event, kept bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, kept = f.recentEvents.after(after)
	return f.current, events, kept
}

// ObserveRevision records a revision reported by another process, and reports
// whether this process is behind it.
func (f *Feed) ObserveRevision(revision store.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, revision)
	f.metrics.setSeen(f.seen)
	return revision > f.current.Revision
}

// FastForward raises the revision when a peer with a later revision has the
// same contents: changes to other keys of the store also raise the revision and
// need no fetch. It reports whether the contents are the same.
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

// SeenRevision returns the highest revision reported by any process.
func (f *Feed) SeenRevision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// RegisterConsumer registers a part of the process that uses the configuration
// and returns the function with which it reports the revision that it uses.
// Until its first call the process confirms no revision: confirming a revision
// before the routing table uses it would let a host be stopped while it still
// gets requests.
func (f *Feed) RegisterConsumer(consumer string) func(store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.consumerRevisions[consumer] = 0
	return func(revision store.Revision) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.consumerRevisions[consumer] = max(f.consumerRevisions[consumer], revision)
	}
}

// ServedRevision returns the newest revision that every consumer uses.
func (f *Feed) ServedRevision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := f.current.Revision
	for _, revision := range f.consumerRevisions {
		served = min(served, revision)
	}
	return served
}
