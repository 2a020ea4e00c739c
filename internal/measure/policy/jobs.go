package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

// The jobs of a run arrive for arrivals and count as finished until jobsEnd.
// They load the pool's ten hosts to about a half; the users' letters say that
// declared sizes and run times are far off.
const (
	arrivals      = 90 * time.Minute
	jobsEnd       = 4 * time.Hour
	meanGap       = 80 * time.Second
	urgentEvery   = 3
	jobMedian     = 8 * time.Minute
	urgentRun     = 3 * time.Minute
	wrongBy       = 3.0
	failsAfter    = 2 * time.Second
	saveRate      = 4 << 10 // MB a second that a checkpoint writes.
	hostCPU       = 16_000
	hostMemory    = 32 << 10
	neverRunnable = 20
)

// job is one job's truth.
type job struct {
	name    string
	at      time.Duration
	spec    record.Job
	truth   record.Resources
	run     time.Duration
	pending []int
	// done counts its finished tasks, left is what each has yet to run.
	done      int
	left      map[int]time.Duration
	startedAt time.Duration
	hopeless  bool
}

// task is one task on a worker.
type task struct {
	placement.Task
	job    *job
	began  time.Duration
	ends   time.Duration
	leaves time.Duration
	fails  bool
}

// workload is the fakes of one run's jobs.
type workload struct {
	pool  string
	jobs  []*job
	tasks []*task
	// blackHole fails everything it starts.
	blackHole string
	learned   placement.Estimator
	blame     placement.FailureTracker
	judged    map[string]time.Duration
	started   int
}

// newWorkload draws the jobs of a run for the pool that takes them.
func newWorkload(rng *rand.Rand, pool string) *workload {
	l := &workload{pool: pool, judged: make(map[string]time.Duration)}
	for at := time.Duration(0); at < arrivals; {
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		l.jobs = append(l.jobs, drawJob(rng, len(l.jobs), at, pool))
	}
	return l
}

func drawJob(rng *rand.Rand, n int, at time.Duration, pool string) *job {
	j := &job{
		name: fmt.Sprintf("job-%04d", n), at: at, left: make(map[int]time.Duration),
		truth: record.Resources{MilliCPU: 1000 * (1 + rng.IntN(4)), MemoryMB: 1024 * (1 + rng.IntN(8))},
		run:   time.Duration(float64(jobMedian) * math.Exp(0.7*rng.NormFloat64())),
	}
	j.spec = record.Job{Pool: pool, Team: "clearance", Tasks: 1 + rng.IntN(3), Priority: record.PriorityNormal}
	switch {
	case n%urgentEvery == 0:
		j.spec.Tasks, j.spec.Priority = 1, record.PriorityUrgent
		j.run = time.Duration(float64(urgentRun) * math.Exp(0.5*rng.NormFloat64()))
	case n%neverRunnable == 1:
		j.hopeless = true
		j.truth.MemoryMB = 2 * hostMemory
	case n%4 == 1:
		j.spec.Priority = record.PriorityLow
	}
	off := math.Pow(wrongBy, 2*rng.Float64()-1)
	j.spec.Resources = record.Resources{
		MilliCPU: int(float64(j.truth.MilliCPU) * off), MemoryMB: int(float64(j.truth.MemoryMB) * off),
	}
	if j.hopeless {
		j.spec.Resources = j.truth
	}
	j.spec.ExpectedSeconds = int(j.run.Seconds() / off)
	for i := range j.spec.Tasks {
		j.pending = append(j.pending, i)
		j.left[i] = j.run
	}
	return j
}

// holdBack lets jobs that would come while the store is away come after it:
// nothing can accept their records before.
func (l *workload) holdBack(from, to time.Duration) {
	for _, j := range l.jobs {
		if j.at >= from && j.at < to {
			j.at = to
		}
	}
}

// place is one round of the jobs: what ends by itself, then the plan.
func (l *workload) place(w *world, steady bool) {
	l.end(w)
	plan := placement.MakePlan(l.input(w, steady))
	for _, act := range plan.Actions {
		l.tell(w, act)
	}
	for _, start := range plan.Starts {
		l.start(w, start)
	}
}

func (l *workload) input(w *world, drainKnown bool) placement.Input {
	input := placement.Input{Workers: l.workers(w, drainKnown)}
	for _, j := range l.jobs {
		if j.at > w.now || len(j.pending) == 0 {
			continue
		}
		size, run := l.learned.Estimate(j.name, &j.spec)
		input.Jobs = append(input.Jobs, placement.Job{
			Name: j.name, Spec: &j.spec, Pending: j.pending, Resources: size, RunTime: run,
			MinResources: l.learned.MinResources(j.name, &j.spec), Age: w.now - j.at, FaultReason: l.blame.FaultyJobs[j.name],
		})
	}
	for _, t := range l.tasks {
		t.RanFor = w.now - t.began
		input.Tasks = append(input.Tasks, t.Task)
	}
	return input
}

func (l *workload) workers(w *world, drainKnown bool) []placement.Worker {
	var workers []placement.Worker
	for _, h := range w.hosts {
		if !h.known || h.record.Pool != l.pool {
			continue
		}
		_, visited := h.record.WaveOutcomes[waveName]
		worker := placement.Worker{
			Name: h.Name, Capacity: record.Resources{MilliCPU: hostCPU, MemoryMB: hostMemory},
			Ready: w.available(h), Draining: !h.record.TakesWork(), DrainSoon: drainKnown && !visited,
		}
		if out, after := l.blame.Quarantined(h.Name); out {
			worker.QuarantineReason = "it failed several good jobs"
			worker.Probe = w.now-l.judged[h.Name] >= after
		}
		workers = append(workers, worker)
	}
	return workers
}

func (l *workload) start(w *world, s placement.Start) {
	i := slices.IndexFunc(l.jobs, func(j *job) bool { return j.name == s.Job })
	j, h := l.jobs[i], w.byName[s.Host]
	if l.waits(s.WaitFor) || !h.up {
		return
	}
	j.pending = slices.DeleteFunc(j.pending, func(index int) bool { return index == s.Index })
	if j.startedAt == 0 {
		j.startedAt = w.now
	}
	if out, _ := l.blame.Quarantined(s.Host); out {
		l.blame.ProbeStarted(s.Host)
		l.judged[s.Host] = w.now
	}
	l.started++
	t := &task{job: j, began: w.now, ends: w.now + j.left[s.Index], Task: placement.Task{
		ID: fmt.Sprintf("task-%d", l.started), Job: j.name, Team: j.spec.Team, Host: s.Host, Index: s.Index,
		Resources: s.Resources, Priority: j.spec.Priority,
	}}
	if s.Host == l.blackHole || s.Resources.MemoryMB < j.truth.MemoryMB {
		t.fails, t.ends = true, w.now+failsAfter
	}
	l.tasks = append(l.tasks, t)
}

// waits reports whether a task that must make room first is still there.
func (l *workload) waits(after []string) bool {
	return slices.ContainsFunc(l.tasks, func(t *task) bool { return !t.Throttled && slices.Contains(after, t.ID) })
}

func (l *workload) tell(w *world, act placement.Action) {
	for _, t := range l.tasks {
		if t.ID != act.Task || t.Terminating {
			continue
		}
		switch act.Verb {
		case placement.Throttle, placement.Unthrottle:
			t.throttle(w.now, act.Verb == placement.Throttle)
		default:
			t.Terminating = true
			t.leaves = w.now + time.Duration(float64(t.job.truth.MemoryMB)/saveRate*float64(time.Second))
		}
	}
}

// peak is what a worker reports: a task uses no more processors than it has.
func (t *task) peak() record.Resources {
	peak := t.job.truth
	peak.MilliCPU = min(peak.MilliCPU, t.Resources.MilliCPU)
	return peak
}

// throttle makes a task run at a quarter of its speed, or at all of it again.
func (t *task) throttle(now time.Duration, on bool) {
	if t.Throttled == on || t.fails {
		return
	}
	t.Throttled = on
	if left := t.ends - now; on {
		t.ends = now + 4*left
	} else {
		t.ends = now + left/4
	}
}

// end lets tasks end that are done, that failed, that made room, and that lost
// their host.
func (l *workload) end(w *world) {
	l.tasks = slices.DeleteFunc(l.tasks, func(t *task) bool {
		h := w.byName[t.Host]
		switch {
		case !h.up || h.record.Phase == hostrecord.Rebooting:
			t.job.pending = append(t.job.pending, t.Index)
		case t.fails && t.ends <= w.now:
			l.failed(w, t)
		case t.ends <= w.now:
			t.job.done++
			l.learned.ObserveFinished(t.Job, &t.job.spec, t.Resources, t.peak(), t.job.run)
			l.blame.RecordSuccess(t.Job, t.Host)
		case t.Terminating && t.leaves <= w.now:
			t.job.left[t.Index] = t.ends - w.now
			t.job.pending = append(t.job.pending, t.Index)
		default:
			return false
		}
		return true
	})
}

func (l *workload) failed(w *world, t *task) {
	t.job.pending = append(t.job.pending, t.Index)
	l.judged[t.Host] = w.now
	if t.Host != l.blackHole {
		l.learned.ObserveOutOfMemory(t.Job, &t.job.spec, t.Resources)
		return
	}
	l.blame.RecordFailure(t.Job, t.Host, "failed at once")
}

// inFlight counts the tasks on a host.
func (l *workload) inFlight(host string) int {
	n := 0
	for _, t := range l.tasks {
		if t.Host == host {
			n++
		}
	}
	return n
}

// next is when something of the jobs changes by itself.
func (l *workload) next(now time.Duration, sooner func(time.Duration)) {
	for _, t := range l.tasks {
		sooner(t.ends)
		sooner(t.leaves)
	}
	for _, j := range l.jobs {
		if j.at > now {
			sooner(j.at)
		}
	}
}

// figures returns the share of runnable jobs that finished and the 99th
// percentile of how long urgent ones took to start. One that never started
// counts with all the time it waited.
func (l *workload) figures(end time.Duration) (finished, urgentP99 float64) {
	total, done := 0, 0
	var waits []float64
	for _, j := range l.jobs {
		if j.hopeless {
			continue
		}
		total++
		if j.done == j.spec.Tasks {
			done++
		}
		if j.spec.Priority != record.PriorityUrgent {
			continue
		}
		started := j.startedAt
		if started == 0 {
			started = end
		}
		waits = append(waits, (started - j.at).Seconds())
	}
	if len(waits) == 0 {
		return 1, 0
	}
	slices.Sort(waits)
	return float64(done) / float64(total), waits[len(waits)*99/100]
}
