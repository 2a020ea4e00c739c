package placement

import (
	"container/heap"
	"hash/fnv"

	"auburnglade.example/glade/internal/record"
)

const (
	// enoughFits is how many workers with room are compared for one job before
	// the best of them is taken: in a pool of a thousand the best of all is
	// hardly better than the best of sixty-four.
	enoughFits = 64
	// enoughEvictions is how many ways to make room are compared.
	enoughEvictions = 32
	// maxRefusals bounds the sizes remembered as finding no room.
	maxRefusals = 16
)

// finder hands out the workers for one job's tasks, best first. It walks the
// pool's workers once at most, from a place that the job's name picks, and
// keeps the ones with room on a heap.
type finder struct {
	planner *planner
	job     *Job
	nodes   candidates
	// walked counts the workers looked at so far.
	walked, from int
	// stays leaves out workers that a wave is about to drain.
	stays bool
	able  bool
	why   string
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
	f := &finder{planner: p, job: job, why: "no worker that may take it is ready"}
	if len(p.nodes) > enoughFits {
		hash := fnv.New32a()
		hash.Write([]byte(job.Name))
		f.from = int(hash.Sum32()) % len(p.nodes)
	}
	f.stays = f.keepsOffDrains()
	return f
}

// keepsOffDrains reports whether the workers that a wave is about to drain are
// left out: when the job runs long and another worker could take it, now or
// later. A job that must start now takes what there is.
func (f *finder) keepsOffDrains() bool {
	if f.job.RunTime < LongTask || f.job.class() <= 1 {
		return false
	}
	for i := range f.planner.nodes {
		if n := f.at(i); !n.DrainSoon && n.takes(f.job) {
			return true
		}
	}
	return false
}

func (f *finder) at(i int) *node {
	nodes := f.planner.nodes
	return nodes[(f.from+i)%len(nodes)]
}

func (f *finder) takes(n *node) bool {
	return n.takes(f.job) && !(f.stays && n.DrainSoon)
}

// walk looks at further workers until enough with room are on the heap.
func (f *finder) walk() {
	if f.planner.full.refuses(f.job.Resources) {
		f.able, f.walked = true, len(f.planner.nodes)
	}
	for f.walked < len(f.planner.nodes) && len(f.nodes) < enoughFits {
		n := f.at(f.walked)
		f.walked++
		if !f.takes(n) {
			continue
		}
		f.able = true
		if Fits(f.job.Resources, n.free) {
			heap.Push(&f.nodes, candidate{node: n, score: score(n, f.job.Resources)})
		}
	}
	if f.able {
		f.why = "every worker that may take it is full"
	}
}

// next returns the best worker with room, or nil.
func (f *finder) next() (*node, string) {
	for {
		if len(f.nodes) == 0 {
			f.walk()
		}
		if len(f.nodes) == 0 {
			f.refused()
			return nil, ""
		}
		best := heap.Pop(&f.nodes).(candidate)
		if Fits(f.job.Resources, best.node.free) {
			return best.node, "best fit"
		}
	}
}

// refused remembers a size for which the whole pool has no room, unless the
// job is pickier than others.
func (f *finder) refused() {
	if len(f.job.Avoid) == 0 && !f.stays {
		f.planner.full.add(f.job.Resources)
	}
}

// used offers a worker again after a task was put on it.
func (f *finder) used(n *node) {
	if n.QuarantineReason == "" && Fits(f.job.Resources, n.free) {
		heap.Push(&f.nodes, candidate{node: n, score: score(n, f.job.Resources)})
	}
}

// refusals are the smallest sizes found to fit nowhere; what is at least as
// large as one of them needn't look.
type refusals []record.Resources

func (r refusals) refuses(size record.Resources) bool {
	for _, refused := range r {
		if Fits(refused, size) {
			return true
		}
	}
	return false
}

func (r *refusals) add(size record.Resources) {
	if len(*r) < maxRefusals && !r.refuses(size) {
		*r = append(*r, size)
	}
}

func (n *node) takes(job *Job) bool {
	if !n.Ready || n.Draining || job.Avoid[n.Name] || !Fits(job.Resources, n.Capacity) {
		return false
	}
	return n.QuarantineReason == "" || (n.Probe && len(n.tasks) == 0 && n.free == n.Capacity)
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
	if n.Probe && n.QuarantineReason != "" {
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
