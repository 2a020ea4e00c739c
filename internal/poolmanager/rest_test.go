package poolmanager

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A holder has more to do than its processor can: orders that take a few
// milliseconds take a hundred. It asks its hosts less often until that is over,
// and no less often than would cost more than it saves.
func TestABusyHolderAsksLessOften(t *testing.T) {
	var r repeats
	must.EqOp(t, holdPause, r.rest())
	for range 50 {
		r.took(30 * time.Millisecond)
	}
	must.Between(t, 25*time.Millisecond, r.rest(), 30*time.Millisecond)
	for range 50 {
		r.took(time.Second)
	}
	must.EqOp(t, holdPauseBusy, r.rest())
	for range 100 {
		r.took(4 * time.Millisecond)
	}
	must.EqOp(t, holdPause, r.rest())
}
