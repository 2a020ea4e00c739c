// Package peer implements the protocol between auburnglade's processes: they
// exchange the configuration revision that they serve and fetch changes from
// each other.
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
	// maxWait limits how long a Fetch waits for a change.
	maxWait = 10 * time.Second
	// maxRequestBytes limits the size of one request from a peer.
	maxRequestBytes = 64 << 10
	// maxProcesses limits the number of recorded processes; it is far above the
	// number that run at once.
	maxProcesses = 4096
)

// Server serves the state of this process to peers.
type Server struct {
	self     member.Member
	feed     *configfeed.Feed
	pages    pager
	watching atomic.Bool
	stopping atomic.Bool
	// onPeerAhead, when set, is called with the address of a peer that has a
	// newer configuration.
	onPeerAhead atomic.Pointer[func(address string)]

	mu sync.Mutex
	// servedRevisions is the highest revision that each process has reported to
	// serve.
	servedRevisions map[string]store.Revision
	// shareRevision may be nil.
	shareRevision func() int64
	// violations may be nil.
	violations func() int64
}

// NewServer returns a server for the process self.
func NewServer(self member.Member, f *configfeed.Feed) *Server {
	return &Server{self: self, feed: f, servedRevisions: make(map[string]store.Revision)}
}

// SetShareRevision sets the source of the confirmed agreement on shares. It
// must be called before the handler serves.
func (s *Server) SetShareRevision(confirmed func() int64) { s.shareRevision = confirmed }

// SetViolations sets the source of the number of invariant violations. It must
// be called before the handler serves.
func (s *Server) SetViolations(count func() int64) { s.violations = count }

// Handler returns the twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := peerpb.NewPeerServer(s)
	return server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes)
}

// OnPeerAhead sets a function that is called with the address of a peer whose
// configuration is newer than this process's. It is called from any goroutine
// and must not block.
func (s *Server) OnPeerAhead(call func(address string)) { s.onPeerAhead.Store(&call) }

// SetWatching records whether this process watches the store itself.
func (s *Server) SetWatching(watching bool) { s.watching.Store(watching) }

// Watching reports whether this process watches the store itself.
func (s *Server) Watching() bool { return s.watching.Load() }

// SetStopping makes this process report from now on that it is stopping.
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
		s.awaitChange(ctx, after, time.Duration(request.WaitMs)*time.Millisecond)
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

func (s *Server) awaitChange(ctx context.Context, after store.Revision, wait time.Duration) {
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
	for id, served := range s.servedRevisions {
		if served >= wanted {
			response.Members = append(response.Members, id)
		}
	}
	return response, nil
}

// HandlePresence records a peer's state and detects from it whether this
// process is behind.
func (s *Server) HandlePresence(from *peerpb.Presence) {
	if !s.recordPresence(from) || s.feed.FastForward(store.Revision(from.HeldRevision), from.Digest) {
		return
	}
	behind := s.feed.ObserveRevision(store.Revision(from.HeldRevision))
	if onPeerAhead := s.onPeerAhead.Load(); behind && onPeerAhead != nil && from.Address != "" {
		(*onPeerAhead)(from.Address)
	}
}

// recordPresence records a peer's state and reports whether it came from another
// process.
func (s *Server) recordPresence(from *peerpb.Presence) bool {
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

// RecordServed records that a process serves a revision or a later one.
func (s *Server) RecordServed(id string, served store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.servedRevisions[id]
	if !known && len(s.servedRevisions) >= maxProcesses {
		s.removeNonMembers()
	}
	if known || len(s.servedRevisions) < maxProcesses {
		s.servedRevisions[id] = max(s.servedRevisions[id], served)
	}
}

// removeNonMembers drops processes that are no longer members.
func (s *Server) removeNonMembers() {
	members := s.feed.Snapshot().Members
	for id := range s.servedRevisions {
		if _, live := members[id]; !live {
			delete(s.servedRevisions, id)
		}
	}
}

// ServedRevision returns the highest revision that a process has reported to
// serve.
func (s *Server) ServedRevision(id string) store.Revision {
	if id == s.self.ID {
		return s.feed.ServedRevision()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servedRevisions[id]
}

// Presence returns the state that this process sends with every message.
func (s *Server) Presence() *peerpb.Presence {
	// The served revision is read first, so that it is never ahead of
	// HeldRevision.
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

// Self returns the member that this server represents.
func (s *Server) Self() member.Member { return s.self }

func deltaBytes(delta configstate.Delta) int {
	total := 0
	for _, change := range delta.Changes {
		total += changeBytes(change)
	}
	return total
}
