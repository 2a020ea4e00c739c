package carrier

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/worker"
)

const (
	// pollWait is how long an exchange without replies waits for one. It also
	// shows the holder that the carrier lives.
	pollWait = 200 * time.Millisecond
	// sessionFor is how long a session without an exchange is remembered:
	// replies that nobody fetched by then are of a holder that has ended.
	sessionFor = 10 * time.Second
)

// Server carries out calls for the holders of pools.
type Server struct {
	orders  worker.Client
	pause   time.Duration
	metrics *Metrics

	mu       sync.Mutex
	sessions map[string]*session
}

// NewServer returns a carrier that makes its calls through orders. pause lets
// replies that come together be told together.
func NewServer(orders worker.Client, pause time.Duration, metrics *Metrics) *Server {
	return &Server{orders: orders, pause: pause, metrics: metrics, sessions: make(map[string]*session)}
}

// Exchange implements the carrier's side of Peers.
func (s *Server) Exchange(ctx context.Context, name string, calls []Call) []Reply {
	ses := s.session(name, time.Now())
	for _, call := range calls {
		go s.carryOut(ses, call)
	}
	return ses.collect(ctx, s.pause)
}

// session finds a session, and forgets those that have ended.
func (s *Server) session(name string, now time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.sessions[name]
	if ses == nil {
		for other, old := range s.sessions {
			if now.Sub(old.used) > sessionFor {
				delete(s.sessions, other)
			}
		}
		ses = &session{ready: make(chan struct{}, 1)}
		s.sessions[name] = ses
	}
	ses.used = now
	return ses
}

// carryOut makes one call. The exchange that brought it may end sooner.
func (s *Server) carryOut(ses *session, call Call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	reply := call.on(ctx, s.orders)
	if call.Hold != nil && call.Hold.OmitRunning {
		reply.Answer.RunningOmitted, reply.Answer.Running = true, nil
	}
	s.metrics.carried.WithLabelValues(reply.Outcome.String()).Inc()
	ses.put(reply)
}

// session collects the replies for one holder.
type session struct {
	// used is when an exchange last came; the server's lock guards it.
	used time.Time
	// ready is signalled when there are replies.
	ready chan struct{}

	mu      sync.Mutex
	replies []Reply
	// later ends the wait of the newest exchange when another one arrives.
	later context.CancelFunc
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

// collect waits for replies and returns them. An earlier exchange that waits
// returns at once, so that a session needs no more than two at a time.
func (s *session) collect(ctx context.Context, pause time.Duration) []Reply {
	if !s.await(s.newest(ctx), pause) && ctx.Err() != nil {
		// Nobody hears this answer any more; a later exchange fetches it.
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	replies := s.replies
	s.replies = nil
	return replies
}

// newest returns a context for the newest exchange and ends that of the one
// before.
func (s *session) newest(ctx context.Context) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.later != nil {
		s.later()
	}
	ctx, s.later = context.WithTimeout(ctx, pollWait)
	return ctx
}

// await waits until replies have come and a moment has passed for more. It
// returns false when ctx ends first.
func (s *session) await(ctx context.Context, pause time.Duration) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-s.ready:
		}
		s.mu.Lock()
		some := len(s.replies) > 0
		s.mu.Unlock()
		if !some {
			continue
		}
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		}
	}
}
