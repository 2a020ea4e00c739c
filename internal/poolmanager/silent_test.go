package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// A host goes dark with a lasting task on it, and three seconds later the holder
// is lost without a word. The next one would wait eleven seconds for the host,
// since the old holder might still renew its holds; the store says how long ago
// it stopped to.
func TestNextHolderWaitsNoLongerThanTheOldOneWould(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(1))
		time.Sleep(time.Second)
		w.workers.SetFaults(w.hostOf(id), emulate.HostFaults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		k.kill()
		<-k.ended
		w.takeAtOnce(false)
		time.Sleep(6 * time.Second)
		must.EqOp(t, 1, w.workers.Checker.Running(id))
		must.EqOp(t, 2, w.workers.Checker.Starts())
	})
}

// A host goes dark for a while and is heard again, and the holder is lost right
// after. What the store says of its silence must not let the next holder start
// its task elsewhere while it goes on.
func TestAHostHeardAgainIsWaitedForInFull(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(1))
		time.Sleep(time.Second)
		host := w.hostOf(id)
		w.workers.SetFaults(host, emulate.HostFaults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		w.workers.SetFaults(host, emulate.HostFaults{})
		for at := range 20 {
			time.Sleep(time.Duration(100+13*at) * time.Millisecond)
			if at == 12 {
				// Dark again, while the roster that names it as in use may be
				// on its way.
				w.workers.SetFaults(host, emulate.HostFaults{Unresponsive: true})
				k.kill()
				<-k.ended
				k = w.takeAtOnce(false)
			}
		}
		time.Sleep(15 * time.Second)
		must.EqOp(t, 1, w.workers.Checker.Running(id))
		must.EqOp(t, work.Running, w.state(k, id))
	})
}
