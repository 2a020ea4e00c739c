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

// seedsVariable asks for more random runs than CI makes.
const seedsVariable = "GLADE_SEEDS"

const (
	ciSeeds = 6
	turmoil = 10 * time.Minute
)

// Ten minutes of everything at once: controllers end, or go on as holders
// after their lease has lapsed; hosts crash, are cut off, or drain; the store
// is away or loses answers, and so do workers; jobs come, are urgent, are
// cancelled, use more than they declared. At no moment may a task run twice at
// once or a team hold more than its quota, by the workers' own count. Once it
// is quiet again every job that wasn't cancelled finishes.
func TestTurmoil(t *testing.T) {
	seeds := ciSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newTurmoil(t, uint64(seed)).run() })
		})
	}
}

type turmoilRun struct {
	*bench
	random      *rand.Rand
	controllers []*controller
	pools       []string
	poolOf      map[string]string
	jobs        map[string]*record.Job
	quota       record.Resources
	over        string
	ended       chan struct{}
}

func newTurmoil(t *testing.T, seed uint64) *turmoilRun {
	r := &turmoilRun{
		random: rand.New(rand.NewPCG(seed, 1)), pools: []string{"p", "q"}, poolOf: make(map[string]string),
		jobs: make(map[string]*record.Job), quota: amount(9000, 9000), ended: make(chan struct{}),
	}
	r.bench = newBench(t, 8, amount(4000, 4000), r.behave)
	r.pool("p", r.hosts[:4]...)
	r.pool("q", r.hosts[4:]...)
	for i, host := range r.hosts {
		r.poolOf[host] = r.pools[i/4]
	}
	r.put("limited", &record.Quota{Team: "limited", Resources: r.quota})
	return r
}

// behave draws what a task does from its name alone: some jobs use twice what
// they declared, and all run longer or shorter than they said.
func (r *turmoilRun) behave(task fleet.Task) fakeworkers.Behaviour {
	number, _ := strconv.Atoi(task.Job[1:])
	return fakeworkers.Behaviour{
		Used: amount(400, 400+number%3*500), Work: time.Duration(3+number*7%40) * time.Second,
	}
}

func (r *turmoilRun) run() {
	r.controllers = []*controller{r.start(), r.start()}
	r.t.Cleanup(func() { close(r.ended) })
	go r.watchQuota()
	for began := time.Now(); time.Since(began) < turmoil; {
		r.event()
		time.Sleep(time.Duration(r.random.IntN(8000)) * time.Millisecond)
	}
	r.calm()
	r.within(30*time.Minute, "every job finishes", r.finished)
	r.finish(r.controllers...)
	must.Eq(r.t, "", r.over)
}

func (r *turmoilRun) watchQuota() {
	for {
		cpu, mem := r.workers.Allocated(func(job string) bool { return r.team(job) == "limited" })
		if cpu > r.quota.MilliCPU || mem > r.quota.MemoryMB {
			r.over = fmt.Sprintf("team holds %d mCPU, %d MB", cpu, mem)
		}
		select {
		case <-r.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// team gives every second job to the team with a quota, by its name.
func (r *turmoilRun) team(job string) string {
	if (job[len(job)-1]-'0')%2 == 0 {
		return "limited"
	}
	return "free"
}

func (r *turmoilRun) event() {
	host := r.hosts[r.random.IntN(len(r.hosts))]
	brief := time.Duration(1+r.random.IntN(40)) * time.Second
	switch r.random.IntN(12) {
	case 0:
		r.fleet.Crash(host, brief)
	case 1:
		r.workers.SetUnreachable(host, true)
		time.AfterFunc(brief, func() { r.workers.SetUnreachable(host, false) })
	case 2:
		r.store.SetDown(true)
		time.AfterFunc(brief, func() { r.store.SetDown(false) })
	case 3:
		r.store.SetResponseLossRate(0.2, r.random.Uint64())
	case 4:
		r.workers.SetResponseLossRate(0.2, r.random.Uint64())
	case 5:
		r.replaceController()
	case 6:
		lapsed := r.controllers[r.random.IntN(len(r.controllers))]
		lapsed.unaware.Store(true)
		time.AfterFunc(brief, func() { lapsed.unaware.Store(false) })
	case 7:
		go r.drain(host, brief)
	case 8:
		r.cancel()
	default:
		r.submit()
	}
}

func (r *turmoilRun) replaceController() {
	i := r.random.IntN(len(r.controllers))
	r.controllers[i].stop()
	r.controllers[i] = r.start()
}

func (r *turmoilRun) drain(host string, away time.Duration) {
	r.phase(host, r.poolOf[host], hostrecord.Draining)
	time.Sleep(away)
	r.phase(host, r.poolOf[host], hostrecord.Serving)
}

func (r *turmoilRun) submit() {
	name := fmt.Sprintf("j%d", len(r.jobs))
	job := &record.Job{
		Pool: r.pools[r.random.IntN(2)], Team: r.team(name), Tasks: 1 + r.random.IntN(6),
		Resources: amount(200+r.random.IntN(2500), 200+r.random.IntN(2500)), ExpectedSeconds: 1 + r.random.IntN(100),
		Priority: []record.Priority{"", record.PriorityLow, record.PriorityUrgent}[r.random.IntN(3)],
	}
	r.jobs[name] = job
	r.put(name, job)
}

func (r *turmoilRun) cancel() {
	if len(r.jobs) == 0 {
		return
	}
	name := fmt.Sprintf("j%d", r.random.IntN(len(r.jobs)))
	r.jobs[name].Cancelled = true
	r.put(name, r.jobs[name])
}

func (r *turmoilRun) calm() {
	time.Sleep(time.Minute)
	r.store.SetDown(false)
	r.store.SetResponseLossRate(0, 1)
	r.workers.SetResponseLossRate(0, 1)
	for _, c := range r.controllers {
		c.unaware.Store(false)
	}
	for _, host := range r.hosts {
		r.workers.SetUnreachable(host, false)
		r.phase(host, r.poolOf[host], hostrecord.Serving)
	}
}

func (r *turmoilRun) finished() bool {
	for name, job := range r.jobs {
		state := r.state(job.Pool).Jobs[name]
		if !job.Cancelled && (state == nil || state.Done.Count() < taskCount(job)) {
			return false
		}
	}
	return true
}
