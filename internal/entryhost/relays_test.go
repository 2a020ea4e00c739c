package entryhost_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/listwatch"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// relayZones is the number of availability zones of the fleets in the tests of relays.
const relayZones = 2

// fleetSizes are the numbers of entry hosts at which growth is tested.
var fleetSizes = []int{16, 32, 64}

// runFleet runs a test on a fleet of entry hosts in two zones, each of which watches the
// operator's entries.
func runFleet(t *testing.T, entries int, test func(dep *deployment, seen *operatorView)) {
	runTestOf(t, entries, func(dep *deployment) { dep.zones = relayZones }, func(dep *deployment) {
		seen := &operatorView{at: make(map[string]store.Revision)}
		for node, e := range dep.entries {
			go seen.follow(dep.ctx, node, e)
		}
		time.Sleep(3 * time.Second)
		test(dep, seen)
	})
}

// operatorView is what entry hosts have seen of the operator's entries.
type operatorView struct {
	mu sync.Mutex
	at map[string]store.Revision
	// wentBack names an entry host that saw an older version after a newer one.
	wentBack string
}

func (v *operatorView) follow(ctx context.Context, node string, e *entry) {
	apply := func(entries []store.Entry) {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, entry := range entries {
			if entry.ModRevision < v.at[node] {
				v.wentBack = node
			}
			v.at[node] = entry.ModRevision
		}
	}
	w := listwatch.Watcher{
		Store: e.Access, Prefix: operatorPrefix, MinInterval: 20 * time.Millisecond, OnList: apply,
		OnEvents:  func(events []store.Event) { apply(listwatch.WrittenEntries(events)) },
		OnCurrent: e.Relay.Confirmed,
	}
	w.Run(ctx)
}

// behind counts the entry hosts that haven't seen a revision.
func (v *operatorView) behind(revision store.Revision) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, at := range v.at {
		if at < revision {
			count++
		}
	}
	return count
}

// write writes the operator's entry.
func (dep *deployment) write(value string) store.Revision {
	dep.t.Helper()
	revision, err := dep.store.Commit(dep.ctx, store.Txn{Puts: []store.Put{{Key: operatorPrefix + "config", Value: []byte(value)}}})
	must.NoError(dep.t, err)
	return revision
}

// followers returns the entry hosts that follow a relay, and the addresses of the relays.
func (dep *deployment) followers() (followers []string, relays map[string]bool) {
	relays = make(map[string]bool)
	for node, e := range dep.entries {
		if source := e.Access.Follows(); source != "" {
			followers = append(followers, node)
			relays[source] = true
		}
	}
	return followers, relays
}

// callsDuring returns the calls to the store made while act runs.
func (dep *deployment) callsDuring(act func()) memstore.Counts {
	before := dep.store.Counts()
	act()
	after := dep.store.Counts()
	return memstore.Counts{
		Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, LeaseCalls: after.LeaseCalls - before.LeaseCalls,
		WatchCalls: after.WatchCalls - before.WatchCalls, Refused: after.Refused - before.Refused,
	}
}

// Guards against store calls that grow with the fleet although nothing changes.
func TestIdleWatchesDoNotGrowWithEntryHosts(t *testing.T) {
	const seconds = 10
	// Two relays a zone and three holders watch two prefixes, once a second with what
	// the pace allows; each pool's holder watches its inbox.
	const perSecond = (2*relayZones+3)*2 + 2
	for _, size := range fleetSizes {
		runFleet(t, size, func(dep *deployment, _ *operatorView) {
			calls := dep.callsDuring(func() { time.Sleep(seconds * time.Second) })
			must.LessEq(t, perSecond*(seconds+1), calls.WatchCalls, must.Sprintf("%d entry hosts", size))
			must.LessEq(t, 2*seconds, calls.Reads, must.Sprintf("%d entry hosts", size))
			followers, _ := dep.followers()
			must.GreaterEq(t, size-2*relayZones-3, len(followers))
		})
	}
}

// Guards against changes that cost the store an answer for each entry host.
func TestChangeCostsStoreNoMoreWithMoreEntryHosts(t *testing.T) {
	for _, size := range fleetSizes {
		runFleet(t, size, func(dep *deployment, seen *operatorView) {
			calls := dep.callsDuring(func() {
				for range 5 {
					revision := dep.write("v")
					time.Sleep(200 * time.Millisecond)
					must.EqOp(t, 0, seen.behind(revision), must.Sprintf("%d entry hosts", size))
				}
			})
			must.LessEq(t, (2*relayZones+3)*(5+4)+8, calls.WatchCalls, must.Sprintf("%d entry hosts", size))
		})
	}
}

// Guards against calls that grow with the square of the fleet after all were killed.
func TestMassRestartCostsStoreAFewCallsAnEntryHost(t *testing.T) {
	// A grant, the member's record, lists and watches until relays are known, renewals.
	const callsEach = 24
	for _, size := range fleetSizes {
		runFleet(t, size, func(dep *deployment, _ *operatorView) {
			for node := range dep.entries {
				dep.kill(node)
			}
			time.Sleep(time.Second)
			calls := dep.callsDuring(func() {
				for i := range size {
					dep.start(fmt.Sprintf("entry-%d", i+1))
					time.Sleep(300 * time.Millisecond / time.Duration(size))
				}
				time.Sleep(2 * time.Second)
			})
			total := calls.Reads + calls.Writes + calls.LeaseCalls + calls.WatchCalls
			must.LessEq(t, int64(callsEach*size), total, must.Sprintf("%d entry hosts: %+v", size, calls))
			for _, pool := range []string{"day", "night"} {
				must.NotEqOp(t, "", dep.holder(pool))
			}
		})
	}
}

// Guards against an old configuration at the followers of relays that are lost.
func TestFollowersOfLostRelaysLearnOfChanges(t *testing.T) {
	lose := map[string]func(dep *deployment, relay string){
		"killed":            func(dep *deployment, relay string) { dep.kill(relay) },
		"without the store": func(dep *deployment, relay string) { dep.entries[relay].gate.set(true) },
	}
	for name, lose := range lose {
		t.Run(name, func(t *testing.T) {
			runTestOf(t, 24, func(dep *deployment) { dep.zones, dep.gated = relayZones, true }, func(dep *deployment) {
				seen := &operatorView{at: make(map[string]store.Revision)}
				for node, e := range dep.entries {
					go seen.follow(dep.ctx, node, e)
				}
				dep.write("before")
				time.Sleep(3 * time.Second)
				_, relays := dep.followers()
				must.MapNotEmpty(t, relays)
				for relay := range relays {
					lose(dep, relay)
					delete(seen.at, relay)
				}
				revision := dep.write("after")
				time.Sleep(2500 * time.Millisecond)
				must.EqOp(t, 0, seen.behind(revision))
				must.EqOp(t, "", seen.wentBack)
			})
		})
	}
}

// Guards against a pool that stores nothing while the store turns away its holder alone.
func TestHolderTurnedAwayByStoreGoesOnThroughOthers(t *testing.T) {
	runTestOf(t, 5, func(dep *deployment) { dep.gated = true }, func(dep *deployment) {
		holder := dep.holder("day")
		dep.entries[holder].gate.set(true)
		for range 20 {
			record := dep.record("day", quick(1))
			began := time.Now()
			must.EqOp(t, poolmanager.Stored, dep.other("day").Jobs.SubmitJob(dep.ctx, record).Result)
			must.Less(t, 200*time.Millisecond, time.Since(began))
			dep.done(dep.other("day"), "day", record.ID, 2*time.Second)
		}
		must.EqOp(t, holder, dep.holder("day"), must.Sprint("it goes on holding the pool"))
		dep.entries[holder].gate.set(false)
		time.Sleep(3 * time.Second)
		must.EqOp(t, holder, dep.holder("day"))
	})
}

// Guards against refused calls that multiply while the store serves nobody.
func TestStoreOutageIsNotMultipliedByRelayedCalls(t *testing.T) {
	for _, size := range fleetSizes {
		runFleet(t, size, func(dep *deployment, _ *operatorView) {
			before := dep.net.StoreCalls()
			dep.store.SetDown(true)
			time.Sleep(5 * time.Second)
			after := dep.net.StoreCalls()
			// Three holders, each with three others at most once in half a second.
			must.LessEq(t, 3*3*2*5, after.Relayed-before.Relayed, must.Sprintf("%d entry hosts", size))
			dep.store.SetDown(false)
			time.Sleep(3 * time.Second)
			dep.done(dep.other("day"), "day", dep.accept(dep.other("day"), "day", quick(1)), 5*time.Second)
		})
	}
}
