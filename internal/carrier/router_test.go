package carrier_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// ownHosts is as many as the world's holder can call by itself.
const ownHosts = 40

func (w *world) start(host string) worker.Outcome {
	return w.router.Start(w.ctx, worker.Target{ID: host}, worker.Start{Run: 1, Fence: 7})
}

// settle lets the router see what has changed.
func settle() { time.Sleep(300 * time.Millisecond) }

// A pool that its holder can call by itself pays nothing for carriers.
func TestASmallPoolIsCalledByItsHolder(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		w.update(hosts(ownHosts, "a"))
		settle()
		must.EqOp(t, worker.Accepted, w.start("a-1"))
		must.EqOp(t, 1, w.calls("holder"))
		must.EqOp(t, 0, w.exchanged())
	})
}

// A pool that grows is called through a carrier. It goes back to its holder only
// once it is far smaller: hosts come and go by the second, and each change of the
// way opens connections to all of them.
func TestAPoolThatGrowsIsCarriedUntilItIsFarSmaller(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		for _, step := range []struct {
			hosts   int
			carried bool
		}{{ownHosts, false}, {ownHosts + 1, true}, {ownHosts - 1, true}, {ownHosts / 2, false}, {ownHosts - 1, false}} {
			w.update(hosts(step.hosts, "a"))
			before := w.calls("x")
			must.EqOp(t, worker.Accepted, w.start("a-1"))
			must.EqOp(t, step.carried, w.calls("x") > before, must.Sprintf("%d hosts", step.hosts))
		}
	})
}

// A carrier dies between two calls. The call that finds it gone has certainly not
// reached its host and says so; the next one goes through another carrier.
func TestACarrierThatIsGoneIsPassedOver(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		w.add("y")
		w.update(hosts(ownHosts+1, "a"))
		must.EqOp(t, worker.Accepted, w.start("a-1"))
		first, second := "x", "y"
		if w.calls("x") == 0 {
			first, second = "y", "x"
		}
		w.set(func() { delete(w.servers, first) })
		must.EqOp(t, worker.NotSent, w.start("a-1"))
		must.EqOp(t, worker.Accepted, w.start("a-1"))
		must.EqOp(t, 1, w.calls(second))
	})
}

// A carrier falls silent with a call under way: the host may have heard it, so
// that nothing is certain of it. Its hosts are called through another one before
// they count as silent.
func TestACallThroughASilentCarrierIsUnknown(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		w.update(hosts(ownHosts+1, "a"))
		w.set(func() { w.silent["x"] = true })
		began := time.Now()
		must.EqOp(t, worker.Unknown, w.start("a-1"))
		must.Less(t, 1200*time.Millisecond, time.Since(began))
		must.EqOp(t, worker.Accepted, w.start("a-1"), must.Sprint("with no other carrier the holder calls"))
		must.EqOp(t, 1, w.calls("holder"))
	})
}

// A carrier that failed a moment ago is tried again later.
func TestACarrierThatIsBackIsUsedAgain(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		w.update(hosts(ownHosts+1, "a"))
		w.set(func() { w.silent["x"] = true })
		w.start("a-1")
		w.set(func() { w.silent["x"] = false })
		time.Sleep(3 * time.Second)
		must.EqOp(t, worker.Accepted, w.start("a-1"))
		must.EqOp(t, 1, w.calls("x"))
	})
}

// Two hundred calls that are made together share a few exchanges, and holds that
// wait on their hosts keep no other call waiting.
func TestCallsShareExchanges(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		w.update(hosts(ownHosts+1, "a"))
		var holds sync.WaitGroup
		for range 20 {
			holds.Go(func() {
				answer, outcome := w.router.Heartbeat(w.ctx, worker.Target{ID: "a-2"}, worker.Heartbeat{AckedEnd: 3, Fence: 7, Wait: 600 * time.Millisecond})
				must.EqOp(t, worker.Accepted, outcome)
				must.EqOp(t, 3, answer.ClockMs)
			})
		}
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		var starts sync.WaitGroup
		for range 200 {
			starts.Go(func() { must.EqOp(t, worker.Accepted, w.start("a-1")) })
		}
		starts.Wait()
		must.Less(t, 30*time.Millisecond, time.Since(began))
		holds.Wait()
		must.EqOp(t, 220, w.calls("x"))
		must.Less(t, 12, w.exchanged())
		w.set(func() {
			for _, fence := range w.fences {
				must.EqOp(t, 7, fence)
			}
		})
	})
}

// A call whose caller has given it up before it left is not sent any more: a
// start that goes out after what ended it was stored would run for nobody.
func TestACallThatWasGivenUpDoesNotLeave(t *testing.T) {
	play(t, func(w *world) {
		w.add("x")
		w.update(hosts(ownHosts+1, "a"))
		ctx, cancel := context.WithCancel(w.ctx)
		cancel()
		must.EqOp(t, worker.Unknown, w.router.Start(ctx, worker.Target{ID: "a-1"}, worker.Start{Run: 1}))
		time.Sleep(time.Second)
		must.EqOp(t, 0, w.calls("x"))
	})
}
