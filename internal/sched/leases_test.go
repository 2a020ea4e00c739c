package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// Guards against a lease that outlasts what a successor waits for: it is granted long after
// the store last confirmed the claim.
func TestLeasesEndWithTheConfirmation(t *testing.T) {
	const ttl = 4500 * time.Millisecond
	for age, left := range map[time.Duration]time.Duration{0: ttl, time.Second: 3500 * time.Millisecond, 4400 * time.Millisecond: 100 * time.Millisecond} {
		s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
		s.p.LeaseTTL = ttl
		s.pass(time.Second, nil)
		s.p.SetConfirmed(s.now.Add(-age), s.now)
		h := s.p.hosts[s.hosts[0]]
		heartbeat, ok := s.p.NextHeartbeat(h.ID, 0, s.now)
		must.True(t, ok)
		must.EqOp(t, h.clock+left.Milliseconds(), heartbeat.DeadlineMs)
		orders := s.p.Plan(s.now, s.now).Orders
		if left < minStartLease {
			must.SliceEmpty(t, orders)
			continue
		}
		must.EqOp(t, h.clock+left.Milliseconds(), orders[0].DeadlineMs)
	}
}

// Guards against a renewal once leases must have ended.
func TestNoLeaseIsRenewedAfterTheConfirmation(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
	s.pass(time.Second, nil)
	s.p.SetConfirmed(s.now.Add(-s.p.LeaseTTL), s.now)
	heartbeat, ok := s.p.NextHeartbeat(s.hosts[0], 0, s.now)
	must.True(t, ok)
	must.EqOp(t, 0, heartbeat.DeadlineMs)
}
