// Package pause waits between retries, with jitter, until a context ends.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitterDivisor sets the width of the jitter: a fifth of the duration.
const jitterDivisor = 5

// For waits for d or until ctx ends. It returns at once if d is not positive: a
// timer that is already due is run by its reader, and several readers that do so
// at once in virtual time corrupt the state of the race detector (Go 1.26), in which
// most runs of the tests then crash.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Jitter returns a random duration, evenly distributed from 90 to 110 percent of
// d, so that processes that failed together do not retry in lockstep.
func Jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/jitterDivisor+1)
}
