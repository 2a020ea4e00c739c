// Package fleet is the seam to the platform's hosts and workers: a lagging
// list of hosts, the means to drain and reboot one, and workers that run
// tasks. It holds interfaces and messages; adapters and fakes live below it.
package fleet

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/record"
)

// HostState is what the platform's list says of a host.
type HostState string

// The states of a listed host. A host that is gone isn't listed.
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

// HostList lists the platform's hosts. The answer lags behind the truth by
// seconds: a host may be gone, or back, without it saying so yet.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// SameListing reports whether two readings of a host list are the very same
// slice: what a HostList may return while nothing has changed, so that nothing
// made from the list has to be made anew.
func SameListing(a, b []Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// HostCondition is what the platform sees of a host right now.
type HostCondition struct {
	// Reachable says that the host answers the platform.
	Reachable bool `json:"reachable"`
	// BootID changes at every boot.
	BootID string `json:"bootId"`
	// InFlight counts requests and tasks still running on the host.
	InFlight int `json:"inFlight"`
	// Healthy says that every endpoint on the host passes its health check.
	Healthy bool `json:"healthy"`
	// LastOperation is the operation identity of the last Reboot taken.
	LastOperation string `json:"lastOperation,omitempty"`
}

// HostControl drains and reboots hosts. Each act carries an operation identity;
// repeating an act with the same identity has no further effect.
//
// An operation begins with its Drain and ends with its Undrain. The platform
// should refuse, with *StaleOperationError, a Drain or Reboot of an operation
// that has ended and a Reboot of one that never began: nothing on our side can
// call back an act that a paused process sends, or a network delivers, late.
// With a platform that only remembers the last Reboot, the system stays safe
// as long as no act arrives later than MaxActDelay after it was decided.
type HostControl interface {
	// Condition returns *HostUnknownError for a host the platform doesn't have.
	Condition(ctx context.Context, host string) (HostCondition, error)
	// Drain asks the host to take no new work.
	Drain(ctx context.Context, host, operation string) error
	// Undrain lets the host take work again.
	Undrain(ctx context.Context, host, operation string) error
	// Reboot restarts the host at once, whatever runs on it.
	Reboot(ctx context.Context, host, operation string) error
}

// MaxActionDelay is the longest that an act may take from the check of the right
// to act until the platform takes it or never will: a call's timeout (5 s) and
// as much again for a message that was already on its way.
const MaxActionDelay = 10 * time.Second

// TaskState is what a worker says of a task.
type TaskState string

// The states of a task.
const (
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
)

// Task is what a worker is asked to run.
type Task struct {
	// ID is the operation identity; starting the same ID twice runs it once.
	ID  string `json:"id"`
	Job string `json:"job"`
	// Index says which of the job's tasks this is, from zero.
	Index int `json:"index"`
	// Allocated is what the task is given: its worker ends it with
	// ReasonOutOfMemory when it uses more memory.
	Allocated  record.Resources `json:"declared"`
	Command    []string         `json:"command,omitempty"`
	LeaseTTL   time.Duration    `json:"leaseTtl"`
	ResumeFrom string           `json:"resumeOf,omitempty"`
	Throttled  bool             `json:"throttled,omitempty"`
}

// ReasonOutOfMemory is the reason of a task that used more memory than it was
// given.
const ReasonOutOfMemory = "out of memory"

// TaskReport is a lagging usage report.
type TaskReport struct {
	ID    string    `json:"id"`
	Job   string    `json:"job"`
	State TaskState `json:"state"`
	// PeakUsage is the most that the task has used so far.
	PeakUsage record.Resources `json:"used"`
	// RanFor is how long the task has run, as the worker counts it.
	RanFor time.Duration `json:"ranFor"`
	Reason string        `json:"reason,omitempty"`
}

// Workers runs tasks on hosts under leases: a task whose lease isn't renewed
// is stopped by its worker.
//
// A worker remembers the tasks that ended, so that a Start which a paused
// process sends, or a network delivers, after the task was stopped runs
// nothing: it is refused with *TaskEndedError. Without that a task that has
// been placed anew would run twice at once.
type Workers interface {
	Start(ctx context.Context, host string, task Task) error
	// Renew extends the leases of all the given tasks on one host.
	Renew(ctx context.Context, host string, taskIDs []string, ttl time.Duration) error
	// Checkpoint saves the task's progress and ends it; it answers once the
	// task has ended. It returns *TaskEndedError when the task doesn't run.
	Checkpoint(ctx context.Context, host, taskID string) error
	Throttle(ctx context.Context, host, taskID string, on bool) error
	// Stop answers once the task doesn't run and never will, whether or not
	// it was ever started there.
	Stop(ctx context.Context, host, taskID string) error
	// Reports returns the reports of every task the host still remembers. It
	// lags by seconds.
	Reports(ctx context.Context, host string) ([]TaskReport, error)
}
