package placement

import (
	"container/heap"
	"hash/fnv"

	"auburnglade.example/glade/internal/record"
)

const (
	// maxCandidates is how many workers with room are compared for one job. In
	// a pool of 1,000 workers the best of all is hardly better than the best of
	// 64.
	maxCandidates = 64
	// maxEvictions is how many evictions are compared for one job.
	maxEvictions = 32
	// maxUnplaceableSizes limits how many sizes are kept as unplaceable.
	maxUnplaceableSizes = 16
)

// finder returns workers for one job's tasks, best first. It scans the pool's
// workers at most once, starting at an offset derived from the job's name, and
// keeps those with room in a heap.
type finder struct {
	planner *planner
	job     *Job
	nodes   candidateHeap
	// scanned counts the workers examined so far; offset is where the scan starts.
	scanned, offset int
	// skipDrainSoon excludes workers that are about to be drained.
	skipDrainSoon bool
	// anyEligible is whether any worker may run the job, full or not.
	anyEligible bool
	// waitReason is why the job's remaining tasks wait if no worker is found.
	waitReason string
}

type candidate struct {
	node  *node
	score float64
}

type candidateHeap []candidate

func (c candidateHeap) Len() int { return len(c) }
func (c candidateHeap) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].node.Name < c[j].node.Name
}
func (c candidateHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidateHeap) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidateHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func (p *planner) newFinder(job *Job) *finder {
	f := &finder{planner: p, job: job, waitReason: "no worker that may take it is ready"}
	if len(p.nodes) > maxCandidates {
		hash := fnv.New32a()
		hash.Write([]byte(job.Name))
		f.offset = int(hash.Sum32()) % len(p.nodes)
	}
	f.skipDrainSoon = f.shouldSkipDrainSoon()
	return f
}

// shouldSkipDrainSoon reports whether to exclude workers that are about to be
// drained: the job runs long and another worker is eligible for it, now or
// later. Urgent jobs and jobs at risk of missing their deadline use any worker.
func (f *finder) shouldSkipDrainSoon() bool {
	if f.job.RunTime < LongTaskRunTime || f.job.class() <= 1 {
		return false
	}
	for i := range f.planner.nodes {
		if n := f.nodeAt(i); !n.DrainSoon && n.eligible(f.job) {
			return true
		}
	}
	return false
}

func (f *finder) nodeAt(i int) *node {
	nodes := f.planner.nodes
	return nodes[(f.offset+i)%len(nodes)]
}

func (f *finder) eligible(n *node) bool {
	return n.eligible(f.job) && !(f.skipDrainSoon && n.DrainSoon)
}

// scan examines further workers until the heap holds maxCandidates.
func (f *finder) scan() {
	if f.planner.noRoom.covers(f.job.Resources) {
		f.anyEligible, f.scanned = true, len(f.planner.nodes)
	}
	for f.scanned < len(f.planner.nodes) && len(f.nodes) < maxCandidates {
		n := f.nodeAt(f.scanned)
		f.scanned++
		if !f.eligible(n) {
			continue
		}
		f.anyEligible = true
		if Fits(f.job.Resources, n.free) {
			heap.Push(&f.nodes, candidate{node: n, score: score(n, f.job.Resources)})
		}
	}
	if f.anyEligible {
		f.waitReason = "every worker that may take it is full"
	}
}

// next returns the best worker with room and the reason for it, or nil.
func (f *finder) next() (*node, string) {
	for {
		if len(f.nodes) == 0 {
			f.scan()
		}
		if len(f.nodes) == 0 {
			f.recordNoRoom()
			return nil, ""
		}
		best := heap.Pop(&f.nodes).(candidate)
		if Fits(f.job.Resources, best.node.free) {
			return best.node, "best fit"
		}
	}
}

// recordNoRoom records a size for which the whole pool has no room. It skips
// jobs that exclude workers which other jobs may use.
func (f *finder) recordNoRoom() {
	if len(f.job.AvoidWorkers) == 0 && !f.skipDrainSoon {
		f.planner.noRoom.add(f.job.Resources)
	}
}

// requeue returns a worker to the heap after a task was placed on it, if it
// has room for another one.
func (f *finder) requeue(n *node) {
	if n.QuarantineReason == "" && Fits(f.job.Resources, n.free) {
		heap.Push(&f.nodes, candidate{node: n, score: score(n, f.job.Resources)})
	}
}

// unplaceableSizes holds sizes found to fit on no worker. A size at least as
// large as one of them is not searched for.
type unplaceableSizes []record.Resources

func (r unplaceableSizes) covers(size record.Resources) bool {
	for _, refused := range r {
		if Fits(refused, size) {
			return true
		}
	}
	return false
}

func (r *unplaceableSizes) add(size record.Resources) {
	if len(*r) < maxUnplaceableSizes && !r.covers(size) {
		*r = append(*r, size)
	}
}

func (n *node) eligible(job *Job) bool {
	if !n.Ready || n.Draining || job.AvoidWorkers[n.Name] || !Fits(job.Resources, n.Capacity) {
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

// score rates a worker for a task. It prefers the worker with the smallest
// remaining fraction of its least used resource (best fit), keeps accelerators
// for tasks that need them, and prefers hosts that are not about to be drained.
func score(n *node, size record.Resources) float64 {
	remaining := Sub(n.free, size)
	total := max(fraction(remaining.MilliCPU, n.Capacity.MilliCPU), fraction(remaining.MemoryMB, n.Capacity.MemoryMB))
	if size.Accelerators == 0 && remaining.Accelerators > 0 {
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

func fraction(amount, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
