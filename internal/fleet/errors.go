package fleet

import "fmt"

// HostUnknownError says that the platform has no such host.
type HostUnknownError struct{ Host string }

func (e *HostUnknownError) Error() string { return fmt.Sprintf("fleet: host %q is unknown", e.Host) }

// UnreachableError says that a host or the platform didn't take a call. The
// act may have taken effect when Sent is set.
type UnreachableError struct {
	Op    string
	Host  string
	Sent  bool
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("fleet: %s on host %q: unreachable: %v", e.Op, e.Host, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// StaleOperationError says that the platform refused an act because its
// operation is over or isn't the one that the host is drained under. Nothing
// happened, and nothing ever will under this operation.
type StaleOperationError struct {
	Op        string
	Host      string
	Operation string
}

func (e *StaleOperationError) Error() string {
	return fmt.Sprintf("fleet: %s on host %q: operation %q is over or was never begun", e.Op, e.Host, e.Operation)
}

// TaskEndedError says that a task doesn't run on the host any more, or was
// stopped before it came.
type TaskEndedError struct {
	Host  string
	Task  string
	State TaskState
}

func (e *TaskEndedError) Error() string {
	return fmt.Sprintf("fleet: task %q has ended on host %q: %s", e.Task, e.Host, e.State)
}
