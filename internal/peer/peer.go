// Package peer carries what auburnglade's processes tell each other: which
// configuration they serve, and what one lacks that another has.
package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/store"
)

const (
	// maxWait bounds how long a Fetch waits for news.
	maxWait = 10 * time.Second
	// maxRequestBytes bounds one request of a peer.
	maxRequestBytes = 64 << 10
	// maxHeard bounds the processes remembered; far more than live at once.
	maxHeard = 4096
)

// Server answers peers about this process.
type Server struct {
	self     member.Member
	feed     *configfeed.Feed
	pages    pager
	watching atomic.Bool
	stopping atomic.Bool
	// ahead, when set, is told who has a newer configuration.
	ahead atomic.Pointer[func(address string)]

	mu sync.Mutex
	// heard is the highest revision each process has told that it serves.
	heard map[string]store.Revision
	// shareRevision may be nil.
	shareRevision func() int64
	// violations may be nil.
	violations func() int64
}

// NewServer returns a server that speaks for self.
func NewServer(self member.Member, f *configfeed.Feed) *Server {
	return &Server{self: self, feed: f, heard: make(map[string]store.Revision)}
}

// SetShareRevision sets where the confirmed agreement on shares is read from.
// Call it before the handler serves.
func (s *Server) SetShareRevision(confirmed func() int64) { s.shareRevision = confirmed }

// SetViolations sets where the count of broken invariants is read from. Call it
// before the handler serves.
func (s *Server) SetViolations(count func() int64) { s.violations = count }

// Handler returns the twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := peerpb.NewPeerServer(s)
	return server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes)
}

// OnPeerAhead sets what is called, from any goroutine and without waiting, with
// the address of a peer whose configuration is newer than this process's.
func (s *Server) OnPeerAhead(call func(address string)) { s.ahead.Store(&call) }

// SetWatching says whether this process hears from the store itself.
func (s *Server) SetWatching(watching bool) { s.watching.Store(watching) }

// Watching reports whether this process hears from the store itself.
func (s *Server) Watching() bool { return s.watching.Load() }

// SetStopping tells peers from now on that this process stops.
func (s *Server) SetStopping() { s.stopping.Store(true) }

// Exchange implements peerpb.Peer.
func (s *Server) Exchange(_ context.Context, from *peerpb.Presence) (*peerpb.Presence, error) {
	s.HandlePresence(from)
	return s.Presence(), nil
}

// Fetch implements peerpb.Peer.
func (s *Server) Fetch(ctx context.Context, request *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	s.HandlePresence(request.From)
	after := store.Revision(request.AfterRevision)
	if request.PageRevision == 0 {
		s.awaitNews(ctx, after, time.Duration(request.WaitMs)*time.Millisecond)
	}
	response := &peerpb.FetchResponse{From: s.Presence()}
	if !s.feed.Ready() {
		return response, nil
	}
	if request.PageRevision != 0 {
		s.pages.next(response, s.feed.Snapshot(), store.Revision(request.PageRevision), request.PageAfterKey)
		return response, nil
	}
	snapshot := s.feed.Snapshot()
	response.Revision = int64(snapshot.Revision)
	if snapshot.Revision <= after {
		return response, nil
	}
	delta := s.feed.DeltaSince(after)
	if !delta.Full && deltaBytes(delta) <= pageBytes {
		encodeDelta(response, delta)
		return response, nil
	}
	s.pages.first(response, s.feed.Snapshot())
	return response, nil
}

func (s *Server) awaitNews(ctx context.Context, after store.Revision, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		snapshot, changed := s.feed.Current()
		if snapshot.Revision > after {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Confirmed implements peerpb.Peer.
func (s *Server) Confirmed(_ context.Context, request *peerpb.ConfirmedRequest) (*peerpb.ConfirmedResponse, error) {
	s.HandlePresence(request.From)
	response := &peerpb.ConfirmedResponse{From: s.Presence()}
	wanted := store.Revision(request.Revision)
	if s.feed.ServedRevision() >= wanted {
		response.Members = append(response.Members, s.self.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, served := range s.heard {
		if served >= wanted {
			response.Members = append(response.Members, id)
		}
	}
	return response, nil
}

// HandlePresence takes note of what a peer says of itself, and finds out from it whether
// this process is behind.
func (s *Server) HandlePresence(from *peerpb.Presence) {
	if !s.learn(from) || s.feed.FastForward(store.Revision(from.HeldRevision), from.Digest) {
		return
	}
	behind := s.feed.ObserveRevision(store.Revision(from.HeldRevision))
	if ahead := s.ahead.Load(); behind && ahead != nil && from.Address != "" {
		(*ahead)(from.Address)
	}
}

// learn takes note of what a peer says of itself and reports whether it was
// another process that spoke.
func (s *Server) learn(from *peerpb.Presence) bool {
	if from == nil || from.Member == "" || from.Member == s.self.ID {
		return false
	}
	s.RecordServed(from.Member, store.Revision(from.ServedRevision))
	s.feed.ObserveRevision(store.Revision(from.SeenRevision))
	if from.StoreBehind {
		s.feed.NoteStoreBehind()
	}
	return true
}

// RecordServed takes note that a process serves a revision or a later one.
func (s *Server) RecordServed(id string, served store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.heard[id]
	if !known && len(s.heard) >= maxHeard {
		s.forgetGone()
	}
	if known || len(s.heard) < maxHeard {
		s.heard[id] = max(s.heard[id], served)
	}
}

// forgetGone drops processes that are no longer members.
func (s *Server) forgetGone() {
	members := s.feed.Snapshot().Members
	for id := range s.heard {
		if _, live := members[id]; !live {
			delete(s.heard, id)
		}
	}
}

// ServedRevision returns the highest revision a process has told that it serves.
func (s *Server) ServedRevision(id string) store.Revision {
	if id == s.self.ID {
		return s.feed.ServedRevision()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[id]
}

// Presence is what this process says of itself with every message.
func (s *Server) Presence() *peerpb.Presence {
	// Served is asked first: it never runs ahead of what is held.
	served := s.feed.ServedRevision()
	snapshot := s.feed.Snapshot()
	presence := &peerpb.Presence{
		Member:         s.self.ID,
		Role:           string(s.self.Role),
		Zone:           s.self.Zone,
		Address:        s.self.PeerAddress,
		ServedRevision: int64(served),
		MaxSchema:      int32(s.self.MaxSchema),
		Stopping:       s.stopping.Load(),
		HeldRevision:   int64(snapshot.Revision),
		Digest:         snapshot.Digest,
		SeenRevision:   int64(s.feed.SeenRevision()),
		Watching:       s.watching.Load(),
		StoreBehind:    s.feed.StoreBehindLocally(),
	}
	if s.shareRevision != nil {
		presence.ShareRevision = s.shareRevision()
	}
	if s.violations != nil {
		presence.Violations = s.violations()
	}
	return presence
}

// Self returns the member this server speaks for.
func (s *Server) Self() member.Member { return s.self }

func deltaBytes(delta configstate.Delta) int {
	total := 0
	for _, change := range delta.Changes {
		total += changeBytes(change)
	}
	return total
}
