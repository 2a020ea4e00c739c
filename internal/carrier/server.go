package carrier

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/worker"
)

const (
	// pollTimeout is how long an exchange waits for replies. Its response, even
	// an empty one, shows the holder that the carrier is running.
	pollTimeout = 200 * time.Millisecond
	// sessionTTL is how long a session without an exchange is kept: the holder
	// of replies that were not fetched within it has terminated.
	sessionTTL = 10 * time.Second
)

// Server is the carrier: it makes calls to hosts for pool holders elsewhere.
type Server struct {
	workers    worker.Client
	batchDelay time.Duration
	metrics    *Metrics
	clock      clock

	mu       sync.Mutex
	sessions map[string]*session
}

// NewServer returns a carrier that makes its calls through workers. batchDelay is
// the delay during which replies are batched.
func NewServer(workers worker.Client, batchDelay time.Duration, metrics *Metrics) *Server {
	return &Server{workers: workers, batchDelay: batchDelay, metrics: metrics, clock: newClock(), sessions: make(map[string]*session)}
}

// Exchange implements the server side of Peers.
func (s *Server) Exchange(ctx context.Context, name string, calls []Call) []Reply {
	ses := s.session(name, time.Now())
	for _, call := range calls {
		go s.execute(ses, call)
	}
	replies := ses.collect(ctx, s.batchDelay)
	if len(replies) > 0 {
		replies[0].Now = s.clock.now()
	}
	return replies
}

// session returns a session, creating it if needed. Creating one removes expired
// sessions.
func (s *Server) session(name string, now time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.sessions[name]
	if ses == nil {
		for other, old := range s.sessions {
			if now.Sub(old.used) > sessionTTL {
				delete(s.sessions, other)
			}
		}
		ses = &session{ready: make(chan struct{}, 1)}
		s.sessions[name] = ses
	}
	ses.used = now
	return ses
}

// execute makes one call. It may outlast the exchange that delivered the call.
//
// A process that was suspended finds calls that have been given up long ago. They are not
// sent; one that passes this check just before a suspension still may be.
func (s *Server) execute(ses *session, call Call) {
	reply := Reply{ID: call.ID, Outcome: worker.Expired}
	if !s.clock.passed(call.SendBy) {
		ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
		defer cancel()
		reply = call.sendTo(ctx, s.workers)
	}
	if call.Heartbeat != nil && call.Heartbeat.OmitRunning {
		reply.Heartbeat.RunningOmitted, reply.Heartbeat.Running = true, nil
	}
	s.metrics.carried.WithLabelValues(reply.Outcome.String()).Inc()
	ses.put(reply)
}

// session buffers the replies for one holder.
type session struct {
	// used is the time of the last exchange, guarded by the server's lock.
	used time.Time
	// ready is signalled when replies are available.
	ready chan struct{}

	mu      sync.Mutex
	replies []Reply
	// cancelWait ends the wait of the newest exchange when another one arrives.
	cancelWait context.CancelFunc
}

func (s *session) put(reply Reply) {
	s.mu.Lock()
	s.replies = append(s.replies, reply)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// collect waits for replies and returns them. An earlier exchange of the session
// that is still waiting returns at once, so that a session has no more than two
// open at a time.
func (s *session) collect(ctx context.Context, batchDelay time.Duration) []Reply {
	if !s.await(s.waitContext(ctx), batchDelay) && ctx.Err() != nil {
		// The caller has disconnected; a later exchange fetches the replies.
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	replies := s.replies
	s.replies = nil
	return replies
}

// waitContext returns a context that bounds the wait of a new exchange, and
// cancels that of the previous one.
func (s *session) waitContext(ctx context.Context) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWait != nil {
		s.cancelWait()
	}
	ctx, s.cancelWait = context.WithTimeout(ctx, pollTimeout)
	return ctx
}

// await waits until replies are available and the batch delay has passed. It
// returns false if ctx ends first.
func (s *session) await(ctx context.Context, batchDelay time.Duration) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-s.ready:
		}
		s.mu.Lock()
		available := len(s.replies) > 0
		s.mu.Unlock()
		if !available {
			continue
		}
		timer := time.NewTimer(batchDelay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		}
	}
}
