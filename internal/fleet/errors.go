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
