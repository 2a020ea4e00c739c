package placement

import (
	"sort"
	"time"

	"auburnglade.example/glade/internal/record"
)

// eviction is a set of actions that frees room on one worker. Its cost is the
// work lost.
type eviction struct {
	node    *node
	actions []Action
	tasks   []*Task
	cost    time.Duration
}

// preempt makes room for a job on the worker where that loses the least work.
// Only urgent jobs and jobs about to miss their deadline preempt others, and
// only tasks of a lower priority class. It returns the worker and the IDs of the
// tasks to wait for, or nil if no worker can make enough room.
func (p *planner) preempt(job *Job, f *finder) (*node, []string) {
	if job.class() > 1 {
		return nil, nil
	}
	var best *eviction
	compared := 0
	for i := 0; i < len(p.nodes) && compared < maxEvictions && !p.noRoomPreempting.covers(job.Resources); i++ {
		n := f.nodeAt(i)
		if n.QuarantineReason != "" || !f.eligible(n) {
			continue
		}
		e := p.evict(n, job)
		if e == nil {
			continue
		}
		compared++
		if best == nil || e.cost < best.cost {
			best = e
		}
	}
	if best == nil {
		if len(job.AvoidWorkers) == 0 {
			p.noRoomPreempting.add(job.Resources)
		}
		f.waitReason = "no lesser work could make enough room"
		return nil, nil
	}
	return best.node, p.apply(best)
}

// evict selects the tasks that would make room on one worker: by throttling
// if only CPU is short, otherwise by checkpointing. It returns nil if there is
// no such set of tasks.
func (p *planner) evict(n *node, job *Job) *eviction {
	victims := p.victims(n, job)
	if e := throttling(n, victims, job.Resources); e != nil {
		return e
	}
	e := &eviction{node: n}
	room := n.free
	for _, task := range victims {
		if Fits(job.Resources, room) {
			break
		}
		if !freesShortage(task, job.Resources, room) {
			continue
		}
		room = Add(room, task.Allocated())
		e.tasks = append(e.tasks, task)
		e.actions = append(e.actions, Action{Task: task.ID, Verb: Checkpoint, Reason: "makes room for " + job.Name})
		e.cost += restartCost + task.RanFor
	}
	if !Fits(job.Resources, room) {
		return nil
	}
	return e
}

// Costs of an action on a task, in lost work. Checkpointing adds the time the
// task has run.
const (
	throttleCost = 10 * time.Second
	restartCost  = 30 * time.Second
)

func throttling(n *node, victims []*Task, size record.Resources) *eviction {
	if size.MemoryMB > n.free.MemoryMB || size.Accelerators > n.free.Accelerators {
		return nil
	}
	e := &eviction{node: n}
	room := n.free.MilliCPU
	for _, task := range victims {
		if room >= size.MilliCPU {
			break
		}
		if task.Throttled {
			continue
		}
		room += task.Resources.MilliCPU - task.Resources.MilliCPU/throttledCPUDivisor
		e.tasks = append(e.tasks, task)
		e.actions = append(e.actions, Action{Task: task.ID, Verb: Throttle, Reason: "leaves processors to more urgent work"})
		e.cost += throttleCost
	}
	if room < size.MilliCPU {
		return nil
	}
	return e
}

// freesShortage reports whether ending the task frees a resource that is short.
func freesShortage(task *Task, size, room record.Resources) bool {
	allocated := task.Allocated()
	return (size.MilliCPU > room.MilliCPU && allocated.MilliCPU > 0) ||
		(size.MemoryMB > room.MemoryMB && allocated.MemoryMB > 0) ||
		(size.Accelerators > room.Accelerators && allocated.Accelerators > 0)
}

// victims lists the tasks on a worker that a job may preempt: the lowest
// priority class first, and within a class the shortest run time first.
func (p *planner) victims(n *node, job *Job) []*Task {
	var tasks []*Task
	for _, task := range n.tasks {
		if !task.Terminating && !p.acted[task.ID] && class(task.Priority, false) > max(job.class(), 1) {
			tasks = append(tasks, task)
		}
	}
	sort.SliceStable(tasks, func(i, j int) bool {
		classA, classB := class(tasks[i].Priority, false), class(tasks[j].Priority, false)
		if classA != classB {
			return classA > classB
		}
		return tasks[i].RanFor < tasks[j].RanFor
	})
	return tasks
}

// apply adds the eviction's actions to the plan and counts the freed room. It
// returns the IDs of the tasks that must have made room before the start.
func (p *planner) apply(e *eviction) []string {
	var waitFor []string
	for i, task := range e.tasks {
		act := e.actions[i]
		p.act(task, act.Verb, act.Reason)
		waitFor = append(waitFor, task.ID)
		if act.Verb == Throttle {
			e.node.free.MilliCPU += task.Resources.MilliCPU - task.Resources.MilliCPU/throttledCPUDivisor
			continue
		}
		e.node.free = Add(e.node.free, task.Allocated())
	}
	return waitFor
}
