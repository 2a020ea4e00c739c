package fakefleet

import (
	"context"
	"math/rand/v2"
	"sync"

	"auburnglade.example/glade/internal/fleet"
)

// FaultError is the cause a fake fault reports.
type FaultError struct{ Reason string }

func (e *FaultError) Error() string { return e.Reason }

var (
	errAway       = &FaultError{Reason: "the platform is away"}
	errAnswerLost = &FaultError{Reason: "the answer was lost"}
)

type faultState struct {
	mu        sync.Mutex
	away      bool
	losses    int
	lossShare float64
	random    *rand.Rand
	calls     int64
}

// SetUnavailable starts or ends an outage of the platform's host interface: every
// call is refused and nothing happens.
func (f *Fleet) SetUnavailable(away bool) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.away = away
}

// LoseResponses loses the answers of the next n acts, which take effect.
func (f *Fleet) LoseResponses(n int) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.losses = n
}

// SetResponseLossRate loses a share (0 to 1) of the answers of acts, picked from seed.
func (f *Fleet) SetResponseLossRate(share float64, seed uint64) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.lossShare = share
	f.faults.random = rand.New(rand.NewPCG(seed, seed))
}

// Calls returns how many calls the platform has seen, refused ones too.
func (f *Fleet) Calls() int64 {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	return f.faults.calls
}

func (f *Fleet) refused(ctx context.Context, op, host string) error {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.calls++
	if err := ctx.Err(); err != nil {
		return &fleet.UnreachableError{Op: op, Host: host, Cause: err}
	}
	if f.faults.away {
		return &fleet.UnreachableError{Op: op, Host: host, Cause: errAway}
	}
	return nil
}

// answer is the answer to an act that was taken, or its loss.
func (f *Fleet) answer(op, host string) error {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	lost := f.faults.losses > 0
	if lost {
		f.faults.losses--
	} else if f.faults.lossShare > 0 {
		lost = f.faults.random.Float64() < f.faults.lossShare
	}
	if !lost {
		return nil
	}
	return &fleet.UnreachableError{Op: op, Host: host, Sent: true, Cause: errAnswerLost}
}
