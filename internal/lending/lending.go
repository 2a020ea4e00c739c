// Package lending lets gateways lend each other slots over the peer interface:
// a gateway with more callers than slots borrows what others don't use.
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

// Membership tells with whom slots may be lent and borrowed.
type Membership interface {
	// LendsTo reports whether slots may be lent to the gateway, and whether
	// connections go with them because it has no share of its own.
	LendsTo(id string) (may, connections bool)
	// Member returns a member of the view in force.
	Member(id string) (share.Member, bool)
	// Peers returns the other members.
	Peers() []share.Member
	// LongestTimeout is the longest request timeout of all services.
	LongestTimeout() time.Duration
}

const (
	returnTimeout = time.Second
	// maxLent bounds one loan; a borrower asks for fewer.
	maxLent         = 64
	maxIdlePerPeer  = 2
	idleConnTimeout = 30 * time.Second
)

// Server lends this gateway's slots.
type Server struct {
	Self       string
	Membership Membership
	Limiter    *limit.Limiter
	// Stopping reports whether a planned stop has begun: what is lent then
	// would hold it up.
	Stopping func() bool
}

// Handler returns the twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := lendpb.NewLenderServer(s)
	return server.PathPrefix(), server
}

// Lend implements lendpb.Lender.
func (s *Server) Lend(_ context.Context, request *lendpb.LendRequest) (*lendpb.LendResponse, error) {
	response := &lendpb.LendResponse{Lender: s.Self}
	may, connections := s.Membership.LendsTo(request.Borrower)
	if !may || s.Stopping() {
		return response, nil
	}
	if request.Count < 0 || request.Count > maxLent {
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

// Client borrows from the others over twirp. It implements limit.Broker.
type Client struct {
	self   string
	view   Membership
	http   *http.Client
	scheme string
}

// NewClient returns a broker for the gateway self. dialTLS reaches the others
// over TLS; nil means plain HTTP.
func NewClient(self string, view Membership, dialTLS func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	scheme := "http"
	if dialTLS != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialTLSContext: dialTLS, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleConnTimeout,
	}
	return &Client{self: self, view: view, http: &http.Client{Transport: transport}, scheme: scheme}
}

// Borrow implements limit.Broker. It asks one of the others at random: with
// many that are overloaded, asking all would be a storm.
func (b *Client) Borrow(ctx context.Context, service string, hosts []string, count int) limit.LoanBatch {
	others := b.view.Peers()
	if len(others) == 0 {
		return limit.LoanBatch{}
	}
	lender := others[rand.IntN(len(others))]
	asked := time.Now()
	response, err := b.lender(lender).Lend(ctx, &lendpb.LendRequest{
		Borrower: b.self, Service: service, Hosts: hosts, Count: int32(count),
	})
	if err != nil || response.Lender != lender.ID {
		// What was lent without our knowing ends by the lender's own count.
		return limit.LoanBatch{}
	}
	loans := limit.LoanBatch{
		Lender: lender.ID, ExpiresAt: asked.Add(time.Duration(response.HoldMs) * time.Millisecond),
		WithConnections: response.Connections, StartBy: asked.Add(share.LoanMargin),
	}
	for _, loan := range response.Loans {
		loans.Loans = append(loans.Loans, limit.Loan{ID: loan.Id, Host: loan.Host})
	}
	return loans
}

// CanBorrow reports whether any of the others would lend to this gateway.
func (b *Client) CanBorrow(ctx context.Context) bool {
	others := b.view.Peers()
	willing := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			response, err := b.lender(m).Lend(ctx, &lendpb.LendRequest{Borrower: b.self})
			willing <- err == nil && response.Lender == m.ID && response.HoldMs > 0
		}()
	}
	for range others {
		if <-willing {
			return true
		}
	}
	return false
}

// Return implements limit.Broker.
func (b *Client) Return(lender string, ids []uint64) {
	m, known := b.view.Member(lender)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	// Lost, the lender's own count ends the loan.
	_, _ = b.lender(m).TakeBack(ctx, &lendpb.TakeBackRequest{Borrower: b.self, Ids: ids})
}

func (b *Client) lender(m share.Member) lendpb.Lender {
	return lendpb.NewLenderProtobufClient(b.scheme+"://"+m.PeerAddress, b.http)
}
