package elapsed

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
)

// Guards against a belief that seems recent after its process was suspended.
func TestSuspensionCounts(t *testing.T) {
	const wallSecondsShift = 30
	then := time.Now()
	now := then.Add(time.Second)
	// Set the time of day back and leave the monotonic reading, as a suspension of a minute
	// after it does.
	*(*uint64)(unsafe.Pointer(&then)) -= 60 << wallSecondsShift
	must.EqOp(t, time.Second, now.Sub(then))
	must.EqOp(t, 61*time.Second, Between(then, now))
}

// A time of day that was set back makes nothing more recent.
func TestClockSetBackDoesNotCount(t *testing.T) {
	const wallSecondsShift = 30
	then := time.Now()
	now := then.Add(time.Second)
	*(*uint64)(unsafe.Pointer(&then)) += 60 << wallSecondsShift
	must.EqOp(t, time.Second, Between(then, now))
}
