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

// fault is a kind of fault, change or recovery that a random run applies.
type fault int

const (
	changeRecord fault = iota
	startMember
	killMember
	cutMember
	stallMember
	restoreMember
	storeDown
	storeUp
	storeThrottled
	compactHistory
	passTime
	faults = int(passTime) + 1
)

const (
	maxMembers = 12
	// convergenceTime is how long the fleet may take to converge after all faults
	// have ended: the maximum backoff of a relay plus the remaining time of the leases
	// of stopped members.
	convergenceTime = 40 * time.Second
)

// faultStep is one step of a random run: a fault and the index of the member it
// affects.
type faultStep struct {
	fault fault
	index int
}

// Faults of the members, their connections and the store occur in random order. No
// member's revision may decrease, and after all faults have ended every running
// member must have the store's contents. GLADE_RANDOM_STEPS sets the maximum number
// of steps per run (default 25).
func TestRandomFaultsConverge(t *testing.T) {
	steps := 25
	if text := os.Getenv("GLADE_RANDOM_STEPS"); text != "" {
		steps, _ = strconv.Atoi(text)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) faultStep {
			return faultStep{fault(rapid.IntRange(0, faults-1).Draw(rt, "fault")), rapid.IntRange(0, maxMembers-1).Draw(rt, "member")}
		}), 1, steps).Draw(rt, "plan")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = randomRun(t, plan) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func randomRun(t *testing.T, plan []faultStep) string {
	f := newFleet(t, 5)
	defer f.close()
	time.Sleep(settleTime)
	running := make(map[*node]bool)
	for _, n := range f.nodes {
		running[n] = true
	}
	lastRevision := make(map[*node]store.Revision)
	down := false
	for i, s := range plan {
		f.apply(s, running, &down, i)
		time.Sleep(time.Duration(s.index+1) * 300 * time.Millisecond)
		for _, n := range f.nodes {
			now := n.feed.Snapshot().Revision
			if now < lastRevision[n] {
				return fmt.Sprintf("revision of %s decreased from %d to %d", n.member.ID, lastRevision[n], now)
			}
			lastRevision[n] = now
		}
	}
	return f.converge(running)
}

func (f *fleet) apply(s faultStep, running map[*node]bool, storeIsDown *bool, stepIndex int) {
	n := f.nodes[s.index%len(f.nodes)]
	address := n.member.PeerAddress
	switch s.fault {
	case changeRecord:
		if !*storeIsDown {
			f.write(stepIndex + 1)
		}
	case startMember:
		if len(f.nodes) < maxMembers {
			running[f.start(f.store)] = true
		}
	case killMember:
		n.stop()
		delete(running, n)
		f.network.update(func() { f.network.cut[address] = true })
	case cutMember:
		f.network.update(func() { f.network.cut[address] = true })
	case stallMember:
		f.network.update(func() { f.network.stalled[address] = true })
	case restoreMember:
		f.network.update(func() { f.network.cut[address] = !running[n]; f.network.stalled[address] = false })
	case storeDown, storeUp, storeThrottled:
		f.store.SetThrottled(s.fault == storeThrottled)
		f.store.SetDown(s.fault == storeDown)
		*storeIsDown = s.fault != storeUp
	case compactHistory:
		f.store.CompactAll()
	case passTime:
		time.Sleep(settleTime)
	}
}

// converge ends all faults except stopped members, and returns a description of the
// first problem found afterwards, or "".
func (f *fleet) converge(running map[*node]bool) string {
	f.store.SetDown(false)
	f.store.SetThrottled(false)
	f.network.update(func() {
		for _, n := range f.nodes {
			f.network.cut[n.member.PeerAddress] = !running[n]
			f.network.stalled[n.member.PeerAddress] = false
		}
	})
	if len(running) == 0 {
		running[f.start(f.store)] = true
	}
	time.Sleep(convergenceTime)
	revision := f.write(1000)
	time.Sleep(3 * time.Second)
	for n := range running {
		snapshot := n.feed.Snapshot()
		if snapshot.Revision < revision || snapshot.Policy().MoveStabilizationSeconds != 1000 {
			return fmt.Sprintf("%s is at revision %d, wanted %d", n.member.ID, snapshot.Revision, revision)
		}
		for other := range running {
			held := other.feed.Snapshot()
			if held.Revision == snapshot.Revision && held.Digest != snapshot.Digest {
				return fmt.Sprintf("%s and %s differ at revision %d", n.member.ID, other.member.ID, held.Revision)
			}
		}
	}
	return ""
}
