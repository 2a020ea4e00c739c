package fakefleet

import (
	"context"
	"math/rand/v2"
	"sync"

	"auburnglade.example/glade/internal/fleet"
)

// FaultError is the cause of errors returned by injected faults.
type FaultError struct{ Reason string }

func (e *FaultError) Error() string { return e.Reason }

var (
	errUnavailable  = &FaultError{Reason: "the platform is away"}
	errResponseLost = &FaultError{Reason: "the answer was lost"}
)

type faultState struct {
	mu               sync.Mutex
	unavailable      bool
	responsesToLose  int
	responseLossRate float64
	random           *rand.Rand
	calls            int64
}

// SetUnavailable starts or ends an outage of the platform's host interface. During
// the outage every call is refused and has no effect.
func (f *Fleet) SetUnavailable(unavailable bool) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.unavailable = unavailable
}

// LoseResponses loses the responses of the next n actions, which take effect.
func (f *Fleet) LoseResponses(n int) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.responsesToLose = n
}

// SetResponseLossRate sets the fraction (0 to 1) of actions whose responses are
// lost, selected at random from seed.
func (f *Fleet) SetResponseLossRate(rate float64, seed uint64) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.responseLossRate = rate
	f.faults.random = rand.New(rand.NewPCG(seed, seed))
}

// Calls returns the number of calls received, including refused ones.
func (f *Fleet) Calls() int64 {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	return f.faults.calls
}

func (f *Fleet) checkCall(ctx context.Context, op, host string) error {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.calls++
	if err := ctx.Err(); err != nil {
		return &fleet.UnreachableError{Op: op, Host: host, Cause: err}
	}
	if f.faults.unavailable {
		return &fleet.UnreachableError{Op: op, Host: host, Cause: errUnavailable}
	}
	return nil
}

// response returns the response to an action that was carried out: nil, or an
// error if the response is lost.
func (f *Fleet) response(op, host string) error {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	lost := f.faults.responsesToLose > 0
	if lost {
		f.faults.responsesToLose--
	} else if f.faults.responseLossRate > 0 {
		lost = f.faults.random.Float64() < f.faults.responseLossRate
	}
	if !lost {
		return nil
	}
	return &fleet.UnreachableError{Op: op, Host: host, MaybeSent: true, Cause: errResponseLost}
}
