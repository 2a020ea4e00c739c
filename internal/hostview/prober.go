// Package hostview provides the pessimistic view of the fleet on which waves and
// moves decide to take hosts out of service. The platform's host list lags, so
// the condition of hosts is also probed directly.
package hostview

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

const (
	// MaxServingAge is the maximum age of the condition of a serving host that
	// a budget decision uses. With H serving hosts to probe this costs at
	// most H/MaxServingAge calls a second.
	MaxServingAge = 3 * time.Second
	// ProbeTimeout is the timeout of one probe.
	ProbeTimeout = 2 * time.Second
	// reconcileAllowance is added to the maximum age of a condition to allow for
	// the time between the probe and the use of its result.
	reconcileAllowance = 250 * time.Millisecond
	// maxConcurrentProbes is the maximum number of probes in flight.
	maxConcurrentProbes = 32
)

// Probe requests a host's condition that is at most MaxAge old and was probed
// at or after NotBefore.
type Probe struct {
	Host      string
	MaxAge    time.Duration
	NotBefore time.Time
}

// Condition is a host's condition as of ProbedAt.
type Condition struct {
	fleet.HostCondition
	ProbedAt time.Time
	// HealthySince is the start of the uninterrupted period in which this
	// process has observed the host healthy in its current boot.
	HealthySince time.Time
}

// Prober probes the condition of hosts in the background.
type Prober struct {
	pool      fleet.HostControl
	waitLimit time.Duration
	slots     chan struct{}

	mu         sync.Mutex
	conditions map[string]Condition
	inFlight   map[string]bool
}

// NewProber returns a prober without any conditions. Refresh waits at most
// waitLimit for probes, so that a host that hangs does not delay decisions about
// other hosts any longer. A late result is used by the next reconcile if it is
// still fresh enough by then.
func NewProber(pool fleet.HostControl, waitLimit time.Duration) *Prober {
	return &Prober{
		pool: pool, waitLimit: waitLimit, slots: make(chan struct{}, maxConcurrentProbes),
		conditions: make(map[string]Condition), inFlight: make(map[string]bool),
	}
}

// Refresh probes the hosts whose known condition does not satisfy the probe, and
// returns the conditions known after at most the prober's wait limit. Hosts
// without a condition that satisfies their probe are omitted.
func (p *Prober) Refresh(ctx context.Context, probes []Probe) map[string]Condition {
	var wait sync.WaitGroup
	for _, want := range probes {
		if p.reserve(want) {
			wait.Add(1)
			go func() {
				defer wait.Done()
				p.probe(ctx, want.Host)
			}()
		}
	}
	p.waitForProbes(&wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[string]Condition, len(probes))
	for _, want := range probes {
		if state, known := p.conditions[want.Host]; known && want.satisfiedBy(state, reconcileAllowance) {
			fresh[want.Host] = state
		}
	}
	return fresh
}

// satisfiedBy reports whether a condition is recent enough. The grace allows for
// the time that the reconcile itself takes.
func (want Probe) satisfiedBy(state Condition, grace time.Duration) bool {
	return time.Since(state.ProbedAt) <= want.MaxAge+grace && !state.ProbedAt.Before(want.NotBefore)
}

// reserve reports whether the host must be probed, and if so marks the probe as
// in flight.
func (p *Prober) reserve(want Probe) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.conditions[want.Host]
	if p.inFlight[want.Host] || known && want.satisfiedBy(state, 0) {
		return false
	}
	p.inFlight[want.Host] = true
	return true
}

func (p *Prober) waitForProbes(wait *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	timer := time.NewTimer(p.waitLimit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (p *Prober) probe(ctx context.Context, host string) {
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	probedAt := time.Now()
	result, err := p.pool.Condition(ctx, host)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, host)
	if err != nil {
		// The host may have changed since the last probe, so its health check
		// starts over.
		delete(p.conditions, host)
		return
	}
	state := Condition{HostCondition: result, ProbedAt: probedAt, HealthySince: probedAt}
	before, known := p.conditions[host]
	if known && before.Healthy && result.Healthy && before.BootID == result.BootID {
		state.HealthySince = before.HealthySince
	}
	p.conditions[host] = state
}

// Forget discards a host's condition, so that its health check starts over.
func (p *Prober) Forget(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conditions, host)
}
