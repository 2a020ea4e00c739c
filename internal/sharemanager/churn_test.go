package sharemanager

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// action is one event in the fleet and the time until the next one.
type action struct {
	Name     string
	Gateway  int
	Duration time.Duration
}

var actionNames = []string{
	"start", "start", "kill", "leave", "pause", "pause", "wake", "cut from store", "cut from peers", "isolate", "isolate", "rejoin",
	"store down", "store up", "delay messages", "lose messages", "calm messages", "lose answers",
}

var actionDurations = []time.Duration{
	20 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second, 12 * time.Second, 40 * time.Second,
}

func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Name:     rapid.SampledFrom(actionNames).Draw(t, "what"),
			Gateway:  rapid.IntRange(0, 9).Draw(t, "which"),
			Duration: rapid.SampledFrom(actionDurations).Draw(t, "then"),
		}
	}), 1, 16).Draw(t, "acts")
}

// maxGateways bounds the number of gateways in one run.
const maxGateways = 7

func (f *fleet) apply(act action) {
	gateways := f.all()
	switch act.Name {
	case "store down":
		f.store.SetDown(true)
		return
	case "store up":
		f.store.SetDown(false)
		return
	case "delay messages":
		f.setMessages(300*time.Millisecond, 0)
		return
	case "lose messages":
		f.setMessages(100*time.Millisecond, 50)
		return
	case "calm messages":
		f.setMessages(0, 0)
		return
	case "lose answers":
		f.store.LoseResponses(3)
		return
	case "start":
		if len(gateways) < maxGateways {
			f.startFromPeer()
		}
		return
	}
	if len(gateways) == 0 {
		return
	}
	g := gateways[act.Gateway%len(gateways)]
	if f.anyCut() && (act.Name == "cut from store" || act.Name == "cut from peers" || act.Name == "isolate") {
		return
	}
	if act.Name == "isolate" && len(g.manager.active.Load().agreement.Committed.Members) < 3 {
		return
	}
	g.apply(act.Name)
}

// anyCut reports whether a gateway is already cut off. Only one is cut off at a time:
// docs/design/limits.md accepts one case in which limits may be exceeded, that of a
// quorum which is cut off from the store and the other gateways for more than
// quorumLossTimeout, but neither from one another nor from the endpoints.
func (f *fleet) anyCut() bool {
	for _, g := range f.all() {
		if g.cutFromStore.Load() || g.cutFromPeers.Load() {
			return true
		}
	}
	return false
}

func (f *fleet) setMessages(delay time.Duration, lost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.lost = delay, lost
}

func (g *testGateway) apply(name string) {
	switch name {
	case "kill":
		g.kill()
	case "leave":
		if !g.paused.Load() && !g.stopped.Swap(true) {
			go g.leave()
		}
	case "pause":
		g.paused.Store(true)
	case "wake":
		g.paused.Store(false)
	case "cut from store":
		g.cutFromStore.Store(true)
	case "cut from peers":
		g.cutFromPeers.Store(true)
	case "isolate":
		g.cutFromStore.Store(true)
		g.cutFromPeers.Store(true)
	case "rejoin":
		g.cutFromStore.Store(false)
		g.cutFromPeers.Store(false)
	}
}

// heal ends every fault.
func (f *fleet) heal() {
	f.store.SetDown(false)
	f.setMessages(0, 0)
	for _, g := range f.all() {
		g.apply("wake")
		g.apply("rejoin")
	}
}

// result is the outcome of one run.
type result struct {
	peak, peakOpen, served int
	violations             int
	slotsAtEnd             int
}

// runScript runs a fleet of three gateways through the actions, heals it and waits
// until it has settled.
func runScript(t *testing.T, seed uint64, script []action) (r result) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		defer f.stopAll()
		for range 3 {
			f.start()
		}
		time.Sleep(3 * time.Second)
		for _, act := range script {
			f.apply(act)
			time.Sleep(act.Duration)
		}
		f.heal()
		f.start()
		time.Sleep(2 * quorumLossTimeout)
		r.peak, r.peakOpen, r.served = f.endpoint.counts()
		r.violations = len(f.checker.Violations())
		r.slotsAtEnd = f.usableSlots()
	})
	return r
}

// Gateways start, stop, are killed, paused for any time, and cut off from the store,
// from one another or both, while messages are delayed or lost and the store has
// outages, in any order and combination. Every gateway has more callers than it may
// serve. The endpoint must never see a ninth request or a sixty-fifth connection, and
// after all faults have ended, all eight slots must be usable. GLADE_CHURN_RUNS sets
// the number of runs; CI uses the default.
func TestChurnNeverExceedsTheLimits(t *testing.T) {
	runs := 0
	maxRuns := 4
	if text := os.Getenv("GLADE_CHURN_RUNS"); text != "" {
		parsed, err := strconv.Atoi(text)
		must.NoError(t, err)
		maxRuns = parsed
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawActions(rt)
		if runs++; runs > maxRuns {
			return
		}
		r := runScript(t, uint64(len(script)), script)
		if r.peak > slotLimit || r.peakOpen > connectionLimit || r.violations > 0 || r.slotsAtEnd != slotLimit {
			rt.Fatalf("%+v after %+v", r, script)
		}
	})
}
