package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

// The simulated pool: small, full, and with more work than it can finish when
// room is wasted. Steps are of simulatedStep of virtual time.
const (
	simulatedHosts = 20
	simulatedJobs  = 300
	simulatedStep  = 10 * time.Second
	horizon        = 2 * time.Hour
	meanRun        = 15 * time.Minute
	meanMemory     = 40 << 10
	meanCPU        = 10_000
	// giveUpAfter is how often a policy without learning tries a task.
	giveUpAfter = 3
	// oomAfter is how far into its run a task that is given too little dies.
	oomAfter = 4
)

// sizing is how a policy sizes tasks.
type sizing string

const (
	// learned is auburnglade's own.
	learned sizing = "auburnglade"
	// trusted gives every task what its job declared, always.
	trusted sizing = "trust_declared"
	// doubled trusts declarations but doubles the memory after each kill.
	doubled sizing = "trust_declared_double_on_kill"
)

// trueJob is a job and what it really needs.
type trueJob struct {
	name   string
	spec   *record.Job
	memory int
	cpu    int
	run    time.Duration
	given  int
	tries  int
	done   bool
}

type runningTask struct {
	job   *trueJob
	host  string
	size  record.Resources
	ran   time.Duration
	dies  time.Duration
	lasts time.Duration
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

// drawJobs draws what jobs need and, off by the spread's factor one way or the
// other and with a bias of each team, what they declare.
func drawJobs(random *rand.Rand, spread float64) []*trueJob {
	bias := make([]float64, 4)
	for i := range bias {
		bias[i] = spread * random.NormFloat64()
	}
	jobs := make([]*trueJob, simulatedJobs)
	for i := range jobs {
		memory := float64(meanMemory) * math.Exp(0.5*random.NormFloat64())
		cpu := float64(meanCPU) * math.Exp(0.5*random.NormFloat64())
		team := random.IntN(len(bias))
		wrong := math.Exp(bias[team] + spread/4*random.NormFloat64())
		jobs[i] = &trueJob{
			name: fmt.Sprintf("job-%03d", i), memory: min(int(memory), workerMemory/2), cpu: min(int(cpu), workerCPU/2),
			run: time.Duration(float64(meanRun) * math.Exp(0.4*random.NormFloat64())),
		}
		jobs[i].spec = &record.Job{Team: fmt.Sprint(team), ExpectedSeconds: int(meanRun.Seconds() * wrong), Resources: record.Resources{
			MilliCPU: int(float64(jobs[i].cpu) * wrong), MemoryMB: int(float64(jobs[i].memory) * wrong),
		}}
	}
	return jobs
}

// simulate runs one pool to the horizon and returns the jobs finished and the
// tasks killed for memory. A worker gives out no more than it has; a task that
// is given less memory than it needs dies part of the way.
func simulate(policy sizing, spread float64, seed uint64) (finished, killed int) {
	random := rand.New(rand.NewPCG(seed, 7))
	jobs := drawJobs(random, spread)
	var memory placement.Estimator
	var running []*runningTask
	for now := time.Duration(0); now < horizon; now += simulatedStep {
		running, finished, killed = advance(running, &memory, finished, killed)
		plan := placement.MakePlan(snapshot(policy, jobs, running, &memory))
		byName := make(map[string]*trueJob)
		for _, job := range jobs {
			byName[job.name] = job
		}
		for _, start := range plan.Starts {
			job := byName[start.Job]
			job.tries++
			job.given = start.Resources.MemoryMB
			running = append(running, newTask(job, start))
		}
	}
	return finished, killed
}

func newTask(job *trueJob, start placement.Start) *runningTask {
	task := &runningTask{job: job, host: start.Host, size: start.Resources, lasts: job.run}
	if start.Resources.MilliCPU < job.cpu {
		// Too few processors only make a task slower.
		task.lasts = job.run * time.Duration(job.cpu) / time.Duration(start.Resources.MilliCPU)
	}
	if start.Resources.MemoryMB < job.memory {
		task.dies = task.lasts / oomAfter
	}
	return task
}

func advance(running []*runningTask, memory *placement.Estimator, finished, killed int) ([]*runningTask, int, int) {
	var left []*runningTask
	for _, task := range running {
		task.ran += simulatedStep
		switch {
		case task.dies > 0 && task.ran >= task.dies:
			killed++
			memory.ObserveOutOfMemory(task.job.name, task.job.spec, task.size)
		case task.ran >= task.lasts:
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

func snapshot(policy sizing, jobs []*trueJob, running []*runningTask, memory *placement.Estimator) placement.Input {
	var input placement.Input
	for i := range simulatedHosts {
		input.Workers = append(input.Workers, placement.Worker{
			Name: fmt.Sprintf("host-%02d", i), Ready: true, Capacity: record.Resources{MilliCPU: workerCPU, MemoryMB: workerMemory},
		})
	}
	busy := make(map[*trueJob]bool)
	for _, task := range running {
		busy[task.job] = true
		input.Tasks = append(input.Tasks, placement.Task{ID: task.job.name, Job: task.job.name, Host: task.host, Resources: task.size})
	}
	for _, job := range jobs {
		if !busy[job] && !job.done && (policy == learned || policy == doubled || job.tries < giveUpAfter) {
			input.Jobs = append(input.Jobs, sized(policy, job, memory))
		}
	}
	return input
}

func sized(policy sizing, job *trueJob, memory *placement.Estimator) placement.Job {
	sized := placement.Job{Name: job.name, Spec: job.spec, Pending: []int{0}, Resources: job.spec.Resources, RunTime: job.run}
	switch {
	case policy == learned:
		sized.Resources, _ = memory.Estimate(job.name, job.spec)
		sized.MinResources = memory.MinResources(job.name, job.spec)
		return sized
	case policy == doubled && job.tries > 0:
		sized.Resources.MemoryMB = 2 * job.given
	}
	// Both baselines get what is left of a worker when they ask for more than
	// any has, so that they aren't beaten on parked jobs alone.
	sized.Resources.MilliCPU = min(sized.Resources.MilliCPU, workerCPU)
	sized.Resources.MemoryMB = min(sized.Resources.MemoryMB, workerMemory)
	sized.MinResources = sized.Resources
	return sized
}
