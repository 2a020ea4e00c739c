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
	// mostOpen exchanges are under way at a time: one that waits for replies
	// and one that brings calls.
	mostOpen = 2
	// exchangeWithin bounds an exchange. A carrier that says nothing for so
	// long past its wait is passed over: its hosts must be heard through
	// another one before they count as silent.
	exchangeWithin = pollWait + 500*time.Millisecond
	// avoidFor is how long a carrier that failed is passed over.
	avoidFor = 2 * time.Second
	// replyGrace is how much longer than its call to the host a call through a
	// carrier may take.
	replyGrace = 150 * time.Millisecond
)

// link is the way to one carrier. Calls of many goroutines share its exchanges.
type link struct {
	Config
	address string
	log     zerolog.Logger
	// wake is signalled when there may be something to send.
	wake chan struct{}

	mu   sync.Mutex
	last uint64
	// pending are the calls without a reply, queue those that are yet to go.
	pending map[uint64]chan Reply
	queue   []Call
	open    int
	// failed is when an exchange last failed.
	failed time.Time
}

func newLink(address string, config Config) *link {
	return &link{
		Config: config, address: address, log: config.Log.With().Str("carrier", address).Logger(), wake: make(chan struct{}, 1), pending: make(map[uint64]chan Reply),
	}
}

// well reports whether the carrier may be used.
func (l *link) well(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed.IsZero() || now.Sub(l.failed) > avoidFor
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// do makes a call through the carrier.
func (l *link) do(ctx context.Context, call Call) Reply {
	answered := make(chan Reply, 1)
	l.mu.Lock()
	l.last++
	call.ID = l.last
	l.pending[call.ID] = answered
	l.queue = append(l.queue, call)
	l.mu.Unlock()
	l.signal()
	timer := time.NewTimer(call.patience())
	defer timer.Stop()
	select {
	case reply := <-answered:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, call.ID)
	return Reply{ID: call.ID, Outcome: worker.Unknown}
}

// patience is how long the caller waits for the reply.
func (c Call) patience() time.Duration {
	if c.Hold != nil {
		return c.Timeout + replyGrace + c.Hold.ExtraTimeout
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

// next takes the calls that are to go. due is false when there is no need for
// an exchange, or two are under way; the end of one signals again.
func (l *link) next() (calls []Call, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= mostOpen || len(l.queue) == 0 && (l.open > 0 || len(l.pending) == 0) {
		return nil, false
	}
	for _, call := range l.queue {
		// Calls that were given up meanwhile are left out.
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
	bounded, cancel := context.WithTimeout(ctx, exchangeWithin)
	defer cancel()
	sent := time.Now()
	replies, err := l.Peers.Exchange(bounded, l.address, l.Session, calls)
	l.Metrics.exchanged(err, len(calls), time.Since(sent))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	for _, reply := range replies {
		l.answerLocked(reply)
	}
	if err != nil && ctx.Err() == nil {
		l.failLocked(calls, err)
	}
}

func (l *link) answerLocked(reply Reply) {
	if answered := l.pending[reply.ID]; answered != nil {
		delete(l.pending, reply.ID)
		answered <- reply
	}
}

// failLocked gives up all calls of a carrier that didn't answer, so that they
// go another way at once. What never left may be said to be so.
func (l *link) failLocked(calls []Call, err error) {
	l.failed = time.Now()
	l.log.Warn().Err(err).Int("calls", len(l.pending)).Msg("A carrier does not answer; its hosts go elsewhere.")
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		for _, call := range calls {
			l.answerLocked(Reply{ID: call.ID, Outcome: worker.NotSent})
		}
	}
	for _, call := range l.queue {
		l.answerLocked(Reply{ID: call.ID, Outcome: worker.NotSent})
	}
	l.queue = nil
	for id := range l.pending {
		l.answerLocked(Reply{ID: id, Outcome: worker.Unknown})
	}
}
