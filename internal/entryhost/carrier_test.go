package entryhost_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/store"
)

// The holder of a large pool calls its hosts through the other two entry hosts, which
// are killed and restarted one after the other while jobs run. Calls in flight are
// resolved, every job completes, and no task runs twice.
func TestPoolSurvivesLossOfCarriers(t *testing.T) {
	runTestWith(t, 3, oneHostPerEntry, func(dep *deployment) {
		holder := dep.holder("day")
		var jobs []string
		for range 40 {
			jobs = append(jobs, dep.accept(dep.entries[holder], "day", quick(3)))
		}
		for _, node := range nodes {
			if node == holder {
				continue
			}
			time.Sleep(300 * time.Millisecond)
			dep.kill(node)
			time.Sleep(time.Second)
			dep.start(node)
		}
		for _, id := range jobs {
			dep.done(dep.entries[holder], "day", id, 40*time.Second)
		}
		must.EqOp(t, holder, dep.holder("day"))
		must.Positive(t, dep.net.Exchanges())
	})
}

// A holder without other live entry hosts calls its hosts itself.
func TestHolderWithoutCarriersCallsItsHosts(t *testing.T) {
	runTestWith(t, 2, oneHostPerEntry, func(dep *deployment) {
		holder := dep.holder("day")
		dep.kill(dep.other("day").address)
		time.Sleep(5 * time.Second)
		before := dep.net.Exchanges()
		id := dep.accept(dep.entries[holder], "day", quick(4))
		dep.done(dep.entries[holder], "day", id, 10*time.Second)
		must.EqOp(t, before, dep.net.Exchanges())
	})
}

// During a rolling upgrade, entry hosts of the previous version cannot be carriers.
// The holder of a large pool calls its hosts itself.
func TestEntryHostsOfPreviousVersionAreNoCarriers(t *testing.T) {
	runTestWith(t, 1, oneHostPerEntry, func(dep *deployment) {
		old := cluster.Member{Node: "old", Incarnation: "0", Address: "old", CPUShare: 0.8}
		value, err := json.Marshal(old)
		must.NoError(t, err)
		_, err = dep.store.Commit(dep.ctx, store.Txn{Puts: []store.Put{{Key: "glade/live/member/old", Value: value}}})
		must.NoError(t, err)
		time.Sleep(time.Second)
		id := dep.accept(dep.entries["entry-1"], "day", quick(4))
		dep.done(dep.entries["entry-1"], "day", id, 5*time.Second)
		must.EqOp(t, 0, dep.net.Exchanges())
	})
}
