package carrier

import (
	"math/rand/v2"
	"time"

	"auburnglade.example/glade/internal/elapsed"
)

// ClockID identifies the clock of one carrier process.
type ClockID uint32

const (
	// noClock is sent by holders of versions that date no calls.
	noClock ClockID = iota
	// unknownClock dates calls to a carrier whose clock is not known yet.
	unknownClock
	firstClockID
)

// Moment is a time by the clock of one carrier process.
type Moment struct {
	Clock ClockID
	// At is the time since the process started, in whole milliseconds.
	At time.Duration
}

// clock is the clock of a carrier process. It goes on while the process is suspended, so
// that a call which waited meanwhile is known to be old.
type clock struct {
	id      ClockID
	started time.Time
}

func newClock() clock {
	return clock{id: firstClockID + ClockID(rand.Uint32N(1<<31)), started: time.Now()}
}

func (c clock) now() Moment {
	return Moment{c.id, elapsed.Between(c.started, time.Now()).Truncate(time.Millisecond)}
}

// passed reports whether a moment has passed, or is not known to be still to come since
// it is by another clock.
func (c clock) passed(m Moment) bool {
	return m.Clock != noClock && (m.Clock != c.id || c.now().At > m.At)
}

// estimateAge is how long an estimate of a clock is used beside later ones that are lower.
// A higher one rests on a reply that took less time; an old one on a clock that may have
// been set back since.
const estimateAge = 2 * time.Second

// clockEstimate is a holder's estimate of a carrier's clock. It is behind the clock by the
// time that the best of the recent replies took, so that calls are dated too early rather
// than too late.
type clockEstimate struct {
	id ClockID
	// ahead is by how much the clock is ahead of this process's own since epoch, as a reply
	// that arrived at showed it.
	ahead     time.Duration
	epoch, at time.Time
}

// observe applies the moment in a reply that arrived now.
func (e *clockEstimate) observe(m Moment, now time.Time) {
	if m.Clock == noClock {
		return
	}
	if e.epoch.IsZero() {
		e.epoch = now
	}
	ahead := m.At - now.Sub(e.epoch)
	if m.Clock != e.id || ahead >= e.ahead || now.Sub(e.at) > estimateAge {
		e.id, e.ahead, e.at = m.Clock, ahead, now
	}
}

// moment returns the time t of this process by the carrier's clock.
func (e *clockEstimate) moment(t time.Time) Moment {
	if e.id == noClock {
		return Moment{Clock: unknownClock}
	}
	return Moment{e.id, (t.Sub(e.epoch) + e.ahead).Truncate(time.Millisecond)}
}
