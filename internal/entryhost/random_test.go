package entryhost_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
)

// daysInCI are the days that every run plays; GLADE_DAYS and GLADE_FIRST_DAY
// choose others by hand.
const daysInCI = 40

// brokeOnce are days that broke a rule before what broke it was mended.
var brokeOnce = []int{894, 963, 1003, 1105, 1614, 1829, 2319, 3004}

// Short days of random jobs with random trouble, several at a time: entry hosts
// die and come back, the store goes down or loses answers, claims vanish, hosts
// fall silent, carry orders out late, fail all or die, jobs are cancelled, and
// waves come. No rule may break, and every accepted job that can be done is
// shown as done in the end.
func TestRandomDays(t *testing.T) {
	first, days := setting(t, "GLADE_FIRST_DAY", 0), setting(t, "GLADE_DAYS", daysInCI)
	var seeds []int
	for seed := first; seed < first+days; seed++ {
		seeds = append(seeds, seed)
	}
	if days == daysInCI {
		seeds = append(seeds, brokeOnce...)
	}
	for _, seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			play(t, 3, func(w *world) { newDay(w, uint64(seed)).run() })
		})
	}
}

// slowDaysInCI are the days that every run plays with a slow store.
const slowDaysInCI = 12

// The same days with a store that takes a quarter of a second for each answer,
// so that pools store on several lanes while their holders die, claims vanish
// and answers are lost. GLADE_FIRST_SLOW_DAY and GLADE_SLOW_DAYS choose others.
func TestRandomDaysInASlowStore(t *testing.T) {
	playDays(t, setting(t, "GLADE_FIRST_SLOW_DAY", 0), setting(t, "GLADE_SLOW_DAYS", slowDaysInCI), func(d *day, _ int) {
		d.store.SetLatency(250 * time.Millisecond)
	})
}

// A day on which a task started after its success was noted, in some 8 of 100
// plays. A host can't be heard until its hold has ended; its task is ordered
// elsewhere, without an answer; the host is heard and tells that the task was
// done; and the unanswered order went out again all the same.
func TestRandomDayWithARepeatedStart(t *testing.T) {
	playDays(t, 3598, 1, func(d *day, seed int) {
		d.grown = rand.New(rand.NewPCG(uint64(seed), 9))
	})
}

// carriedDaysInCI are the days with carriers that every run plays.
const carriedDaysInCI = 24

// The days of large sites with pools that no entry host can call by itself:
// each call goes through a carrier, and carriers die, come back and are cut off
// with calls and answers under way, while pools change their holders.
// GLADE_FIRST_CARRIED_DAY and GLADE_CARRIED_DAYS choose others.
func TestRandomDaysWithCarriers(t *testing.T) {
	playDaysWith(t, setting(t, "GLADE_FIRST_CARRIED_DAY", 0), setting(t, "GLADE_CARRIED_DAYS", carriedDaysInCI), oneHostPerEntry, func(d *day, seed int) {
		d.grown = rand.New(rand.NewPCG(uint64(seed), 9))
	})
}

// oneHostPerEntry lets an entry host of the world call one host by itself.
const oneHostPerEntry carrier.HostsPerCore = 2.5

// playDays plays days of which prepare makes something other than usual.
func playDays(t *testing.T, first, count int, prepare func(d *day, seed int)) {
	playDaysWith(t, first, count, 0, prepare)
}

func playDaysWith(t *testing.T, first, count int, strength carrier.HostsPerCore, prepare func(d *day, seed int)) {
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			playWith(t, 3, strength, func(w *world) {
				d := newDay(w, uint64(seed))
				prepare(d, seed)
				d.run()
			})
		})
	}
}

// grownDaysInCI are the days of large sites that every run plays.
const grownDaysInCI = 12

// Days with the further troubles of large sites on top: hosts go down and up by
// turns, leave holds unanswered or turn slow several at a time, the store is slow
// or turns everyone away for a while, and entry hosts go one after the other.
// None fails all that it starts: jobs may then fail for good, by their attempts.
// GLADE_FIRST_GROWN_DAY and GLADE_GROWN_DAYS choose others.
func TestRandomDaysOfLargeSites(t *testing.T) {
	playDays(t, setting(t, "GLADE_FIRST_GROWN_DAY", 0), setting(t, "GLADE_GROWN_DAYS", grownDaysInCI), func(d *day, seed int) {
		d.grown = rand.New(rand.NewPCG(uint64(seed), 9))
	})
}

// harmfulDaysInCI are the days with tasks that crash hosts that every run plays.
const harmfulDaysInCI = 24

// The days of large sites with jobs whose task crashes each host that starts it, and
// hosts that shrink and grow. None of these tasks may be started for ever, and no
// job may be given up for them under which fewer than two hosts crashed. GLADE_FIRST_HARMFUL_DAY and GLADE_HARMFUL_DAYS
// choose others.
func TestRandomDaysWithHarmfulTasks(t *testing.T) {
	playDays(t, setting(t, "GLADE_FIRST_HARMFUL_DAY", 0), setting(t, "GLADE_HARMFUL_DAYS", harmfulDaysInCI), func(d *day, seed int) {
		d.grown = rand.New(rand.NewPCG(uint64(seed), 9))
		d.harm = rand.New(rand.NewPCG(uint64(seed), 10))
	})
}

func setting(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	must.NoError(t, err)
	return value
}

type day struct {
	*world
	random *rand.Rand
	// manners draws what was added to jobs later: the other draws of a day
	// stay as they were.
	manners *rand.Rand
	// grown draws the further troubles of large sites, nil for none.
	grown *rand.Rand
	// harm draws the jobs that crash hosts and the hosts that shrink, nil for none.
	harm     *rand.Rand
	accepted map[string]string
	lasting  map[string]string
	gone     map[string]bool
}

func newDay(w *world, seed uint64) *day {
	return &day{
		world: w, random: rand.New(rand.NewPCG(seed, 7)), manners: rand.New(rand.NewPCG(seed, 8)), accepted: make(map[string]string),
		lasting: make(map[string]string), gone: make(map[string]bool),
	}
}

const dayLength = 25 * time.Second

func (d *day) run() {
	d.demandWave()
	for began := time.Now(); time.Since(began) < dayLength; {
		if d.random.Float64() < 0.15 {
			d.trouble()
		}
		if d.harm != nil && d.harm.IntN(6) == 0 {
			d.shrink()
		}
		d.submit()
		time.Sleep(time.Duration(d.random.IntN(400)) * time.Millisecond)
	}
	d.heal()
	time.Sleep(25 * time.Second)
	e := d.any()
	for id, pool := range d.accepted {
		if !d.workers.Checker.MayGiveUp(id) {
			d.done(e, pool, id, 30*time.Second)
		}
	}
	for id, pool := range d.lasting {
		must.EqOp(d.t, 2, d.workers.Checker.Running(id), must.Sprintf("lasting job %s of %s", id, pool))
	}
}

// any returns some entry host; the order of a map must not decide a day.
func (d *day) any() *entry {
	for {
		if e := d.entries[nodes[d.random.IntN(len(nodes))]]; e != nil {
			return e
		}
	}
}

func (d *day) pool() string {
	if d.random.IntN(2) == 0 {
		return "day"
	}
	return "night"
}

func (d *day) submit() {
	pool := d.pool()
	var steps []work.Step
	for range 1 + d.random.IntN(3) {
		s := work.Step{
			Count:     1 + d.random.IntN(5),
			Resources: work.Resources{MilliCPU: 500 + d.random.IntN(4000), MemMB: 100 + d.random.IntN(4000)},
			Estimate:  time.Duration(200+d.random.IntN(1200)) * time.Millisecond,
			Gang:      d.random.IntN(6) == 0, Checkpoint: d.random.IntN(2) == 0, MaxPerHost: d.random.IntN(3),
		}
		if len(steps) > 0 {
			s.After = []int{len(steps) - 1}
		}
		if s.MaxPerHost > 0 || s.Gang {
			s.Count = min(s.Count, 3)
		}
		s.Speculative = !s.Gang && d.manners.IntN(3) == 0
		steps = append(steps, s)
	}
	isLasting := len(d.lasting) < 2 && d.random.IntN(8) == 0
	if isLasting {
		steps = []work.Step{lasting(2)}
	}
	record := d.record(pool, steps...)
	record.Queue.Priority = d.manners.IntN(3)
	harmful := d.harm != nil && !isLasting && d.harm.IntN(12) == 0
	if harmful {
		d.harmful(record.ID)
	}
	if d.any().Jobs.SubmitJob(d.ctx, record) != poolmanager.Stored {
		return
	}
	switch {
	case harmful:
	case isLasting:
		d.lasting[record.ID] = pool
	case d.random.IntN(10) == 0:
		d.cancel(pool, record.ID)
	default:
		d.accepted[record.ID] = pool
	}
}

func (d *day) cancel(pool, id string) {
	time.Sleep(time.Duration(d.random.IntN(600)) * time.Millisecond)
	if d.any().Jobs.CancelJob(d.ctx, pool, id) == poolmanager.Stored {
		d.workers.Checker.Cancelled(id)
	}
}

func (d *day) demandWave() {
	hosts, err := d.fleet.List(d.ctx)
	must.NoError(d.t, err)
	wave := hostmanager.Wave{Number: 1, TimeLimit: 40 * time.Second, MaxDown: 2}
	for _, h := range hosts {
		if d.random.IntN(2) == 0 {
			wave.Hosts = append(wave.Hosts, h.Name)
		}
	}
	d.demand(wave)
}

// trouble makes one thing go wrong for a while.
func (d *day) trouble() {
	if d.grown != nil && d.grown.IntN(2) == 0 {
		d.grownTrouble()
		return
	}
	switch d.random.IntN(7) {
	case 0:
		d.killEntry()
	case 1:
		d.store.SetDown(true)
		time.AfterFunc(time.Duration(d.random.IntN(4000))*time.Millisecond, func() { d.store.SetDown(false) })
	case 2:
		d.store.LoseResponses(1 + d.random.IntN(4))
	case 3:
		d.store.Drop("glade/live/claim/" + d.pool())
	case 4:
		d.fleet.SetFaults(emulate.FleetFaults{LoseResponses: d.random.IntN(3)})
	default:
		d.hostTrouble()
	}
}

// grownTrouble makes one of the troubles of large sites.
func (d *day) grownTrouble() {
	length := time.Duration(500+d.grown.IntN(4000)) * time.Millisecond
	switch d.grown.IntN(6) {
	case 0:
		d.store.SetLatency(time.Duration(50+d.grown.IntN(300)) * time.Millisecond)
		time.AfterFunc(length, func() { d.store.SetLatency(0) })
	case 1:
		d.store.SetThrottled(true)
		time.AfterFunc(length, func() { d.store.SetThrottled(false) })
	case 2:
		d.flap(length)
	case 3:
		d.spell(emulate.HostFaults{HeartbeatLossRate: 0.2, DelayRate: 0.1}, 3, length)
	case 4:
		d.spell(emulate.HostFaults{SlowFactor: 6}, 2, length)
	default:
		d.killEntry()
		d.killEntry()
	}
}

// shrink lets a host have less for a while.
func (d *day) shrink() {
	ids := d.workers.IDs([]string{"day", "night"}[d.harm.IntN(2)])
	if len(ids) == 0 {
		return
	}
	id := ids[d.harm.IntN(len(ids))]
	d.workers.Resize(id, work.Resources{MilliCPU: 1000 + d.harm.IntN(12_000), MemMB: 1000 + d.harm.IntN(24_000)})
	time.AfterFunc(time.Duration(500+d.harm.IntN(9000))*time.Millisecond, func() {
		d.workers.Resize(id, work.Resources{MilliCPU: 16_000, MemMB: 32_000})
	})
}

// someHost draws a host of a pool.
func (d *day) someHost() string {
	ids := d.workers.IDs([]string{"day", "night"}[d.grown.IntN(2)])
	if len(ids) == 0 {
		return ""
	}
	return ids[d.grown.IntN(len(ids))]
}

// spell makes some hosts behave badly for a while.
func (d *day) spell(b emulate.HostFaults, count int, length time.Duration) {
	for range count {
		d.misbehave(d.someHost(), b, 0, length)
	}
}

func (d *day) misbehave(id string, b emulate.HostFaults, after, length time.Duration) {
	time.AfterFunc(after, func() { d.workers.SetFaults(id, b) })
	time.AfterFunc(after+length, func() { d.workers.SetFaults(id, emulate.HostFaults{}) })
}

// flap has one host go dark and come back by turns.
func (d *day) flap(length time.Duration) {
	const turn = 700 * time.Millisecond
	id := d.someHost()
	for at := time.Duration(0); at < length; at += 2 * turn {
		d.misbehave(id, emulate.HostFaults{Unresponsive: true}, at, turn)
	}
}

func (d *day) killEntry() {
	e := d.any()
	if len(d.entries) == 1 {
		return
	}
	node := e.address
	d.kill(node)
	time.Sleep(time.Duration(d.random.IntN(1500)) * time.Millisecond)
	d.start(node)
}

func (d *day) hostTrouble() {
	ids := d.workers.IDs(d.pool())
	if len(ids) == 0 {
		return
	}
	id := ids[d.random.IntN(len(ids))]
	behaviors := []emulate.HostFaults{{Unresponsive: true}, {DelayRate: 0.4}, {Stuck: true}, {SlowFactor: 4}}
	d.workers.SetFaults(id, behaviors[d.random.IntN(len(behaviors))])
	time.AfterFunc(time.Duration(1000+d.random.IntN(6000))*time.Millisecond, func() { d.workers.SetFaults(id, emulate.HostFaults{}) })
}

func (d *day) heal() {
	time.Sleep(7 * time.Second)
	d.store.SetDown(false)
	d.store.SetLatency(0)
	d.store.SetThrottled(false)
	d.fleet.SetFaults(emulate.FleetFaults{})
}
