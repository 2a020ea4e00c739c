package limit

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/share"
)

type fixedShares struct {
	mu         sync.Mutex
	allocation share.Allocation
}

func (f *fixedShares) Allocation(string, string) share.Allocation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allocation
}

func (f *fixedShares) set(allocation share.Allocation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allocation = allocation
}

func oneEndpoint(service string) func() []endpoint.Endpoint {
	return func() []endpoint.Endpoint {
		return []endpoint.Endpoint{{Service: service, Host: "host-001", Address: "10.0.0.1:8101", TakesWork: true}}
	}
}

func newLimiter(slots int) (*Limiter, *fixedShares) {
	shares := &fixedShares{allocation: share.Allocation{Slots: slots, Connections: slots}}
	return New(Config{Shares: shares}), shares
}

func acquire(l *Limiter, service, caller string, timeout time.Duration) (*Slot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.Acquire(ctx, Request{Service: service, Caller: caller, Rank: oneEndpoint(service)})
}

// work holds a slot for the given time and returns how long the caller waited for it.
func work(l *Limiter, service, caller string, hold time.Duration) (waited time.Duration, err error) {
	began := time.Now()
	slot, err := acquire(l, service, caller, 10*time.Second)
	if err != nil {
		return time.Since(began), err
	}
	waited = time.Since(began)
	time.Sleep(hold)
	slot.Release()
	return waited, nil
}

// A hundred callers flood one service. Callers of another service must find its slots
// free and not wait.
func TestFloodOfOneServiceDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLimiter(2)
		var wait sync.WaitGroup
		for i := range 400 {
			wait.Go(func() { _, _ = work(l, "match", fmt.Sprintf("10.0.1.%d", i%100), 50*time.Millisecond) })
		}
		synctest.Wait()
		for range 20 {
			waited, err := work(l, "offers", "10.0.2.1", time.Millisecond)
			must.NoError(t, err)
			must.EqOp(t, 0, waited)
		}
		wait.Wait()
	})
}

// One caller floods a service that another caller uses occasionally. The second caller
// must be served within about one slot time per caller and must not be refused because
// of the first caller's queue.
func TestFloodOfOneCallerDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLimiter(1)
		ctx, stop := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		for range 400 {
			wait.Go(func() {
				for ctx.Err() == nil {
					if _, err := work(l, "match", "10.0.1.1", 10*time.Millisecond); err != nil {
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			waited, err := work(l, "match", "10.0.2.1", 10*time.Millisecond)
			must.NoError(t, err)
			must.LessEq(t, 30*time.Millisecond, waited)
			time.Sleep(20 * time.Millisecond)
		}
		stop()
		wait.Wait()
	})
}

// A request that cannot finish before its deadline must be refused immediately, with an
// estimate of when to retry, and not only after its deadline has passed.
func TestRequestThatCannotMeetDeadlineIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLimiter(1)
		_, err := work(l, "match", "10.0.1.1", 2*time.Second)
		must.NoError(t, err)
		busy, err := acquire(l, "match", "10.0.1.1", time.Minute)
		must.NoError(t, err)
		defer busy.Release()

		began := time.Now()
		_, err = acquire(l, "match", "10.0.1.1", time.Second)
		var refused *RefusedError
		must.True(t, errors.As(err, &refused))
		must.EqOp(t, outcome.Overloaded, refused.Reason)
		must.EqOp(t, 4*time.Second, refused.RetryAfter)
		must.EqOp(t, 0, time.Since(began))
	})
}

// The offered load is twice the capacity for ten seconds. Requests served in the second
// half must not have waited much longer than the target.
func TestSustainedOverloadKeepsWaitsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLimiter(4)
		var mu sync.Mutex
		var longest time.Duration
		served := 0
		var wait sync.WaitGroup
		for i := range 1600 {
			time.Sleep(6250 * time.Microsecond)
			wait.Go(func() {
				waited, err := work(l, "match", fmt.Sprintf("10.0.1.%d", i%40), 50*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && i > 800 {
					longest = max(longest, waited)
					served++
				}
			})
		}
		wait.Wait()
		must.LessEq(t, 2*DefaultQueuePolicy.Target, longest)
		must.GreaterEq(t, 390, served)
	})
}

// A share that grows, or an endpoint that returns, must serve waiting requests although
// no slot is released in this process.
func TestShareIncreaseServesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, shares := newLimiter(0)
		go func() {
			time.Sleep(300 * time.Millisecond)
			shares.set(share.Allocation{Slots: 1, Connections: 1})
		}()
		slot, err := acquire(l, "match", "10.0.1.1", 10*time.Second)
		must.NoError(t, err)
		slot.Release()
	})
}

// The share shrinks while requests are in progress. The limiter must not report itself
// within the new share until those requests have ended.
func TestReducedShareIsExceededUntilRequestsEnd(t *testing.T) {
	l, shares := newLimiter(2)
	first, err := acquire(l, "match", "10.0.1.1", time.Second)
	must.NoError(t, err)
	second, err := acquire(l, "match", "10.0.1.1", time.Second)
	must.NoError(t, err)
	shares.set(share.Allocation{Slots: 1, Connections: 1})
	must.False(t, l.WithinAllocation(shares.Allocation))
	first.Release()
	must.True(t, l.WithinAllocation(shares.Allocation))
	second.Release()
}

// Idle connections count towards the limit: a new one may be opened only after an old
// one has closed, and a dial that finds none free returns *ConnectionLimitError.
func TestDialerLimitsOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLimiter(2)
		slot, err := acquire(l, "match", "10.0.1.1", time.Second)
		must.NoError(t, err)
		defer slot.Release()
		dial := l.Dialer(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			return near, nil
		})
		first, err := dial(t.Context(), "tcp", slot.Endpoint.Address)
		must.NoError(t, err)
		_, err = dial(t.Context(), "tcp", slot.Endpoint.Address)
		must.NoError(t, err)
		_, err = dial(t.Context(), "tcp", slot.Endpoint.Address)
		var full *ConnectionLimitError
		must.True(t, errors.As(err, &full))
		must.NoError(t, first.Close())
		_, err = dial(t.Context(), "tcp", slot.Endpoint.Address)
		must.NoError(t, err)
	})
}

// Sixty concurrent requests rank endpoints by the load counted so far. If load were
// counted only after a request has left the limiter, the ranking would use stale counts
// and the requests would crowd on the endpoints that were free a moment before.
func TestConcurrentRequestsAreRankedOnCurrentLoad(t *testing.T) {
	const endpoints, each = 6, 10
	l, _ := newLimiter(endpoints * each)
	var mu sync.Mutex
	load := make([]int, endpoints)
	host := func(i int) string { return fmt.Sprint("host-", i) }
	rank := func() []endpoint.Endpoint {
		mu.Lock()
		order := []int{0, 1, 2, 3, 4, 5}
		slices.SortStableFunc(order, func(a, b int) int { return load[a] - load[b] })
		mu.Unlock()
		runtime.Gosched()
		var ranked []endpoint.Endpoint
		for _, i := range order {
			ranked = append(ranked, endpoint.Endpoint{Service: "offers", Host: host(i), Address: host(i) + ":80", TakesWork: true})
		}
		return ranked
	}
	taken := func(e endpoint.Endpoint) {
		mu.Lock()
		defer mu.Unlock()
		for i := range load {
			if host(i) == e.Host {
				load[i]++
			}
		}
	}
	var wait sync.WaitGroup
	for range endpoints * each {
		wait.Go(func() {
			_, err := l.Acquire(t.Context(), Request{Service: "offers", Caller: "c", Rank: rank, OnAcquired: taken})
			must.NoError(t, err)
		})
	}
	wait.Wait()
	must.Eq(t, []int{each, each, each, each, each, each}, load)
}

// Guards against a gauge of waiting requests that goes on counting those that have given
// up.
func TestQueueGaugeFallsWhenWaitersGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLimiter(1)
		slot, err := acquire(l, "match", "a", time.Second)
		must.NoError(t, err)
		var waiters sync.WaitGroup
		for range 3 {
			waiters.Go(func() {
				_, err := acquire(l, "match", "b", 500*time.Millisecond)
				must.Error(t, err)
			})
		}
		waiters.Wait()
		must.EqOp(t, 0, testutil.ToFloat64(l.metrics.queued.WithLabelValues("match")))
		slot.Release()
	})
}
