package configsync_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/store"
)

// fault is one step of a random run.
type fault int

const (
	changeRecord fault = iota
	startMember
	killMember
	cutMember
	stallMember
	healMember
	storeDown
	storeUp
	storeThrottled
	compactHistory
	passTime
	faults = int(passTime) + 1
)

const (
	mostMembers = 12
	// converges is how long the fleet may take once everything works again:
	// the longest back-off of a relay, and the leases of the dead.
	converges = 40 * time.Second
)

// stepOf is one drawn step: what happens, and to which member.
type stepOf struct {
	fault fault
	index int
}

// Everything that can happen to the members, their links and the store
// happens in a random order. No member's revision ever goes back, and once all
// works again every live member has the store's contents. GLADE_RANDOM_STEPS
// makes the runs longer.
func TestRandomFaultsConverge(t *testing.T) {
	steps := 25
	if text := os.Getenv("GLADE_RANDOM_STEPS"); text != "" {
		steps, _ = strconv.Atoi(text)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) stepOf {
			return stepOf{fault(rapid.IntRange(0, faults-1).Draw(rt, "fault")), rapid.IntRange(0, mostMembers-1).Draw(rt, "member")}
		}), 1, steps).Draw(rt, "plan")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = randomRun(t, plan) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func randomRun(t *testing.T, plan []stepOf) string {
	f := newFleet(t, 5)
	defer f.close()
	time.Sleep(settle)
	live := make(map[*node]bool)
	for _, n := range f.nodes {
		live[n] = true
	}
	last := make(map[*node]store.Revision)
	down := false
	for hold, s := range plan {
		f.happen(s, live, &down, hold)
		time.Sleep(time.Duration(s.index+1) * 300 * time.Millisecond)
		for _, n := range f.nodes {
			now := n.feed.Snapshot().Revision
			if now < last[n] {
				return fmt.Sprintf("%s went back from %d to %d", n.member.ID, last[n], now)
			}
			last[n] = now
		}
	}
	return f.converge(live)
}

func (f *fleet) happen(s stepOf, live map[*node]bool, down *bool, hold int) {
	n := f.nodes[s.index%len(f.nodes)]
	address := n.member.PeerAddress
	switch s.fault {
	case changeRecord:
		if !*down {
			f.write(hold + 1)
		}
	case startMember:
		if len(f.nodes) < mostMembers {
			live[f.start(f.store)] = true
		}
	case killMember:
		n.stop()
		delete(live, n)
		f.network.with(func() { f.network.cut[address] = true })
	case cutMember:
		f.network.with(func() { f.network.cut[address] = true })
	case stallMember:
		f.network.with(func() { f.network.stalled[address] = true })
	case healMember:
		f.network.with(func() { f.network.cut[address] = !live[n]; f.network.stalled[address] = false })
	case storeDown, storeUp, storeThrottled:
		f.store.SetThrottled(s.fault == storeThrottled)
		f.store.SetDown(s.fault == storeDown)
		*down = s.fault != storeUp
	case compactHistory:
		f.store.CompactAll()
	case passTime:
		time.Sleep(settle)
	}
}

// converge heals everything but the dead and returns what is wrong afterwards.
func (f *fleet) converge(live map[*node]bool) string {
	f.store.SetDown(false)
	f.store.SetThrottled(false)
	f.network.with(func() {
		for _, n := range f.nodes {
			f.network.cut[n.member.PeerAddress] = !live[n]
			f.network.stalled[n.member.PeerAddress] = false
		}
	})
	if len(live) == 0 {
		live[f.start(f.store)] = true
	}
	time.Sleep(converges)
	revision := f.write(1000)
	time.Sleep(3 * time.Second)
	for n := range live {
		snapshot := n.feed.Snapshot()
		if snapshot.Revision < revision || snapshot.Policy().MoveStabilizationSeconds != 1000 {
			return fmt.Sprintf("%s is at revision %d, wanted %d", n.member.ID, snapshot.Revision, revision)
		}
		for other := range live {
			held := other.feed.Snapshot()
			if held.Revision == snapshot.Revision && held.Digest != snapshot.Digest {
				return fmt.Sprintf("%s and %s differ at revision %d", n.member.ID, other.member.ID, held.Revision)
			}
		}
	}
	return ""
}
