// Package memstore is an in-memory fake of the platform's key-value service. It
// can be slow, unavailable or throttled, and it can lose the response to a write
// that took effect. It counts every call itself, so that measurements do not
// depend on the code under test.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"auburnglade.example/glade/internal/store"
)

// WatchWait is the default time after which a watch without events returns an
// empty batch.
const WatchWait = 10 * time.Second

// DefaultHistory is the number of events that a new Store retains for watches.
const DefaultHistory = 20_000

// Store is the fake store. The zero value is not usable; call New.
type Store struct {
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision store.Revision
	history  []historyEvent
	// compacted is the newest revision whose event is no longer retained.
	compacted  store.Revision
	historyCap int
	watchWait  time.Duration
	leases     map[store.LeaseID]*leaseState
	nextLease  store.LeaseID
	// changed is closed and replaced at every write.
	changed chan struct{}
	faults  faultState
	counts  Counts
}

type historyEvent struct {
	revision store.Revision
	event    store.Event
}

type leaseState struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ store.Store = (*Store)(nil)

// New returns an empty, healthy store.
func New() *Store {
	return &Store{
		entries:    make(map[string]store.Entry),
		leases:     make(map[store.LeaseID]*leaseState),
		changed:    make(chan struct{}),
		historyCap: DefaultHistory,
		watchWait:  WatchWait,
	}
}

// SetWatchWait sets how long later watches without events wait.
func (s *Store) SetWatchWait(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchWait = wait
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.admit(ctx, opGet); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return entry, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.admit(ctx, opList); err != nil {
		return store.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Listing{Revision: s.revision, Entries: s.entriesLocked(prefix)}, nil
}

func (s *Store) entriesLocked(prefix string) []store.Entry {
	var entries []store.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if err := s.admit(ctx, opWrite); err != nil {
		return 0, err
	}
	if len(write.Value) > store.MaxValueBytes {
		return 0, &store.ValueTooLargeError{Key: write.Key, Bytes: len(write.Value)}
	}
	revision, err := s.swap(write)
	if err != nil {
		return 0, err
	}
	if s.loseResponse() {
		return 0, &store.UnknownOutcomeError{Op: opWrite, Cause: errResponseLost}
	}
	return revision, nil
}

func (s *Store) swap(write store.SwapRequest) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[write.Key]
	if current.ModRevision != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Actual: current.ModRevision}
	}
	if write.Lease != 0 && s.leases[write.Lease] == nil {
		return 0, &store.LeaseExpiredError{ID: write.Lease}
	}
	if write.Delete {
		s.deleteLocked(write.Key)
		return s.revision, nil
	}
	value := append([]byte(nil), write.Value...)
	s.revision++
	entry := store.Entry{Key: write.Key, Value: value, ModRevision: s.revision, Lease: write.Lease}
	s.entries[write.Key] = entry
	s.recordLocked(store.Event{Entry: entry})
	return s.revision, nil
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	s.removeLocked(key)
}

// removeLocked deletes a key at the current revision.
func (s *Store) removeLocked(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.recordLocked(store.Event{Entry: store.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *Store) recordLocked(event store.Event) {
	s.history = append(s.history, historyEvent{revision: s.revision, event: event})
	if over := len(s.history) - s.historyCap; over > 0 {
		s.compacted = s.history[over-1].revision
		s.history = append([]historyEvent(nil), s.history[over:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := s.admit(ctx, opWatch); err != nil {
		return store.WatchBatch{}, err
	}
	s.trackWatch(+1)
	defer s.trackWatch(-1)
	s.mu.Lock()
	wait := s.watchWait
	s.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	cursor := after
	for {
		batch, changed, err := s.eventsAfter(prefix, cursor)
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		cursor = batch.Revision
		select {
		case <-changed:
		case <-timeout.C:
			batch.Quiet = wait
			return batch, nil
		case <-s.outage():
			return store.WatchBatch{}, &store.UnavailableError{Op: opWatch, Cause: errDown}
		case <-ctx.Done():
			return store.WatchBatch{}, &store.UnavailableError{Op: opWatch, Cause: ctx.Err()}
		}
	}
}

func (s *Store) eventsAfter(prefix string, after store.Revision) (store.WatchBatch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return store.WatchBatch{}, nil, &store.CompactedError{Asked: after, Oldest: s.compacted}
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
	batch := store.WatchBatch{Revision: s.revision}
	for _, record := range s.history[first:] {
		if strings.HasPrefix(record.event.Entry.Key, prefix) {
			batch.Events = append(batch.Events, record.event)
		}
	}
	return batch, s.changed, nil
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.admit(ctx, opLease); err != nil {
		return store.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	state := &leaseState{ttl: ttl}
	state.timer = time.AfterFunc(ttl, func() { s.endLease(id) })
	s.leases[id] = state
	return store.Lease{ID: id, TTL: ttl}, nil
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	if err := s.admit(ctx, opLease); err != nil {
		return store.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.leases[id]
	if state == nil || !state.timer.Reset(state.ttl) {
		return store.Lease{}, &store.LeaseExpiredError{ID: id}
	}
	return store.Lease{ID: id, TTL: state.ttl}, nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.admit(ctx, opLease); err != nil {
		return err
	}
	s.endLease(id)
	return nil
}

func (s *Store) endLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.leases[id]
	if state == nil {
		return
	}
	state.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, entry := range s.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.deleteLocked(key)
	}
}
