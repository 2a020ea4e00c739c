// Package hostview is the pessimistic view of the fleet that hosts are taken out
// on, for waves and for moves alike: the platform's list lags, so that hosts are
// asked how they are besides.
package hostview

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

const (
	// MaxServingAge is how old the condition of a serving host may be when a
	// budget is judged on it: with H hosts next to a wave that costs at most
	// H/ServingAge calls a second.
	MaxServingAge = 3 * time.Second
	// ProbeTimeout bounds one question.
	ProbeTimeout = 2 * time.Second
	// roundTime is allowed for between the question and the use of its answer.
	roundTime = 250 * time.Millisecond
	// maxAsking bounds the questions asked at once.
	maxAsking = 32
)

// Probe asks for a host's condition at most MaxAge old and asked after a
// moment.
type Probe struct {
	Host      string
	MaxAge    time.Duration
	NotBefore time.Time
}

// Condition is a host's condition as it was when it was asked for.
type Condition struct {
	fleet.HostCondition
	ProbedAt time.Time
	// HealthySince is when this process first saw the host healthy in the
	// boot it is in, without a break.
	HealthySince time.Time
}

// Prober asks hosts how they are, in the background.
type Prober struct {
	pool     fleet.HostControl
	patience time.Duration
	slots    chan struct{}

	mu     sync.Mutex
	known  map[string]Condition
	asking map[string]bool
}

// NewProber returns an asker that knows nothing yet. Its patience is how long a
// round waits for answers, so that a host that hangs delays no other for longer.
// A late answer is there for the next round, if that comes before it is too old.
func NewProber(pool fleet.HostControl, patience time.Duration) *Prober {
	return &Prober{
		pool: pool, patience: patience, slots: make(chan struct{}, maxAsking),
		known: make(map[string]Condition), asking: make(map[string]bool),
	}
}

// Refresh asks what isn't known well enough and returns what is known after at
// most its patience. A host without an answer that is good enough is left out.
func (a *Prober) Refresh(ctx context.Context, questions []Probe) map[string]Condition {
	var wait sync.WaitGroup
	for _, q := range questions {
		if a.start(q) {
			wait.Add(1)
			go func() {
				defer wait.Done()
				a.ask(ctx, q.Host)
			}()
		}
	}
	a.waitFor(&wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh := make(map[string]Condition, len(questions))
	for _, q := range questions {
		if state, known := a.known[q.Host]; known && q.answeredBy(state, roundTime) {
			fresh[q.Host] = state
		}
	}
	return fresh
}

// answeredBy allows for the time that the round itself takes.
func (q Probe) answeredBy(state Condition, grace time.Duration) bool {
	return time.Since(state.ProbedAt) <= q.MaxAge+grace && !state.ProbedAt.Before(q.NotBefore)
}

// start reports whether the question has to be asked, and notes that it is.
func (a *Prober) start(q Probe) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, known := a.known[q.Host]
	if a.asking[q.Host] || known && q.answeredBy(state, 0) {
		return false
	}
	a.asking[q.Host] = true
	return true
}

func (a *Prober) waitFor(wait *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	timer := time.NewTimer(a.patience)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (a *Prober) ask(ctx context.Context, host string) {
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := a.pool.Condition(ctx, host)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.asking, host)
	if err != nil {
		// Whatever was known may have changed: a proof of health starts anew.
		delete(a.known, host)
		return
	}
	state := Condition{HostCondition: answer, ProbedAt: asked, HealthySince: asked}
	before, known := a.known[host]
	if known && before.Healthy && answer.Healthy && before.BootID == answer.BootID {
		state.HealthySince = before.HealthySince
	}
	a.known[host] = state
}

// Forget starts a host's proof of health anew.
func (a *Prober) Forget(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.known, host)
}
