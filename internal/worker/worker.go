// Package worker is the seam to the hosts that run tasks: what is known of a
// host, the orders it takes, and what its answers mean.
package worker

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Host is one life of a pooled host, as the platform's list shows it. A host
// that restarts comes back with another ID.
type Host struct {
	ID       string
	Pool     string
	Address  string
	Zone     string
	Kind     string
	Rack     string
	Labels   []string
	Capacity work.Resources
	Draining bool
}

// Has reports whether the host carries the label.
func (h *Host) Has(label string) bool { return slices.Contains(h.Labels, label) }

// Target names the life that an order is meant for.
type Target struct {
	ID      string
	Address string
}

// Start asks for one run of a task.
type Start struct {
	Task work.TaskName
	// Run numbers the task's runs; a host refuses one that isn't higher than
	// what it has seen end.
	Run        int
	Payload    string
	DeadlineMs int64
	Fence      int64
	// Checkpoint is the checkpoint to go on from, empty for none.
	Checkpoint string
	// Ticket shows that the queue's policy allows this host.
	Ticket string
}

// Stop asks for the end of one run, also of one that has yet to arrive.
type Stop struct {
	Task  work.TaskName
	Run   int
	Fence int64
}

// Throttle lets a run work at Percent of its speed.
type Throttle struct {
	Task    work.TaskName
	Run     int
	Percent int
	Fence   int64
}

// Heartbeat renews the hold on all that runs on a host and asks what does.
type Heartbeat struct {
	Fence int64
	// AckedEnd is the number of the last end that we have stored.
	AckedEnd int64
	// DeadlineMs, when set, is the new end of the hold on the host's clock.
	DeadlineMs int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// OmitRunning asks for no reports of what runs, as they were told a moment ago. A
	// host tells them all the same; a carrier leaves them out.
	OmitRunning bool
	// ExtraTimeout is how much longer than usual the answer may take to arrive, since
	// whoever asks is busy.
	ExtraTimeout time.Duration
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	// Unknown: it may be carried out yet, even seconds later.
	Unknown Outcome = iota
	// Accepted: it was carried out.
	Accepted
	// Fenced: the host has seen a higher fence.
	Fenced
	// Outdated: a run as high as this one has ended there.
	Outdated
	// TooLate: the hold it carries has run out already.
	TooLate
	// NoRoom: the host says that the task doesn't fit.
	NoRoom
	// NoTicket: the ticket is missing or isn't valid any more.
	NoTicket
	// Gone: this life of the host has ended, and all that ran in it.
	Gone
	// Unhealthy: the host refused it for its own health; nothing was done.
	Unhealthy
	// Malformed: the host can't read the order.
	Malformed
	// NotSent: no byte can have left.
	NotSent
)

var outcomeNames = [...]string{
	"unknown", "accepted", "deposed", "outdated", "too late", "no room", "no ticket", "gone", "unwell", "malformed", "not sent",
}

func (o Outcome) String() string { return outcomeNames[o] }

// Report is one run on a host.
type Report struct {
	Task       work.TaskName
	Run        int
	Checkpoint string
	// Percent is how far it is; a lasting task is at work at 100.
	Percent int
	// Load is the response time's tail of a serving task in milliseconds, and
	// the thousandths of a core that any other one uses.
	Load int
}

// RunEnd is one end that a host lists until we have seen it.
type RunEnd struct {
	Number     int64
	Task       work.TaskName
	Run        int
	Reason     work.EndReason
	Checkpoint string
}

// MaxEnds is how many ends one answer lists at most.
const MaxEnds = 500

// HeartbeatReply is what a host says to a hold.
type HeartbeatReply struct {
	ClockMs int64
	// RunningOmitted: Running is left out.
	RunningOmitted bool
	Running        []Report
	// Ended are the ends after Hold.Seen, in order, at most MaxEnds.
	Ended []RunEnd
}

const (
	// OrderTimeout bounds a start, stop or pace. A host answers within some
	// milliseconds; one that hasn't in this time may still carry it out.
	OrderTimeout = 900 * time.Millisecond
	// HeartbeatGrace is how much longer than its wait a hold may take: short enough
	// for another one before a host counts as silent.
	HeartbeatGrace = 450 * time.Millisecond
)

// Client carries orders to hosts. A call that ends without an answer is
// Unknown, or NotSent when no byte can have left.
type Client interface {
	Start(ctx context.Context, to Target, order Start) Outcome
	Stop(ctx context.Context, to Target, order Stop) Outcome
	Throttle(ctx context.Context, to Target, order Throttle) Outcome
	Heartbeat(ctx context.Context, to Target, order Heartbeat) (HeartbeatReply, Outcome)
}

// Ticket lets a step run on one host.
type Ticket struct {
	Host   string
	Ticket string
}

// Adviser knows which hosts a queue's policy allows.
type Adviser interface {
	// Advise returns tickets for the hosts that may run the step.
	Advise(ctx context.Context, step string, hosts []string) (tickets []Ticket, validity time.Duration, err error)
}

// HostSource knows the hosts of pools.
type HostSource interface {
	// Watch calls update with all hosts of a pool at each change, until ctx
	// ends.
	Watch(ctx context.Context, pool string, update func([]Host))
}
