package poolmanager

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// Guards against a start that reaches the next incarnation of its host after it was taken
// for settled: the last attempt to send it is under way for longer than is counted.
func TestNoAttemptIsUnderWayWhenAnOrderIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busyLatency = 212 * time.Millisecond
		var h hedger
		h.latencyMicros.Store(busyLatency.Microseconds())
		began := time.Now()
		var lastBegan, lastEnded atomic.Int64
		unanswered := func() worker.Outcome {
			lastBegan.Store(int64(time.Since(began)))
			time.Sleep(worker.OrderTimeout)
			lastEnded.Store(int64(time.Since(began)))
			return worker.Unknown
		}
		wanted := func() bool { return true }
		outcome, settled := h.do(prometheus.NewCounter(prometheus.CounterOpts{}), wanted, unanswered)
		must.EqOp(t, worker.Unknown, outcome)
		must.False(t, settled)
		must.LessEq(t, worker.AttemptsOutlast, time.Duration(lastEnded.Load()), must.Sprintf("the last attempt began after %v", time.Duration(lastBegan.Load())))
	})
}
