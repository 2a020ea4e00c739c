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

// act is one thing that happens to the fleet, and for how long nothing else
// does.
type act struct {
	What  string
	Which int
	Then  time.Duration
}

var acts = []string{
	"start", "start", "kill", "leave", "pause", "pause", "wake", "cut from store", "cut from peers", "isolate", "isolate", "rejoin",
	"store down", "store up", "delay messages", "lose messages", "calm messages", "lose answers",
}

var dwells = []time.Duration{
	20 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second, 12 * time.Second, 40 * time.Second,
}

func drawActs(t *rapid.T) []act {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
		return act{
			What:  rapid.SampledFrom(acts).Draw(t, "what"),
			Which: rapid.IntRange(0, 9).Draw(t, "which"),
			Then:  rapid.SampledFrom(dwells).Draw(t, "then"),
		}
	}), 1, 16).Draw(t, "acts")
}

// maxGateways bounds the fleet in one run.
const maxGateways = 7

func (f *fleet) apply(a act) {
	list := f.all()
	switch a.What {
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
		if len(list) < maxGateways {
			f.startFromPeer()
		}
		return
	}
	if len(list) == 0 {
		return
	}
	g := list[a.Which%len(list)]
	if f.anyCut() && (a.What == "cut from store" || a.What == "cut from peers" || a.What == "isolate") {
		return
	}
	if a.What == "isolate" && len(g.keeper.inForce.Load().agreement.Committed.Members) < 3 {
		return
	}
	g.apply(a.What)
}

// anyCut reports whether a gateway is cut off already. One at a time: a quorum
// that is cut off from the store and from the other gateways for more than
// escapeWait, but neither from one another nor from the endpoints, is the one
// case that docs/design/limits.md accepts.
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

func (g *testGateway) apply(what string) {
	switch what {
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

// result is what one run came to.
type result struct {
	peak, peakOpen, served int
	violations             int
	slotsAtEnd             int
}

// tell runs a fleet of three through the acts, heals it and lets it settle.
func tell(t *testing.T, seed uint64, script []act) (r result) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		defer f.end()
		for range 3 {
			f.start()
		}
		time.Sleep(3 * time.Second)
		for _, a := range script {
			f.apply(a)
			time.Sleep(a.Then)
		}
		f.heal()
		f.start()
		time.Sleep(2 * escapeWait)
		r.peak, r.peakOpen, r.served = f.endpoint.counts()
		r.violations = len(f.checker.Violations())
		r.slotsAtEnd = f.usableSlots()
	})
	return r
}

// Gateways start, stop, are killed, paused for any time, and cut off from the
// store, from one another or both, while messages are late or lost and the
// store has outages: in any order and together. Every gateway has more callers
// than it may serve. The endpoint itself must never see a ninth request or a
// sixty-fifth connection, and once all is well again, all eight slots are in
// use. GLADE_CHURN_RUNS asks for more runs than CI's.
func TestChurnNeverExceedsTheLimits(t *testing.T) {
	runs := 0
	most := 4
	if text := os.Getenv("GLADE_CHURN_RUNS"); text != "" {
		parsed, err := strconv.Atoi(text)
		must.NoError(t, err)
		most = parsed
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawActs(rt)
		if runs++; runs > most {
			return
		}
		r := tell(t, uint64(len(script)), script)
		if r.peak > slotLimit || r.peakOpen > connectionLimit || r.violations > 0 || r.slotsAtEnd != slotLimit {
			rt.Fatalf("%+v after %+v", r, script)
		}
	})
}
