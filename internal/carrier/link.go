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
	// pending holds the reply channels of the calls without a reply, queue the
	// calls that have not been sent.
	pending map[uint64]chan Reply
	queue   []Call
	open    int
	// failed is the time of the last failed exchange.
	failed time.Time
}

// newLink returns a link with a session of its own: the links to two processes of one
// entry host may both be in use at its address and number their calls alike.
func newLink(c Candidate, config Config) *link {
	config.Session += "/" + c.Name
	return &link{
		Config: config, address: c.Address, log: config.Log.With().Str("carrier", c.Address).Logger(), wake: make(chan struct{}, 1), pending: make(map[uint64]chan Reply),
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
	replyCh := make(chan Reply, 1)
	l.mu.Lock()
	l.lastID++
	call.ID = l.lastID
	l.pending[call.ID] = replyCh
	l.queue = append(l.queue, call)
	l.mu.Unlock()
	l.signal()
	timer := time.NewTimer(call.replyTimeout())
	defer timer.Stop()
	select {
	case reply := <-replyCh:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, call.ID)
	return Reply{ID: call.ID, Outcome: worker.Unknown}
}

// replyTimeout is how long the caller waits for the reply.
func (c Call) replyTimeout() time.Duration {
	if c.Heartbeat != nil {
		return c.Timeout + replyGrace + c.Heartbeat.ExtraTimeout
	}
	return c.Timeout + replyGrace
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
	for _, call := range l.queue {
		// Calls whose caller no longer waits are dropped.
		if l.pending[call.ID] != nil {
			calls = append(calls, call)
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
	for _, reply := range replies {
		l.deliverLocked(reply)
	}
	if err != nil && ctx.Err() == nil {
		l.failLocked(calls, err)
	}
}

func (l *link) deliverLocked(reply Reply) {
	if replyCh := l.pending[reply.ID]; replyCh != nil {
		delete(l.pending, reply.ID)
		replyCh <- reply
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
