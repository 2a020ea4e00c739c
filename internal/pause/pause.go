// Package pause waits between tries: for a time, with jitter, until a context
// ends.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitterShare is the width of the jitter as a share of the duration.
const jitterShare = 5

// For waits for d or until ctx ends, and not at all for no time: a timer that is
// due when it is read is run by its reader, and where several readers do that at
// once in virtual time, the race detector's own state is broken (Go 1.26). Tests
// crashed inside it in most of their runs.
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

// Jitter spreads d evenly over 90 to 110 percent, so that processes that
// failed together don't come back together.
func Jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/jitterShare+1)
}
