package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An entry host has far more to do than its processor can: holds go out late, and
// their answers are read late. Its hosts are well, and counted as silent they
// would get no work and no renewals, and their runs would start again elsewhere.
func TestABusyProcessDoesNotCallItsHostsSilent(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	p.SetLag(400 * time.Millisecond)
	later := now.Add(unresponsiveAfter + time.Second)
	must.Len(t, 1, p.Plan(later, later).Orders)
	hold, ok := p.NextHeartbeat("w", time.Second, true, later)
	must.True(t, ok)
	must.Positive(t, hold.DeadlineMs)
	must.EqOp(t, 1600*time.Millisecond, hold.ExtraTimeout)
}

// Once it isn't late any more, and however late it is, a host that has said
// nothing for long enough is silent.
func TestASilentHostIsFoundInTheEnd(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	p.SetLag(time.Minute)
	must.EqOp(t, "", p.unusable(p.hosts["w"], now.Add(unresponsiveAfter+maxLagAllowance)))
	must.EqOp(t, "silent", p.unusable(p.hosts["w"], now.Add(unresponsiveAfter+maxLagAllowance+1)))
	p.SetLag(0)
	must.EqOp(t, "silent", p.unusable(p.hosts["w"], now.Add(unresponsiveAfter+1)))
}
