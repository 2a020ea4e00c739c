package configrelay

import (
	"time"

	"auburnglade.example/glade/internal/elapsed"
)

// Standing is what is known of the version in force at one moment.
type Standing struct {
	// Known is set if there is a version.
	Known bool
	// Age is how long ago the version was known to be the newest.
	Age time.Duration
	// Replaced is set if a newer version is known to exist and has not arrived.
	Replaced bool
	// Outage is set if the store is unavailable to all entry hosts, so that nobody can
	// have replaced the version.
	Outage bool
}

// Current reports whether the version is known to have been the newest within the last
// bound. Only then is what it lacks known not to exist.
func (s Standing) Current(bound time.Duration) bool {
	return s.Known && !s.Replaced && (s.Age <= bound || s.Outage)
}

// Usable reports whether what the version says may be followed. An entry host that can't
// tell whether it was replaced goes on: if all of them stopped when they lose the store,
// that would be an outage. One that knows better stops after bound, since others have the
// newer version.
func (s Standing) Usable(bound time.Duration) bool {
	return s.Known && (!s.Replaced || s.Age <= bound)
}

// Standing returns what is known of the version in force.
func (r *Relay) Standing(now time.Time) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.ageLocked(now)
	return Standing{Known: r.inForce != 0, Age: age, Replaced: r.replacedLocked(), Outage: age > askAfter && r.outageLocked(now)}
}

// Age returns how long ago the version in force was known to be the newest.
func (r *Relay) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ageLocked(now)
}

// Current reports whether the version in force is current by bound; see Standing.Current.
func (r *Relay) Current(bound time.Duration, now time.Time) bool {
	return r.Standing(now).Current(bound)
}

// ageLocked is how long ago the version in force was known to be the newest.
func (r *Relay) ageLocked(now time.Time) time.Duration {
	return elapsed.Between(r.confirmedAt, now)
}
