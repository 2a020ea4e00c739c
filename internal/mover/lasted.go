package mover

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/store"
)

// lastedRecord keeps how long reasons have lasted in one key of the store, in
// few writes: when reasons come or go, and now and then while they last. What
// a fail-over loses is the time since the last write, so it only lengthens the
// wait.
type lastedRecord struct {
	store    store.Store
	loaded   bool
	revision store.Revision
	current  Lasted
	agedAt   time.Time
	savedAt  time.Time
	// saved is the set of reasons that stands in the store.
	saved map[string]int
}

type storedLasted struct {
	Lasted
	WriteID string `json:"writeId"`
}

// savesPerHold is how often a lasting reason is written within the hold.
const savesPerHold = 4

// DamagedError says that the stored ages of reasons can't be read.
type DamagedError struct{ Cause error }

func (e *DamagedError) Error() string {
	return "stored reasons to move are damaged: " + e.Cause.Error()
}

func (e *DamagedError) Unwrap() error { return e.Cause }

// forget drops what is in memory: another controller decides now.
func (l *lastedRecord) forget() { l.loaded = false }

// age returns how long each reason has lasted. On an error the reasons start
// anew, so that nothing moves on ages that may not be true.
func (l *lastedRecord) age(ctx context.Context, input Input) (Lasted, error) {
	if !l.loaded {
		if err := l.load(ctx); err != nil {
			return Lasted{}.Age(input, 0), err
		}
	}
	now := time.Now()
	l.current = l.current.Age(input, now.Sub(l.agedAt))
	l.agedAt = now
	set := l.current.reasons()
	due := now.Sub(l.savedAt) >= input.Hold/savesPerHold && !l.current.Empty()
	if !due && sameReasons(set, l.saved) {
		return l.current, nil
	}
	return l.current, l.save(ctx, set)
}

func (l *lastedRecord) load(ctx context.Context) error {
	entry, err := l.store.Get(ctx, keys.Moves)
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
	l.revision, l.current, l.saved = entry.ModRevision, stored.Lasted, stored.reasons()
	l.agedAt, l.savedAt, l.loaded = now, now, true
	return nil
}

func (l *lastedRecord) save(ctx context.Context, set map[string]int) error {
	value, err := json.Marshal(storedLasted{Lasted: l.current, WriteID: uuid.NewString()})
	if err != nil {
		return &DamagedError{Cause: err}
	}
	revision, err := store.Swap(ctx, l.store, store.Write{Key: keys.Moves, Expect: l.revision, Value: value})
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
func (l Lasted) reasons() map[string]int {
	set := make(map[string]int, len(l.Lacking)+len(l.Over)+len(l.Absent))
	for name, lasted := range l.Lacking {
		set["lacking/"+name] = len(lasted)
	}
	for name, lasted := range l.Over {
		set["over/"+name] = len(lasted)
	}
	for name := range l.Absent {
		set["absent/"+name] = 1
	}
	for name := range l.OneZone {
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
