package storelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"auburnglade.example/glade/internal/store"
)

const (
	// minRate is the least rate in calls a second, however many processes share
	// the store: lease renewal needs a call every few seconds.
	minRate = 2.0
	// burstSeconds is the bucket's capacity in seconds of calls at the current
	// rate.
	burstSeconds = 1.0
	// rateDoublingTime is the time in which the rate doubles while calls
	// succeed.
	rateDoublingTime = 5 * time.Second
	// throttleFactor multiplies the rate when the store throttles a call.
	throttleFactor = 0.5
	// maxWait bounds the wait for a token; minTimerDelay is the shortest delay
	// of the wake-up timer.
	maxWait       = 2 * time.Second
	minTimerDelay = time.Millisecond
	// maxWaitersPerClass bounds the calls of one class that wait for a token.
	maxWaitersPerClass = 256
)

// bucket is a token bucket with one FIFO queue a class; the most important class
// is served first. Its rate adapts to the store: it is halved when the store
// throttles, reset to the floor when the store is available again after an
// outage, and raised while calls succeed.
type bucket struct {
	maxRate float64
	floor   func() float64

	mu            sync.Mutex
	rate          float64
	tokens        float64
	refilledAt    time.Time
	rateChangedAt time.Time
	queues        [classCount][]*waiter
	timer         *time.Timer
}

type waiter struct{ ready chan struct{} }

func newBucket(maxRate float64, floor func() float64) *bucket {
	now := time.Now()
	return &bucket{maxRate: maxRate, floor: floor, rate: maxRate, tokens: maxRate * burstSeconds, refilledAt: now, rateChangedAt: now}
}

// acquire waits for a token. It returns *store.ThrottledError if it gets none
// within maxWait or before ctx ends, or if the queue of the class is full.
func (b *bucket) acquire(ctx context.Context, op string, class Class) error {
	w, err := b.acquireOrEnqueue(op, class)
	if w == nil {
		return err
	}
	return b.wait(ctx, op, class, w)
}

// acquireOrEnqueue takes a token if one is free, and returns a nil waiter.
// Otherwise it queues the call and returns its waiter.
func (b *bucket) acquireOrEnqueue(op string, class Class) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.noneQueuedAhead(class) && b.hasToken(class) {
		b.tokens--
		return nil, nil
	}
	if len(b.queues[class]) >= maxWaitersPerClass {
		return nil, &store.ThrottledError{Op: op, RetryAfter: maxWait}
	}
	w := &waiter{ready: make(chan struct{})}
	b.queues[class] = append(b.queues[class], w)
	b.scheduleWake()
	return w, nil
}

func (b *bucket) wait(ctx context.Context, op string, class Class, w *waiter) error {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	case <-timeout.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queues[class] {
		if other == w {
			b.queues[class] = append(b.queues[class][:i:i], b.queues[class][i+1:]...)
			return &store.ThrottledError{Op: op, RetryAfter: maxWait}
		}
	}
	// The token was granted between the timeout and the lock.
	return nil
}

// refund returns a token that was not used.
func (b *bucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.grantTokens()
}

func (b *bucket) noneQueuedAhead(class Class) bool {
	for _, queue := range b.queues[:class+1] {
		if len(queue) > 0 {
			return false
		}
	}
	return true
}

// hasToken reports whether a class may take a token without using the reserve of
// more important classes.
func (b *bucket) hasToken(class Class) bool { return b.tokens >= b.requiredTokens(class) }

func (b *bucket) requiredTokens(class Class) float64 {
	return 1 + reservedShare[class]*max(b.capacity()-1, 0)
}

func (b *bucket) capacity() float64 { return max(1, b.rate*burstSeconds) }

func (b *bucket) refill() {
	now := time.Now()
	b.tokens = min(b.capacity(), b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// grantTokens grants tokens to waiters, the most important class first.
func (b *bucket) grantTokens() {
	for class := range b.queues {
		for len(b.queues[class]) > 0 {
			if !b.hasToken(Class(class)) {
				b.scheduleWake()
				return
			}
			b.tokens--
			close(b.queues[class][0].ready)
			b.queues[class] = b.queues[class][1:]
		}
	}
}

// scheduleWake sets the timer to the time at which the first waiter can get its
// token.
func (b *bucket) scheduleWake() {
	for class, queue := range b.queues {
		if len(queue) == 0 {
			continue
		}
		missing := b.requiredTokens(Class(class)) - b.tokens
		wait := max(time.Duration(missing/b.rate*float64(time.Second)), minTimerDelay)
		if b.timer != nil {
			b.timer.Stop()
		}
		b.timer = time.AfterFunc(wait, b.wake)
		return
	}
}

func (b *bucket) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.grantTokens()
}

// onThrottled lowers the rate after the store has throttled a call.
func (b *bucket) onThrottled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.setRate(max(b.floor(), b.rate*throttleFactor))
}

// resetToFloor sets the rate to the floor and drops the accumulated tokens, so
// that calls resume slowly after an outage.
func (b *bucket) resetToFloor() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.setRate(b.floor())
	b.tokens = min(b.tokens, 1)
}

// raiseRate raises the rate exponentially with the time since its last change, of
// which at most one second counts.
func (b *bucket) raiseRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate >= b.maxRate {
		return
	}
	b.refill()
	passed := min(time.Since(b.rateChangedAt), time.Second)
	b.setRate(min(b.maxRate, b.rate*math.Exp2(passed.Seconds()/rateDoublingTime.Seconds())))
}

func (b *bucket) setRate(rate float64) {
	b.rate = rate
	b.rateChangedAt = time.Now()
	b.tokens = min(b.tokens, b.capacity())
}

func (b *bucket) currentRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}
