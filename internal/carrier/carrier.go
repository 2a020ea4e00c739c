// Package carrier lets other entry hosts carry the orders of a large pool. The
// pool's holder decides, and alone knows what runs where; a carrier makes the
// calls to a part of its hosts and hands back what they answered. It keeps
// nothing of the pool, so that any call may go through any carrier, and a
// carrier that dies costs no more than the answers on their way: a call without
// one is Unknown, as if the host itself had not answered.
package carrier

import (
	"context"
	"fmt"
	"time"

	"auburnglade.example/glade/internal/worker"
)

const (
	// leastPause lets calls, or replies, that come together be told together.
	leastPause = 4 * time.Millisecond
	// linkPause is that on a link of one megabit a second: an exchange takes some
	// 400 bytes beside what it carries, and a holder has one with each carrier in
	// every pause.
	linkPause = 80 * time.Millisecond
	// longestPause bounds it: an end is told and followed by a start that much
	// later.
	longestPause = 50 * time.Millisecond
)

// BatchDelay returns the pause between exchanges on a link of so many megabits a
// second, zero for one that isn't known.
func BatchDelay(linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return leastPause
	}
	return min(longestPause, max(leastPause, time.Duration(float64(linkPause)/linkMbps)))
}

// Call is one order for one host. Exactly one of the orders is set.
type Call struct {
	// ID is the caller's own and names the call in its session.
	ID     uint64
	Target worker.Target
	// Timeout bounds the carrier's call to the host.
	Timeout time.Duration
	Start   *worker.Start
	Stop    *worker.Stop
	Pace    *worker.Throttle
	Hold    *worker.Heartbeat
}

// on makes the call through orders.
func (c Call) on(ctx context.Context, orders worker.Client) Reply {
	reply := Reply{ID: c.ID}
	switch {
	case c.Start != nil:
		reply.Outcome = orders.Start(ctx, c.Target, *c.Start)
	case c.Stop != nil:
		reply.Outcome = orders.Stop(ctx, c.Target, *c.Stop)
	case c.Pace != nil:
		reply.Outcome = orders.Throttle(ctx, c.Target, *c.Pace)
	case c.Hold != nil:
		reply.Answer, reply.Outcome = orders.Heartbeat(ctx, c.Target, *c.Hold)
	default:
		reply.Outcome = worker.Malformed
	}
	return reply
}

// Reply is what became of a call. Answer is that of a hold.
type Reply struct {
	ID      uint64
	Outcome worker.Outcome
	Answer  worker.HeartbeatReply
}

// Peers reaches the carriers.
type Peers interface {
	// Exchange hands calls to the carrier at an address and returns replies to
	// these and to earlier ones of the session, as soon as there are any or a
	// later exchange of the session arrives. It returns *UnsentError when
	// nothing can have left; any other error leaves open what was carried out.
	Exchange(ctx context.Context, address, session string, calls []Call) ([]Reply, error)
}

// UnsentError says that a carrier can't have heard of the calls.
type UnsentError struct {
	Address string
	Cause   error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("carrier %s: not reached: %v", e.Address, e.Cause)
}

func (e *UnsentError) Unwrap() error { return e.Cause }
