// Package overload decides which jobs a pool refuses because it can't do them while
// they are worth anything, and when their clients should come back. It does no I/O.
package overload

import (
	"time"

	"auburnglade.example/glade/internal/sched"
)

// Reason is why a job is refused.
type Reason string

const (
	// None means that the job is not refused.
	None Reason = ""
	// NoRoom means that the pool has too little room for all callers together.
	NoRoom Reason = "no room"
	// OverShare means that the job's organisation has more unfinished work in the
	// pool than its share of it.
	OverShare Reason = "over share"
)

const (
	// minRetryAfter and maxRetryAfter bound when a client should come back. Its own
	// next try would come within some seconds; after maxRetryAfter demand has changed
	// so much that the estimate is worth nothing.
	minRetryAfter = time.Second
	maxRetryAfter = 15 * time.Second
	// latestRoomIn leaves half of maxRetryAfter to spread clients over.
	latestRoomIn = maxRetryAfter / 2
	// attemptRetention is how long the first attempt of a refused job is kept, so that
	// a client that comes back as told keeps its place.
	attemptRetention = 2 * maxRetryAfter
	// maxAttempts bounds the attempts that are kept.
	maxAttempts = 4096
	// searchInterval is the least time between two searches for old attempts.
	searchInterval = time.Second
)

// Decision is what becomes of a job that is being submitted.
type Decision struct {
	Reason Reason
	// RetryAfter is when the client should come back; it is set for a refusal.
	RetryAfter time.Duration
	// Returning is the work of the clients that were told to come back earlier than
	// this one, in core-seconds.
	Returning float64
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason != None }

// Refuser decides for the jobs of one pool. It answers the load of callers who send
// more than the pool can do for seconds on end. The zero value is ready for use.
type Refuser struct {
	// first holds the first attempts of refused jobs by ID.
	first map[string]time.Time
	// searchedAt is when old attempts were last searched for.
	searchedAt time.Time
	// returning is the work of clients that were told to come back, in core-seconds
	// as of returningAt. It shrinks as the pool gets through it, and begins again at
	// zero once it is more than the pool can do within the longest time to come back.
	returning   float64
	returningAt time.Time
}

// FirstAttempt returns when a job was first submitted: now, or when it was refused
// first.
func (r *Refuser) FirstAttempt(id string, now time.Time) time.Time {
	if at, known := r.first[id]; known && now.Sub(at) <= attemptRetention {
		return at
	}
	return now
}

// Decide decides on a job with a forecast. share is the share of its organisation,
// from 0 to 1, or 0 if it has none. A job that can be done while it is worth something
// is never refused.
func (r *Refuser) Decide(id string, f sched.Forecast, share float64, now time.Time) Decision {
	r.settle(f.Cores, now)
	if !f.Known || f.Worthwhile || f.Cores <= 0 {
		delete(r.first, id)
		return Decision{Reason: None, Returning: r.returning}
	}
	retryAfter := r.retryAfter(f)
	d := Decision{Reason: NoRoom, RetryAfter: retryAfter, Returning: r.returning}
	if share > 0 && f.OrganisationWork+f.Own > share*(f.TotalWork+f.Own) {
		d.Reason = OverShare
	}
	r.note(id, now)
	r.returning += f.Own
	return d
}

// retryAfter returns when there will be room for a job, behind the clients that were
// told to come back before. Each of them is told a later time, so that they return
// spread over the time in which there is room. Where they are too many for that, later
// ones are spread over the same time again: all of them together would be refused again.
func (r *Refuser) retryAfter(f sched.Forecast) time.Duration {
	earliest := min(latestRoomIn, max(minRetryAfter, f.RoomIn))
	if r.returning >= f.Cores*(maxRetryAfter-earliest).Seconds() {
		r.returning = 0
	}
	return earliest + time.Duration(r.returning/f.Cores*float64(time.Second))
}

// settle forgets the work of returning clients that the pool got through since the last
// decision.
func (r *Refuser) settle(cores float64, now time.Time) {
	if done := cores * now.Sub(r.returningAt).Seconds(); !r.returningAt.IsZero() {
		r.returning = max(0, r.returning-done)
	}
	r.returningAt = now
}

// note records the first attempt of a refused job.
func (r *Refuser) note(id string, now time.Time) {
	if r.first == nil {
		r.first = make(map[string]time.Time)
	}
	if at, known := r.first[id]; known {
		if now.Sub(at) > attemptRetention {
			r.first[id] = now
		}
		return
	}
	if len(r.first) >= maxAttempts {
		r.forget(now)
	}
	if len(r.first) < maxAttempts {
		r.first[id] = now
	}
}

// forget drops the attempts of clients that did not come back.
func (r *Refuser) forget(now time.Time) {
	if now.Sub(r.searchedAt) < searchInterval {
		return
	}
	r.searchedAt = now
	for id, at := range r.first {
		if now.Sub(at) > attemptRetention {
			delete(r.first, id)
		}
	}
}

// Share returns the share of an organisation among all weights, 0 if it has none.
func Share(organisation string, weights map[string]int) float64 {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	return float64(weights[organisation]) / float64(total)
}
