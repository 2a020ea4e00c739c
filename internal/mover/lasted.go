package mover

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// lastedRecord keeps how long reasons have lasted in one key of the store, in
// few writes: when reasons come or go, and now and then while they last. What
// a fail-over loses is the time since the last write, so it only lengthens the
// wait.
type lastedRecord struct {
	store    store.Store
	loaded   bool
	revision store.Revision
	current  ReasonAges
	agedAt   time.Time
	savedAt  time.Time
	// saved is the set of reasons that stands in the store.
	saved map[string]int
}

type storedLasted struct {
	ReasonAges
	WriteID string `json:"writeId"`
}

// savesPerHold is how often a lasting reason is written within the hold.
const savesPerHold = 4

// CorruptError says that the stored ages of reasons can't be read.
type CorruptError struct{ Cause error }

func (e *CorruptError) Error() string {
	return "stored reasons to move are damaged: " + e.Cause.Error()
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// forget drops what is in memory: another controller decides now.
func (l *lastedRecord) forget() { l.loaded = false }

// age returns how long each reason has lasted. On an error the reasons start
// anew, so that nothing moves on ages that may not be true.
func (l *lastedRecord) age(ctx context.Context, input Input) (ReasonAges, error) {
	if !l.loaded {
		if err := l.load(ctx); err != nil {
			return ReasonAges{}.Advance(input, 0), err
		}
	}
	now := time.Now()
	l.current = l.current.Advance(input, now.Sub(l.agedAt))
	l.agedAt = now
	set := l.current.reasons()
	due := now.Sub(l.savedAt) >= input.StabilizationWindow/savesPerHold && !l.current.Empty()
	if !due && sameReasons(set, l.saved) {
		return l.current, nil
	}
	return l.current, l.save(ctx, set)
}

func (l *lastedRecord) load(ctx context.Context) error {
	entry, err := l.store.Get(ctx, storekeys.MoveReasons)
	if err != nil && !store.IsNotFound(err) {
		return err
	}
	var stored storedLasted
	if err == nil {
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			// Unreadable ages only mean that every reason starts anew.
			stored = storedLasted{}
		}
	}
	now := time.Now()
	l.revision, l.current, l.saved = entry.ModRevision, stored.ReasonAges, stored.reasons()
	l.agedAt, l.savedAt, l.loaded = now, now, true
	return nil
}

func (l *lastedRecord) save(ctx context.Context, set map[string]int) error {
	value, err := json.Marshal(storedLasted{ReasonAges: l.current, WriteID: uuid.NewString()})
	if err != nil {
		return &CorruptError{Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, l.store, store.Write{Key: storekeys.MoveReasons, Expect: l.revision, Value: value})
	if err != nil {
		// Read again before the next write: another controller may have
		// written, or the answer was lost.
		l.loaded = false
		return err
	}
	l.revision, l.savedAt, l.saved = revision, time.Now(), set
	return nil
}

// reasons returns the set of reasons with how many hosts each is for.
func (l ReasonAges) reasons() map[string]int {
	set := make(map[string]int, len(l.Deficits)+len(l.Surpluses)+len(l.Unavailable))
	for name, lasted := range l.Deficits {
		set["lacking/"+name] = len(lasted)
	}
	for name, lasted := range l.Surpluses {
		set["over/"+name] = len(lasted)
	}
	for name := range l.Unavailable {
		set["absent/"+name] = 1
	}
	for name := range l.SingleZone {
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
