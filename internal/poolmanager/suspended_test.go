package poolmanager

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/sched"
)

// beforeSuspension returns the time of day by d before now with the monotonic reading of
// now: the monotonic clock stands still while a process is suspended.
func beforeSuspension(t *testing.T, now time.Time, d time.Duration) time.Time {
	t.Helper()
	const secondsShift = 30
	before := now
	wall := (*uint64)(unsafe.Pointer(&before))
	*wall -= uint64(d/time.Second) << secondsShift
	must.EqOp(t, 0, now.Sub(before))
	must.EqOp(t, d, now.Round(0).Sub(before.Round(0)))
	return before
}

// Guards against a holder that resumes after a suspension and starts tasks that its
// successor has started: it still counts its claim as confirmed.
func TestClaimIsUnconfirmedAfterASuspension(t *testing.T) {
	m := New(Config{Pool: "p", Metrics: NewMetrics(nil)}, Takeover{})
	now := time.Now()
	m.pool = sched.New(sched.Config{LeaseTTL: time.Minute}, sched.Roster{}, now)
	m.claimConfirmedAt = beforeSuspension(t, now, time.Minute)
	m.confirm(now)
	must.False(t, m.pool.Confirmed())
}
