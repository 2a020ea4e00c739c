// Package placement decides which task of which job runs on which worker of a
// pool, and which lower-priority tasks are preempted for it. MakePlan is a pure
// function from a snapshot to a plan with reasons; package jobs carries the
// plan out.
package placement

import (
	"time"

	"auburnglade.example/glade/internal/record"
)

// Worker is one host of the pool.
type Worker struct {
	Name     string
	Capacity record.Resources
	// Ready is whether the host is serving, listed as live and reachable.
	Ready bool
	// Draining is whether the host is being drained and its tasks must move.
	Draining bool
	// DrainSoon is whether a move or a running wave is still to drain the host.
	DrainSoon bool
	// QuarantineReason is why the worker gets no tasks; empty if it is not
	// quarantined.
	QuarantineReason string
	// Probe allows a quarantined worker to run a single task as a health probe.
	Probe bool
}

// Job is one job of the pool.
type Job struct {
	Name string
	Spec *record.Job
	// Pending lists the indexes of tasks that are neither finished nor placed.
	Pending []int
	// Resources is the estimated need of one task and RunTime its estimated run
	// time. MinResources is what one task is known to need: if Resources fits no
	// worker, it is reduced to the available amount, but not below MinResources.
	Resources    record.Resources
	MinResources record.Resources
	RunTime      time.Duration
	// Age is a lower bound of the time since the job was accepted.
	Age time.Duration
	// FaultReason is why the job itself is considered faulty; empty if it isn't.
	FaultReason string
	// AvoidWorkers holds the names of workers that the job has failed on.
	AvoidWorkers map[string]bool
}

// Task is a placed task.
type Task struct {
	ID, Job, Team, Host string
	Index               int
	Resources           record.Resources
	Priority            record.Priority
	RanFor              time.Duration
	Throttled           bool
	// Terminating is whether the task has already been told to end.
	Terminating bool
	// StopReason is why the task must be stopped; empty if it may run on.
	StopReason string
}

// Input is the snapshot that a plan is computed from.
type Input struct {
	Workers []Worker
	Jobs    []Job
	Tasks   []Task
	// Quotas limits the resources of each team's running tasks; a team without
	// a quota is unlimited. UsedElsewhere is what each team's tasks use in other
	// pools.
	Quotas        map[string]record.Resources
	UsedElsewhere map[string]record.Resources
	// NoPreemption disables checkpointing or throttling tasks to make room for
	// others.
	NoPreemption bool
}

// Start places one task.
type Start struct {
	Job       string
	Index     int
	Host      string
	Resources record.Resources
	Reason    string
	// WaitFor lists the IDs of tasks that must have ended or been throttled
	// before this one starts.
	WaitFor []string
}

// Verb is an action on a placed task.
type Verb string

// Actions on a placed task.
const (
	Checkpoint Verb = "checkpoint"
	Stop       Verb = "stop"
	Throttle   Verb = "throttle"
	Unthrottle Verb = "unthrottle"
)

// Action is an action on one placed task, with its reason.
type Action struct {
	Task   string
	Verb   Verb
	Reason string
}

// Plan is what to do now, and why the remaining tasks wait.
type Plan struct {
	Starts  []Start
	Actions []Action
	// Waiting maps a job to the reason why its pending tasks don't start now.
	Waiting map[string]string
	// Parked maps a job to the reason why it can't run in the current fleet.
	// Every plan computes it again, so a change of the fleet can unpark a job.
	Parked map[string]string
}

const (
	// LongTaskRunTime is the minimum run time for which a task is not started on a
	// host that is about to drain if another worker is eligible.
	LongTaskRunTime = 10 * time.Minute
	// throttledCPUDivisor divides the CPU of a throttled task: it keeps a quarter.
	throttledCPUDivisor = 4
	// riskMargin is the slack to the deadline, in multiples of the expected run
	// time, below which a job is at risk: run time estimates are off by half
	// and more.
	riskMargin = 2
)

// Allocated returns the resources that the task takes up on its worker.
func (t Task) Allocated() record.Resources {
	allocated := t.Resources
	if t.Throttled {
		allocated.MilliCPU /= throttledCPUDivisor
	}
	return allocated
}

// Add returns the sum of two amounts.
func Add(a, b record.Resources) record.Resources {
	return record.Resources{
		MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// Sub returns a minus b; the result may be negative.
func Sub(a, b record.Resources) record.Resources {
	return record.Resources{
		MilliCPU: a.MilliCPU - b.MilliCPU, MemoryMB: a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// Clamp returns size with CPU and memory limited to room, but not below least.
// Accelerators are unchanged.
func Clamp(size, room, least record.Resources) record.Resources {
	return record.Resources{
		MilliCPU:     max(least.MilliCPU, min(size.MilliCPU, room.MilliCPU)),
		MemoryMB:     max(least.MemoryMB, min(size.MemoryMB, room.MemoryMB)),
		Accelerators: size.Accelerators,
	}
}

// Fits reports whether size does not exceed room in any resource.
func Fits(size, room record.Resources) bool {
	return size.MilliCPU <= room.MilliCPU && size.MemoryMB <= room.MemoryMB && size.Accelerators <= room.Accelerators
}
