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
	// ownerDialTimeout and ownerTimeout bound a call of a shard's owner, so
	// that half of claimTimeout is left to write the claim oneself.
	ownerDialTimeout = 100 * time.Millisecond
	ownerTimeout     = 500 * time.Millisecond
	ownerConnections = 64
	ownerIdle        = 30 * time.Second
	// maxRequestBytes bounds one request of another gateway: an answer and its
	// header with room to spare.
	maxRequestBytes = 64 << 10
)

// unreachableError says that an owner gave no answer at all. It may have
// written the claim; its identity tells.
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

// owners asks the owners of shards. A call that got no answer returns
// *unreachableError.
type owners interface {
	claim(ctx context.Context, owner Peer, claim Claim) (ClaimOutcome, error)
	settle(ctx context.Context, owner Peer, settlement Settlement) error
	close()
}

// remote asks them over twirp.
type remote struct {
	http   *http.Client
	scheme string
}

func newRemote(dialTLS func(ctx context.Context, network, address string) (net.Conn, error)) *remote {
	dialer := &net.Dialer{Timeout: ownerDialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DialTLSContext: dialTLS,
		MaxIdleConnsPerHost: ownerConnections, IdleConnTimeout: ownerIdle,
	}
	scheme := "http://"
	if dialTLS != nil {
		scheme = "https://"
	}
	return &remote{http: &http.Client{Transport: transport}, scheme: scheme}
}

func (r *remote) close() { r.http.CloseIdleConnections() }

func (r *remote) client(owner Peer) claimpb.Claims {
	return claimpb.NewClaimsProtobufClient(r.scheme+owner.Address, r.http)
}

func (r *remote) claim(ctx context.Context, owner Peer, claim Claim) (ClaimOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := r.client(owner).Claim(ctx, &claimpb.ClaimRequest{Claim: &claimpb.Entry{
		Kind: claimpb.Kind_CLAIMED, Id: claim.ID[:], Identity: claim.Nonce[:],
		Fingerprint: claim.Fingerprint[:], WindowMs: claim.Window.Milliseconds(),
	}})
	if err != nil {
		return ClaimOutcome{}, &unreachableError{Owner: owner.ID, Cause: err}
	}
	if answer.Away {
		return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, MayBeWritten: answer.MayBeWritten, Cause: &OwnerUnconfirmedError{Owner: owner.ID}}
	}
	return ClaimOutcome{
		State: State(answer.State), Response: decodeAnswer(answer.Answer),
		RetryAfter: time.Duration(answer.RetryAfterMs) * time.Millisecond,
	}, nil
}

func (r *remote) settle(ctx context.Context, owner Peer, settlement Settlement) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := r.client(owner).Settle(ctx, &claimpb.SettleRequest{Settlement: encodeSettlement(&settlement)})
	if err != nil {
		return &unreachableError{Owner: owner.ID, Cause: err}
	}
	if answer.Away {
		return &UnconfirmedError{ID: settlement.ID, MayBeWritten: true, Cause: &OwnerUnconfirmedError{Owner: owner.ID}}
	}
	return nil
}

// Server answers other gateways for the shards that this one owns.
type Server struct{ ledger *BatchedStore }

// NewServer returns a server over a ledger that serves.
func NewServer(ledger *BatchedStore) *Server { return &Server{ledger: ledger} }

// Handler returns the twirp handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, handler http.Handler) {
	server := claimpb.NewClaimsServer(s)
	return server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes)
}

// Claim implements claimpb.Claims. It is made here whoever the owner is by
// this gateway's own view, so that views that differ never send it in circles.
func (s *Server) Claim(ctx context.Context, request *claimpb.ClaimRequest) (*claimpb.ClaimResponse, error) {
	if err := checkEntry("claim", request.Claim); err != nil {
		return nil, twirp.InvalidArgumentError("claim", err.Error())
	}
	verdict, err := s.ledger.claimHere(ctx, decodeClaim(request.Claim))
	if isStopped(err) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	var away *UnconfirmedError
	if errors.As(err, &away) {
		return &claimpb.ClaimResponse{Away: true, MayBeWritten: away.MayBeWritten}, nil
	}
	return &claimpb.ClaimResponse{
		State: int32(verdict.State), Answer: encodeAnswer(verdict.Response), RetryAfterMs: verdict.RetryAfter.Milliseconds(),
	}, nil
}

// Settle implements claimpb.Claims.
func (s *Server) Settle(ctx context.Context, request *claimpb.SettleRequest) (*claimpb.SettleResponse, error) {
	if err := checkEntry("settlement", request.Settlement); err != nil {
		return nil, twirp.InvalidArgumentError("settlement", err.Error())
	}
	err := s.ledger.settleHere(ctx, decodeSettlement(request.Settlement))
	if isStopped(err) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &claimpb.SettleResponse{Away: err != nil}, nil
}

// isStopped reports whether this gateway no longer writes; the asker then
// writes by itself.
func isStopped(err error) bool {
	var stopped *StoppedError
	return errors.As(err, &stopped)
}
