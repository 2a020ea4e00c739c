// Package retry limits the additional load caused by retries and spreads them
// over time, so that a fault does not cause a retry storm.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// TokenRatio is the fraction of requests that may be retried: the number of
	// tokens that each request deposits.
	TokenRatio = 0.1
	// InitialTokens is the number of retries allowed before any request has
	// deposited tokens, and MaxTokens the capacity of the bucket.
	InitialTokens = 10.0
	MaxTokens     = 100.0

	firstBackoff = 4 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
)

// Budget is a token bucket that requests fill and retries drain. Its zero value
// is not usable. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with InitialTokens tokens.
func NewBudget() *Budget { return &Budget{tokens: InitialTokens} }

// Deposit adds the TokenRatio tokens of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+TokenRatio, MaxTokens)
}

// TryWithdraw takes the token of one retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds one budget per service, so that a fault in one service does not
// exhaust the retries of another. Its zero value is ready for use.
type Budgets struct {
	byService sync.Map
}

// ForService returns the budget of a service and creates it on first use.
func (b *Budgets) ForService(service string) *Budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*Budget)
	}
	made, _ := b.byService.LoadOrStore(service, NewBudget())
	return made.(*Budget)
}

// Backoff returns the delay before the retry that follows the given number of
// attempts. It is uniformly distributed between zero and a bound that doubles
// with each attempt, up to 100 ms.
func Backoff(attempts int) time.Duration {
	bound := min(firstBackoff<<max(attempts-1, 0), maxBackoff)
	return rand.N(bound)
}
