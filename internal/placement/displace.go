package placement

import (
	"sort"
	"time"

	"auburnglade.example/glade/internal/record"
)

// eviction is a way to make room on one worker, and what it costs.
type eviction struct {
	node  *node
	acts  []Action
	tasks []*Task
	cost  time.Duration
}

// displace makes room for a job on the worker where that loses the least work.
// Only urgent jobs and jobs about to miss their deadline displace others, and
// only tasks of a lesser class.
func (p *planner) displace(job *Job, f *finder) (*node, []string) {
	if job.class() > 1 {
		return nil, nil
	}
	var best *eviction
	ways := 0
	for i := 0; i < len(p.nodes) && ways < enoughEvictions && !p.stuck.refuses(job.Resources); i++ {
		n := f.at(i)
		if n.QuarantineReason != "" || !f.takes(n) {
			continue
		}
		e := p.evict(n, job)
		if e == nil {
			continue
		}
		ways++
		if best == nil || e.cost < best.cost {
			best = e
		}
	}
	if best == nil {
		if len(job.Avoid) == 0 {
			p.stuck.add(job.Resources)
		}
		f.why = "no lesser work could make enough room"
		return nil, nil
	}
	return best.node, p.apply(best)
}

// evict works out which tasks would make room on one worker: by throttling
// alone when only processors are short, otherwise by checkpointing.
func (p *planner) evict(n *node, job *Job) *eviction {
	lesser := p.lesser(n, job)
	if e := throttling(n, lesser, job.Resources); e != nil {
		return e
	}
	e := &eviction{node: n}
	room := n.free
	for _, task := range lesser {
		if Fits(job.Resources, room) {
			break
		}
		if !helps(task, job.Resources, room) {
			continue
		}
		room = Add(room, task.Allocated())
		e.tasks = append(e.tasks, task)
		e.acts = append(e.acts, Action{Task: task.ID, Verb: Checkpoint, Reason: "makes room for " + job.Name})
		e.cost += restartCost + task.RanFor
	}
	if !Fits(job.Resources, room) {
		return nil
	}
	return e
}

// Costs of disturbing a task, in lost work.
const (
	throttleCost = 10 * time.Second
	restartCost  = 30 * time.Second
)

func throttling(n *node, lesser []*Task, size record.Resources) *eviction {
	if size.MemoryMB > n.free.MemoryMB || size.Accelerators > n.free.Accelerators {
		return nil
	}
	e := &eviction{node: n}
	room := n.free.MilliCPU
	for _, task := range lesser {
		if room >= size.MilliCPU {
			break
		}
		if task.Throttled {
			continue
		}
		room += task.Resources.MilliCPU - task.Resources.MilliCPU/throttledDivisor
		e.tasks = append(e.tasks, task)
		e.acts = append(e.acts, Action{Task: task.ID, Verb: Throttle, Reason: "leaves processors to more urgent work"})
		e.cost += throttleCost
	}
	if room < size.MilliCPU {
		return nil
	}
	return e
}

// helps reports whether ending a task frees anything that is short.
func helps(task *Task, size, room record.Resources) bool {
	held := task.Allocated()
	return (size.MilliCPU > room.MilliCPU && held.MilliCPU > 0) ||
		(size.MemoryMB > room.MemoryMB && held.MemoryMB > 0) ||
		(size.Accelerators > room.Accelerators && held.Accelerators > 0)
}

// lesser lists the tasks on a worker that a job may displace: the least class
// first, and in it those that have run the shortest.
func (p *planner) lesser(n *node, job *Job) []*Task {
	var tasks []*Task
	for _, task := range n.tasks {
		if !task.Terminating && !p.acts[task.ID] && class(task.Priority, false) > max(job.class(), 1) {
			tasks = append(tasks, task)
		}
	}
	sort.SliceStable(tasks, func(i, j int) bool {
		a, b := class(tasks[i].Priority, false), class(tasks[j].Priority, false)
		if a != b {
			return a > b
		}
		return tasks[i].RanFor < tasks[j].RanFor
	})
	return tasks
}

// apply tells the tasks and counts the room; it returns the tasks that must
// have made room before the start.
func (p *planner) apply(e *eviction) []string {
	var after []string
	for i, task := range e.tasks {
		act := e.acts[i]
		p.act(task, act.Verb, act.Reason)
		after = append(after, task.ID)
		if act.Verb == Throttle {
			e.node.free.MilliCPU += task.Resources.MilliCPU - task.Resources.MilliCPU/throttledDivisor
			continue
		}
		e.node.free = Add(e.node.free, task.Allocated())
	}
	return after
}
