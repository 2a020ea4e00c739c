package storelimit

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// minWriteInterval is the minimum time between two writes of one status;
// pollInterval is how often pending statuses are checked for being due.
const (
	minWriteInterval = time.Second
	pollInterval     = minWriteInterval / 10
)

// StatusWriter writes the status of records, each key at most once a second. Of
// several values put within that time the last one is written.
type StatusWriter struct {
	store store.Store
	log   zerolog.Logger
	wake  chan struct{}

	mu     sync.Mutex
	status map[string]*status
}

type status struct {
	pending       []byte
	written       []byte
	revision      store.Revision
	revisionKnown bool
	// writing is set while a write is under way.
	writing   bool
	nextWrite time.Time
}

// NewStatusWriter returns a writer; nothing is written before Serve runs.
func NewStatusWriter(s store.Store, log zerolog.Logger) *StatusWriter {
	return &StatusWriter{store: s, log: log, wake: make(chan struct{}, 1), status: make(map[string]*status)}
}

// Put queues value to be written under key. A value equal to the one in the store is
// not written again, and a later Put replaces a pending value. Put never blocks.
func (w *StatusWriter) Put(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.status[key]
	if s == nil {
		s = &status{}
		w.status[key] = s
	}
	// Another value may be on its way, or stored by a write that got no answer.
	if s.revisionKnown && !s.writing && bytes.Equal(value, s.written) {
		s.pending = nil
		return
	}
	s.pending = value
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Serve writes pending statuses until ctx ends.
func (w *StatusWriter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, key := range w.dueKeys() {
			w.write(ctx, key)
		}
		w.wait(ctx)
	}
	return ctx.Err()
}

func (w *StatusWriter) wait(ctx context.Context) {
	if w.anyPending() {
		pause.For(ctx, pause.Jitter(pollInterval))
		return
	}
	select {
	case <-w.wake:
	case <-ctx.Done():
	}
}

func (w *StatusWriter) anyPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.status {
		if s.pending != nil {
			return true
		}
	}
	return false
}

func (w *StatusWriter) dueKeys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []string
	for key, s := range w.status {
		if s.pending != nil && !time.Now().Before(s.nextWrite) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (w *StatusWriter) write(ctx context.Context, key string) {
	w.mu.Lock()
	snapshot := *w.status[key]
	w.status[key].writing = snapshot.pending != nil
	w.mu.Unlock()
	if snapshot.pending == nil {
		return
	}
	revision, err := w.swap(ctx, key, snapshot)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.status[key]
	s.writing = false
	s.nextWrite = time.Now().Add(minWriteInterval)
	switch {
	case err == nil:
		s.revision, s.revisionKnown, s.written = revision, true, snapshot.pending
		if bytes.Equal(s.pending, s.written) {
			s.pending = nil
		}
	case store.IsConflict(err):
		// Another controller now writes this status. The pending value may be
		// older than the stored one, so it is dropped; the next Put tries
		// again.
		*s = status{nextWrite: s.nextWrite}
	default:
		s.revisionKnown = false
		w.log.Debug().Err(err).Str("key", key).Msg("Writing status failed; will retry.")
	}
}

func (w *StatusWriter) swap(ctx context.Context, key string, s status) (store.Revision, error) {
	if !s.revisionKnown {
		entry, err := w.store.Get(ctx, key)
		if err != nil && !store.IsNotFound(err) {
			return 0, err
		}
		if err == nil && bytes.Equal(entry.Value, s.pending) {
			return entry.ModRevision, nil
		}
		s.revision = entry.ModRevision
	}
	return w.store.CompareAndSwap(ctx, store.SwapRequest{Key: key, Expect: s.revision, Value: s.pending})
}
