package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a successor that waits too short: a start that was under way when its host
// restarted under its ID is carried out by the next incarnation, which takes the deadline on
// the clock of the one before for a lease of the longest time.
func TestSuccessorWaitsForAStartThatReachedTheNextIncarnation(t *testing.T) {
	const claimTTL = 2200 * time.Millisecond
	s := newRestartScript(t)
	s.p.LeaseTTL = 4 * time.Second
	s.p.SetConfirmed(s.now, s.now)
	accept(s.p, s.now)
	orders := s.orders()
	must.Len(t, 1, orders)
	s.restart()
	roster := s.p.Roster(s.now)
	clockMs := s.now.Sub(s.up).Milliseconds()
	leaseMs := min(orders[0].DeadlineMs, clockMs+s.p.MaxLeaseTTL.Milliseconds())
	ends := s.up.Add(time.Duration(leaseMs) * time.Millisecond)

	s.pass(claimTTL)
	config := s.p.Config
	config.Fence, config.TakenOverAt, config.PriorLeaseTTL = 2, s.now, LeaseUpperBound(config.LeaseTTL)
	successor := New(config, roster, s.now)
	for len(successor.unreached) > 0 {
		s.pass(100 * time.Millisecond)
		successor.Tick(s.now, s.now)
	}
	must.LessEq(t, 0, ends.Sub(s.now), must.Sprint("the run goes on for this long after its host is no longer waited for"))
}
