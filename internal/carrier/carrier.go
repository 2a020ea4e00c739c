// Package carrier distributes a large pool's calls to its hosts over other entry
// hosts, the carriers. The pool's holder makes all scheduling decisions and is
// the only process with the pool's state; a carrier calls a subset of the pool's
// hosts on its behalf and returns their replies. Carriers are stateless with
// regard to the pool: any call may go through any carrier, and the failure of a
// carrier loses only the replies in flight. A call without a reply is Unknown, as
// if the host itself had not replied.
package carrier

import (
	"context"
	"fmt"
	"time"

	"auburnglade.example/glade/internal/worker"
)

const (
	// minBatchDelay batches calls, or replies, that arrive together.
	minBatchDelay = 4 * time.Millisecond
	// batchDelayAt1Mbps is the batch delay on a link of 1 Mbit/s; the delay is
	// inversely proportional to the bandwidth. An exchange has about 400 bytes of
	// overhead, and a holder has one exchange per carrier and batch delay.
	batchDelayAt1Mbps = 80 * time.Millisecond
	// maxBatchDelay bounds the batch delay, which adds to the time until the end
	// of a run is reported and until the next start is sent.
	maxBatchDelay = 50 * time.Millisecond
)

// BatchDelay returns the batch delay for a link with a bandwidth of linkMbps Mbit/s,
// zero if unknown.
func BatchDelay(linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return minBatchDelay
	}
	return min(maxBatchDelay, max(minBatchDelay, time.Duration(float64(batchDelayAt1Mbps)/linkMbps)))
}

// Call is one call to one host. Exactly one of Start, Stop, Throttle and
// Heartbeat is set.
type Call struct {
	// ID is chosen by the caller and unique within its session.
	ID     uint64
	Target worker.Target
	// Timeout bounds the carrier's call to the host.
	Timeout time.Duration
	// SendBy is when the carrier must have sent it, by its clock. Later its caller has given
	// it up, and the host may have restarted under its ID and would execute it.
	SendBy    Moment
	Start     *worker.Start
	Stop      *worker.Stop
	Throttle  *worker.Throttle
	Heartbeat *worker.Heartbeat
}

// sendTo makes the call through workers.
func (c Call) sendTo(ctx context.Context, workers worker.Client) Reply {
	reply := Reply{ID: c.ID}
	switch {
	case c.Start != nil:
		reply.Outcome = workers.Start(ctx, c.Target, *c.Start)
	case c.Stop != nil:
		reply.Outcome = workers.Stop(ctx, c.Target, *c.Stop)
	case c.Throttle != nil:
		reply.Outcome = workers.Throttle(ctx, c.Target, *c.Throttle)
	case c.Heartbeat != nil:
		reply.Heartbeat, reply.Outcome = workers.Heartbeat(ctx, c.Target, *c.Heartbeat)
	default:
		reply.Outcome = worker.Malformed
	}
	return reply
}

// Reply is the result of a call. Heartbeat is the reply to a heartbeat.
type Reply struct {
	ID        uint64
	Outcome   worker.Outcome
	Heartbeat worker.HeartbeatReply
	// Now is the carrier's clock when it sent the reply. Only the first reply of an exchange
	// has it.
	Now Moment
}

// Peers is the client for carriers.
type Peers interface {
	// Exchange sends calls to the carrier at an address and returns replies to
	// these and to earlier calls of the session. It returns as soon as there are
	// replies or a later exchange of the session arrives. The error is
	// *UnsentError if nothing can have been sent; after any other error it is
	// unknown which calls were executed.
	Exchange(ctx context.Context, address, session string, calls []Call) ([]Reply, error)
}

// UnsentError reports that a carrier cannot have received the calls.
type UnsentError struct {
	Address string
	Cause   error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("carrier %s: calls not sent: %v", e.Address, e.Cause)
}

func (e *UnsentError) Unwrap() error { return e.Cause }
