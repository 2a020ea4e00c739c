// Package fleet defines the interface to the platform's hosts and workers: a
// lagging list of hosts, the calls that drain and reboot a host, and workers that
// run tasks. It contains interfaces and message types; fakes are in its
// subpackages.
package fleet

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/record"
)

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a listed host. Hosts that are down are not listed.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name string `json:"name"`
	// Address is an IP address without a port.
	Address  string           `json:"address"`
	Region   string           `json:"region"`
	Zone     string           `json:"zone"`
	Rack     string           `json:"rack"`
	State    HostState        `json:"state"`
	Capacity record.Resources `json:"capacity"`
}

// HostList lists the platform's hosts. The list lags behind the actual state by
// seconds: a host that has gone down or come back may not be reflected yet.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// SameListing reports whether two host lists are the same slice. A HostList may
// return the same slice while nothing has changed, so that callers need not
// recompute what they derive from it.
func SameListing(a, b []Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// HostCondition is the current condition of a host as observed by the platform.
type HostCondition struct {
	// Reachable reports that the host responds to the platform.
	Reachable bool `json:"reachable"`
	// BootID changes at every boot.
	BootID string `json:"bootId"`
	// InFlight counts requests and tasks still running on the host.
	InFlight int `json:"inFlight"`
	// Healthy reports that every endpoint on the host passes its health check.
	Healthy bool `json:"healthy"`
	// LastOperation is the operation ID of the last Reboot carried out.
	LastOperation string `json:"lastOperation,omitempty"`
}

// HostControl drains and reboots hosts. Each action carries an operation ID and
// is idempotent: repeating it with the same ID has no further effect.
//
// An operation begins with its Drain and ends with its Undrain. The platform
// should refuse, with *StaleOperationError, a Drain or Reboot of an operation
// that has ended and a Reboot of one that never began: the caller cannot cancel
// an action that a paused process sends late or that the network delivers late.
// With a platform that remembers only the last Reboot, the system is safe as long
// as no action arrives later than MaxActionDelay after it was decided.
type HostControl interface {
	// Condition returns *HostUnknownError for a host that the platform does not
	// have.
	Condition(ctx context.Context, host string) (HostCondition, error)
	// Drain asks the host to take no new work.
	Drain(ctx context.Context, host, operation string) error
	// Undrain lets the host take work again.
	Undrain(ctx context.Context, host, operation string) error
	// Reboot restarts the host at once, whatever runs on it.
	Reboot(ctx context.Context, host, operation string) error
}

// MaxActionDelay is the maximum time from the check that an action is permitted
// until the platform has either carried it out or never will: a call's timeout
// (5 s) plus as much again for a message that is already in flight.
const MaxActionDelay = 10 * time.Second

// TaskState is the state of a task as reported by its worker.
type TaskState string

// The states of a task.
const (
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
)

// Task is a task that a worker is asked to run.
type Task struct {
	// ID identifies the start; starting the same ID twice runs the task once.
	ID  string `json:"id"`
	Job string `json:"job"`
	// Index is the index of the task within its job, from zero.
	Index int `json:"index"`
	// Allocated is the resources allocated to the task. Its worker ends it with
	// ReasonOutOfMemory if it uses more memory than that.
	Allocated  record.Resources `json:"declared"`
	Command    []string         `json:"command,omitempty"`
	LeaseTTL   time.Duration    `json:"leaseTtl"`
	ResumeFrom string           `json:"resumeOf,omitempty"`
	Throttled  bool             `json:"throttled,omitempty"`
}

// ReasonOutOfMemory is the failure reason of a task that used more memory than
// was allocated to it.
const ReasonOutOfMemory = "out of memory"

// TaskReport is a worker's report on one task. It lags behind the actual state.
type TaskReport struct {
	ID    string    `json:"id"`
	Job   string    `json:"job"`
	State TaskState `json:"state"`
	// PeakUsage is the peak resource usage of the task so far.
	PeakUsage record.Resources `json:"used"`
	// RanFor is how long the task has run, as measured by the worker.
	RanFor time.Duration `json:"ranFor"`
	Reason string        `json:"reason,omitempty"`
}

// Workers runs tasks on hosts under leases: a worker stops a task whose lease is
// not renewed.
//
// A worker remembers the tasks that have ended. A Start that a paused process
// sends late, or that the network delivers late, after the task was stopped is
// refused with *TaskEndedError. Otherwise a task that has been placed again
// elsewhere would run twice at the same time.
type Workers interface {
	Start(ctx context.Context, host string, task Task) error
	// Renew extends the leases of all the given tasks on one host.
	Renew(ctx context.Context, host string, taskIDs []string, ttl time.Duration) error
	// Checkpoint saves the task's progress and ends the task; it returns once
	// the task has ended. It returns *TaskEndedError if the task is not running.
	Checkpoint(ctx context.Context, host, taskID string) error
	Throttle(ctx context.Context, host, taskID string, on bool) error
	// Stop returns once the task is not running and can no longer be started on
	// the host, whether or not it was ever started there.
	Stop(ctx context.Context, host, taskID string) error
	// Reports returns the reports of all tasks that the host still remembers.
	// They lag by seconds.
	Reports(ctx context.Context, host string) ([]TaskReport, error)
}
