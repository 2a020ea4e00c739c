// Package worker defines the interface to the hosts that run tasks: the
// properties of a host, the orders sent to it, and their outcomes.
package worker

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Host is a pooled host as listed by the platform. After a restart a host may have a
// new ID or keep the one that it had; Born then tells its incarnations apart.
type Host struct {
	ID string
	// Born is when this incarnation started, in Unix milliseconds by the host's own
	// clock, zero if unknown.
	Born     int64
	Pool     string
	Address  string
	Zone     string
	Kind     string
	Rack     string
	Labels   []string
	Capacity work.Resources
	Draining bool
}

// Has reports whether the host has the label.
func (h *Host) Has(label string) bool { return slices.Contains(h.Labels, label) }

// Target is the host incarnation that an order is addressed to. Hosts check the ID
// only: an order may reach a later incarnation under the same ID.
type Target struct {
	ID      string
	Address string
	// Born is the incarnation that the sender means, as in Host; it is not sent.
	Born int64
	// Fence is the fencing token for orders to that incarnation, zero if unknown.
	Fence int64
}

// Start starts one run of a task.
type Start struct {
	Task work.TaskName
	// Run is the number of the run. A host refuses a number that isn't higher than
	// that of every run of the task that has ended there.
	Run     int
	Payload string
	// DeadlineMs is when the lease on the run expires, by the host's clock.
	DeadlineMs int64
	Fence      int64
	// Checkpoint is the checkpoint to resume from, empty for none.
	Checkpoint string
	// Ticket is the proof that the queue's policy allows this host, empty if the
	// queue has none.
	Ticket string
}

// Stop stops one run. If the run's start arrives at the host later, the host
// refuses it.
type Stop struct {
	Task  work.TaskName
	Run   int
	Fence int64
}

// Throttle limits a run to Percent of its full speed.
type Throttle struct {
	Task    work.TaskName
	Run     int
	Percent int
	Fence   int64
}

// Heartbeat renews the lease on all runs of a host, acknowledges ended runs and
// requests the host's state. The reply is a HeartbeatReply.
type Heartbeat struct {
	Fence int64
	// AckedEnd is the number of the last end that is stored.
	AckedEnd int64
	// DeadlineMs, if not zero, is the new expiry of the lease by the host's clock.
	DeadlineMs int64
	// Wait is how long the host may delay the reply until a run ends.
	Wait time.Duration
	// OmitRunning requests a reply without the running tasks, because a recent
	// reply listed them. Hosts list them anyway; a carrier removes them from the
	// reply that it relays.
	OmitRunning bool
	// ExtraTimeout extends the timeout while the caller is busy.
	ExtraTimeout time.Duration
}

// Outcome is the outcome of an order.
type Outcome int

const (
	// Unknown: no response. The order may still be executed seconds later.
	Unknown Outcome = iota
	// Accepted: the order was executed.
	Accepted
	// Fenced: the host has received an order with a higher fencing token, of a later
	// holder or of the same one for a later incarnation of the host.
	Fenced
	// StaleRun: a run of the task with this number or a higher one has ended there.
	StaleRun
	// TooLate: the lease in the order has already expired.
	TooLate
	// NoRoom: the host does not have enough free resources for the task.
	NoRoom
	// NoTicket: the ticket is missing or has expired.
	NoTicket
	// Gone: this incarnation of the host has ended, with all its runs.
	Gone
	// Unhealthy: the host refused the order because of its own health and did
	// nothing.
	Unhealthy
	// Malformed: the host could not parse the order.
	Malformed
	// NotSent: certainly no byte of the order was sent.
	NotSent
	// Expired: the order was too old when it was to be sent, and was not.
	Expired
)

var outcomeNames = [...]string{
	"unknown", "accepted", "deposed", "outdated", "too late", "no room", "no ticket", "gone", "unwell", "malformed", "not sent", "expired",
}

func (o Outcome) String() string { return outcomeNames[o] }

// Report is the state of one run on a host.
type Report struct {
	Task       work.TaskName
	Run        int
	Checkpoint string
	// Percent is the progress of the run. A long-running task is available at 100.
	Percent int
	// Load is the tail latency in milliseconds for a serving task, and the CPU use
	// in thousandths of a core for any other task.
	Load int
}

// RunEnd is the end of one run. A host lists it until it is acknowledged.
type RunEnd struct {
	Seq        int64
	Task       work.TaskName
	Run        int
	Reason     work.EndReason
	Checkpoint string
}

// MaxEnds is the maximum number of ends in one reply.
const MaxEnds = 500

// HeartbeatReply is a host's reply to a heartbeat.
type HeartbeatReply struct {
	// Born is the incarnation that replies, as in Host.
	Born int64
	// ClockMs is the host's clock in milliseconds.
	ClockMs int64
	// RunningOmitted is set when Running was left out of the reply.
	RunningOmitted bool
	Running        []Report
	// Ended are the ends after Heartbeat.AckedEnd in order, at most MaxEnds.
	Ended []RunEnd
}

const (
	// OrderTimeout is the timeout of a start, stop or throttle order. Hosts usually
	// respond within milliseconds; after a timeout the order may still be executed.
	OrderTimeout = 900 * time.Millisecond
	// MaxOrderAttempts bounds the attempts of one order. Each further one begins while an
	// earlier one is under way, so that AttemptsOutlast bounds how long after the order
	// another one may be.
	MaxOrderAttempts = 3
	AttemptsOutlast  = MaxOrderAttempts * OrderTimeout
	// HeartbeatGrace is the timeout of a heartbeat beyond its Wait. It is short
	// enough for a retry before the host counts as unresponsive.
	HeartbeatGrace = 450 * time.Millisecond
)

// Client sends orders to hosts. The outcome of an order without a response is
// Unknown, or NotSent when certainly no byte of it was sent.
type Client interface {
	Start(ctx context.Context, to Target, order Start) Outcome
	Stop(ctx context.Context, to Target, order Stop) Outcome
	Throttle(ctx context.Context, to Target, order Throttle) Outcome
	Heartbeat(ctx context.Context, to Target, order Heartbeat) (HeartbeatReply, Outcome)
}

// Ticket authorizes a step to run on one host.
type Ticket struct {
	Host   string
	Ticket string
}

// Adviser is a client of the advice service, which decides on which hosts a
// queue's steps may run.
type Adviser interface {
	// Advise returns tickets for the hosts that may run the step.
	Advise(ctx context.Context, step string, hosts []string) (tickets []Ticket, validity time.Duration, err error)
}

// HostSource provides the hosts of pools.
type HostSource interface {
	// Watch calls update with all hosts of a pool at each change until ctx is done.
	Watch(ctx context.Context, pool string, update func([]Host))
}
