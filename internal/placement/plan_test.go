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

// CI draws the same cases each time; -rapid.seed and -rapid.checks ask for
// others and more.
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

// Urgent work arrives on full workers. Where only processors are short the
// lesser task is throttled and goes on; where memory is short it is
// checkpointed. Normal work displaces nobody.
func TestUrgentWorkThrottlesThenCheckpointsLesserWork(t *testing.T) {
	short := Input{
		Workers: []Worker{worker("w", 4000, 4000)},
		Jobs:    []Job{job("now", record.PriorityUrgent, amount(2000, 1000), 1)},
		Tasks:   []Task{running("low", "w", record.PriorityLow, amount(4000, 3000))},
	}
	plan := MakePlan(short)
	must.Eq(t, []string{"low"}, plan.Starts[0].WaitFor)
	must.Eq(t, Throttle, plan.Actions[0].Verb)
	short.Tasks[0].Resources.MemoryMB = 4000
	must.Eq(t, Checkpoint, MakePlan(short).Actions[0].Verb)
	short.Jobs[0].Spec.Priority = record.PriorityNormal
	must.SliceEmpty(t, MakePlan(short).Starts)
}

func TestTaskOnLeavingHostIsCheckpointed(t *testing.T) {
	w := worker("w", 4000, 4000)
	w.Draining = true
	plan := MakePlan(Input{Workers: []Worker{w}, Tasks: []Task{running("a", "w", "", amount(1, 1))}})
	must.Eq(t, []Action{{Task: "a", Verb: Checkpoint, Reason: "its host is leaving"}}, plan.Actions)
}

// A long job waits for a worker that stays, even a full one, and takes a host
// about to drain only when there is no other.
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

// A team's other jobs use three times what they declare, so a new job of theirs
// is expected to need more than any host has. It must be tried all the same:
// only what its own tasks were seen to need may park it.
func TestJobIsNotParkedOnTheHabitOfItsTeam(t *testing.T) {
	var m Estimator
	spec := &record.Job{Team: "t", Resources: amount(1000, 2000)}
	for range enoughSamples {
		m.ObserveFinished("other", &record.Job{Team: "t", Resources: amount(1000, 1000)}, amount(4000, 4000), amount(1000, 3000), time.Second)
	}
	plan := func() Plan {
		size, run := m.Estimate("new", spec)
		new := Job{Name: "new", Spec: spec, Pending: []int{0}, Resources: size, MinResources: m.MinResources("new", spec), RunTime: run}
		return MakePlan(Input{Workers: []Worker{worker("w", 4000, 4000)}, Jobs: []Job{new}})
	}
	must.Eq(t, 4000, plan().Starts[0].Resources.MemoryMB)
	m.ObserveOutOfMemory("new", spec, amount(1000, 4000))
	must.StrContains(t, plan().Parked["new"], "4001 MB")
}

// The nightly report has three hours left of its deadline and needs two: it
// goes before ordinary work that came earlier, and may displace it.
func TestJobAboutToMissItsDeadlineDisplacesOrdinaryWork(t *testing.T) {
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

// Random pools with running work and pending jobs: no worker is given more
// than it has beyond what ran there before, no quota is passed by what the
// plan starts, no worker that may not is used, and no task is planned twice.
func TestPlanKeepsCapacityAndQuota(t *testing.T) {
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
		for _, act := range plan.Actions {
			task := tasks[act.Task]
			must.False(t, task.Terminating)
			before := task.Allocated()
			task.Throttled = act.Verb == Throttle
			after := task.Allocated()
			if act.Verb == Checkpoint || act.Verb == Stop {
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
	size := func(most int) record.Resources {
		return amount(rapid.IntRange(1, most).Draw(t, "cpu"), rapid.IntRange(1, most).Draw(t, "mem"))
	}
	priority := rapid.SampledFrom([]record.Priority{"", record.PriorityLow, record.PriorityUrgent})
	input := Input{Quotas: map[string]record.Resources{"t": amount(60, 60)}}
	left := map[string]record.Resources{}
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		w := worker(fmt.Sprintf("w%d", i), 20, 20)
		w.Ready = rapid.IntRange(0, 4).Draw(t, "ready") > 0
		w.Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
		input.Workers = append(input.Workers, w)
		left[w.Name] = w.Capacity
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "running") {
		host := input.Workers[rapid.IntRange(0, len(input.Workers)-1).Draw(t, "host")].Name
		task := running(fmt.Sprintf("r%d", i), host, priority.Draw(t, "priority"), size(8))
		task.Throttled = rapid.IntRange(0, 3).Draw(t, "throttled") == 0
		if Fits(task.Resources, left[host]) {
			left[host] = Sub(left[host], task.Resources)
			input.Tasks = append(input.Tasks, task)
		}
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
		input.Jobs = append(input.Jobs, job(fmt.Sprintf("j%d-", i), priority.Draw(t, "priority"), size(25), rapid.IntRange(0, 4).Draw(t, "tasks")))
	}
	return input
}

// A worker fails whatever it is given while others run well: it is taken out
// and the jobs that failed there are cleared. A job that fails on three
// workers where others run well is at fault, and the workers are cleared.
func TestBlameTellsBadWorkersFromBadJobs(t *testing.T) {
	var b FailureTracker
	for _, name := range []string{"a", "b", "c"} {
		b.RecordFailure(name, "hole", "exit 1")
	}
	quarantined, after := b.Quarantined("hole")
	must.True(t, quarantined)
	must.Eq(t, firstProbe, after)
	must.MapEmpty(t, b.FaultyJobs)
	b.RecordFailure("d", "hole", "exit 1")
	_, after = b.Quarantined("hole")
	must.Eq(t, firstProbe, after)
	b.ProbeStarted("hole")
	b.RecordFailure("a", "hole", "exit 1")
	_, after = b.Quarantined("hole")
	must.Eq(t, 2*firstProbe, after)
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

// Declared sizes are ten times too large for one team. After a few finished
// tasks a new job of that team is given close to what it will use, and a job
// that ran out of memory is given twice as much.
func TestExpectationsFollowUsageNotDeclarations(t *testing.T) {
	var m Estimator
	spec := &record.Job{Team: "t", Resources: amount(10_000, 10_000), ExpectedSeconds: 1000}
	for range enoughSamples {
		m.ObserveFinished("a", spec, spec.Resources, amount(1000, 1000), 100*time.Second)
	}
	size, run := m.Estimate("a", spec)
	must.Eq(t, amount(1200, 1200), size)
	must.Eq(t, 120*time.Second, run)
	size, _ = m.Estimate("new", spec)
	must.Eq(t, amount(1200, 1200), size)
	m.ObserveOutOfMemory("new", spec, size)
	size, _ = m.Estimate("new", spec)
	must.Eq(t, 2800, size.MemoryMB, must.Sprint("the team's ratio has learned of the kill too"))
}
