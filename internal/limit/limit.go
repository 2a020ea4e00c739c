// Package limit admits requests to endpoints within this gateway's share of their slots
// and connections. It refuses early those requests that cannot be served in time.
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

// Request describes a caller's request for admission.
type Request struct {
	Service string
	// Caller identifies the caller for fair queueing: an address without port.
	Caller string
	// Rank returns the endpoints that may serve the request now, best first. It is called
	// under a lock of the limiter, and again each time a slot becomes free.
	Rank func() []endpoint.Endpoint
	// OnAcquired, if set, is called with the endpoint whose slot was acquired, under the
	// same lock as Rank. If load were counted later, concurrent requests would all be
	// ranked on the same counts and go to the same endpoints.
	OnAcquired func(e endpoint.Endpoint)
}

func (r Request) notifyAcquired(slot *Slot) {
	if r.OnAcquired != nil {
		r.OnAcquired(slot.Endpoint)
	}
}

// RefusedError reports that a request was not admitted and did not run.
type RefusedError struct {
	Service string
	Reason  outcome.Reason
	// RetryAfter is the delay after which a retry is likely to be admitted.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: not admitted: %s", e.Service, e.Reason)
}

// Slot is a slot of one endpoint, held until Release.
type Slot struct {
	Endpoint endpoint.Endpoint
	// SingleUse requires the connection used to be closed with the request, because it
	// belongs to another gateway's share.
	SingleUse bool
	release   func()
}

// Release releases the slot. Later calls have no effect.
func (s *Slot) Release() { s.release() }

// Shares returns what this gateway may use of an endpoint at the moment. It must be
// safe for concurrent use and must not call the limiter.
type Shares interface {
	Allocation(service, host string) share.Allocation
}

type unbounded struct{}

func (unbounded) Allocation(string, string) share.Allocation {
	return share.Allocation{Slots: math.MaxInt32, Connections: math.MaxInt32}
}

// Config holds the dependencies and settings of a Limiter.
type Config struct {
	// Shares may be nil, which leaves the requests to an endpoint unlimited: no other
	// gateway and no limit is known.
	Shares Shares
	// Queue limits the waiting requests; the zero value means DefaultQueuePolicy.
	Queue QueuePolicy
	// Borrower borrows slots from other gateways while requests wait; nil disables
	// borrowing.
	Borrower Borrower
	// CloseIdle closes connections that carry no request; nil disables this. It must not
	// wait for the limiter.
	CloseIdle func()
	// Registry may be nil.
	Registry prometheus.Registerer
}

// recheckInterval is how often a waiting request looks for a slot that became free
// without a release in this process: an endpoint returned or a share grew.
const recheckInterval = 100 * time.Millisecond

// Limiter allocates slots to requests. It is safe for concurrent use.
type Limiter struct {
	shares      Shares
	queuePolicy QueuePolicy
	metrics     *metrics
	conns       *connLimiter
	startedAt   time.Time
	borrower    Borrower
	// closeIdle may be nil.
	closeIdle    func()
	lentLoans    *loanTable
	borrowPolicy atomic.Pointer[BorrowPolicy]

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState holds the slots in use and the waiting requests of one service. Each
// service has its own state, so a flood of requests for one service takes no queue
// space from another.
type serviceState struct {
	// lastDispatch is when dispatch last ran, in nanoseconds after Limiter.startedAt.
	lastDispatch atomic.Int64

	// borrowing is set while a request to borrow slots from another gateway is in progress.
	borrowing atomic.Bool

	name     string
	mu       sync.Mutex
	inUse    map[string]int
	queue    *fairQueue
	holdTime holdTimeMean
	overload overloadTracker
	// idleLoans are borrowed slots without a request; borrowedInUse are those that serve
	// one or whose connection is still closing.
	idleLoans     []*incomingLoan
	borrowedInUse map[*incomingLoan]bool
}

// New returns a limiter that admits requests within config.Shares.
func New(config Config) *Limiter {
	if config.Queue == (QueuePolicy{}) {
		config.Queue = DefaultQueuePolicy
	}
	if config.Shares == nil {
		config.Shares = unbounded{}
	}
	l := &Limiter{
		shares: config.Shares, queuePolicy: config.Queue, metrics: newMetrics(config.Registry),
		services: make(map[string]*serviceState), startedAt: time.Now(),
		borrower: config.Borrower, closeIdle: config.CloseIdle, lentLoans: &loanTable{byID: make(map[uint64]*outgoingLoan)},
	}
	l.conns = newConnLimiter(config.Shares, l.metrics)
	return l
}

// Acquire returns a slot on the best ranked endpoint that has a free one. If none has,
// the request waits in its service's queue for as long as it could still be served
// before ctx's deadline. It returns *RefusedError if the request is not admitted.
func (l *Limiter) Acquire(ctx context.Context, request Request) (*Slot, error) {
	state := l.stateOf(request.Service)
	slot, w, err := l.admit(ctx, state, request)
	if slot == nil && err != nil && refusedAsOverloaded(err) || w != nil {
		l.requestLoans(state, request.Service, request.Rank())
	}
	if w == nil {
		return slot, err
	}
	return l.await(ctx, state, w)
}

// refusedAsOverloaded reports whether err is a refusal that more slots would have
// avoided.
func refusedAsOverloaded(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == outcome.Overloaded
}

// states returns a copy of the map of all services' states.
func (l *Limiter) states() map[string]*serviceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.services)
}

func (l *Limiter) stateOf(name string) *serviceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.services[name]
	if state == nil {
		state = &serviceState{
			name: name, inUse: make(map[string]int), queue: newFairQueue(), borrowedInUse: make(map[*incomingLoan]bool),
		}
		l.services[name] = state
	}
	return state
}

// admit takes a slot, queues the request or refuses it. Exactly one result is non-nil.
func (l *Limiter) admit(ctx context.Context, state *serviceState, request Request) (*Slot, *waiter, error) {
	now := time.Now()
	state.mu.Lock()
	defer state.mu.Unlock()
	ranked := request.Rank()
	if len(ranked) == 0 {
		return nil, nil, l.refusal(request, outcome.NoEndpoint, minRetryAfter)
	}
	if state.queue.len() == 0 {
		if slot := l.takeSlot(state, ranked, now, deadlineOf(ctx)); slot != nil {
			state.overload.reset()
			request.notifyAcquired(slot)
			return slot, nil, nil
		}
	}
	slots := l.totalSlots(ranked) + len(state.idleLoans) + len(state.borrowedInUse)
	state.overload.observe(now, EstimateWait(state.queue.len(), slots, state.holdTime.mean), l.queuePolicy)
	decision := Decide(Arrival{
		Queued: state.queue.len(), QueuedByCaller: state.queue.queuedBy(request.Caller),
		MaxQueuedByCaller: state.queue.maxQueuedByCaller(), Ahead: state.queue.ahead(request.Caller),
		Slots: slots, MeanHoldTime: state.holdTime.mean,
		Remaining: remaining(ctx, now), OverTargetFor: state.overload.duration(now),
	}, l.queuePolicy)
	if !decision.Admit {
		return nil, nil, l.refusal(request, outcome.Overloaded, decision.RetryAfter)
	}
	if decision.Evict {
		l.evict(state)
	}
	w := &waiter{request: request, enqueuedAt: now, deadline: deadlineOf(ctx), maxWait: decision.MaxWait, result: make(chan waitResult, 1)}
	state.queue.push(w)
	l.metrics.queued.WithLabelValues(request.Service).Set(float64(state.queue.len()))
	return nil, w, nil
}

// evict refuses the newest request of the caller with the most waiting requests.
func (l *Limiter) evict(state *serviceState) {
	evicted := state.queue.newestOfLargest()
	if evicted == nil {
		return
	}
	state.queue.remove(evicted)
	wait := EstimateWait(state.queue.len(), 1, state.holdTime.mean)
	evicted.result <- waitResult{err: l.refusal(evicted.request, outcome.Overloaded, retryAfter(wait))}
}

// await waits until the request is granted a slot, is evicted, or reaches its longest
// wait or its deadline.
func (l *Limiter) await(ctx context.Context, state *serviceState, w *waiter) (*Slot, error) {
	expired := time.NewTimer(w.maxWait)
	defer expired.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case granted := <-w.result:
			return granted.slot, granted.err
		case <-recheck.C:
			l.requestLoans(state, w.request.Service, w.request.Rank())
			if time.Since(l.startedAt)-time.Duration(state.lastDispatch.Load()) >= recheckInterval {
				l.dispatch(state)
			}
		case <-expired.C:
			return l.cancelWait(state, w)
		case <-ctx.Done():
			return l.cancelWait(state, w)
		}
	}
}

// cancelWait removes a request from the queue and returns a refusal, unless the wait
// has just ended with a result.
func (l *Limiter) cancelWait(state *serviceState, w *waiter) (*Slot, error) {
	if !l.dequeue(state, w) {
		granted := <-w.result
		return granted.slot, granted.err
	}
	return nil, l.refusal(w.request, outcome.Overloaded, retryAfter(time.Since(w.enqueuedAt)))
}

// dequeue removes a waiting request from the queue. It reports false if the request is
// no longer queued.
func (l *Limiter) dequeue(state *serviceState, w *waiter) bool {
	state.mu.Lock()
	defer state.mu.Unlock()
	queued := state.queue.remove(w)
	l.metrics.queued.WithLabelValues(w.request.Service).Set(float64(state.queue.len()))
	return queued
}

// takeSlot returns a slot on the first ranked endpoint whose share has a free one, or
// else a borrowed slot. The request ends by deadline.
func (l *Limiter) takeSlot(state *serviceState, ranked []endpoint.Endpoint, now, deadline time.Time) *Slot {
	for _, candidate := range ranked {
		if state.inUse[candidate.Host] >= l.shares.Allocation(candidate.Service, candidate.Host).Slots {
			continue
		}
		state.inUse[candidate.Host]++
		l.conns.register(candidate)
		return l.newSlot(state, candidate, now)
	}
	return l.takeBorrowed(state, ranked, now, deadline)
}

// release frees a slot of this gateway's share and records how long it was held.
func (s *serviceState) release(host string, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdTime.add(held)
	s.decrementInUse(host)
}

// decrementInUse frees a slot of this gateway's share. The caller holds mu.
func (s *serviceState) decrementInUse(host string) {
	s.inUse[host]--
	if s.inUse[host] == 0 {
		delete(s.inUse, host)
	}
}

func (l *Limiter) newSlot(state *serviceState, target endpoint.Endpoint, since time.Time) *Slot {
	var released atomic.Bool
	return &Slot{Endpoint: target, release: func() {
		if released.Swap(true) {
			return
		}
		state.release(target.Host, time.Since(since))
		l.dispatch(state)
	}}
}

// dispatchScanLimit bounds how many waiting requests are examined for one that can use
// a free slot: the first may have already tried that endpoint.
const dispatchScanLimit = 4

// dispatch grants free slots to waiting requests in fair order.
func (l *Limiter) dispatch(state *serviceState) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.lastDispatch.Store(int64(time.Since(l.startedAt)))
	for l.dispatchOne(state) {
		continue
	}
}

func (l *Limiter) dispatchOne(state *serviceState) bool {
	now := time.Now()
	for _, w := range state.queue.first(dispatchScanLimit) {
		slot := l.takeSlot(state, w.request.Rank(), now, w.deadline)
		if slot == nil {
			continue
		}
		state.queue.pop(w)
		w.request.notifyAcquired(slot)
		waited := now.Sub(w.enqueuedAt)
		l.metrics.queued.WithLabelValues(w.request.Service).Set(float64(state.queue.len()))
		l.metrics.waited.WithLabelValues(w.request.Service).Observe(waited.Seconds())
		w.result <- waitResult{slot: slot}
		return true
	}
	return false
}

// totalSlots returns the number of this gateway's slots on the endpoints.
func (l *Limiter) totalSlots(ranked []endpoint.Endpoint) int {
	total := 0
	for _, e := range ranked {
		total += l.shares.Allocation(e.Service, e.Host).Slots
	}
	return total
}

func (l *Limiter) refusal(request Request, reason outcome.Reason, after time.Duration) error {
	l.metrics.refused.WithLabelValues(request.Service, string(reason)).Inc()
	return &RefusedError{Service: request.Service, Reason: reason, RetryAfter: after}
}

// deadlineOf returns the deadline of ctx, or the zero time if it has none.
func deadlineOf(ctx context.Context) time.Time {
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
