package limit

import (
	"math"
	"time"
)

// QueuePolicy bounds what waits for a slot, per service.
type QueuePolicy struct {
	// MaxLength is how many requests wait at most.
	MaxLength int
	// MaxWait is how long a request waits at most.
	MaxWait time.Duration
	// Target is the wait that is accepted when the service stays overloaded.
	Target time.Duration
	// OverloadAfter is how long the queue may be longer than is served within Target
	// before the service counts as overloaded.
	OverloadAfter time.Duration
}

// DefaultQueuePolicy absorbs a burst of a second, and under lasting overload keeps
// the wait near a tenth of one.
var DefaultQueuePolicy = QueuePolicy{
	MaxLength: 256, MaxWait: time.Second, Target: 100 * time.Millisecond, OverloadAfter: 500 * time.Millisecond,
}

const (
	noDeadline = time.Duration(math.MaxInt64)
	// minRetryAfter is the least that a refused caller is told to wait: the
	// header counts whole seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// retrySpread is the multiple of the estimated wait after which a new try
	// has a fair chance.
	retrySpread = 2
	// strainedPatience is the multiple of the target that a request waits at
	// most under overload.
	strainedPatience = 2
)

// Arrival is a request that finds no free slot, and what it finds.
type Arrival struct {
	// Queued waits in the service's queue, QueuedByCaller of this caller, and
	// LargestCaller of the caller with the most.
	Queued, QueuedByCaller, LargestCaller int
	// Ahead is how many would be served before it in the fair order.
	Ahead int
	// Slots is this gateway's slots on the endpoints that may take it.
	Slots int
	// MeanService is how long a slot is held; zero when not known yet.
	MeanService time.Duration
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// OverTargetFor is for how long the queue has been longer than is served within
	// the policy's target.
	OverTargetFor time.Duration
}

// Decision is what becomes of an arrival.
type Decision struct {
	Admit bool
	// Evict says that the newest request of the caller with the most waiting
	// must make room.
	Evict bool
	// MaxWait is how long it may wait: after that it couldn't end in time.
	MaxWait time.Duration
	// RetryAfter is told to a caller whose request isn't admitted.
	RetryAfter time.Duration
}

// Decide decides on an arrival. It is pure.
func Decide(a Arrival, policy QueuePolicy) Decision {
	wait := EstimateWait(a.Ahead, a.Slots, a.MeanService)
	patience := min(policy.MaxWait, a.Remaining-a.MeanService)
	accepted := patience
	if a.OverTargetFor >= policy.OverloadAfter {
		accepted = min(accepted, policy.Target)
		// Callers with less waiting may yet be served before this one.
		patience = min(patience, strainedPatience*policy.Target)
	}
	if patience <= 0 || wait > accepted {
		return Decision{RetryAfter: retryAfter(wait)}
	}
	if a.Queued < policy.MaxLength {
		return Decision{Admit: true, MaxWait: patience}
	}
	// A full queue makes room for a caller that has clearly less waiting than
	// another: a flood pushes out its own requests, not the others'.
	if a.QueuedByCaller+1 < a.LargestCaller {
		return Decision{Admit: true, Evict: true, MaxWait: patience}
	}
	return Decision{RetryAfter: retryAfter(wait)}
}

// EstimateWait is how long a request with ahead others before it waits for one
// of slots that are each held for mean. Without slots it can't be estimated
// and is zero: the queue's patience bounds the wait.
func EstimateWait(ahead, slots int, mean time.Duration) time.Duration {
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(mean) * float64(ahead+1) / float64(slots))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(retrySpread*wait, minRetryAfter), maxRetryAfter)
}

// meterWeight is the weight of one new observation in the mean.
const meterWeight = 0.05

// meter follows how long slots are held.
type meter struct{ mean time.Duration }

func (m *meter) add(held time.Duration) {
	if m.mean == 0 {
		m.mean = held
		return
	}
	m.mean += time.Duration(meterWeight * float64(held-m.mean))
}

// strain follows for how long the queue has been longer than what is served
// within the target. A short burst passes through a queue; a queue that never
// gets short is overload, and only adds its length to everyone's wait. The
// whole queue counts, not the waits: callers with little waiting are served
// soon also while others' requests pile up.
type strain struct{ since time.Time }

// free notes that a request found a free slot and nobody waiting. Only that
// ends overload: a queue kept short by refusals would otherwise count as calm
// and be let grow again, over and over.
func (s *strain) free() { s.since = time.Time{} }

func (s *strain) observe(now time.Time, drain time.Duration, policy QueuePolicy) {
	switch {
	case drain > policy.Target && s.since.IsZero():
		s.since = now
	case drain <= policy.Target && s.lasting(now) < policy.OverloadAfter:
		s.since = time.Time{}
	}
}

func (s *strain) lasting(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
