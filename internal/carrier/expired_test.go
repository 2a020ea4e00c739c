package carrier_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a start that reaches a host's next incarnation: the carrier, whose clock
// the holder knows, is stopped and goes on with calls that were given up.
func TestCallsThatACarrierFindsTooLateAreNotMade(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		p.set(func() { p.stopped["x"] = time.Now().Add(4 * time.Second) })
		must.EqOp(t, worker.Unknown, p.start("a-1"))
		time.Sleep(10 * time.Second)
		must.EqOp(t, 1, p.calls("x"))
	})
}

// Guards against calls that never arrive since they are dated by the clock of a process
// that is gone: another one has come up at its address.
func TestCallsAreDatedAnewForACarrierThatRestarted(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		p.restart("x")
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		must.EqOp(t, 2, p.calls("x"))
	})
}

// Guards against a carrier that is of no use to holders of versions that date no calls.
func TestUndatedCallsAreMade(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		replies := p.servers["x"].Exchange(p.ctx, "s", []carrier.Call{{ID: 1, Timeout: time.Second, Start: &worker.Start{Run: 1}}})
		must.Len(t, 1, replies)
		must.EqOp(t, worker.Accepted, replies[0].Outcome)
	})
}
