package fleet

import "fmt"

// HostUnknownError reports that the platform does not have the host.
type HostUnknownError struct{ Host string }

func (e *HostUnknownError) Error() string { return fmt.Sprintf("fleet: host %q is unknown", e.Host) }

// UnreachableError reports that a call to a host or to the platform failed.
// If MaybeSent is set, the call may have taken effect.
type UnreachableError struct {
	Op        string
	Host      string
	MaybeSent bool
	Cause     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("fleet: %s on host %q: unreachable: %v", e.Op, e.Host, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// StaleOperationError reports that the platform refused an action because its
// operation has ended or is not the one under which the host is drained. The
// action had no effect, and no later action of this operation can have one.
type StaleOperationError struct {
	Op        string
	Host      string
	Operation string
}

func (e *StaleOperationError) Error() string {
	return fmt.Sprintf("fleet: %s on host %q: operation %q is over or was never begun", e.Op, e.Host, e.Operation)
}

// TaskEndedError reports that a task no longer runs on the host, or was stopped
// before its start arrived.
type TaskEndedError struct {
	Host  string
	Task  string
	State TaskState
}

func (e *TaskEndedError) Error() string {
	return fmt.Sprintf("fleet: task %q has ended on host %q: %s", e.Task, e.Host, e.State)
}
