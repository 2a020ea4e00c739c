// Package placement decides which task of which job runs on which worker of a
// pool, and which lesser task makes room. Make is pure: a snapshot in, a plan
// with its reasons out. Acting on a plan is the work of package jobs.
package placement

import (
	"time"

	"auburnglade.example/glade/internal/record"
)

// Worker is one host of the pool.
type Worker struct {
	Name     string
	Capacity record.Resources
	// Ready says that the host serves, is listed live and can be reached.
	Ready bool
	// Draining says that the host is being drained: its tasks go elsewhere.
	Draining bool
	// DrainSoon says that a running wave has yet to drain the host.
	DrainSoon bool
	// QuarantineReason says why the worker gets no tasks; empty when it may.
	QuarantineReason string
	// Probe lets a quarantined worker prove itself with a single task.
	Probe bool
}

// Job is one job of the pool.
type Job struct {
	Name string
	Spec *record.Job
	// Pending lists the indexes of tasks that are neither finished nor placed.
	Pending []int
	// Resources is what one task is expected to need, RunTime how long it is
	// expected to run. Least is what one task is known to need at least: where
	// Size fits no worker it is cut to what there is, down to Least.
	Resources    record.Resources
	MinResources record.Resources
	RunTime      time.Duration
	// Age is how long ago the job was accepted, at least.
	Age time.Duration
	// FaultReason, when set, is why the job is itself at fault.
	FaultReason string
	// Avoid names workers that the job has failed on.
	Avoid map[string]bool
}

// Task is a placed task.
type Task struct {
	ID, Job, Team, Host string
	Index               int
	Resources           record.Resources
	Priority            record.Priority
	RanFor              time.Duration
	Throttled           bool
	// Terminating says that the task was told to make room.
	Terminating bool
	// StopReason says why the task must end; empty when it needn't.
	StopReason string
}

// Input is the snapshot a plan is made from.
type Input struct {
	Workers []Worker
	Jobs    []Job
	Tasks   []Task
	// Quotas bound by team what running tasks hold; a team without one is
	// unbounded. Held is what the teams' tasks hold in other pools.
	Quotas        map[string]record.Resources
	UsedElsewhere map[string]record.Resources
	// NoPreemption keeps lesser work in place: no task makes room for another.
	NoPreemption bool
}

// Start places one task.
type Start struct {
	Job       string
	Index     int
	Host      string
	Resources record.Resources
	Reason    string
	// WaitFor names the tasks that must have made room before.
	WaitFor []string
}

// Verb is what a placed task is told.
type Verb string

// The verbs.
const (
	Checkpoint Verb = "checkpoint"
	Stop       Verb = "stop"
	Throttle   Verb = "throttle"
	Unthrottle Verb = "unthrottle"
)

// Action tells a placed task something.
type Action struct {
	Task   string
	Verb   Verb
	Reason string
}

// Plan is what to do now, and why the rest waits.
type Plan struct {
	Starts  []Start
	Actions []Action
	// Waiting says by job why pending tasks don't start now.
	Waiting map[string]string
	// Parked says by job why it can't run at all as things stand. It is worked
	// out anew in every plan, so a change of the fleet un-parks a job.
	Parked map[string]string
}

const (
	// LongTask is the run time from which a task isn't started on a host that
	// is about to drain if another worker could take it.
	LongTask = 10 * time.Minute
	// throttledDivisor is the part of its processors a throttled task keeps.
	throttledDivisor = 4
	// riskMargin is how much of a job's time to its deadline must be left over
	// for it not to be at risk: expected run times are off by half and more.
	riskMargin = 2
)

// Allocated returns what the task counts for on its worker.
func (t Task) Allocated() record.Resources {
	held := t.Resources
	if t.Throttled {
		held.MilliCPU /= throttledDivisor
	}
	return held
}

// Add returns the sum of two amounts.
func Add(a, b record.Resources) record.Resources {
	return record.Resources{
		MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// Sub returns a less b; it may be negative.
func Sub(a, b record.Resources) record.Resources {
	return record.Resources{
		MilliCPU: a.MilliCPU - b.MilliCPU, MemoryMB: a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// Cut returns size cut to at most room in every respect, but not below least.
func Cut(size, room, least record.Resources) record.Resources {
	return record.Resources{
		MilliCPU:     max(least.MilliCPU, min(size.MilliCPU, room.MilliCPU)),
		MemoryMB:     max(least.MemoryMB, min(size.MemoryMB, room.MemoryMB)),
		Accelerators: size.Accelerators,
	}
}

// Fits reports whether size is at most room in every respect.
func Fits(size, room record.Resources) bool {
	return size.MilliCPU <= room.MilliCPU && size.MemoryMB <= room.MemoryMB && size.Accelerators <= room.Accelerators
}
