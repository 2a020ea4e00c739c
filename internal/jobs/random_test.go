package jobs

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// seedsVariable sets the number of random runs; the default is ciSeeds.
const seedsVariable = "GLADE_SEEDS"

const (
	ciSeeds     = 6
	faultPeriod = 10 * time.Minute
)

// Ten minutes of random faults: controllers stop or act as owner after their lease
// expired; hosts crash, become unreachable or drain; the store is unavailable; the
// store and workers lose responses; jobs are submitted, urgent, cancelled or use
// more than declared. By the workers' count, no task may run twice concurrently and
// no team may exceed its quota. After the faults every job not cancelled finishes.
func TestRandomFaults(t *testing.T) {
	seeds := ciSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newRandomRun(t, uint64(seed)).run() })
		})
	}
}

type randomRun struct {
	*testCluster
	random        *rand.Rand
	controllers   []*controller
	pools         []string
	poolOf        map[string]string
	jobs          map[string]*record.Job
	quota         record.Resources
	quotaExceeded string
	ended         chan struct{}
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	r := &randomRun{
		random: rand.New(rand.NewPCG(seed, 1)), pools: []string{"p", "q"}, poolOf: make(map[string]string),
		jobs: make(map[string]*record.Job), quota: amount(9000, 9000), ended: make(chan struct{}),
	}
	r.testCluster = newTestCluster(t, 8, amount(4000, 4000), r.behave)
	r.pool("p", r.hosts[:4]...)
	r.pool("q", r.hosts[4:]...)
	for i, host := range r.hosts {
		r.poolOf[host] = r.pools[i/4]
	}
	r.put("limited", &record.Quota{Team: "limited", Resources: r.quota})
	return r
}

// behave derives a task's behaviour from its job's name: some jobs use twice what
// they declared, and all run longer or shorter than declared.
func (r *randomRun) behave(task fleet.Task) fakeworkers.Behaviour {
	number, _ := strconv.Atoi(task.Job[1:])
	return fakeworkers.Behaviour{
		Used: amount(400, 400+number%3*500), Work: time.Duration(3+number*7%40) * time.Second,
	}
}

func (r *randomRun) run() {
	r.controllers = []*controller{r.start(), r.start()}
	r.t.Cleanup(func() { close(r.ended) })
	go r.watchQuota()
	for began := time.Now(); time.Since(began) < faultPeriod; {
		r.randomEvent()
		time.Sleep(time.Duration(r.random.IntN(8000)) * time.Millisecond)
	}
	r.endFaults()
	r.within(30*time.Minute, "every job finishes", r.finished)
	r.finish(r.controllers...)
	must.Eq(r.t, "", r.quotaExceeded)
}

func (r *randomRun) watchQuota() {
	for {
		cpu, mem := r.workers.Allocated(func(job string) bool { return r.team(job) == "limited" })
		if cpu > r.quota.MilliCPU || mem > r.quota.MemoryMB {
			r.quotaExceeded = fmt.Sprintf("team holds %d mCPU, %d MB", cpu, mem)
		}
		select {
		case <-r.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// team assigns every second job, by its name, to the team with a quota.
func (r *randomRun) team(job string) string {
	if (job[len(job)-1]-'0')%2 == 0 {
		return "limited"
	}
	return "free"
}

func (r *randomRun) randomEvent() {
	host := r.hosts[r.random.IntN(len(r.hosts))]
	duration := time.Duration(1+r.random.IntN(40)) * time.Second
	switch r.random.IntN(12) {
	case 0:
		r.fleet.Crash(host, duration)
	case 1:
		r.workers.SetUnreachable(host, true)
		time.AfterFunc(duration, func() { r.workers.SetUnreachable(host, false) })
	case 2:
		r.store.SetDown(true)
		time.AfterFunc(duration, func() { r.store.SetDown(false) })
	case 3:
		r.store.SetResponseLossRate(0.2, r.random.Uint64())
	case 4:
		r.workers.SetResponseLossRate(0.2, r.random.Uint64())
	case 5:
		r.replaceController()
	case 6:
		lapsed := r.controllers[r.random.IntN(len(r.controllers))]
		lapsed.forceOwned.Store(true)
		time.AfterFunc(duration, func() { lapsed.forceOwned.Store(false) })
	case 7:
		go r.drain(host, duration)
	case 8:
		r.cancel()
	default:
		r.submit()
	}
}

func (r *randomRun) replaceController() {
	i := r.random.IntN(len(r.controllers))
	r.controllers[i].stop()
	r.controllers[i] = r.start()
}

func (r *randomRun) drain(host string, duration time.Duration) {
	r.phase(host, r.poolOf[host], hostrecord.Draining)
	time.Sleep(duration)
	r.phase(host, r.poolOf[host], hostrecord.Serving)
}

func (r *randomRun) submit() {
	name := fmt.Sprintf("j%d", len(r.jobs))
	job := &record.Job{
		Pool: r.pools[r.random.IntN(2)], Team: r.team(name), Tasks: 1 + r.random.IntN(6),
		Resources: amount(200+r.random.IntN(2500), 200+r.random.IntN(2500)), ExpectedSeconds: 1 + r.random.IntN(100),
		Priority: []record.Priority{"", record.PriorityLow, record.PriorityUrgent}[r.random.IntN(3)],
	}
	r.jobs[name] = job
	r.put(name, job)
}

func (r *randomRun) cancel() {
	if len(r.jobs) == 0 {
		return
	}
	name := fmt.Sprintf("j%d", r.random.IntN(len(r.jobs)))
	r.jobs[name].Cancelled = true
	r.put(name, r.jobs[name])
}

func (r *randomRun) endFaults() {
	time.Sleep(time.Minute)
	r.store.SetDown(false)
	r.store.SetResponseLossRate(0, 1)
	r.workers.SetResponseLossRate(0, 1)
	for _, c := range r.controllers {
		c.forceOwned.Store(false)
	}
	for _, host := range r.hosts {
		r.workers.SetUnreachable(host, false)
		r.phase(host, r.poolOf[host], hostrecord.Serving)
	}
}

func (r *randomRun) finished() bool {
	for name, job := range r.jobs {
		state := r.state(job.Pool).Jobs[name]
		if !job.Cancelled && (state == nil || state.Done.Count() < taskCount(job)) {
			return false
		}
	}
	return true
}
