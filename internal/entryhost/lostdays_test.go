package entryhost_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

const (
	// lostDaysInCI is the default number of days with hosts that are lost for good.
	lostDaysInCI = 40
	// lostDayRounds is the number of rounds of trouble in a day, each followed by calm.
	lostDayRounds = 6
	// maxAwayInCalm is how long after the last trouble a long-running task may be without
	// a run: the platform counts it as lost after 3 s that were calm, as were the 4 s before.
	maxAwayInCalm = 7 * time.Second
)

// Days on which hosts are lost for good, crash or are cut off, beside entry hosts that are
// killed, replaced and restarted and a store that fails, several of these within seconds.
// In the calm after them each long-running task has a run in time. GLADE_FIRST_LOST_DAY and
// GLADE_LOST_DAYS select others.
func TestRandomDaysWithHostsLostForGood(t *testing.T) {
	first := envInt(t, "GLADE_FIRST_LOST_DAY", 0)
	for seed := first; seed < first+envInt(t, "GLADE_LOST_DAYS", lostDaysInCI); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			runTest(t, 3, func(dep *deployment) {
				d := &lostDay{deployment: dep, random: rand.New(rand.NewPCG(uint64(seed), 13)), entriesStarted: 3}
				d.run()
			})
		})
	}
}

type lostDay struct {
	*deployment
	random *rand.Rand
	jobIDs []string
	// entriesStarted numbers the entry hosts, which are not always the same.
	entriesStarted int
	// lostAt is when a host was last lost or cut off, troubleAt when the last trouble ends.
	lostAt, troubleAt time.Time
}

const (
	lostDayTasks = 3
	lostDayJobs  = 3
)

func (d *lostDay) run() {
	for range 4 {
		d.addHost()
	}
	for range lostDayJobs {
		d.jobIDs = append(d.jobIDs, d.accept(d.entries["entry-1"], "day", longRunning(lostDayTasks)))
	}
	time.Sleep(5 * time.Second)
	for round := range lostDayRounds {
		for range 1 + d.random.IntN(4) {
			d.injectTrouble()
			time.Sleep(time.Duration(d.random.IntN(2500)) * time.Millisecond)
		}
		d.awaitTasks(round)
		time.Sleep(time.Duration(d.random.IntN(4000)) * time.Millisecond)
	}
}

// awaitTasks waits until all tasks run, at the latest until the platform counts one as
// lost.
func (d *lostDay) awaitTasks(round int) {
	d.t.Helper()
	deadline := d.lostAt.Add(maxAway)
	if calm := d.troubleAt.Add(maxAwayInCalm); calm.After(deadline) {
		deadline = calm
	}
	for {
		running := 0
		for _, id := range d.jobIDs {
			running += d.workers.Checker.Running(id)
		}
		if running == lostDayTasks*lostDayJobs && time.Now().After(d.troubleAt) {
			return
		}
		must.True(d.t, time.Now().Before(deadline), must.Sprintf("round %d: %d tasks run %s after the last host was lost, %s after the last trouble",
			round, running, time.Since(d.lostAt), time.Since(d.troubleAt)))
		time.Sleep(50 * time.Millisecond)
	}
}

// until notes a trouble that ends after length.
func (d *lostDay) until(length time.Duration) {
	if end := time.Now().Add(length); end.After(d.troubleAt) {
		d.troubleAt = end
	}
}

func (d *lostDay) injectTrouble() {
	length := time.Duration(500+d.random.IntN(4000)) * time.Millisecond
	switch d.random.IntN(9) {
	case 0, 1:
		d.loseHosts(1)
	case 2:
		d.loseHosts(3)
	case 3:
		d.crashHosts()
	case 4:
		d.cutOff(length)
	case 5:
		d.replaceHolder()
	case 6:
		d.restartHolder()
	case 7:
		d.failStore(length)
	default:
		d.until(length)
		d.fleet.SetFaults(emulate.FleetFaults{Down: true})
		time.AfterFunc(length, func() { d.fleet.SetFaults(emulate.FleetFaults{}) })
	}
}

func (d *lostDay) addHost() {
	d.fleet.Add("day", fmt.Sprintf("r%d", d.random.IntN(4)), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
}

// loseHosts loses hosts for good; others are added.
func (d *lostDay) loseHosts(count int) {
	refuses := d.random.IntN(2) == 0
	for range count {
		ids := d.workers.IDs("day")
		if len(ids) <= 4 {
			break
		}
		d.workers.Lose(ids[d.random.IntN(len(ids))], refuses)
		d.addHost()
	}
	d.lostAt = time.Now()
	d.until(0)
}

// crashHosts has up to half of the hosts crash at the same moment.
func (d *lostDay) crashHosts() {
	ids := d.workers.IDs("day")
	d.workers.Crash(ids[:min(len(ids), 1+d.random.IntN(max(1, len(ids)/2)))]...)
	d.lostAt = time.Now()
	d.until(0)
}

// cutOff has a host answer nobody for a while.
func (d *lostDay) cutOff(length time.Duration) {
	ids := d.workers.IDs("day")
	if len(ids) == 0 {
		return
	}
	id := ids[d.random.IntN(len(ids))]
	d.workers.SetFaults(id, emulate.HostFaults{Unresponsive: true})
	time.AfterFunc(length, func() { d.workers.SetFaults(id, emulate.HostFaults{}) })
	d.lostAt = time.Now()
	d.until(length)
}

// replaceHolder loses the pool's holder for good; another entry host takes its place.
func (d *lostDay) replaceHolder() {
	holder := d.holder("day")
	if holder == "" {
		return
	}
	d.kill(holder)
	d.entriesStarted++
	name, after := fmt.Sprintf("entry-%d", d.entriesStarted), time.Duration(d.random.IntN(3000))*time.Millisecond
	d.until(after)
	time.Sleep(after)
	d.start(name)
}

// restartHolder kills the pool's holder and starts it again a little later.
func (d *lostDay) restartHolder() {
	holder := d.holder("day")
	if holder == "" {
		return
	}
	d.kill(holder)
	after := time.Duration(d.random.IntN(4000)) * time.Millisecond
	d.until(after)
	time.Sleep(after)
	d.start(holder)
}

// failStore has the store fail for a while in one of three ways.
func (d *lostDay) failStore(length time.Duration) {
	d.until(length)
	switch d.random.IntN(3) {
	case 0:
		d.store.SetDown(true)
		time.AfterFunc(length, func() { d.store.SetDown(false) })
	case 1:
		d.store.LoseResponses(1 + d.random.IntN(4))
	default:
		d.store.DeleteKey("glade/live/claim/day")
	}
}
