package poolmanager

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/sched"
)

// Guards against callers with thousands of queues that fill the memory with histograms.
func TestQueuesWithHistogramsAreBounded(t *testing.T) {
	m := newRuntimeMetrics()
	for i := range 10 * maxRuntimeQueues {
		m.observe(sched.RuntimeRecord{Queue: fmt.Sprint(i), Predicted: time.Second, Taken: time.Second})
	}
	must.EqOp(t, "0", m.queues.label("0"))
	must.EqOp(t, otherQueues, m.queues.label("one more"))
	must.MapLen(t, maxRuntimeQueues, m.queues.known)
}
