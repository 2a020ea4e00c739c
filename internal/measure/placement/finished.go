package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

// Parameters of the simulated pool. It is small and full, and has more work than it
// can finish if capacity is wasted. A simulation step takes simulatedStep of virtual
// time.
const (
	simulatedHosts = 20
	simulatedJobs  = 300
	simulatedStep  = 10 * time.Second
	horizon        = 2 * time.Hour
	meanRunTime    = 15 * time.Minute
	meanMemory     = 40 << 10
	meanCPU        = 10_000
	// maxTries is the maximum number of attempts of a task under a policy that
	// doesn't adjust resources.
	maxTries = 3
	// oomDivisor is the divisor of the run time after which a task with too little
	// memory is killed.
	oomDivisor = 4
)

// sizing is a policy for the resources given to tasks.
type sizing string

const (
	// learned uses the product's estimator.
	learned sizing = "auburnglade"
	// trusted always gives a task the declared resources.
	trusted sizing = "trust_declared"
	// doubled gives a task the declared resources, and doubles its memory after each
	// out-of-memory kill.
	doubled sizing = "trust_declared_double_on_kill"
)

// actualJob is a job with the resources that it actually needs.
type actualJob struct {
	name        string
	spec        *record.Job
	memory      int
	cpu         int
	run         time.Duration
	givenMemory int
	tries       int
	done        bool
}

type runningTask struct {
	job         *actualJob
	host        string
	size        record.Resources
	ran         time.Duration
	killedAfter time.Duration
	length      time.Duration
}

func (c *Cmd) measureFinished() map[string]map[string]CompletionStats {
	spreads := map[string]float64{"declared_right": 0, "declared_off_2x": math.Ln2, "declared_off_5x": math.Log(5)}
	result := make(map[string]map[string]CompletionStats)
	for condition, spread := range spreads {
		result[condition] = make(map[string]CompletionStats)
		for _, policy := range []sizing{learned, trusted, doubled} {
			var shares, kills []float64
			for run := range c.Runs {
				finished, killed := simulate(policy, spread, c.Seed+uint64(run))
				shares = append(shares, float64(finished)/simulatedJobs)
				kills = append(kills, float64(killed)/float64(max(1, finished)))
			}
			result[condition][string(policy)] = CompletionStats{
				Median: quantile(shares, 0.5), Worst: quantile(shares, 0), OutOfMemory: quantile(kills, 0.5),
			}
		}
	}
	return result
}

// drawJobs draws the resources that jobs need, and what they declare. Declarations are
// wrong by a random factor with the given spread, part of which is a bias per team.
func drawJobs(random *rand.Rand, spread float64) []*actualJob {
	bias := make([]float64, 4)
	for i := range bias {
		bias[i] = spread * random.NormFloat64()
	}
	jobs := make([]*actualJob, simulatedJobs)
	for i := range jobs {
		memory := float64(meanMemory) * math.Exp(0.5*random.NormFloat64())
		cpu := float64(meanCPU) * math.Exp(0.5*random.NormFloat64())
		team := random.IntN(len(bias))
		wrong := math.Exp(bias[team] + spread/4*random.NormFloat64())
		jobs[i] = &actualJob{
			name: fmt.Sprintf("job-%03d", i), memory: min(int(memory), workerMemory/2), cpu: min(int(cpu), workerCPU/2),
			run: time.Duration(float64(meanRunTime) * math.Exp(0.4*random.NormFloat64())),
		}
		jobs[i].spec = &record.Job{Team: fmt.Sprint(team), ExpectedSeconds: int(meanRunTime.Seconds() * wrong), Resources: record.Resources{
			MilliCPU: int(float64(jobs[i].cpu) * wrong), MemoryMB: int(float64(jobs[i].memory) * wrong),
		}}
	}
	return jobs
}

// simulate runs one pool until horizon and returns the numbers of jobs finished and of
// tasks killed for lack of memory. A worker doesn't overcommit its capacity; a task
// that is given less memory than it needs is killed during its run.
func simulate(policy sizing, spread float64, seed uint64) (finished, killed int) {
	random := rand.New(rand.NewPCG(seed, 7))
	jobs := drawJobs(random, spread)
	var memory placement.Estimator
	var running []*runningTask
	for now := time.Duration(0); now < horizon; now += simulatedStep {
		running, finished, killed = advance(running, &memory, finished, killed)
		plan := placement.MakePlan(snapshot(policy, jobs, running, &memory))
		byName := make(map[string]*actualJob)
		for _, job := range jobs {
			byName[job.name] = job
		}
		for _, start := range plan.Starts {
			job := byName[start.Job]
			job.tries++
			job.givenMemory = start.Resources.MemoryMB
			running = append(running, newTask(job, start))
		}
	}
	return finished, killed
}

func newTask(job *actualJob, start placement.Start) *runningTask {
	task := &runningTask{job: job, host: start.Host, size: start.Resources, length: job.run}
	if start.Resources.MilliCPU < job.cpu {
		// Too little CPU only makes a task slower.
		task.length = job.run * time.Duration(job.cpu) / time.Duration(start.Resources.MilliCPU)
	}
	if start.Resources.MemoryMB < job.memory {
		task.killedAfter = task.length / oomDivisor
	}
	return task
}

func advance(running []*runningTask, memory *placement.Estimator, finished, killed int) ([]*runningTask, int, int) {
	var left []*runningTask
	for _, task := range running {
		task.ran += simulatedStep
		switch {
		case task.killedAfter > 0 && task.ran >= task.killedAfter:
			killed++
			memory.ObserveOutOfMemory(task.job.name, task.job.spec, task.size)
		case task.ran >= task.length:
			finished++
			task.job.done = true
			used := record.Resources{MilliCPU: min(task.job.cpu, task.size.MilliCPU), MemoryMB: task.job.memory}
			memory.ObserveFinished(task.job.name, task.job.spec, task.size, used, task.ran)
		default:
			left = append(left, task)
		}
	}
	return left, finished, killed
}

func snapshot(policy sizing, jobs []*actualJob, running []*runningTask, memory *placement.Estimator) placement.Input {
	var input placement.Input
	for i := range simulatedHosts {
		input.Workers = append(input.Workers, placement.Worker{
			Name: fmt.Sprintf("host-%02d", i), Ready: true, Capacity: record.Resources{MilliCPU: workerCPU, MemoryMB: workerMemory},
		})
	}
	busy := make(map[*actualJob]bool)
	for _, task := range running {
		busy[task.job] = true
		input.Tasks = append(input.Tasks, placement.Task{ID: task.job.name, Job: task.job.name, Host: task.host, Resources: task.size})
	}
	for _, job := range jobs {
		if !busy[job] && !job.done && (policy == learned || policy == doubled || job.tries < maxTries) {
			input.Jobs = append(input.Jobs, sized(policy, job, memory))
		}
	}
	return input
}

func sized(policy sizing, job *actualJob, memory *placement.Estimator) placement.Job {
	sized := placement.Job{Name: job.name, Spec: job.spec, Pending: []int{0}, Resources: job.spec.Resources, RunTime: job.run}
	switch {
	case policy == learned:
		sized.Resources, _ = memory.Estimate(job.name, job.spec)
		sized.MinResources = memory.MinResources(job.name, job.spec)
		return sized
	case policy == doubled && job.tries > 0:
		sized.Resources.MemoryMB = 2 * job.givenMemory
	}
	// The baselines get the capacity of a whole worker if they request more than that.
	// Otherwise they would lose only because such jobs are never placed.
	sized.Resources.MilliCPU = min(sized.Resources.MilliCPU, workerCPU)
	sized.Resources.MemoryMB = min(sized.Resources.MemoryMB, workerMemory)
	sized.MinResources = sized.Resources
	return sized
}
