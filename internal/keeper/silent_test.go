package keeper_test

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
		w.workers.Misbehave(w.hostOf(id), emulate.Behavior{Dark: true})
		time.Sleep(3 * time.Second)
		k.kill()
		<-k.ended
		w.takeAtOnce(false)
		time.Sleep(6 * time.Second)
		must.EqOp(t, 1, w.workers.Judge.AtWork(id))
		must.EqOp(t, 2, w.workers.Judge.Starts())
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
		w.workers.Misbehave(host, emulate.Behavior{Dark: true})
		time.Sleep(3 * time.Second)
		w.workers.Misbehave(host, emulate.Behavior{})
		for at := range 20 {
			time.Sleep(time.Duration(100+13*at) * time.Millisecond)
			if at == 12 {
				// Dark again, while the roster that names it as in use may be
				// on its way.
				w.workers.Misbehave(host, emulate.Behavior{Dark: true})
				k.kill()
				<-k.ended
				k = w.takeAtOnce(false)
			}
		}
		time.Sleep(15 * time.Second)
		must.EqOp(t, 1, w.workers.Judge.AtWork(id))
		must.EqOp(t, work.Running, w.state(k, id))
	})
}
