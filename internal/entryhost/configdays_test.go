package entryhost_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"

	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/store"
)

const (
	// currentAge is the age up to which entry hosts deny what they don't know.
	currentAge = configurationInForce - 500*time.Millisecond
	// calmAfter is how long an entry host must have been without a fault of its own for a
	// version to be in force there in time.
	calmAfter = 4 * time.Second
	// minCalm is the least number of entry hosts without a fault for another one to begin.
	minCalm = 8
	// configDay is how long a day lasts, configDaysInCI how many are played by default.
	configDay      = 40 * time.Second
	configDaysInCI = 12
)

// writtenVersion is a version of the configuration that the operator has written.
type writtenVersion struct {
	revision store.Revision
	at       time.Time
}

// pendingAct is an act and when it is due.
type pendingAct struct {
	at  time.Time
	act func()
}

// configDays plays one day of configurations of any size, while entry hosts are killed, cut
// off and turned away by the store.
type configDays struct {
	*deployment
	random *rand.Rand
	// calmSince is since when an entry host has no fault, zero while it has one.
	calmSince map[string]time.Time
	written   []writtenVersion
	// seen is the newest revision that was seen on each entry host, reported what was.
	seen     map[string]store.Revision
	reported map[string]bool
	pending  []pendingAct
	// largest is the size in bytes of the largest version.
	largest int
	// violations describe what entry hosts had late or took for the newest.
	violations []string
}

// follow starts an entry host and lets it follow the operator.
func (d *configDays) follow(node string) {
	e := d.entries[node]
	if e == nil {
		e = d.start(node)
	}
	d.calmSince[node], d.seen[node] = time.Now(), 0
	go e.Relay.Follow(e.ctx, configrelay.Source{Store: e.Access, Prefix: operatorPrefix, Key: operatorKey, MinInterval: 20 * time.Millisecond})
}

// anyCalm returns an entry host without a fault, half of the time one that others follow. It
// is empty if there are few.
func (d *configDays) anyCalm() string {
	var calm, followed []string
	_, relays := d.followers()
	for node := range d.entries {
		if d.calmSince[node].IsZero() {
			continue
		}
		calm = append(calm, node)
		if relays[node] {
			followed = append(followed, node)
		}
	}
	if len(calm) < minCalm {
		return ""
	}
	if len(followed) > 0 && d.random.IntN(2) == 0 {
		calm = followed
	}
	slices.Sort(calm)
	return calm[d.random.IntN(len(calm))]
}

// fault begins a fault of an entry host, which ends by itself.
func (d *configDays) fault() {
	node := d.anyCalm()
	if node == "" {
		return
	}
	d.calmSince[node] = time.Time{}
	gate, link := d.entries[node].gate, d.links.Link(node)
	lasts := time.Duration(500+d.random.IntN(5500)) * time.Millisecond
	calm := func() { d.calmSince[node] = time.Now() }
	switch d.random.IntN(4) {
	case 0:
		d.kill(node)
		d.later(lasts, func() { d.follow(node) })
	case 1:
		link.Cut()
		d.later(lasts, func() {
			link.Heal()
			calm()
		})
	case 2:
		gate.set(true)
		d.later(lasts, func() {
			gate.set(false)
			calm()
		})
	default:
		gate.silence(true)
		d.later(lasts, func() {
			gate.silence(false)
			calm()
		})
	}
}

// later calls act after a while.
func (d *configDays) later(wait time.Duration, act func()) {
	d.pending = append(d.pending, pendingAct{time.Now().Add(wait), act})
}

// runDue calls what is due.
func (d *configDays) runDue() {
	due := d.pending
	d.pending = nil
	for _, p := range due {
		if time.Now().Before(p.at) {
			d.pending = append(d.pending, p)
			continue
		}
		p.act()
	}
}

// carriedInTime is the size of a version, in bytes, that the links carry to all in two thirds
// of the time in which it must be in force, if it can't be compressed.
func carriedInTime(hosts, zones int, mbps float64) int {
	const share = 2.0 / 3
	followers := float64(hosts) / float64(zones) / 1.5
	return min(store.MaxValueBytes*9/10, int(share*configurationInForce.Seconds()*mbps*1e6/8/(4.0/3+followers)))
}

// change writes a version of any size.
func (d *configDays) change() {
	size := 1 + d.random.IntN(d.largest)
	value := randomBytes(size)
	if d.random.IntN(2) == 0 {
		value = routesOf(1 + size/bytesPerRoute)
	}
	d.written = append(d.written, writtenVersion{d.write(value), time.Now()})
}

// bytesPerRoute is about the size of one of the routes of routesOf.
const bytesPerRoute = 156

// newestAt returns the newest version that was written at least age ago.
func (d *configDays) newestAt(age time.Duration) (newest store.Revision) {
	for _, version := range d.written {
		if time.Since(version.at) >= age {
			newest = version.revision
		}
	}
	return newest
}

// check compares what the entry hosts take for the newest version with what was written.
func (d *configDays) check() {
	for node, e := range d.entries {
		standing, revision := e.Relay.Standing(time.Now()), e.Relay.Revision()
		if revision < d.seen[node] {
			d.report(node, "went back", revision, d.seen[node], standing)
		}
		d.seen[node] = revision
		if want := d.newestAt(currentAge); standing.Current(currentAge) && revision < want {
			d.report(node, "takes an old version for the newest", revision, want, standing)
		}
		calm := !d.calmSince[node].IsZero() && time.Since(d.calmSince[node]) >= calmAfter
		if want := d.newestAt(configurationInForce); calm && revision < want {
			d.report(node, "has a version late", revision, want, standing)
		}
	}
}

func (d *configDays) report(node, what string, has, want store.Revision, standing configrelay.Standing) {
	if d.reported[node+what] {
		return
	}
	d.reported[node+what] = true
	d.violations = append(d.violations, fmt.Sprintf("%s %s: has %d, %d was written; %+v", node, what, has, want, standing))
}

// Guards against denials by an old version, and against versions that are late on entry hosts
// without a fault while others are killed in the middle of sending them.
// GLADE_FIRST_CONFIG_DAY and GLADE_CONFIG_DAYS select other days than CI's.
func TestRandomDaysOfConfigurationsOnThinLinks(t *testing.T) {
	first, days := envInt(t, "GLADE_FIRST_CONFIG_DAY", 0), envInt(t, "GLADE_CONFIG_DAYS", configDaysInCI)
	for seed := first; seed < first+days; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 3))
			hosts, zones, mbps := 10+random.IntN(14), 1+random.IntN(2), []float64{5, 10, 20, 100}[random.IntN(4)]
			faultsPerSecond := []float64{0, 0.3, 1, 2}[random.IntN(4)]
			for _, violation := range playConfigDay(t, random, hosts, zones, mbps, carriedInTime(hosts, zones, mbps), faultsPerSecond) {
				t.Error(violation)
			}
		})
	}
}

// Guards against a checker that sees nothing: no link carries versions that are ten times as
// large as what it carries in time.
func TestCheckerFindsVersionsThatAreLate(t *testing.T) {
	const hosts, zones, mbps = 12, 1, 2
	random := rand.New(rand.NewPCG(1, 3))
	test.SliceNotEmpty(t, playConfigDay(t, random, hosts, zones, mbps, 10*carriedInTime(hosts, zones, mbps), 0))
}

// playConfigDay plays a day on entry hosts in some zones with links of a bandwidth in Mbit/s,
// and returns what was wrong.
func playConfigDay(t *testing.T, random *rand.Rand, hosts, zones int, mbps float64, largest int, faultsPerSecond float64) (violations []string) {
	prepare := func(dep *deployment) {
		dep.links, dep.linkMbps, dep.gated, dep.zones = emulate.NewLinks(), mbps, true, zones
	}
	runTestOf(t, hosts, prepare, func(dep *deployment) {
		d := &configDays{
			deployment: dep, random: random, largest: largest,
			calmSince: make(map[string]time.Time), seen: make(map[string]store.Revision), reported: make(map[string]bool),
		}
		for i := range hosts {
			d.follow(fmt.Sprintf("entry-%d", i+1))
		}
		d.play(faultsPerSecond)
		d.finish()
		violations = d.violations
	})
	return violations
}

// play changes the configuration and begins faults until the day ends.
func (d *configDays) play(faultsPerSecond float64) {
	const step = 50 * time.Millisecond
	nextChange := time.Now().Add(2 * time.Second)
	for end := time.Now().Add(configDay); time.Now().Before(end); time.Sleep(step) {
		d.runDue()
		if !time.Now().Before(nextChange) {
			d.change()
			nextChange = time.Now().Add(configurationInForce + time.Duration(d.random.IntN(3000))*time.Millisecond)
		}
		if d.random.Float64() < faultsPerSecond*step.Seconds() {
			d.fault()
		}
		d.check()
	}
}

// finish ends all faults, after which each entry host gets the newest version.
func (d *configDays) finish() {
	slices.SortFunc(d.pending, func(a, b pendingAct) int { return a.at.Compare(b.at) })
	for _, p := range d.pending {
		p.act()
	}
	time.Sleep(calmAfter + configurationInForce)
	d.check()
	for _, node := range d.without(d.written[len(d.written)-1].revision) {
		d.violations = append(d.violations, node+" is without the newest version at the end")
	}
}
