package poolmanager

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
)

// Guards against a successor that counts on leases of a holder of an earlier version to end
// as early as those of this one.
func TestLeasesOfEarlierVersionsAreWaitedFor(t *testing.T) {
	const lease = 4 * time.Second
	for _, c := range []struct {
		leaseMs int64
		stopped bool
		wait    time.Duration
	}{
		{lease.Milliseconds(), false, sched.LeaseUpperBound(lease)},
		{2 * lease.Milliseconds(), false, sched.LeaseUpperBound(2 * lease)},
		{0, true, sched.LeaseUpperBound(formerLeaseTTL)},
		{0, false, sched.LeaseUpperBound(formerLeaseTTL) + formerConfirmationTimeout},
	} {
		takeover := Takeover{Head: poolstore.Head{LeaseMs: c.leaseMs}, PreviousStopped: c.stopped}
		must.EqOp(t, c.wait, takeover.priorLeaseTTL(lease))
	}
}
