package entryhost_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The holder of a large pool orders through the other entry hosts. Both of them
// die one after the other while jobs run, and come back: what was on its way
// through them is settled, every job is done, and no task runs twice.
func TestAPoolOutlivesItsCarriers(t *testing.T) {
	playWith(t, 3, oneHostPerEntry, func(w *world) {
		holder := w.holder("day")
		var jobs []string
		for range 40 {
			jobs = append(jobs, w.accept(w.entries[holder], "day", quick(3)))
		}
		for _, node := range []string{"entry-1", "entry-2", "entry-3"} {
			if node == holder {
				continue
			}
			time.Sleep(300 * time.Millisecond)
			w.kill(node)
			time.Sleep(time.Second)
			w.start(node)
		}
		for _, id := range jobs {
			w.done(w.entries[holder], "day", id, 40*time.Second)
		}
		must.EqOp(t, holder, w.holder("day"))
		must.Positive(t, w.net.Exchanges())
	})
}

// With all other entry hosts gone the holder calls the hosts itself.
func TestAHolderThatIsLeftAloneCallsItsHosts(t *testing.T) {
	playWith(t, 2, oneHostPerEntry, func(w *world) {
		holder := w.holder("day")
		w.kill(w.other("day").address)
		time.Sleep(5 * time.Second)
		before := w.net.Exchanges()
		id := w.accept(w.entries[holder], "day", quick(4))
		w.done(w.entries[holder], "day", id, 10*time.Second)
		must.EqOp(t, before, w.net.Exchanges())
	})
}
