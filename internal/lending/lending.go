// Package lending lets gateways lend each other slots over the peer interface: a
// gateway with more callers than slots borrows slots that other gateways do not use.
package lending

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"auburnglade.example/glade/internal/lending/lendpb"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/share"
)

// Membership reports to whom slots may be lent and from whom they may be borrowed.
type Membership interface {
	// LendsTo reports whether slots may be lent to the gateway with the given ID, and
	// whether connections are included because it has no share of its own.
	LendsTo(id string) (allowed, connections bool)
	// Member returns the member with the given ID, and whether there is one.
	Member(id string) (share.Member, bool)
	// Peers returns the other members.
	Peers() []share.Member
	// LongestTimeout returns the longest request timeout of all services.
	LongestTimeout() time.Duration
}

const (
	returnTimeout = time.Second
	// maxSlotsPerLoan bounds the slots of one request; a borrower requests fewer.
	maxSlotsPerLoan = 64
	maxIdlePerPeer  = 2
	idleConnTimeout = 30 * time.Second
)

// Server lends this gateway's slots to other gateways.
type Server struct {
	Self       string
	Membership Membership
	Limiter    *limit.Limiter
	// Stopping reports whether a planned stop has begun. Slots lent after that would delay
	// the stop.
	Stopping func() bool
}

// Handler returns the Twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := lendpb.NewLenderServer(s)
	return server.PathPrefix(), server
}

// Lend implements lendpb.Lender.
func (s *Server) Lend(_ context.Context, request *lendpb.LendRequest) (*lendpb.LendResponse, error) {
	response := &lendpb.LendResponse{Lender: s.Self}
	allowed, connections := s.Membership.LendsTo(request.Borrower)
	if !allowed || s.Stopping() {
		return response, nil
	}
	if request.Count < 0 || request.Count > maxSlotsPerLoan {
		return nil, twirp.InvalidArgumentError("count", "want 0 to 64")
	}
	hold := s.Membership.LongestTimeout() + share.LoanMargin
	response.Connections = connections
	response.HoldMs = hold.Milliseconds()
	for _, loan := range s.Limiter.Lend(request.Service, request.Hosts, int(request.Count), hold, connections) {
		response.Loans = append(response.Loans, &lendpb.Loan{Id: loan.ID, Host: loan.Host})
	}
	return response, nil
}

// TakeBack implements lendpb.Lender.
func (s *Server) TakeBack(_ context.Context, request *lendpb.TakeBackRequest) (*lendpb.TakeBackResponse, error) {
	s.Limiter.EndLoans(request.Ids)
	return &lendpb.TakeBackResponse{}, nil
}

// Client borrows from other gateways over Twirp. It implements limit.Borrower.
type Client struct {
	self       string
	membership Membership
	http       *http.Client
	scheme     string
}

// NewClient returns a client for the gateway self. dialTLS dials the other gateways
// over TLS; nil selects plain HTTP.
func NewClient(self string, membership Membership, dialTLS func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	scheme := "http"
	if dialTLS != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialTLSContext: dialTLS, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleConnTimeout,
	}
	return &Client{self: self, membership: membership, http: &http.Client{Transport: transport}, scheme: scheme}
}

// Borrow implements limit.Borrower. It sends the request to one other gateway at
// random: with many overloaded gateways, sending it to all would multiply the load.
func (c *Client) Borrow(ctx context.Context, service string, hosts []string, count int) limit.LoanBatch {
	peers := c.membership.Peers()
	if len(peers) == 0 {
		return limit.LoanBatch{}
	}
	lender := peers[rand.IntN(len(peers))]
	sentAt := time.Now()
	response, err := c.lender(lender).Lend(ctx, &lendpb.LendRequest{
		Borrower: c.self, Service: service, Hosts: hosts, Count: int32(count),
	})
	if err != nil || response.Lender != lender.ID {
		// If slots were lent but the response was lost or is not usable, the loan expires at
		// the lender.
		return limit.LoanBatch{}
	}
	batch := limit.LoanBatch{
		Lender: lender.ID, ExpiresAt: sentAt.Add(time.Duration(response.HoldMs) * time.Millisecond),
		WithConnections: response.Connections, StartBy: sentAt.Add(share.LoanMargin),
	}
	for _, loan := range response.Loans {
		batch.Loans = append(batch.Loans, limit.Loan{ID: loan.Id, Host: loan.Host})
	}
	return batch
}

// CanBorrow reports whether any of the other gateways would lend to this one.
func (c *Client) CanBorrow(ctx context.Context) bool {
	peers := c.membership.Peers()
	results := make(chan bool, len(peers))
	for _, m := range peers {
		go func() {
			response, err := c.lender(m).Lend(ctx, &lendpb.LendRequest{Borrower: c.self})
			results <- err == nil && response.Lender == m.ID && response.HoldMs > 0
		}()
	}
	for range peers {
		if <-results {
			return true
		}
	}
	return false
}

// Return implements limit.Borrower.
func (c *Client) Return(lender string, ids []uint64) {
	m, known := c.membership.Member(lender)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	// If the call fails, the loan expires at the lender.
	_, _ = c.lender(m).TakeBack(ctx, &lendpb.TakeBackRequest{Borrower: c.self, Ids: ids})
}

func (c *Client) lender(m share.Member) lendpb.Lender {
	return lendpb.NewLenderProtobufClient(c.scheme+"://"+m.PeerAddress, c.http)
}
