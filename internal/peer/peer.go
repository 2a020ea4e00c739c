// Package peer carries what auburnglade's processes tell each other: which
// configuration they serve, and what one lacks that another has.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/feed"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer/peerpb"
)

const callTimeout = 2 * time.Second

// Server answers peers about this process.
type Server struct {
	self member.Member
	feed *feed.Feed
}

// NewServer returns a server that speaks for self.
func NewServer(self member.Member, f *feed.Feed) *Server {
	return &Server{self: self, feed: f}
}

// Handler returns the twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := peerpb.NewPeerServer(s)
	return server.PathPrefix(), server
}

// Exchange implements peerpb.Peer.
func (s *Server) Exchange(_ context.Context, _ *peerpb.Presence) (*peerpb.Presence, error) {
	return s.presence(s.feed.Snapshot()), nil
}

// Fetch implements peerpb.Peer.
func (s *Server) Fetch(_ context.Context, _ *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "fetch is not served by this build")
}

func (s *Server) presence(snapshot *catalog.Snapshot) *peerpb.Presence {
	return &peerpb.Presence{
		Member:         s.self.ID,
		Role:           string(s.self.Role),
		Zone:           s.self.Zone,
		Address:        s.self.PeerAddress,
		ServedRevision: int64(snapshot.Revision),
		MaxSchema:      int32(s.self.MaxSchema),
	}
}

// Client asks peers.
type Client struct{ http *http.Client }

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Served asks the process at address which revision it serves. It returns
// twirp's error when the peer can't be asked.
func (c *Client) Served(ctx context.Context, address string) (*peerpb.Presence, error) {
	client := peerpb.NewPeerProtobufClient("http://"+address, c.http)
	return client.Exchange(ctx, &peerpb.Presence{})
}
