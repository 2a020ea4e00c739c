package storelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"auburnglade.example/glade/internal/store"
)

const (
	// leastRate keeps leases alive however many share: one renewal takes a
	// call every few seconds.
	leastRate = 2.0
	// burstTime is how many seconds' worth of calls may be made at once.
	burstTime = 1.0
	// doubleTime is how long the rate takes to double while the store answers.
	doubleTime = 5 * time.Second
	// slowShare is what a throttled call leaves of the rate.
	slowShare = 0.5
	// longestWait bounds the wait for a token, shortestWait the timer's steps.
	longestWait  = 2 * time.Second
	shortestWait = time.Millisecond
	// mostWaiting bounds the calls of one class that wait.
	mostWaiting = 256
)

// bucket hands out tokens to waiting calls, the most important class first.
// Its rate follows the store: halved when the store throttles, back to the
// floor when it has been away, and up again while it answers.
type bucket struct {
	ceiling float64
	floor   func() float64

	mu      sync.Mutex
	rate    float64
	tokens  float64
	at      time.Time
	raised  time.Time
	waiting [classes][]*waiter
	timer   *time.Timer
}

type waiter struct{ ready chan struct{} }

func newBucket(ceiling float64, floor func() float64) *bucket {
	now := time.Now()
	return &bucket{ceiling: ceiling, floor: floor, rate: ceiling, tokens: ceiling * burstTime, at: now, raised: now}
}

// take waits for a token. It returns *store.ThrottledError when there is none
// in time.
func (b *bucket) take(ctx context.Context, op string, class Class) error {
	w, err := b.enter(op, class)
	if w == nil {
		return err
	}
	return b.await(ctx, op, class, w)
}

// enter takes a token if one is free, and waits in line otherwise: it returns
// the place in the line, nil for none.
func (b *bucket) enter(op string, class Class) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.noneBefore(class) && b.spare(class) {
		b.tokens--
		return nil, nil
	}
	if len(b.waiting[class]) >= mostWaiting {
		return nil, &store.ThrottledError{Op: op, RetryAfter: longestWait}
	}
	w := &waiter{ready: make(chan struct{})}
	b.waiting[class] = append(b.waiting[class], w)
	b.schedule()
	return w, nil
}

func (b *bucket) await(ctx context.Context, op string, class Class, w *waiter) error {
	timeout := time.NewTimer(longestWait)
	defer timeout.Stop()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	case <-timeout.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting[class] {
		if other == w {
			b.waiting[class] = append(b.waiting[class][:i:i], b.waiting[class][i+1:]...)
			return &store.ThrottledError{Op: op, RetryAfter: longestWait}
		}
	}
	// The token came in the very moment.
	return nil
}

// putBack returns a token that wasn't spent.
func (b *bucket) putBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.handOut()
}

func (b *bucket) noneBefore(class Class) bool {
	for _, queue := range b.waiting[:class+1] {
		if len(queue) > 0 {
			return false
		}
	}
	return true
}

// spare reports whether a class may take a token and leave its reserve.
func (b *bucket) spare(class Class) bool { return b.tokens >= b.needed(class) }

func (b *bucket) needed(class Class) float64 { return 1 + reserve[class]*max(b.burst()-1, 0) }

func (b *bucket) burst() float64 { return max(1, b.rate*burstTime) }

func (b *bucket) refill() {
	now := time.Now()
	b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// handOut gives tokens to those that wait, in the order of their classes.
func (b *bucket) handOut() {
	for class := range b.waiting {
		for len(b.waiting[class]) > 0 {
			if !b.spare(Class(class)) {
				b.schedule()
				return
			}
			b.tokens--
			close(b.waiting[class][0].ready)
			b.waiting[class] = b.waiting[class][1:]
		}
	}
}

// schedule wakes up when the first in line can have its token.
func (b *bucket) schedule() {
	for class, queue := range b.waiting {
		if len(queue) == 0 {
			continue
		}
		missing := b.needed(Class(class)) - b.tokens
		wait := max(time.Duration(missing/b.rate*float64(time.Second)), shortestWait)
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
	b.handOut()
}

// slowDown answers a throttled call.
func (b *bucket) slowDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.setRate(max(b.floor(), b.rate*slowShare))
}

// restart begins anew at the floor, with nothing saved up.
func (b *bucket) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.setRate(b.floor())
	b.tokens = min(b.tokens, 1)
}

// speedUp raises the rate by the time that has passed since it last changed.
func (b *bucket) speedUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate >= b.ceiling {
		return
	}
	b.refill()
	passed := min(time.Since(b.raised), time.Second)
	b.setRate(min(b.ceiling, b.rate*math.Exp2(passed.Seconds()/doubleTime.Seconds())))
}

func (b *bucket) setRate(rate float64) {
	b.rate = rate
	b.raised = time.Now()
	b.tokens = min(b.tokens, b.burst())
}

func (b *bucket) currentRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}
