package entryhost_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/store"
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
		for _, node := range nodes {
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

// An upgrade has begun: the other entry hosts are of the version before and can't
// carry. The holder of a large pool calls its hosts itself.
func TestEntryHostsOfTheVersionBeforeCarryNothing(t *testing.T) {
	playWith(t, 1, oneHostPerEntry, func(w *world) {
		old := cluster.Member{Node: "old", Incarnation: "0", Address: "old", CPUShare: 0.8}
		value, err := json.Marshal(old)
		must.NoError(t, err)
		_, err = w.store.Commit(w.ctx, store.Txn{Puts: []store.Put{{Key: "glade/live/member/old", Value: value}}})
		must.NoError(t, err)
		time.Sleep(time.Second)
		id := w.accept(w.entries["entry-1"], "day", quick(4))
		w.done(w.entries["entry-1"], "day", id, 5*time.Second)
		must.EqOp(t, 0, w.net.Exchanges())
	})
}
