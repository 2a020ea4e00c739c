// Package retry bounds how much more load retries may make and spreads them in
// time, so that a fault doesn't grow into a retry storm.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// TokenRatio of the recent requests that may be retried.
	TokenRatio = 0.1
	// InitialTokens is what a quiet service may retry without having earned it, and
	// Most what a busy one can save up.
	InitialTokens = 10.0
	MaxTokens     = 100.0

	firstBackoff = 4 * time.Millisecond
	mostBackoff  = 100 * time.Millisecond
)

// Budget is a token bucket filled by requests and emptied by retries. Its zero
// value is not usable. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that holds Reserve.
func NewBudget() *Budget { return &Budget{tokens: InitialTokens} }

// Deposit adds what one request earns.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+TokenRatio, MaxTokens)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds one budget per service, so that one service's fault doesn't
// use up another's retries. The zero value is ready.
type Budgets struct {
	byService sync.Map
}

// ForService returns the budget of a service.
func (b *Budgets) ForService(service string) *Budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*Budget)
	}
	made, _ := b.byService.LoadOrStore(service, NewBudget())
	return made.(*Budget)
}

// Backoff returns the pause before the retry that follows the given number of
// attempts: evenly spread between nothing and a bound that doubles.
func Backoff(attempts int) time.Duration {
	bound := min(firstBackoff<<max(attempts-1, 0), mostBackoff)
	return rand.N(bound)
}
