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

// The jobs of a run arrive during arrivalPeriod and count as finished until jobsEnd.
// They use about half of the capacity of the pool's ten hosts. Declared resources
// and run times are wrong by up to a factor of maxDeclarationError, as the
// declarations of users are far off.
const (
	arrivalPeriod       = 90 * time.Minute
	jobsEnd             = 4 * time.Hour
	meanInterarrival    = 80 * time.Second
	urgentEvery         = 3
	medianRunTime       = 8 * time.Minute
	medianUrgentRunTime = 3 * time.Minute
	maxDeclarationError = 3.0
	failureDelay        = 2 * time.Second
	checkpointRate      = 4 << 10 // MB per second that a checkpoint writes.
	hostCPU             = 16_000
	hostMemory          = 32 << 10
	neverFitsEvery      = 20
)

// job is a job with its actual resource use and run time.
type job struct {
	name      string
	arrivesAt time.Duration
	spec      record.Job
	actual    record.Resources
	runTime   time.Duration
	pending   []int
	// done is the number of finished tasks, left the remaining run time of each task.
	done      int
	left      map[int]time.Duration
	startedAt time.Duration
	neverFits bool
}

// task is a running task on a worker.
type task struct {
	placement.Task
	job         *job
	startedAt   time.Duration
	endsAt      time.Duration
	preemptedAt time.Duration
	fails       bool
}

// workload simulates the jobs of one run.
type workload struct {
	pool  string
	jobs  []*job
	tasks []*task
	// faultyHost is the host on which every task fails.
	faultyHost string
	estimator  placement.Estimator
	failures   placement.FailureTracker
	checkedAt  map[string]time.Duration
	started    int
}

// newWorkload draws the jobs of a run, which all run in pool.
func newWorkload(rng *rand.Rand, pool string) *workload {
	l := &workload{pool: pool, checkedAt: make(map[string]time.Duration)}
	for at := time.Duration(0); at < arrivalPeriod; {
		at += time.Duration(rng.ExpFloat64() * float64(meanInterarrival))
		l.jobs = append(l.jobs, drawJob(rng, len(l.jobs), at, pool))
	}
	return l
}

func drawJob(rng *rand.Rand, n int, at time.Duration, pool string) *job {
	j := &job{
		name: fmt.Sprintf("job-%04d", n), arrivesAt: at, left: make(map[int]time.Duration),
		actual:  record.Resources{MilliCPU: 1000 * (1 + rng.IntN(4)), MemoryMB: 1024 * (1 + rng.IntN(8))},
		runTime: time.Duration(float64(medianRunTime) * math.Exp(0.7*rng.NormFloat64())),
	}
	j.spec = record.Job{Pool: pool, Team: "clearance", Tasks: 1 + rng.IntN(3), Priority: record.PriorityNormal}
	switch {
	case n%urgentEvery == 0:
		j.spec.Tasks, j.spec.Priority = 1, record.PriorityUrgent
		j.runTime = time.Duration(float64(medianUrgentRunTime) * math.Exp(0.5*rng.NormFloat64()))
	case n%neverFitsEvery == 1:
		j.neverFits = true
		j.actual.MemoryMB = 2 * hostMemory
	case n%4 == 1:
		j.spec.Priority = record.PriorityLow
	}
	off := math.Pow(maxDeclarationError, 2*rng.Float64()-1)
	j.spec.Resources = record.Resources{
		MilliCPU: int(float64(j.actual.MilliCPU) * off), MemoryMB: int(float64(j.actual.MemoryMB) * off),
	}
	if j.neverFits {
		j.spec.Resources = j.actual
	}
	j.spec.ExpectedSeconds = int(j.runTime.Seconds() / off)
	for i := range j.spec.Tasks {
		j.pending = append(j.pending, i)
		j.left[i] = j.runTime
	}
	return j
}

// postpone postpones the jobs that arrive while the store is unavailable to the end
// of the outage, as their records can't be accepted before.
func (l *workload) postpone(from, to time.Duration) {
	for _, j := range l.jobs {
		if j.arrivesAt >= from && j.arrivesAt < to {
			j.arrivesAt = to
		}
	}
}

// reconcile is one reconciliation of the jobs: it ends the tasks that are due, then
// plans and applies the plan.
func (l *workload) reconcile(w *world, steady bool) {
	l.endTasks(w)
	plan := placement.MakePlan(l.input(w, steady))
	for _, action := range plan.Actions {
		l.apply(w, action)
	}
	for _, start := range plan.Starts {
		l.start(w, start)
	}
}

func (l *workload) input(w *world, drainKnown bool) placement.Input {
	input := placement.Input{Workers: l.workers(w, drainKnown)}
	for _, j := range l.jobs {
		if j.arrivesAt > w.now || len(j.pending) == 0 {
			continue
		}
		size, run := l.estimator.Estimate(j.name, &j.spec)
		input.Jobs = append(input.Jobs, placement.Job{
			Name: j.name, Spec: &j.spec, Pending: j.pending, Resources: size, RunTime: run,
			MinResources: l.estimator.MinResources(j.name, &j.spec), Age: w.now - j.arrivesAt, FaultReason: l.failures.FaultyJobs[j.name],
		})
	}
	for _, t := range l.tasks {
		t.RanFor = w.now - t.startedAt
		input.Tasks = append(input.Tasks, t.Task)
	}
	return input
}

func (l *workload) workers(w *world, drainKnown bool) []placement.Worker {
	var workers []placement.Worker
	for _, h := range w.hosts {
		if !h.hasRecord || h.record.Pool != l.pool {
			continue
		}
		_, visited := h.record.WaveOutcomes[waveName]
		worker := placement.Worker{
			Name: h.Name, Capacity: record.Resources{MilliCPU: hostCPU, MemoryMB: hostMemory},
			Ready: w.available(h), Draining: !h.record.Schedulable(), DrainSoon: drainKnown && !visited,
		}
		if out, after := l.failures.Quarantined(h.Name); out {
			worker.QuarantineReason = "it failed several good jobs"
			worker.Probe = w.now-l.checkedAt[h.Name] >= after
		}
		workers = append(workers, worker)
	}
	return workers
}

func (l *workload) start(w *world, s placement.Start) {
	i := slices.IndexFunc(l.jobs, func(j *job) bool { return j.name == s.Job })
	j, h := l.jobs[i], w.byName[s.Host]
	if l.blocked(s.WaitFor) || !h.up {
		return
	}
	j.pending = slices.DeleteFunc(j.pending, func(index int) bool { return index == s.Index })
	if j.startedAt == 0 {
		j.startedAt = w.now
	}
	if out, _ := l.failures.Quarantined(s.Host); out {
		l.failures.ProbeStarted(s.Host)
		l.checkedAt[s.Host] = w.now
	}
	l.started++
	t := &task{job: j, startedAt: w.now, endsAt: w.now + j.left[s.Index], Task: placement.Task{
		ID: fmt.Sprintf("task-%d", l.started), Job: j.name, Team: j.spec.Team, Host: s.Host, Index: s.Index,
		Resources: s.Resources, Priority: j.spec.Priority,
	}}
	if s.Host == l.faultyHost || s.Resources.MemoryMB < j.actual.MemoryMB {
		t.fails, t.endsAt = true, w.now+failureDelay
	}
	l.tasks = append(l.tasks, t)
}

// blocked reports whether any of the tasks that must free resources first is still
// running.
func (l *workload) blocked(after []string) bool {
	return slices.ContainsFunc(l.tasks, func(t *task) bool { return !t.Throttled && slices.Contains(after, t.ID) })
}

func (l *workload) apply(w *world, action placement.Action) {
	for _, t := range l.tasks {
		if t.ID != action.Task || t.Terminating {
			continue
		}
		switch action.Verb {
		case placement.Throttle, placement.Unthrottle:
			t.throttle(w.now, action.Verb == placement.Throttle)
		default:
			t.Terminating = true
			t.preemptedAt = w.now + time.Duration(float64(t.job.actual.MemoryMB)/checkpointRate*float64(time.Second))
		}
	}
}

// peak returns the peak usage that a worker reports. A task uses at most the CPU
// that it is given.
func (t *task) peak() record.Resources {
	peak := t.job.actual
	peak.MilliCPU = min(peak.MilliCPU, t.Resources.MilliCPU)
	return peak
}

// throttle makes a task run at a quarter of its speed, or at full speed again.
func (t *task) throttle(now time.Duration, throttled bool) {
	if t.Throttled == throttled || t.fails {
		return
	}
	t.Throttled = throttled
	if left := t.endsAt - now; throttled {
		t.endsAt = now + 4*left
	} else {
		t.endsAt = now + left/4
	}
}

// endTasks ends the tasks that are done, have failed, have been preempted, or have
// lost their host.
func (l *workload) endTasks(w *world) {
	l.tasks = slices.DeleteFunc(l.tasks, func(t *task) bool {
		h := w.byName[t.Host]
		switch {
		case !h.up || h.record.Phase == hostrecord.Rebooting:
			t.job.pending = append(t.job.pending, t.Index)
		case t.fails && t.endsAt <= w.now:
			l.failed(w, t)
		case t.endsAt <= w.now:
			t.job.done++
			l.estimator.ObserveFinished(t.Job, &t.job.spec, t.Resources, t.peak(), t.job.runTime)
			l.failures.RecordSuccess(t.Job, t.Host)
		case t.Terminating && t.preemptedAt <= w.now:
			t.job.left[t.Index] = t.endsAt - w.now
			t.job.pending = append(t.job.pending, t.Index)
		default:
			return false
		}
		return true
	})
}

func (l *workload) failed(w *world, t *task) {
	t.job.pending = append(t.job.pending, t.Index)
	l.checkedAt[t.Host] = w.now
	if t.Host != l.faultyHost {
		l.estimator.ObserveOutOfMemory(t.Job, &t.job.spec, t.Resources)
		return
	}
	l.failures.RecordFailure(t.Job, t.Host, "failed at once")
}

// inFlight returns the number of tasks on a host.
func (l *workload) inFlight(host string) int {
	n := 0
	for _, t := range l.tasks {
		if t.Host == host {
			n++
		}
	}
	return n
}

// nextChanges calls add with the times of all scheduled changes of jobs.
func (l *workload) nextChanges(now time.Duration, add func(time.Duration)) {
	for _, t := range l.tasks {
		add(t.endsAt)
		add(t.preemptedAt)
	}
	for _, j := range l.jobs {
		if j.arrivesAt > now {
			add(j.arrivesAt)
		}
	}
}

// figures returns the fraction of runnable jobs that finished, and the 99th
// percentile of the start delay of urgent jobs in seconds. A job that never started
// counts with its whole waiting time.
func (l *workload) figures(end time.Duration) (finished, urgentP99 float64) {
	total, done := 0, 0
	var waits []float64
	for _, j := range l.jobs {
		if j.neverFits {
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
		waits = append(waits, (started - j.arrivesAt).Seconds())
	}
	if len(waits) == 0 {
		return 1, 0
	}
	slices.Sort(waits)
	return float64(done) / float64(total), waits[len(waits)*99/100]
}
