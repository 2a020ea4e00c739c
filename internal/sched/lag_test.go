package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against taking healthy hosts for unresponsive when the entry host's CPU is
// overloaded, so that heartbeats are sent late and replies are read late. The hosts
// would get no work and no lease renewals, and their runs would be restarted
// elsewhere.
func TestLagDoesNotMakeHostsUnresponsive(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	p.SetLag(400 * time.Millisecond)
	later := now.Add(unresponsiveAfter + time.Second)
	must.Len(t, 1, p.Plan(later, later).Orders)
	heartbeat, ok := p.NextHeartbeat("w", time.Second, later)
	must.True(t, ok)
	must.Positive(t, heartbeat.DeadlineMs)
	must.EqOp(t, 1600*time.Millisecond, heartbeat.ExtraTimeout)
}

// The lag allowance is bounded and ends with the lag, so that a host that doesn't
// respond is detected in any case.
func TestLagAllowanceIsBounded(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	p.SetLag(time.Minute)
	must.EqOp(t, "", p.unusable(p.hosts["w"], now.Add(unresponsiveAfter+maxLagAllowance)))
	must.EqOp(t, "silent", p.unusable(p.hosts["w"], now.Add(unresponsiveAfter+maxLagAllowance+1)))
	p.SetLag(0)
	must.EqOp(t, "silent", p.unusable(p.hosts["w"], now.Add(unresponsiveAfter+1)))
}
