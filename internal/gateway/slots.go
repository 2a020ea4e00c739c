package gateway

import (
	"math"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/share"
)

// acquire takes a slot on the best endpoint not tried yet.
func (g *Gateway) acquire(r *http.Request, service endpoint.Service, tried map[string]bool) (*limit.Slot, error) {
	return g.limiter.Acquire(r.Context(), limit.Request{
		Service:    service.Name,
		Caller:     callerOf(r),
		Rank:       func() []endpoint.Endpoint { return g.balancer.Rank(service, tried) },
		OnAcquired: g.balancer.Begin,
	})
}

// release gives a slot back and tells the balancer how the request went;
// reason is empty when it was answered.
func (g *Gateway) release(slot *limit.Slot, reason outcome.Reason) {
	g.balancer.End(slot.Endpoint, reason)
	slot.Release()
}

// WithinAllocation reports whether all slots and connections in use are at most what of
// allows.
func (g *Gateway) WithinAllocation(of func(service, host string) share.Allocation) bool {
	return g.limiter.Within(of)
}

// SetBorrowPolicy says from whom slots may be borrowed from now on.
func (g *Gateway) SetBorrowPolicy(terms *limit.BorrowPolicy) { g.limiter.SetTerms(terms) }

// LoansMatchPolicy reports whether everything borrowed is within the terms in force.
func (g *Gateway) LoansMatchPolicy() bool { return g.limiter.OwesOnly() }

// Limiter returns what hands out this gateway's slots.
func (g *Gateway) Limiter() *limit.Limiter { return g.limiter }

// CloseIdle closes connections to endpoints that carry no request.
func (g *Gateway) CloseIdle() { g.transport.CloseIdle() }

func refusalReason(err error) outcome.Reason {
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return outcome.Overloaded
}

// tellWhen sets when a caller whose request was not admitted has a fair chance.
func tellWhen(header http.Header, err error) {
	var refused *limit.RefusedError
	if errors.As(err, &refused) && refused.RetryAfter > 0 {
		header.Set(retryAfterHeader, strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
}

func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
