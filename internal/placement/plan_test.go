package placement

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/record"
)

// The seed is fixed so that every CI run checks the same cases; -rapid.seed and
// -rapid.checks select other or more cases.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

func amount(cpu, mem int) record.Resources { return record.Resources{MilliCPU: cpu, MemoryMB: mem} }

func worker(name string, cpu, mem int) Worker {
	return Worker{Name: name, Capacity: amount(cpu, mem), Ready: true}
}

func job(name string, priority record.Priority, size record.Resources, tasks int) Job {
	j := Job{Name: name, Spec: &record.Job{Team: "t", Priority: priority, Resources: size}, Resources: size, MinResources: size, RunTime: time.Minute}
	for i := range tasks {
		j.Pending = append(j.Pending, i)
	}
	return j
}

func running(id, host string, priority record.Priority, size record.Resources) Task {
	return Task{ID: id, Job: id, Team: "t", Host: host, Priority: priority, Resources: size, RanFor: time.Minute}
}

// All workers are full when an urgent job arrives. If only CPU is short, the
// low-priority task is throttled; if memory is short, it is checkpointed. Normal
// jobs don't preempt.
func TestUrgentJobThrottlesOrCheckpointsLowerPriorityTask(t *testing.T) {
	input := Input{
		Workers: []Worker{worker("w", 4000, 4000)},
		Jobs:    []Job{job("now", record.PriorityUrgent, amount(2000, 1000), 1)},
		Tasks:   []Task{running("low", "w", record.PriorityLow, amount(4000, 3000))},
	}
	plan := MakePlan(input)
	must.Eq(t, []string{"low"}, plan.Starts[0].WaitFor)
	must.Eq(t, Throttle, plan.Actions[0].Verb)
	input.Tasks[0].Resources.MemoryMB = 4000
	must.Eq(t, Checkpoint, MakePlan(input).Actions[0].Verb)
	input.Jobs[0].Spec.Priority = record.PriorityNormal
	must.SliceEmpty(t, MakePlan(input).Starts)
}

func TestTaskOnDrainingHostIsCheckpointed(t *testing.T) {
	w := worker("w", 4000, 4000)
	w.Draining = true
	plan := MakePlan(Input{Workers: []Worker{w}, Tasks: []Task{running("a", "w", "", amount(1, 1))}})
	must.Eq(t, []Action{{Task: "a", Verb: Checkpoint, Reason: "its host is leaving"}}, plan.Actions)
}

// A long job waits for a worker that won't be drained, even if it is full, and
// uses a host about to drain only if there is no other.
func TestLongTaskIsNotStartedOnHostAboutToDrain(t *testing.T) {
	soon := worker("a", 4000, 4000)
	soon.DrainSoon = true
	long := job("long", "", amount(1000, 1000), 1)
	long.RunTime = time.Hour
	full := running("x", "b", "", amount(4000, 4000))
	both := Input{Workers: []Worker{soon, worker("b", 4000, 4000)}, Jobs: []Job{long}, Tasks: []Task{full}}
	must.SliceEmpty(t, MakePlan(both).Starts)
	must.Len(t, 1, MakePlan(Input{Workers: []Worker{soon}, Jobs: []Job{long}}).Starts)
}

func TestJobTooLargeIsParkedUntilTheFleetChanges(t *testing.T) {
	input := Input{Workers: []Worker{worker("a", 1000, 1000)}, Jobs: []Job{job("big", "", amount(1000, 2000), 1)}}
	must.StrContains(t, MakePlan(input).Parked["big"], "more than any host")
	input.Workers = append(input.Workers, worker("b", 2000, 2000))
	must.MapEmpty(t, MakePlan(input).Parked)
	must.Len(t, 1, MakePlan(input).Starts)
}

// A team's other jobs use three times what they declare, so the estimate for a
// new job exceeds every host. It must still be started: only the observed need
// of its own tasks may park it.
func TestTeamUsageRatiosDoNotParkJob(t *testing.T) {
	var m Estimator
	spec := &record.Job{Team: "t", Resources: amount(1000, 2000)}
	for range minSamples {
		m.ObserveFinished("other", &record.Job{Team: "t", Resources: amount(1000, 1000)}, amount(4000, 4000), amount(1000, 3000), time.Second)
	}
	plan := func() Plan {
		size, run := m.Estimate("new", spec)
		newJob := Job{Name: "new", Spec: spec, Pending: []int{0}, Resources: size, MinResources: m.MinResources("new", spec), RunTime: run}
		return MakePlan(Input{Workers: []Worker{worker("w", 4000, 4000)}, Jobs: []Job{newJob}})
	}
	must.Eq(t, 4000, plan().Starts[0].Resources.MemoryMB)
	m.ObserveOutOfMemory("new", spec, amount(1000, 4000))
	must.StrContains(t, plan().Parked["new"], "4001 MB")
}

// A job with three hours to its deadline and an expected run time of two hours
// is at risk, so it may preempt tasks of normal priority.
func TestJobAtRiskOfMissingDeadlinePreemptsNormalTasks(t *testing.T) {
	report := job("report", "", amount(4000, 4000), 1)
	report.Spec.DeadlineSeconds, report.RunTime, report.Age = 8*3600, 2*time.Hour, 5*time.Hour
	input := Input{
		Workers: []Worker{worker("w", 4000, 4000)}, Jobs: []Job{report},
		Tasks: []Task{running("other", "w", "", amount(4000, 4000))},
	}
	must.Len(t, 1, MakePlan(input).Starts)
	input.Jobs[0].Age = 0
	must.SliceEmpty(t, MakePlan(input).Starts)
}

// Random pools with running tasks and pending jobs: a plan never exceeds a
// worker's capacity or a team's quota, starts tasks only on ready workers that
// aren't draining, acts on no terminating task, and starts no task twice.
func TestPlanRespectsCapacityAndQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		plan := MakePlan(input)
		free, teams := map[string]record.Resources{}, map[string]record.Resources{}
		workers, tasks := map[string]Worker{}, map[string]Task{}
		for _, w := range input.Workers {
			free[w.Name], workers[w.Name] = w.Capacity, w
		}
		for _, task := range input.Tasks {
			tasks[task.ID] = task
			free[task.Host] = Sub(free[task.Host], task.Allocated())
			teams[task.Team] = Add(teams[task.Team], task.Resources)
		}
		for _, action := range plan.Actions {
			task := tasks[action.Task]
			must.False(t, task.Terminating)
			before := task.Allocated()
			task.Throttled = action.Verb == Throttle
			after := task.Allocated()
			if action.Verb == Checkpoint || action.Verb == Stop {
				after = record.Resources{}
			}
			free[task.Host] = Add(free[task.Host], Sub(before, after))
		}
		placed := map[string]bool{}
		for _, start := range plan.Starts {
			key := fmt.Sprint(start.Job, start.Index)
			must.False(t, placed[key], must.Sprint("placed twice"))
			placed[key] = true
			must.True(t, workers[start.Host].Ready && !workers[start.Host].Draining)
			free[start.Host] = Sub(free[start.Host], start.Resources)
			must.True(t, Fits(record.Resources{}, free[start.Host]), must.Sprint("worker overfull", start))
			teams["t"] = Add(teams["t"], start.Resources)
			must.True(t, Fits(teams["t"], input.Quotas["t"]), must.Sprint("quota passed"))
		}
	})
}

func drawInput(t *rapid.T) Input {
	size := func(limit int) record.Resources {
		return amount(rapid.IntRange(1, limit).Draw(t, "cpu"), rapid.IntRange(1, limit).Draw(t, "mem"))
	}
	priority := rapid.SampledFrom([]record.Priority{"", record.PriorityLow, record.PriorityUrgent})
	input := Input{Quotas: map[string]record.Resources{"t": amount(60, 60)}}
	remaining := map[string]record.Resources{}
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		w := worker(fmt.Sprintf("w%d", i), 20, 20)
		w.Ready = rapid.IntRange(0, 4).Draw(t, "ready") > 0
		w.Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
		input.Workers = append(input.Workers, w)
		remaining[w.Name] = w.Capacity
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "running") {
		host := input.Workers[rapid.IntRange(0, len(input.Workers)-1).Draw(t, "host")].Name
		task := running(fmt.Sprintf("r%d", i), host, priority.Draw(t, "priority"), size(8))
		task.Throttled = rapid.IntRange(0, 3).Draw(t, "throttled") == 0
		if Fits(task.Resources, remaining[host]) {
			remaining[host] = Sub(remaining[host], task.Resources)
			input.Tasks = append(input.Tasks, task)
		}
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
		input.Jobs = append(input.Jobs, job(fmt.Sprintf("j%d-", i), priority.Draw(t, "priority"), size(25), rapid.IntRange(0, 4).Draw(t, "tasks")))
	}
	return input
}

// A worker on which several jobs fail is quarantined, and the failures don't
// count against the jobs. A job that fails on three healthy workers is faulty,
// and its failures don't count against the workers.
func TestFailureTrackerDistinguishesWorkersFromJobs(t *testing.T) {
	var b FailureTracker
	for _, name := range []string{"a", "b", "c"} {
		b.RecordFailure(name, "hole", "exit 1")
	}
	quarantined, after := b.Quarantined("hole")
	must.True(t, quarantined)
	must.Eq(t, firstProbeDelay, after)
	must.MapEmpty(t, b.FaultyJobs)
	b.RecordFailure("d", "hole", "exit 1")
	_, after = b.Quarantined("hole")
	must.Eq(t, firstProbeDelay, after)
	b.ProbeStarted("hole")
	b.RecordFailure("a", "hole", "exit 1")
	_, after = b.Quarantined("hole")
	must.Eq(t, 2*firstProbeDelay, after)
	b.RecordSuccess("a", "hole")
	quarantined, _ = b.Quarantined("hole")
	must.False(t, quarantined)

	for _, name := range []string{"w1", "w2", "w3"} {
		b.RecordFailure("bad", name, "exit 2")
		quarantined, _ := b.Quarantined(name)
		must.False(t, quarantined)
	}
	must.StrContains(t, b.FaultyJobs["bad"], "exit 2")
	must.MapEmpty(t, b.Workers)
}

// One team declares ten times what its tasks use. After minSamples finished
// tasks a new job of that team is allocated close to its actual usage, and a job
// that ran out of memory gets more than twice as much.
func TestEstimatesFollowUsageNotDeclarations(t *testing.T) {
	var m Estimator
	spec := &record.Job{Team: "t", Resources: amount(10_000, 10_000), ExpectedSeconds: 1000}
	for range minSamples {
		m.ObserveFinished("a", spec, spec.Resources, amount(1000, 1000), 100*time.Second)
	}
	size, run := m.Estimate("a", spec)
	must.Eq(t, amount(1200, 1200), size)
	must.Eq(t, 120*time.Second, run)
	size, _ = m.Estimate("new", spec)
	must.Eq(t, amount(1200, 1200), size)
	m.ObserveOutOfMemory("new", spec, size)
	size, _ = m.Estimate("new", spec)
	must.Eq(t, 2800, size.MemoryMB, must.Sprint("the team's ratio must include the out-of-memory kill"))
}
