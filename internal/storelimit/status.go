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

// statusInterval is the least time between two writes of one status, statusTick
// how often those that wait for it are looked at.
const (
	statusInterval = time.Second
	statusTick     = statusInterval / 10
)

// StatusWriter writes what the system says about records, each key at most
// once a second: of several values put in between, the store gets the last.
type StatusWriter struct {
	store store.Store
	log   zerolog.Logger
	fresh chan struct{}

	mu     sync.Mutex
	status map[string]*status
}

type status struct {
	pending  []byte
	written  []byte
	revision store.Revision
	known    bool
	next     time.Time
}

// NewStatusWriter returns a writer that writes nothing until Serve.
func NewStatusWriter(s store.Store, log zerolog.Logger) *StatusWriter {
	return &StatusWriter{store: s, log: log, fresh: make(chan struct{}, 1), status: make(map[string]*status)}
}

// Put has value written under key soon, unless it already was the last one or
// another value comes first. It never waits.
func (w *StatusWriter) Put(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.status[key]
	if s == nil {
		s = &status{}
		w.status[key] = s
	}
	if bytes.Equal(value, s.written) {
		s.pending = nil
		return
	}
	s.pending = value
	select {
	case w.fresh <- struct{}{}:
	default:
	}
}

// Serve writes until ctx ends.
func (w *StatusWriter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, key := range w.due() {
			w.write(ctx, key)
		}
		w.await(ctx)
	}
	return ctx.Err()
}

func (w *StatusWriter) await(ctx context.Context) {
	if w.anyPending() {
		pause.For(ctx, pause.Jitter(statusTick))
		return
	}
	select {
	case <-w.fresh:
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

func (w *StatusWriter) due() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []string
	for key, s := range w.status {
		if s.pending != nil && !time.Now().Before(s.next) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (w *StatusWriter) write(ctx context.Context, key string) {
	w.mu.Lock()
	before := *w.status[key]
	w.mu.Unlock()
	if before.pending == nil {
		return
	}
	revision, err := w.swap(ctx, key, before)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.status[key]
	s.next = time.Now().Add(statusInterval)
	switch {
	case err == nil:
		s.revision, s.known, s.written = revision, true, before.pending
		if bytes.Equal(s.pending, s.written) {
			s.pending = nil
		}
	case store.IsConflict(err):
		// Another controller writes this status now. What is pending here may
		// be older than what it wrote; the next Put tries again.
		*s = status{next: s.next}
	default:
		s.known = false
		w.log.Debug().Err(err).Str("key", key).Msg("Status not written yet.")
	}
}

func (w *StatusWriter) swap(ctx context.Context, key string, s status) (store.Revision, error) {
	if !s.known {
		entry, err := w.store.Get(ctx, key)
		if err != nil && !store.IsNotFound(err) {
			return 0, err
		}
		if err == nil && bytes.Equal(entry.Value, s.pending) {
			return entry.ModRevision, nil
		}
		s.revision = entry.ModRevision
	}
	return w.store.CompareAndSwap(ctx, store.Write{Key: key, Expect: s.revision, Value: s.pending})
}
