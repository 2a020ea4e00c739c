package limit

import (
	"math"
	"time"
)

// QueuePolicy limits the queue of requests that wait for a slot. Each service has its
// own queue.
type QueuePolicy struct {
	// MaxLength is the maximum number of waiting requests.
	MaxLength int
	// MaxWait is the longest time that a request waits.
	MaxWait time.Duration
	// Target is the longest estimated wait that is accepted while the service is
	// overloaded.
	Target time.Duration
	// OverloadAfter is how long the estimated time to drain the queue must exceed Target
	// before the service counts as overloaded.
	OverloadAfter time.Duration
}

// DefaultQueuePolicy absorbs bursts of about one second and keeps the wait near 100 ms
// under sustained overload.
var DefaultQueuePolicy = QueuePolicy{
	MaxLength: 256, MaxWait: time.Second, Target: 100 * time.Millisecond, OverloadAfter: 500 * time.Millisecond,
}

const (
	noDeadline = time.Duration(math.MaxInt64)
	// minRetryAfter is the shortest Retry-After given to a refused caller, since the header
	// counts whole seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// retryAfterFactor is the multiple of the estimated wait after which a retry is likely
	// to be admitted.
	retryAfterFactor = 2
	// overloadMaxWaitFactor times the target is the longest time that a request waits under
	// overload.
	overloadMaxWaitFactor = 2
)

// Arrival describes a request that found no free slot and the state of its service's
// queue.
type Arrival struct {
	// Queued is the number of requests waiting for the service, QueuedByCaller the number
	// from this caller, and MaxQueuedByCaller the number from the caller with the most.
	Queued, QueuedByCaller, MaxQueuedByCaller int
	// Ahead is the number of waiting requests that would be served before this one in the
	// fair order.
	Ahead int
	// Slots is the number of this gateway's slots on the endpoints that may serve the
	// request.
	Slots int
	// MeanHoldTime is the mean time that a slot is held; zero if not known yet.
	MeanHoldTime time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// OverTargetFor is how long the estimated time to drain the queue has exceeded the
	// policy's Target.
	OverTargetFor time.Duration
}

// Decision is the outcome of an arrival.
type Decision struct {
	Admit bool
	// Evict requires the newest request of the caller with the most waiting requests to be
	// removed to make room.
	Evict bool
	// MaxWait is how long the request may wait. After that it could not finish before its
	// deadline.
	MaxWait time.Duration
	// RetryAfter is the delay to suggest to a caller whose request is not admitted.
	RetryAfter time.Duration
}

// Decide decides whether to admit an arrival to the queue. It is a pure function.
func Decide(a Arrival, policy QueuePolicy) Decision {
	wait := EstimateWait(a.Ahead, a.Slots, a.MeanHoldTime)
	maxWait := min(policy.MaxWait, a.Remaining-a.MeanHoldTime)
	acceptedWait := maxWait
	if a.OverTargetFor >= policy.OverloadAfter {
		acceptedWait = min(acceptedWait, policy.Target)
		// Requests of callers with fewer waiting requests may still be served before this one,
		// so the limit is above the target.
		maxWait = min(maxWait, overloadMaxWaitFactor*policy.Target)
	}
	if maxWait <= 0 || wait > acceptedWait {
		return Decision{RetryAfter: retryAfter(wait)}
	}
	if a.Queued < policy.MaxLength {
		return Decision{Admit: true, MaxWait: maxWait}
	}
	// A full queue evicts only in favour of a caller with clearly fewer waiting requests
	// than the largest one: a flood evicts its own requests and not those of other callers.
	if a.QueuedByCaller+1 < a.MaxQueuedByCaller {
		return Decision{Admit: true, Evict: true, MaxWait: maxWait}
	}
	return Decision{RetryAfter: retryAfter(wait)}
}

// EstimateWait estimates how long a request waits behind ahead others for one of slots
// that are each held for mean. Without slots there is no estimate and it returns zero;
// the wait is then bounded by QueuePolicy.MaxWait.
func EstimateWait(ahead, slots int, mean time.Duration) time.Duration {
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(mean) * float64(ahead+1) / float64(slots))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(retryAfterFactor*wait, minRetryAfter), maxRetryAfter)
}

// holdTimeWeight is the weight of a new observation in the exponentially weighted mean.
const holdTimeWeight = 0.05

// holdTimeMean is the moving average of the time that slots are held.
type holdTimeMean struct{ mean time.Duration }

func (m *holdTimeMean) add(held time.Duration) {
	if m.mean == 0 {
		m.mean = held
		return
	}
	m.mean += time.Duration(holdTimeWeight * float64(held-m.mean))
}

// overloadTracker tracks how long the estimated time to drain the queue has exceeded
// the target. A short burst passes through a queue, but a queue that never shortens is
// overload and only adds its length to every wait. The whole queue is measured and not
// the waits of single requests, because callers with few waiting requests are served
// soon even while the requests of others pile up.
type overloadTracker struct{ since time.Time }

// reset ends the overload. It is called when a request finds a free slot and an empty
// queue. Once the service counts as overloaded, nothing else ends that: a queue kept
// short by refusals would otherwise count as recovered and grow again, repeatedly.
func (s *overloadTracker) reset() { s.since = time.Time{} }

func (s *overloadTracker) observe(now time.Time, drain time.Duration, policy QueuePolicy) {
	switch {
	case drain > policy.Target && s.since.IsZero():
		s.since = now
	case drain <= policy.Target && s.duration(now) < policy.OverloadAfter:
		s.since = time.Time{}
	}
}

func (s *overloadTracker) duration(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
