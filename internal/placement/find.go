package placement

import (
	"container/heap"

	"auburnglade.example/glade/internal/record"
)

// finder hands out the workers for one job's tasks, best first. It looks at
// every worker once per job and then works on a heap, so that a job of many
// tasks costs n log n.
type finder struct {
	job   *Job
	nodes candidates
	// able lists the workers that are large enough and may take the job,
	// whatever runs on them now.
	able []*node
	why  string
}

type candidate struct {
	node  *node
	score float64
}

type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].node.Name < c[j].node.Name
}
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func (p *planner) newFinder(job *Job) *finder {
	f := &finder{job: job, why: "no worker that may take it is ready"}
	for _, n := range p.nodes {
		if n.takes(job) {
			f.able = append(f.able, n)
		}
	}
	f.keepLongTasksOffDrains()
	for _, n := range f.able {
		if Fits(job.Size, n.free) {
			f.nodes = append(f.nodes, candidate{node: n, score: score(n, job.Size)})
		}
	}
	if len(f.able) > 0 {
		f.why = "every worker that may take it is full"
	}
	heap.Init(&f.nodes)
	return f
}

func (n *node) takes(job *Job) bool {
	if !n.Ready || n.Leaving || job.Avoid[n.Name] || !Fits(job.Size, n.Capacity) {
		return false
	}
	return n.Quarantine == "" || (n.Probe && len(n.tasks) == 0 && n.free == n.Capacity)
}

// keepLongTasksOffDrains leaves out the workers that a wave is about to drain
// when the job runs long and another worker could take it, now or later. A job
// that must start now takes what there is.
func (f *finder) keepLongTasksOffDrains() {
	if f.job.RunTime < LongTask || f.job.class() <= 1 {
		return
	}
	var lasting []*node
	for _, n := range f.able {
		if !n.DrainSoon {
			lasting = append(lasting, n)
		}
	}
	if len(lasting) > 0 {
		f.able = lasting
	}
}

// next returns the best worker with room, or nil.
func (f *finder) next() (*node, string) {
	for len(f.nodes) > 0 {
		best := heap.Pop(&f.nodes).(candidate)
		if Fits(f.job.Size, best.node.free) {
			return best.node, "best fit"
		}
	}
	return nil, ""
}

// used offers a worker again after a task was put on it.
func (f *finder) used(n *node) {
	if n.Quarantine == "" && Fits(f.job.Size, n.free) {
		heap.Push(&f.nodes, candidate{node: n, score: score(n, f.job.Size)})
	}
}

// Weights of a score; lower is better.
const (
	drainPenalty       = 2.0
	probeBonus         = -1.0
	acceleratorPenalty = 4.0
)

// score prefers the worker that is left with the least in the respect that it
// has most of (best fit), keeps accelerators for those who need them, and
// prefers hosts that no wave is about to drain.
func score(n *node, size record.Resources) float64 {
	left := Sub(n.free, size)
	total := max(part(left.MilliCPU, n.Capacity.MilliCPU), part(left.MemoryMB, n.Capacity.MemoryMB))
	if size.Accelerators == 0 && left.Accelerators > 0 {
		total += acceleratorPenalty
	}
	if n.DrainSoon {
		total += drainPenalty
	}
	if n.Probe && n.Quarantine != "" {
		total += probeBonus
	}
	return total
}

func part(amount, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
