package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
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

// Guards against a second run by a holder that was replaced: its successor reaches a host that
// is silent for it alone, and has renewed the leases there.
func TestExpiryProvesNoEndBeforeAConfirmation(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
	order := s.serve(time.Second)
	s.silent[order.To.ID] = true
	s.p.SetConfirmed(s.now, s.now)
	s.pass(2*LeaseUpperBound(s.p.LeaseTTL), nil)
	must.MapLen(t, 1, s.p.hosts[order.To.ID].runs)
	s.p.SetConfirmed(s.now, s.now)
	s.p.Tick(s.now, s.now)
	must.MapEmpty(t, s.p.hosts[order.To.ID].runs)
}

// Guards against the same for hosts of the holder before that have not answered.
func TestUnreachedHostIsWaitedForUntilAConfirmation(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
	s.takeOver()
	s.p.SetConfirmed(s.now, s.now)
	s.p.unreached["away"] = s.now.Add(time.Second)
	s.pass(2*time.Second, nil)
	must.MapContainsKey(t, s.p.unreached, "away")
	s.p.SetConfirmed(s.now, s.now)
	s.p.Tick(s.now, s.now)
	must.MapNotContainsKey(t, s.p.unreached, "away")
}

// Guards against a task that runs again after its success: its host has ended, and a successor
// had taken note of the success before.
func TestTaskOfALostHostStartsAfterAConfirmation(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{}, nil)
	s.p.SetConfirmed(s.now, s.now)
	order, ok := s.start()
	must.True(t, ok)
	s.p.StartOutcome(order.To, order.Task, order.Run, worker.Accepted, s.now, s.now)
	s.p.SetConfirmed(s.now, s.now)
	s.now = s.now.Add(100 * time.Millisecond)
	s.p.RemoveHost(order.To.ID, s.now, s.now)
	_, ok = s.start()
	must.False(t, ok)
	must.True(t, s.p.AwaitsConfirmation())
	s.p.SetConfirmed(s.now, s.now)
	must.False(t, s.p.AwaitsConfirmation())
	_, ok = s.start()
	must.True(t, ok)
}
