package atmostonce

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"auburnglade.example/glade/internal/atmostonce/claimpb"
)

const (
	// ownerDialTimeout and ownerTimeout limit a call to a shard's owner, so
	// that half of claimTimeout remains for writing the claim directly.
	ownerDialTimeout = 100 * time.Millisecond
	ownerTimeout     = 500 * time.Millisecond
	ownerConnections = 64
	ownerIdle        = 30 * time.Second
	// maxRequestBytes is the maximum size of a request from another gateway: a
	// response with its header, plus a margin.
	maxRequestBytes = 64 << 10
)

// unreachableError reports that an owner did not respond. The owner may have
// written the claim; its nonce identifies it.
type unreachableError struct {
	Owner string
	Cause error
}

func (e *unreachableError) Error() string { return "owner " + e.Owner + ": " + e.Cause.Error() }

func (e *unreachableError) Unwrap() error { return e.Cause }

func isUnreachable(err error) bool {
	var unreachable *unreachableError
	return errors.As(err, &unreachable)
}

// owners calls the owners of shards. A call without a response returns
// *unreachableError.
type owners interface {
	claim(ctx context.Context, owner Peer, claim Claim) (ClaimOutcome, error)
	settle(ctx context.Context, owner Peer, settlement Settlement) error
	close()
}

// ownerClient calls owners over twirp.
type ownerClient struct {
	http   *http.Client
	scheme string
}

func newOwnerClient(dialTLS func(ctx context.Context, network, address string) (net.Conn, error)) *ownerClient {
	dialer := &net.Dialer{Timeout: ownerDialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DialTLSContext: dialTLS,
		MaxIdleConnsPerHost: ownerConnections, IdleConnTimeout: ownerIdle,
	}
	scheme := "http://"
	if dialTLS != nil {
		scheme = "https://"
	}
	return &ownerClient{http: &http.Client{Transport: transport}, scheme: scheme}
}

func (r *ownerClient) close() { r.http.CloseIdleConnections() }

func (r *ownerClient) client(owner Peer) claimpb.Claims {
	return claimpb.NewClaimsProtobufClient(r.scheme+owner.Address, r.http)
}

func (r *ownerClient) claim(ctx context.Context, owner Peer, claim Claim) (ClaimOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	response, err := r.client(owner).Claim(ctx, &claimpb.ClaimRequest{Claim: &claimpb.Entry{
		Kind: claimpb.Kind_CLAIMED, Id: claim.ID[:], Identity: claim.Nonce[:],
		Fingerprint: claim.Fingerprint[:], WindowMs: claim.Window.Milliseconds(),
	}})
	if err != nil {
		return ClaimOutcome{}, &unreachableError{Owner: owner.ID, Cause: err}
	}
	if response.Away {
		return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, MayBeWritten: response.MayBeWritten, Cause: &OwnerUnconfirmedError{Owner: owner.ID}}
	}
	return ClaimOutcome{
		State: State(response.State), Response: decodeResponse(response.Answer),
		RetryAfter: time.Duration(response.RetryAfterMs) * time.Millisecond,
	}, nil
}

func (r *ownerClient) settle(ctx context.Context, owner Peer, settlement Settlement) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	response, err := r.client(owner).Settle(ctx, &claimpb.SettleRequest{Settlement: encodeSettlement(&settlement)})
	if err != nil {
		return &unreachableError{Owner: owner.ID, Cause: err}
	}
	if response.Away {
		return &UnconfirmedError{ID: settlement.ID, MayBeWritten: true, Cause: &OwnerUnconfirmedError{Owner: owner.ID}}
	}
	return nil
}

// Server serves other gateways for the shards that this gateway owns.
type Server struct{ claimStore *BatchedStore }

// NewServer returns a server for a claim store that is being served.
func NewServer(claimStore *BatchedStore) *Server { return &Server{claimStore: claimStore} }

// Handler returns the twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := claimpb.NewClaimsServer(s)
	return server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes)
}

// Claim implements claimpb.Claims. The claim is made locally even if this
// gateway regards another one as the owner, so that differing views never
// forward it in a loop.
func (s *Server) Claim(ctx context.Context, request *claimpb.ClaimRequest) (*claimpb.ClaimResponse, error) {
	if err := checkEntry("claim", request.Claim); err != nil {
		return nil, twirp.InvalidArgumentError("claim", err.Error())
	}
	outcome, err := s.claimStore.claimLocally(ctx, decodeClaim(request.Claim))
	if isStopped(err) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	var unconfirmed *UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return &claimpb.ClaimResponse{Away: true, MayBeWritten: unconfirmed.MayBeWritten}, nil
	}
	return &claimpb.ClaimResponse{
		State: int32(outcome.State), Answer: encodeResponse(outcome.Response), RetryAfterMs: outcome.RetryAfter.Milliseconds(),
	}, nil
}

// Settle implements claimpb.Claims.
func (s *Server) Settle(ctx context.Context, request *claimpb.SettleRequest) (*claimpb.SettleResponse, error) {
	if err := checkEntry("settlement", request.Settlement); err != nil {
		return nil, twirp.InvalidArgumentError("settlement", err.Error())
	}
	err := s.claimStore.settleLocally(ctx, decodeSettlement(request.Settlement))
	if isStopped(err) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &claimpb.SettleResponse{Away: err != nil}, nil
}

// isStopped reports whether this gateway no longer writes; the calling gateway
// then writes directly.
func isStopped(err error) bool {
	var stopped *StoppedError
	return errors.As(err, &stopped)
}
