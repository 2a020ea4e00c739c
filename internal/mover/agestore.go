package mover

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// ageStore persists the ages of reasons in one key of the store. It writes when
// reasons appear or disappear, and savesPerWindow times per stabilization window
// while they exist. A failover loses the time since the last write, which only
// lengthens the wait for a move.
type ageStore struct {
	store      store.Store
	loaded     bool
	revision   store.Revision
	current    ReasonAges
	advancedAt time.Time
	savedAt    time.Time
	// savedReasons is the set of reasons last written to the store.
	savedReasons map[string]int
}

type storedReasonAges struct {
	ReasonAges
	WriteID string `json:"writeId"`
}

// savesPerWindow is how often unchanged reasons are written per stabilization window.
const savesPerWindow = 4

// EncodeError reports that the ages of reasons can't be encoded.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string {
	return "encoding the ages of move reasons: " + e.Cause.Error()
}

func (e *EncodeError) Unwrap() error { return e.Cause }

// reset discards the ages in memory, because another controller may own the shard.
func (s *ageStore) reset() { s.loaded = false }

// advance returns the current age of each reason. If the ages can't be loaded, all
// reasons restart at zero, so that no host moves on ages that may be wrong.
func (s *ageStore) advance(ctx context.Context, input Input) (ReasonAges, error) {
	if !s.loaded {
		if err := s.load(ctx); err != nil {
			return ReasonAges{}.Advance(input, 0), err
		}
	}
	now := time.Now()
	s.current = s.current.Advance(input, now.Sub(s.advancedAt))
	s.advancedAt = now
	set := s.current.reasons()
	due := now.Sub(s.savedAt) >= input.StabilizationWindow/savesPerWindow && !s.current.Empty()
	if !due && sameReasons(set, s.savedReasons) {
		return s.current, nil
	}
	return s.current, s.save(ctx, set)
}

func (s *ageStore) load(ctx context.Context) error {
	entry, err := s.store.Get(ctx, storekeys.MoveReasonsKey)
	if err != nil && !store.IsNotFound(err) {
		return err
	}
	var stored storedReasonAges
	if err == nil {
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			// If the ages can't be parsed, every reason restarts at zero.
			stored = storedReasonAges{}
		}
	}
	now := time.Now()
	s.revision, s.current, s.savedReasons = entry.ModRevision, stored.ReasonAges, stored.reasons()
	s.advancedAt, s.savedAt, s.loaded = now, now, true
	return nil
}

func (s *ageStore) save(ctx context.Context, reasons map[string]int) error {
	value, err := json.Marshal(storedReasonAges{ReasonAges: s.current, WriteID: uuid.NewString()})
	if err != nil {
		return &EncodeError{Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, s.store, store.SwapRequest{Key: storekeys.MoveReasonsKey, Expect: s.revision, Value: value})
	if err != nil {
		// Load again before the next write: another controller may have
		// written, or the response was lost.
		s.loaded = false
		return err
	}
	s.revision, s.savedAt, s.savedReasons = revision, time.Now(), reasons
	return nil
}

// reasons returns the set of reasons with the number of hosts each concerns.
func (a ReasonAges) reasons() map[string]int {
	set := make(map[string]int, len(a.Deficits)+len(a.Surpluses)+len(a.Unavailable))
	for name, ages := range a.Deficits {
		set["lacking/"+name] = len(ages)
	}
	for name, ages := range a.Surpluses {
		set["over/"+name] = len(ages)
	}
	for name := range a.Unavailable {
		set["absent/"+name] = 1
	}
	for name := range a.SingleZone {
		set["one-zone/"+name] = 1
	}
	return set
}

func sameReasons(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for name, count := range a {
		if b[name] != count {
			return false
		}
	}
	return true
}
