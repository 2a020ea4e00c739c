package carrier_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// ownHosts is the number of hosts that the test pool's holder can call itself.
const ownHosts = 40

func (p *testPool) start(host string) worker.Outcome {
	return p.router.Start(p.ctx, worker.Target{ID: host}, worker.Start{Run: 1, Fence: 7})
}

// settle waits until the router has processed a change.
func settle() { time.Sleep(300 * time.Millisecond) }

// A pool whose holder can call all hosts itself uses no carriers.
func TestSmallPoolIsCalledByItsHolder(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts, "a"))
		settle()
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		must.EqOp(t, 1, p.calls("holder"))
		must.EqOp(t, 0, p.exchangeCount())
	})
}

// A pool that grows is called through a carrier, and by its holder again only once
// it is far smaller: hosts join and leave every second, and each switch opens
// connections to all of them.
func TestGrownPoolUsesCarriersUntilItIsFarSmaller(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		for _, step := range []struct {
			hosts   int
			carried bool
		}{{ownHosts, false}, {ownHosts + 1, true}, {ownHosts - 1, true}, {ownHosts / 2, false}, {ownHosts - 1, false}} {
			p.update(hosts(step.hosts, "a"))
			before := p.calls("x")
			must.EqOp(t, worker.Accepted, p.start("a-1"))
			must.EqOp(t, step.carried, p.calls("x") > before, must.Sprintf("%d hosts", step.hosts))
		}
	})
}

// A carrier terminates between two calls. The first call after that cannot have
// reached its host and reports NotSent; the next one goes through another carrier.
func TestTerminatedCarrierIsSkipped(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.add("y")
		p.update(hosts(ownHosts+1, "a"))
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		first, second := "x", "y"
		if p.calls("x") == 0 {
			first, second = "y", "x"
		}
		p.set(func() { delete(p.servers, first) })
		must.EqOp(t, worker.NotSent, p.start("a-1"))
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		must.EqOp(t, 1, p.calls(second))
	})
}

// A carrier stops responding with a call in flight: the host may have received the
// call, so its outcome is Unknown. The hosts are called by another route before they
// count as unresponsive.
func TestCallThroughUnresponsiveCarrierIsUnknown(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		p.set(func() { p.unresponsive["x"] = true })
		began := time.Now()
		must.EqOp(t, worker.Unknown, p.start("a-1"))
		must.Less(t, 1200*time.Millisecond, time.Since(began))
		must.EqOp(t, worker.Accepted, p.start("a-1"), must.Sprint("without another carrier the holder calls the host"))
		must.EqOp(t, 1, p.calls("holder"))
	})
}

// A carrier that failed is used again after a backoff.
func TestRecoveredCarrierIsUsedAgain(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		p.set(func() { p.unresponsive["x"] = true })
		p.start("a-1")
		p.set(func() { p.unresponsive["x"] = false })
		time.Sleep(3 * time.Second)
		must.EqOp(t, worker.Accepted, p.start("a-1"))
		must.EqOp(t, 1, p.calls("x"))
	})
}

// 200 concurrent calls share a few exchanges, and heartbeats that wait on their
// hosts do not delay other calls.
func TestCallsShareExchanges(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		var holds sync.WaitGroup
		for range 20 {
			holds.Go(func() {
				answer, outcome := p.router.Heartbeat(p.ctx, worker.Target{ID: "a-2"}, worker.Heartbeat{AckedEnd: 3, Fence: 7, Wait: 600 * time.Millisecond})
				must.EqOp(t, worker.Accepted, outcome)
				must.EqOp(t, 3, answer.ClockMs)
			})
		}
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		var starts sync.WaitGroup
		for range 200 {
			starts.Go(func() { must.EqOp(t, worker.Accepted, p.start("a-1")) })
		}
		starts.Wait()
		must.Less(t, 30*time.Millisecond, time.Since(began))
		holds.Wait()
		must.EqOp(t, 220, p.calls("x"))
		must.Less(t, 12, p.exchangeCount())
		p.set(func() {
			for _, fence := range p.fences {
				must.EqOp(t, 7, fence)
			}
		})
	})
}

// A call that its caller cancels before it was sent is not sent: a start that is
// sent after the end of its run was stored would run needlessly.
func TestCancelledCallIsNotSent(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		ctx, cancel := context.WithCancel(p.ctx)
		cancel()
		must.EqOp(t, worker.Unknown, p.router.Start(ctx, worker.Target{ID: "a-1"}, worker.Start{Run: 1}))
		time.Sleep(time.Second)
		must.EqOp(t, 0, p.calls("x"))
	})
}

// Guards against replies that reach the calls of another host: a carrier restarts at its
// address, and the links to both of its processes number their calls alike.
func TestRepliesOfARestartedCarrierReachTheirCalls(t *testing.T) {
	runTest(t, func(p *testPool) {
		p.add("x")
		p.update(hosts(ownHosts+1, "a"))
		settle()
		var calls sync.WaitGroup
		call := func(host string, number int64, wait time.Duration) {
			calls.Go(func() {
				answer, outcome := p.router.Heartbeat(p.ctx, worker.Target{ID: host}, worker.Heartbeat{AckedEnd: number, Wait: wait})
				must.EqOp(t, worker.Accepted, outcome)
				must.EqOp(t, number, answer.ClockMs)
			})
		}
		const before, after = 20, 40
		for i := range before {
			call(fmt.Sprint("a-", i), int64(i), 400*time.Millisecond+time.Duration(i)*10*time.Millisecond)
		}
		p.set(func() { p.candidates[0].Name = "x, restarted" })
		settle()
		for i := before; i < after; i++ {
			call(fmt.Sprint("a-", i), int64(i), time.Duration(i)*10*time.Millisecond)
		}
		calls.Wait()
	})
}
