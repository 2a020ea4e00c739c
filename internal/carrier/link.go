package carrier

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/worker"
)

const (
	// maxOpenExchanges bounds the concurrent exchanges: one that waits for
	// replies and one that sends calls.
	maxOpenExchanges = 2
	// exchangeTimeout bounds an exchange. A carrier that does not respond within
	// it is skipped for failureBackoff, early enough for its hosts to be reached
	// through another carrier before they count as unresponsive.
	exchangeTimeout = pollTimeout + 500*time.Millisecond
	// failureBackoff is how long a carrier is skipped after a failed exchange.
	failureBackoff = 2 * time.Second
	// replyGrace is the time that a call through a carrier may take in addition
	// to the timeout of the call to the host.
	replyGrace = 150 * time.Millisecond
)

// link is the connection to one carrier. Calls from many goroutines share its
// exchanges.
type link struct {
	Config
	address string
	log     zerolog.Logger
	// wake is signalled when an exchange may be due.
	wake chan struct{}

	mu     sync.Mutex
	lastID uint64
	// pending holds the calls without a reply, queue those of them that have not been sent.
	pending map[uint64]*pendingCall
	queue   []*pendingCall
	open    int
	// clock is the estimate of the carrier's clock.
	clock clockEstimate
	// failed is the time of the last failed exchange.
	failed time.Time
}

// pendingCall is a call without a reply.
type pendingCall struct {
	Call
	made  time.Time
	reply chan Reply
	// redated is set once it was sent again, since the carrier's clock was not known well
	// enough for the first time.
	redated bool
}

// newLink returns a link with a session of its own: the links to two processes of one
// entry host may both be in use at its address and number their calls alike.
func newLink(c Candidate, config Config) *link {
	config.Session += "/" + c.Name
	return &link{
		Config: config, address: c.Address, log: config.Log.With().Str("carrier", c.Address).Logger(), wake: make(chan struct{}, 1), pending: make(map[uint64]*pendingCall),
	}
}

// available reports whether the carrier may be used.
func (l *link) available(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed.IsZero() || now.Sub(l.failed) > failureBackoff
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// do makes a call through the carrier. The outcome is Unknown if no reply
// arrives in time or ctx ends.
func (l *link) do(ctx context.Context, call Call) Reply {
	p := &pendingCall{Call: call, made: time.Now(), reply: make(chan Reply, 1)}
	l.mu.Lock()
	l.lastID++
	p.ID = l.lastID
	l.pending[p.ID] = p
	l.queue = append(l.queue, p)
	l.mu.Unlock()
	l.signal()
	timer := time.NewTimer(call.timeout() + replyGrace)
	defer timer.Stop()
	select {
	case reply := <-p.reply:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, p.ID)
	return Reply{ID: p.ID, Outcome: worker.Unknown}
}

// timeout is how long the call may take.
func (c Call) timeout() time.Duration {
	if c.Heartbeat != nil {
		return c.Timeout + c.Heartbeat.ExtraTimeout
	}
	return c.Timeout
}

// run sends calls and fetches replies until ctx ends.
func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		pause.For(ctx, l.BatchDelay)
		if calls, due := l.next(); due {
			go l.exchange(ctx, calls)
		}
	}
}

// next removes the calls to send from the queue. due is false if no exchange is
// needed or maxOpenExchanges are open; the end of an exchange signals again.
func (l *link) next() (calls []Call, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= maxOpenExchanges || len(l.queue) == 0 && (l.open > 0 || len(l.pending) == 0) {
		return nil, false
	}
	for _, p := range l.queue {
		// Calls whose caller no longer waits are dropped.
		if l.pending[p.ID] != nil {
			p.SendBy = l.clock.moment(p.made.Add(p.timeout()))
			calls = append(calls, p.Call)
		}
	}
	l.queue = nil
	l.open++
	return calls, true
}

func (l *link) exchange(ctx context.Context, calls []Call) {
	defer l.signal()
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	replies, err := l.Peers.Exchange(bounded, l.address, l.Session, calls)
	l.Metrics.exchanged(err, len(calls), time.Since(sent))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if len(replies) > 0 {
		l.clock.observe(replies[0].Now, time.Now())
	}
	for _, reply := range replies {
		if reply.Outcome != worker.Expired || !l.redateLocked(reply.ID) {
			l.deliverLocked(reply)
		}
	}
	if err != nil && ctx.Err() == nil {
		l.failLocked(calls, err)
	}
}

// redateLocked sends a call again, once, that the carrier took for too old. Its reply has
// shown the carrier's clock anew.
func (l *link) redateLocked(id uint64) bool {
	p := l.pending[id]
	if p == nil || p.redated {
		return false
	}
	p.redated = true
	l.queue = append(l.queue, p)
	return true
}

func (l *link) deliverLocked(reply Reply) {
	if p := l.pending[reply.ID]; p != nil {
		delete(l.pending, reply.ID)
		p.reply <- reply
	}
}

// failLocked ends all pending calls after a failed exchange, so that they can be
// retried by another route at once. Calls that cannot have been sent get the
// outcome NotSent, all others Unknown.
func (l *link) failLocked(calls []Call, err error) {
	l.failed = time.Now()
	l.log.Warn().Err(err).Int("calls", len(l.pending)).Msg("Exchange with a carrier failed; its hosts are called by other routes.")
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		for _, call := range calls {
			l.deliverLocked(Reply{ID: call.ID, Outcome: worker.NotSent})
		}
	}
	for _, call := range l.queue {
		l.deliverLocked(Reply{ID: call.ID, Outcome: worker.NotSent})
	}
	l.queue = nil
	for id := range l.pending {
		l.deliverLocked(Reply{ID: id, Outcome: worker.Unknown})
	}
}
