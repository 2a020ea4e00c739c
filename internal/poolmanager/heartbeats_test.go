package poolmanager

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An overloaded process takes 100 ms for orders that usually take a few
// milliseconds. It must send heartbeats less often while that lasts, but not so
// rarely that the delay costs more than it saves.
func TestBusyManagerSendsHeartbeatsLessOften(t *testing.T) {
	var h hedger
	must.EqOp(t, heartbeatMinDelay, h.heartbeatDelay())
	for range 50 {
		h.recordLatency(30 * time.Millisecond)
	}
	must.Between(t, 25*time.Millisecond, h.heartbeatDelay(), 30*time.Millisecond)
	for range 50 {
		h.recordLatency(time.Second)
	}
	must.EqOp(t, heartbeatMaxDelay, h.heartbeatDelay())
	for range 100 {
		h.recordLatency(4 * time.Millisecond)
	}
	must.EqOp(t, heartbeatMinDelay, h.heartbeatDelay())
}
