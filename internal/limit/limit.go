// Package limit admits requests to endpoints within this gateway's share of
// their slots and connections, and refuses early what can't be served in time.
package limit

import (
	"context"
	"fmt"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/share"
)

// Request is what admission needs to know of a caller's request.
type Request struct {
	Service string
	// Caller identifies who calls, for fairness: an address without port.
	Caller string
	// Rank returns the endpoints that may take the request now, best first. It
	// is called under a lock of the limiter, again each time a slot is free.
	Rank func() []endpoint.Endpoint
	// OnAcquired, when set, is told the endpoint whose slot was taken, under the
	// same lock. If load were counted later, requests that come at once would
	// all be ranked on the same counts and go to the same endpoints.
	OnAcquired func(e endpoint.Endpoint)
}

func (r Request) taken(slot *Slot) {
	if r.OnAcquired != nil {
		r.OnAcquired(slot.Endpoint)
	}
}

// RefusedError says that a request was not admitted; it did not run.
type RefusedError struct {
	Service string
	Reason  outcome.Reason
	// RetryAfter is when a new try has a fair chance.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: not admitted: %s", e.Service, e.Reason)
}

// Slot is one endpoint's slot, held until Release.
type Slot struct {
	Endpoint endpoint.Endpoint
	// SingleUse says that the connection used must be closed with the request:
	// it is another gateway's.
	SingleUse bool
	release   func()
}

// Release gives the slot back. Later calls have no effect.
func (s *Slot) Release() { s.release() }

// Shares tells what this gateway may use of an endpoint right now. It must be
// safe for concurrent use and must not call the limiter.
type Shares interface {
	Allocation(service, host string) share.Allocation
}

type unbounded struct{}

func (unbounded) Allocation(string, string) share.Allocation {
	return share.Allocation{Slots: math.MaxInt32, Connections: math.MaxInt32}
}

// Config is what a Limiter is made of.
type Config struct {
	// Shares may be nil, which means that nothing bounds the requests to an
	// endpoint: no other gateway and no limit is known.
	Shares Shares
	// Queue bounds what waits; the zero value means DefaultQueue.
	Queue QueuePolicy
	// Borrower borrows slots from other gateways while requests wait; nil borrows
	// none.
	Borrower Borrower
	// CloseIdle closes connections that carry no request; nil closes none. It
	// must not wait for the limiter.
	CloseIdle func()
	// Registry may be nil.
	Registry prometheus.Registerer
}

// recheckInterval is how often a waiting request looks again for a slot that
// came free without a release here: an endpoint returned or a share grew.
const recheckInterval = 100 * time.Millisecond

// Limiter hands out slots. It is safe for concurrent use.
type Limiter struct {
	shares  Shares
	policy  QueuePolicy
	metrics *metrics
	gate    *gate
	began   time.Time
	broker  Borrower
	// closeIdle may be nil.
	closeIdle func()
	book      *lendBook
	terms     atomic.Pointer[BorrowPolicy]

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is one service's slots in use and its waiting requests. Each
// service has its own: a flood of one takes nothing from another.
type serviceState struct {
	// dispatched is when free slots were last looked for, in nanoseconds after
	// the limiter began.
	dispatched atomic.Int64

	// asking is set while another gateway is asked for slots.
	asking atomic.Bool

	name   string
	mu     sync.Mutex
	inUse  map[string]int
	queue  *fairQueue
	meter  meter
	strain strain
	// idleLoans are borrowed slots without a request, borrowedInUse those with.
	idleLoans     []*borrowed
	borrowedInUse map[*borrowed]bool
}

// New returns a limiter that admits within the shares.
func New(config Config) *Limiter {
	if config.Queue == (QueuePolicy{}) {
		config.Queue = DefaultQueuePolicy
	}
	if config.Shares == nil {
		config.Shares = unbounded{}
	}
	l := &Limiter{
		shares: config.Shares, policy: config.Queue, metrics: newMetrics(config.Registry),
		services: make(map[string]*serviceState), began: time.Now(),
		broker: config.Borrower, closeIdle: config.CloseIdle, book: &lendBook{lent: make(map[uint64]*lent)},
	}
	l.gate = newGate(config.Shares, l.metrics)
	return l
}

// Acquire returns a slot on the best ranked endpoint that has one. While none
// has, the request waits in its service's queue, for no longer than it could
// still be served within ctx's deadline. It returns *RefusedError.
func (l *Limiter) Acquire(ctx context.Context, request Request) (*Slot, error) {
	state := l.service(request.Service)
	slot, w, err := l.admit(ctx, state, request)
	if slot == nil && err != nil && refusedForLoad(err) || w != nil {
		l.borrow(state, request.Service, request.Rank())
	}
	if w == nil {
		return slot, err
	}
	return l.await(ctx, state, w)
}

// refusedForLoad tells a refusal that more slots would have spared.
func refusedForLoad(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == outcome.Overloaded
}

// states returns the state of every service.
func (l *Limiter) states() map[string]*serviceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.services)
}

func (l *Limiter) service(name string) *serviceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.services[name]
	if state == nil {
		state = &serviceState{
			name: name, inUse: make(map[string]int), queue: newFairQueue(), borrowedInUse: make(map[*borrowed]bool),
		}
		l.services[name] = state
	}
	return state
}

// admit takes a slot, or queues the request, or refuses it.
func (l *Limiter) admit(ctx context.Context, state *serviceState, request Request) (*Slot, *waiter, error) {
	now := time.Now()
	state.mu.Lock()
	defer state.mu.Unlock()
	ranked := request.Rank()
	if len(ranked) == 0 {
		return nil, nil, l.refused(request, outcome.NoEndpoint, minRetryAfter)
	}
	if state.queue.len() == 0 {
		if slot := l.take(state, ranked, now, endOf(ctx)); slot != nil {
			state.strain.free()
			request.taken(slot)
			return slot, nil, nil
		}
	}
	slots := l.slots(ranked) + len(state.idleLoans) + len(state.borrowedInUse)
	state.strain.observe(now, EstimateWait(state.queue.len(), slots, state.meter.mean), l.policy)
	verdict := Decide(Arrival{
		Queued: state.queue.len(), QueuedByCaller: state.queue.ofCaller(request.Caller),
		LargestCaller: state.queue.largest(), Ahead: state.queue.ahead(request.Caller),
		Slots: slots, MeanService: state.meter.mean,
		Remaining: remaining(ctx, now), OverTargetFor: state.strain.lasting(now),
	}, l.policy)
	if !verdict.Admit {
		return nil, nil, l.refused(request, outcome.Overloaded, verdict.RetryAfter)
	}
	if verdict.Evict {
		l.evict(state)
	}
	w := &waiter{request: request, since: now, ends: endOf(ctx), patience: verdict.MaxWait, ready: make(chan grant, 1)}
	state.queue.push(w)
	l.metrics.queued.WithLabelValues(request.Service).Set(float64(state.queue.len()))
	return nil, w, nil
}

// evict refuses the newest request of the caller with the most waiting.
func (l *Limiter) evict(state *serviceState) {
	victim := state.queue.newestOfLargest()
	if victim == nil {
		return
	}
	state.queue.remove(victim)
	wait := EstimateWait(state.queue.len(), 1, state.meter.mean)
	victim.ready <- grant{err: l.refused(victim.request, outcome.Overloaded, retryAfter(wait))}
}

// await waits until the request has a slot, was evicted, or has lost its
// chance.
func (l *Limiter) await(ctx context.Context, state *serviceState, w *waiter) (*Slot, error) {
	expired := time.NewTimer(w.patience)
	defer expired.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case granted := <-w.ready:
			return granted.slot, granted.err
		case <-recheck.C:
			l.borrow(state, w.request.Service, w.request.Rank())
			if time.Since(l.began)-time.Duration(state.dispatched.Load()) >= recheckInterval {
				l.dispatch(state)
			}
		case <-expired.C:
			return l.abandon(state, w)
		case <-ctx.Done():
			return l.abandon(state, w)
		}
	}
}

// abandon takes a request out of the queue, unless it was granted a slot just
// before.
func (l *Limiter) abandon(state *serviceState, w *waiter) (*Slot, error) {
	if !state.leave(w) {
		granted := <-w.ready
		return granted.slot, granted.err
	}
	return nil, l.refused(w.request, outcome.Overloaded, retryAfter(time.Since(w.since)))
}

// leave takes a waiting request out of the queue, and reports false if it isn't
// there any more.
func (s *serviceState) leave(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.remove(w)
}

// take returns a slot on the first ranked endpoint whose share has one free,
// or else on a borrowed one. The request is given up by ends.
func (l *Limiter) take(state *serviceState, ranked []endpoint.Endpoint, now, ends time.Time) *Slot {
	for _, candidate := range ranked {
		if state.inUse[candidate.Host] >= l.shares.Allocation(candidate.Service, candidate.Host).Slots {
			continue
		}
		state.inUse[candidate.Host]++
		l.gate.know(candidate)
		return l.slot(state, candidate, now)
	}
	return l.takeBorrowed(state, ranked, now, ends)
}

// release ends the use of a slot that was held for some time.
func (s *serviceState) release(host string, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.add(held)
	s.giveBack(host)
}

// giveBack ends the use of a slot of this gateway's share; the caller holds mu.
func (s *serviceState) giveBack(host string) {
	s.inUse[host]--
	if s.inUse[host] == 0 {
		delete(s.inUse, host)
	}
}

func (l *Limiter) slot(state *serviceState, taken endpoint.Endpoint, since time.Time) *Slot {
	var released atomic.Bool
	return &Slot{Endpoint: taken, release: func() {
		if released.Swap(true) {
			return
		}
		state.release(taken.Host, time.Since(since))
		l.dispatch(state)
	}}
}

// scanned bounds how many waiting requests are looked at for one that can use
// a free slot: the first may have tried the very endpoint already.
const scanned = 4

// dispatch grants free slots to waiting requests in their fair order.
func (l *Limiter) dispatch(state *serviceState) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.dispatched.Store(int64(time.Since(l.began)))
	for l.dispatchOne(state) {
		continue
	}
}

func (l *Limiter) dispatchOne(state *serviceState) bool {
	now := time.Now()
	for _, w := range state.queue.first(scanned) {
		slot := l.take(state, w.request.Rank(), now, w.ends)
		if slot == nil {
			continue
		}
		state.queue.pop(w)
		w.request.taken(slot)
		waited := now.Sub(w.since)
		l.metrics.queued.WithLabelValues(w.request.Service).Set(float64(state.queue.len()))
		l.metrics.waited.WithLabelValues(w.request.Service).Observe(waited.Seconds())
		w.ready <- grant{slot: slot}
		return true
	}
	return false
}

// slots returns this gateway's slots on the endpoints.
func (l *Limiter) slots(ranked []endpoint.Endpoint) int {
	total := 0
	for _, e := range ranked {
		total += l.shares.Allocation(e.Service, e.Host).Slots
	}
	return total
}

func (l *Limiter) refused(request Request, reason outcome.Reason, after time.Duration) error {
	l.metrics.refused.WithLabelValues(request.Service, string(reason)).Inc()
	return &RefusedError{Service: request.Service, Reason: reason, RetryAfter: after}
}

// endOf is when a request is given up, zero for never.
func endOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

func remaining(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadline
	}
	return deadline.Sub(now)
}
