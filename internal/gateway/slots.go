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

// acquire acquires a slot on the best endpoint, preferring those not yet tried.
func (g *Gateway) acquire(r *http.Request, service endpoint.Service, tried map[string]bool) (*limit.Slot, error) {
	return g.limiter.Acquire(r.Context(), limit.Request{
		Service:    service.Name,
		Caller:     callerAddress(r),
		Rank:       func() []endpoint.Endpoint { return g.balancer.Rank(service, tried) },
		OnAcquired: g.balancer.Begin,
	})
}

// release releases a slot and reports the result of the request to the balancer;
// reason is empty if the endpoint responded.
func (g *Gateway) release(slot *limit.Slot, reason outcome.Reason) {
	g.balancer.End(slot.Endpoint, reason)
	slot.Release()
}

// WithinAllocation reports whether the slots and connections in use do not exceed
// the allocations returned by of.
func (g *Gateway) WithinAllocation(of func(service, host string) share.Allocation) bool {
	return g.limiter.WithinAllocation(of)
}

// SetBorrowPolicy sets the policy that determines from which gateways slots may be
// borrowed.
func (g *Gateway) SetBorrowPolicy(policy *limit.BorrowPolicy) { g.limiter.SetBorrowPolicy(policy) }

// LoansMatchPolicy reports whether all borrowed slots comply with the current
// borrow policy.
func (g *Gateway) LoansMatchPolicy() bool { return g.limiter.LoansMatchPolicy() }

// Limiter returns the limiter that grants this gateway's slots.
func (g *Gateway) Limiter() *limit.Limiter { return g.limiter }

// CloseIdle closes idle connections to endpoints.
func (g *Gateway) CloseIdle() { g.transport.CloseIdle() }

func refusalReason(err error) outcome.Reason {
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return outcome.Overloaded
}

// setRetryAfter sets the Retry-After header, in whole seconds, if the limiter
// estimated when a request that was not admitted can be retried.
func setRetryAfter(header http.Header, err error) {
	var refused *limit.RefusedError
	if errors.As(err, &refused) && refused.RetryAfter > 0 {
		header.Set(retryAfterHeader, strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
}

func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
