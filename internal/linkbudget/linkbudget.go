// Package linkbudget limits the bytes that a process sends of one kind of traffic,
// so that the rest of its link is left to the other kinds.
package linkbudget

import (
	"math"
	"sync"
	"time"
)

// bytesPerMbit is a megabit in bytes.
const bytesPerMbit = 1e6 / 8

// maxSaved bounds the unused share that is saved for a burst. It is short beside
// the time that a lease renewal may wait behind the burst.
const maxSaved = 100 * time.Millisecond

// Budget is a share of a link. A nil Budget is unlimited. Its methods are safe for
// concurrent use.
type Budget struct {
	bytesPerSecond float64

	mu sync.Mutex
	// balance is what may be sent at updated, in bytes. It is negative after more was
	// spent than was left.
	balance float64
	updated time.Time
}

// New returns a budget of a share, between 0 and 1, of a link with a bandwidth of
// linkMbps Mbit/s. It returns nil, an unlimited budget, if the bandwidth is not
// known.
func New(linkMbps, share float64) *Budget {
	if linkMbps <= 0 {
		return nil
	}
	return &Budget{bytesPerSecond: linkMbps * bytesPerMbit * share}
}

// Available returns how many bytes may be sent now, zero or less if none.
func (b *Budget) Available(now time.Time) int {
	if b == nil {
		return math.MaxInt
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	return int(b.balance)
}

// Spend records that bytes are sent. They may be more than Available, since what
// belongs together is sent together; the next ones then wait for longer.
func (b *Budget) Spend(bytes int, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	b.balance -= float64(bytes)
}

// TrySpend spends bytes if any may be sent now, and reports whether it did.
func (b *Budget) TrySpend(bytes int, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	if b.balance <= 0 {
		return false
	}
	b.balance -= float64(bytes)
	return true
}

func (b *Budget) refillLocked(now time.Time) {
	saved := b.bytesPerSecond * maxSaved.Seconds()
	if b.updated.IsZero() {
		b.balance = saved
	} else {
		b.balance = min(saved, b.balance+b.bytesPerSecond*max(0, now.Sub(b.updated).Seconds()))
	}
	b.updated = now
}
