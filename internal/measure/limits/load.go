package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/share"
)

const (
	serviceTime = 20 * time.Millisecond
	deadline    = time.Second
	seed        = 20261202
)

// capacity is the number of requests per second that the slots of one endpoint can
// serve.
const capacity = float64(slotLimit) * float64(time.Second) / float64(serviceTime)

// admit waits for a slot and returns the function that releases it, or nil if the
// request is rejected or ctx ends first.
type admit func(ctx context.Context, caller string) func()

// queues are the queues compared: that of the gateway, and a plain FIFO queue in
// which each request waits until its deadline.
var queues = []struct {
	name string
	make func(slots int) admit
}{
	{"limiter", limiterAdmit},
	{"plain", plainAdmit},
}

type fixedShares int

func (f fixedShares) Allocation(string, string) share.Allocation {
	return share.Allocation{Slots: int(f), Connections: int(f)}
}

func limiterAdmit(slots int) admit {
	limiter := limit.New(limit.Config{Shares: fixedShares(slots)})
	ranked := []endpoint.Endpoint{{Service: "match", Host: "host-001", Address: "host-001"}}
	return func(ctx context.Context, caller string) func() {
		slot, err := limiter.Acquire(ctx, limit.Request{
			Service: "match", Caller: caller, Rank: func() []endpoint.Endpoint { return ranked },
		})
		if err != nil {
			return nil
		}
		return slot.Release
	}
}

func plainAdmit(slots int) admit {
	free := make(chan struct{}, slots)
	return func(ctx context.Context, _ string) func() {
		select {
		case free <- struct{}{}:
			return func() { <-free }
		case <-ctx.Done():
			return nil
		}
	}
}

// runResult is the result of one run as seen by the callers.
type runResult struct {
	mu        sync.Mutex
	sent      int
	good      map[string]int
	latencies []time.Duration
}

func (t *runResult) total() int {
	total := 0
	for _, count := range t.good {
		total += count
	}
	return total
}

// sendRequests sends requests at a fixed rate, independent of their outcomes. A
// request counts as good if it was completed before its deadline.
func sendRequests(t *runResult, length time.Duration, rate float64, caller func(i int) string, admitOf func(i int) admit) {
	var wait sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= length {
			break
		}
		time.Sleep(at - time.Since(began))
		t.sent++
		wait.Go(func() { t.request(caller(i), admitOf(i)) })
	}
	wait.Wait()
}

func (t *runResult) request(caller string, take admit) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	release := take(ctx, caller)
	if release == nil {
		return
	}
	time.Sleep(serviceTime)
	release()
	took := time.Since(began)
	if took > deadline {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.good[caller]++
	t.latencies = append(t.latencies, took)
}

func newRunResult() *runResult { return &runResult{good: make(map[string]int)} }

// Overload is the result of a load of twice the capacity of one endpoint.
type Overload struct {
	Queue string `json:"queue"`
	// Goodput is the number of good requests divided by the capacity.
	Goodput float64 `json:"goodput"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
}

func measureOverload(length time.Duration) []Overload {
	var list []Overload
	for _, kind := range queues {
		take, t := kind.make(slotLimit), newRunResult()
		random := rand.New(rand.NewPCG(seed, seed))
		callers := make([]string, int(2*capacity*length.Seconds())+1)
		for i := range callers {
			callers[i] = fmt.Sprintf("10.0.0.%d", random.IntN(40))
		}
		sendRequests(t, length, 2*capacity, func(i int) string { return callers[i%len(callers)] }, func(int) admit { return take })
		slices.Sort(t.latencies)
		list = append(list, Overload{
			Queue: kind.name, Goodput: float64(t.total()) / (capacity * length.Seconds()),
			P50Ms: percentile(t.latencies, 0.5), P99Ms: percentile(t.latencies, 0.99),
		})
	}
	return list
}

// Fairness is the result of a load in which nine ordinary callers each request a
// twentieth of the capacity, while a tenth one requests twice the capacity.
type Fairness struct {
	Queue string `json:"queue"`
	// Served is the fraction of the ordinary callers' requests that were good.
	Served float64 `json:"ordinary_served"`
	// JainIndex is Jain's fairness index over the ten callers' good requests, each
	// divided by the smaller of its demand and an even share.
	JainIndex float64 `json:"jain_index"`
}

const (
	ordinaryCallers = 9
	ordinaryShare   = 0.05
	floodShare      = 2.0
)

func measureFairness(length time.Duration) []Fairness {
	var list []Fairness
	for _, kind := range queues {
		list = append(list, fairness(kind.name, kind.make(slotLimit), length))
	}
	return list
}

func fairness(name string, take admit, length time.Duration) Fairness {
	flood, ordinary := newRunResult(), newRunResult()
	admitOf := func(int) admit { return take }
	var wait sync.WaitGroup
	wait.Go(func() { sendRequests(flood, length, floodShare*capacity, func(int) string { return "flood" }, admitOf) })
	wait.Go(func() {
		rate := ordinaryCallers * ordinaryShare * capacity
		sendRequests(ordinary, length, rate, func(i int) string { return fmt.Sprint("ordinary-", i%ordinaryCallers) }, admitOf)
	})
	wait.Wait()
	entitled := func(share float64) float64 { return share * capacity * length.Seconds() }
	satisfied := []float64{min(1, float64(flood.total())/entitled(1-ordinaryCallers*ordinaryShare))}
	for _, good := range ordinary.good {
		satisfied = append(satisfied, min(1, float64(good)/entitled(ordinaryShare)))
	}
	for len(satisfied) <= ordinaryCallers {
		satisfied = append(satisfied, 0)
	}
	return Fairness{
		Queue: name, Served: float64(ordinary.total()) / float64(ordinary.sent), JainIndex: jain(satisfied),
	}
}

func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / (float64(len(values)) * squares)
}

func percentile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[index].Microseconds()) / 1000
}

func secondsOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
