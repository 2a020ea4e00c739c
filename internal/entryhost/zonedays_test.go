package entryhost_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

const (
	// zoneDaysInCI is the default number of days with zones away in turn.
	zoneDaysInCI = 8
	// zoneDayEntries is the number of entry hosts, two in each of zoneDayZones.
	zoneDayEntries, zoneDayZones = 6, 3
	// zoneDayMbps is the bandwidth of their links in Mbit/s, which is ample.
	zoneDayMbps = 200
	// zoneDayLength is how long troubles begin, longestTrouble how long one lasts at most,
	// and zoneDayRest the time to recover afterwards.
	zoneDayLength, longestTrouble, zoneDayRest = 20 * time.Second, 13500 * time.Millisecond, 60 * time.Second
	// zoneDayTasks is the number of tasks of a long-running job, of which each of
	// zoneDayPools has zoneDayLongRunning.
	zoneDayTasks, zoneDayLongRunning = 3, 2
)

var zoneDayPools = []string{"day", "night"}

// hostListings are the ways in which the list of hosts fails, by name.
var hostListings = map[string]emulate.FleetFaults{
	"truthful":           {},
	"unavailable":        {Down: true},
	"silent as down":     {Silent: emulate.SilentDown},
	"silent left out":    {Silent: emulate.SilentLeftOut},
	"lags":               {Lag: 5 * time.Second},
	"lags and is silent": {Lag: 2 * time.Second, Silent: emulate.SilentDown},
}

// listingsInTurn are those of the days, by seed.
var listingsInTurn = []string{"truthful", "silent as down", "lags", "unavailable", "silent left out", "lags and is silent"}

// Guards against a second run of a task beside the first one while the entry hosts of one
// availability zone after the other are away, hosts are cut off and the list of hosts is
// wrong. GLADE_FIRST_ZONE_DAY and GLADE_ZONE_DAYS select other days than CI's,
// GLADE_ZONE_LISTING one way for the list to fail on all of them.
func TestRandomDaysWithZonesAwayInTurn(t *testing.T) {
	first := envInt(t, "GLADE_FIRST_ZONE_DAY", 0)
	for seed := first; seed < first+envInt(t, "GLADE_ZONE_DAYS", zoneDaysInCI); seed++ {
		listing := cmp.Or(os.Getenv("GLADE_ZONE_LISTING"), listingsInTurn[seed%len(listingsInTurn)])
		faults, ok := hostListings[listing]
		must.True(t, ok, must.Sprint(listing))
		t.Run(strconv.Itoa(seed)+"/"+listing, func(t *testing.T) {
			prepare := func(dep *deployment) {
				dep.links, dep.linkMbps, dep.zones = emulate.NewLinks(), zoneDayMbps, zoneDayZones
				dep.gated, dep.suspendable = true, true
				dep.workers.KeepsID = func(id string) bool { return hostInZone(id, 0) }
			}
			runTestOf(t, zoneDayEntries, prepare, func(dep *deployment) {
				d := &zoneDay{deployment: dep, random: rand.New(rand.NewPCG(uint64(seed), 17)), listing: faults}
				d.run()
			})
		})
	}
}

type zoneDay struct {
	*deployment
	random  *rand.Rand
	listing emulate.FleetFaults
	// longRunning holds the long-running jobs.
	longRunning []string
	submits     sync.WaitGroup

	submitMu sync.Mutex
	accepted []string
}

func (d *zoneDay) run() {
	for range 4 {
		for _, pool := range zoneDayPools {
			d.fleet.Add(pool, "r0", work.Resources{MilliCPU: 16_000, MemMB: 32_000})
		}
	}
	d.fleet.SetFaults(d.listing)
	for _, pool := range zoneDayPools {
		for range zoneDayLongRunning {
			d.longRunning = append(d.longRunning, d.accept(d.entries["entry-1"], pool, longRunning(zoneDayTasks)))
		}
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	for turnAt, zone := began, 0; time.Since(began) < zoneDayLength; {
		if !time.Now().Before(turnAt) {
			away := d.length(2500, 4500)
			d.takeAway(zone, away)
			zone, turnAt = (zone+1)%zoneDayZones, time.Now().Add(away+d.length(0, 3000))
		}
		if d.random.IntN(4) == 0 {
			d.harmHosts()
		}
		d.submit()
		time.Sleep(d.length(0, 400))
	}
	d.recover()
}

// recover awaits the end of all troubles and checks that all work is done.
func (d *zoneDay) recover() {
	d.t.Helper()
	time.Sleep(longestTrouble)
	d.fleet.SetFaults(emulate.FleetFaults{})
	d.submits.Wait()
	for until := time.Now().Add(zoneDayRest); d.unfinished() != ""; time.Sleep(200 * time.Millisecond) {
		must.True(d.t, time.Now().Before(until), must.Sprint(d.unfinished()))
	}
}

// unfinished describes work that isn't done or doesn't run, and is empty if there is none.
func (d *zoneDay) unfinished() string {
	checker := d.workers.Checker
	for _, id := range d.accepted {
		if !checker.Finished(id) && !checker.MayMarkFailed(id) {
			return fmt.Sprintf("job %s isn't done", id)
		}
	}
	for _, id := range d.longRunning {
		if running := checker.Running(id); running != zoneDayTasks {
			return fmt.Sprintf("long-running job %s has %d runs", id, running)
		}
	}
	return ""
}

// length returns a random time from least on, in milliseconds.
func (d *zoneDay) length(least, spread int) time.Duration {
	return time.Duration(least+d.random.IntN(spread)) * time.Millisecond
}

// zone returns the names of the entry hosts of a zone that are up.
func (d *zoneDay) zone(zone int) (names []string) {
	for node := range d.entries {
		if d.zoneOf(node) == fmt.Sprintf("zone-%d", zone) {
			names = append(names, node)
		}
	}
	slices.Sort(names)
	return names
}

// allHosts is for an entry host that is cut off from all hosts.
func allHosts(string) bool { return true }

// hostInZone reports whether a host is in a zone of entry hosts.
func hostInZone(host string, zone int) bool {
	var number int
	_, err := fmt.Sscanf(host, "w-%d", &number)
	return err == nil && number%zoneDayZones == zone
}

// takeAway takes the entry hosts of a zone away for a while, all of them in the same way.
func (d *zoneDay) takeAway(zone int, length time.Duration) {
	way := d.random.IntN(9)
	if way >= 7 {
		d.partitionZone(zone, length, way == 8)
		return
	}
	for _, node := range d.zone(zone) {
		e, link := d.entries[node], d.links.Link(node)
		switch way {
		case 0:
			d.during(length, func() { e.gate.silence(true) }, func() { e.gate.silence(false) })
		case 1:
			d.during(length, func() { e.gate.set(true) }, func() { e.gate.set(false) })
		case 2:
			d.during(length, link.Cut, link.Heal)
		case 3:
			d.during(length, func() { e.process.CutOff(allHosts) }, func() { e.process.CutOff(nil) })
		case 4:
			d.isolate(e, allHosts, length)
		default:
			d.suspend(e, length)
		}
	}
}

// during begins a trouble shortly and ends it after a while.
func (d *zoneDay) during(length time.Duration, begin, end func()) {
	after := d.length(0, 100)
	time.AfterFunc(after, begin)
	time.AfterFunc(after+length, end)
}

// suspend makes an entry host stand still for a while.
func (d *zoneDay) suspend(e *entry, length time.Duration) {
	link := d.links.Link(e.address)
	d.during(length, func() { link.Cut(); e.process.Suspend() }, func() { link.Heal(); e.process.Resume() })
}

// isolate cuts an entry host off from the store, other entry hosts and hosts.
func (d *zoneDay) isolate(e *entry, from func(host string) bool, length time.Duration) {
	link := d.links.Link(e.address)
	d.during(length,
		func() { link.Cut(); e.gate.silence(true); e.process.CutOff(from) },
		func() { link.Heal(); e.gate.silence(false); e.process.CutOff(nil) })
}

// partitionZone cuts a zone's entry hosts and hosts off from all others and from the store. The
// entry hosts may have stood still before.
func (d *zoneDay) partitionZone(zone int, length time.Duration, suspended bool) {
	inside := func(host string) bool { return hostInZone(host, zone) }
	outside := func(host string) bool { return !inside(host) }
	length += d.length(0, 6000)
	away := d.zone(zone)
	for node, e := range d.entries {
		if !slices.Contains(away, node) {
			d.during(length, func() { e.process.CutOff(inside) }, func() { e.process.CutOff(nil) })
			continue
		}
		d.isolate(e, outside, length)
		if suspended {
			d.suspendFirst(e)
		}
	}
}

// suspendFirst makes an entry host stand still for the first seconds of a partition.
func (d *zoneDay) suspendFirst(e *entry) {
	time.AfterFunc(d.length(0, 50), e.process.Suspend)
	time.AfterFunc(d.length(1500, 3500), e.process.Resume)
}

// harmHosts harms one host or several of a pool.
func (d *zoneDay) harmHosts() {
	ids := d.workers.IDs(zoneDayPools[d.random.IntN(len(zoneDayPools))])
	if len(ids) == 0 {
		return
	}
	d.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	several := ids[:min(len(ids), 2+d.random.IntN(3))]
	length := d.length(500, 5000)
	switch d.random.IntN(9) {
	case 0, 1:
		d.harm(ids[:1], emulate.HostFaults{Unresponsive: true}, length)
	case 2:
		d.harm(several, emulate.HostFaults{Unresponsive: true}, length)
	case 3:
		d.harm(several, emulate.HostFaults{HeartbeatLossRate: 0.2 + 0.8*d.random.Float64()}, length)
	case 4:
		d.harm(several, emulate.HostFaults{DelayRate: 0.4}, length)
	case 5:
		d.harm(several, emulate.HostFaults{DelayRate: 0.2, HeartbeatLossRate: 0.5}, length)
	case 6:
		d.harm(ids[:1], emulate.HostFaults{DelayNext: 1 + d.random.IntN(3)}, length)
	case 7:
		d.store.LoseResponses(1 + d.random.IntN(3))
	default:
		d.workers.Crash(ids[0])
	}
}

func (d *zoneDay) harm(ids []string, faults emulate.HostFaults, length time.Duration) {
	for _, id := range ids {
		d.workers.SetFaults(id, faults)
		time.AfterFunc(length, func() { d.workers.SetFaults(id, emulate.HostFaults{}) })
	}
}

// submit hands in a job of short and longer tasks at any entry host, which may be away.
func (d *zoneDay) submit() {
	pool := zoneDayPools[d.random.IntN(len(zoneDayPools))]
	longest := []int{600, 2500, 8000}[d.random.IntN(3)]
	steps := make([]work.Step, 1+d.random.IntN(2))
	for i := range steps {
		steps[i] = work.Step{
			Count: 1 + d.random.IntN(3), Resources: work.Resources{MilliCPU: 500 + d.random.IntN(2500), MemMB: 100 + d.random.IntN(1000)},
			Estimate: d.length(200, longest), Checkpoint: d.random.IntN(2) == 0,
		}
	}
	if len(steps) > 1 {
		steps[1].After = []int{0}
	}
	record := d.record(pool, steps...)
	e := d.entries[fmt.Sprintf("entry-%d", 1+d.random.IntN(zoneDayEntries))]
	d.submits.Go(func() {
		if e.Jobs.SubmitJob(d.ctx, record).Result != poolmanager.Stored {
			return
		}
		d.submitMu.Lock()
		defer d.submitMu.Unlock()
		d.accepted = append(d.accepted, record.ID)
	})
}
