package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/attempt"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/retry"
)

// maxAttempts is the maximum number of attempts per request.
const maxAttempts = 3

// exchange is the forwarding of one caller's request.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	service endpoint.Service
	body    *requestBody
	// id is the request ID, which is the same on all hops.
	id         string
	idempotent bool
	tried      map[string]bool
	// maybeSent is true once any byte of the request may have reached an endpoint
	// that did not refuse it.
	maybeSent bool
}

// forward attempts the request on endpoints and writes the response, or a failure
// that tells the caller whether the request may have run.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, service endpoint.Service) {
	body, err := g.readBody(r)
	if err != nil {
		g.refuse(w, service.Name, err.Reason)
		return
	}
	defer body.close()
	x := &exchange{
		gateway: g, w: w, r: r, service: service, body: body,
		id: r.Header.Get(outcome.RequestIDHeader), idempotent: isIdempotent(service, r),
	}
	x.run()
}

func (x *exchange) run() {
	g := x.gateway
	g.retries.ForService(x.service.Name).Deposit()
	for attemptCount := 1; ; attemptCount++ {
		slot, err := g.acquire(x.r, x.service, x.tried)
		if err != nil {
			setRetryAfter(x.w.Header(), err)
			g.fail(x.w, x.service.Name, x.maybeSent, refusalReason(err))
			return
		}
		failure := x.tryEndpoint(slot)
		if failure == nil {
			return
		}
		x.recordFailure(slot.Endpoint, failure)
		if attemptCount == maxAttempts || !x.mayRetry(failure) {
			g.fail(x.w, x.service.Name, x.maybeSent, failure.Reason)
			return
		}
		g.metrics.retries.WithLabelValues(x.service.Name, string(failure.Reason)).Inc()
		pause.For(x.r.Context(), retry.Backoff(attemptCount))
	}
}

func (x *exchange) recordFailure(e endpoint.Endpoint, failure *attempt.Failure) {
	if x.tried == nil {
		x.tried = make(map[string]bool, maxAttempts)
	}
	x.tried[e.Host] = true
	x.maybeSent = x.maybeSent || failure.MaybeSent
	x.gateway.metrics.failedAttempts.WithLabelValues(x.service.Name, string(failure.Reason)).Inc()
	x.gateway.Log.Debug().Err(failure).Str("request", x.id).Msg("Attempt failed.")
}

// mayRetry reports whether another attempt is safe and within the retry budget.
// Retrying an attempt that sent nothing needs no budget: it caused no work on any
// endpoint, so it does not multiply the load if a zone fails.
func (x *exchange) mayRetry(failure *attempt.Failure) bool {
	if x.r.Context().Err() != nil || !x.body.replayable() {
		return false
	}
	if failure.MaybeSent && !x.idempotent || failure.Reason == outcome.ClaimExpired {
		return false
	}
	if !failure.MaybeSent && failure.Reason != outcome.EndpointRefused {
		return true
	}
	if x.gateway.retries.ForService(x.service.Name).TryWithdraw() {
		return true
	}
	x.gateway.metrics.retriesDenied.WithLabelValues(x.service.Name).Inc()
	return false
}

// tryEndpoint makes one attempt on the slot's endpoint. It returns nil once the
// caller has the response, and panics with http.ErrAbortHandler if the response
// is interrupted after its header has been sent.
func (x *exchange) tryEndpoint(slot *limit.Slot) *attempt.Failure {
	held := &heldSlot{gateway: x.gateway, slot: slot}
	defer held.release(outcome.EndpointLost)
	response, failure := x.send(slot)
	if failure != nil {
		held.release(failure.Reason)
		return failure
	}
	defer response.Body.Close()
	if length := responseLength(x.r.Method, response); length >= 0 && length <= largeBuffer {
		return x.respondBuffered(response, int(length), held)
	}
	x.respondStreaming(response, held)
	return nil
}

// send sends the request to one endpoint. If the endpoint reports that it refused
// the request before starting it, this counts as a failure with nothing sent.
func (x *exchange) send(slot *limit.Slot) (*http.Response, *attempt.Failure) {
	g, picked := x.gateway, slot.Endpoint
	target := attempt.Endpoint{Host: picked.Host, Address: picked.Address}
	if _, draining := g.balancer.DrainingFor(picked); draining {
		// It started draining after the ranking.
		return nil, &attempt.Failure{Endpoint: target, Reason: outcome.NoEndpoint}
	}
	ctx, span := g.startAttemptSpan(x.r.Context(), picked)
	defer span.End()
	x.assertMaySend(picked)
	infoWriter := &infoWriter{w: x.w}
	defer infoWriter.end()
	outgoing := x.outgoing(ctx)
	outgoing.Close = slot.SingleUse
	began := time.Now()
	response, failure := g.transport.Do(ctx, outgoing, target, infoWriter.write)
	if failure != nil {
		x.refineReason(failure)
		recordSpanFailure(span, failure)
		return nil, failure
	}
	x.observe(picked, response, time.Since(began))
	if response.Header.Get(outcome.Header) == string(outcome.NotRun) {
		response.Body.Close()
		failure = &attempt.Failure{Endpoint: target, Reason: outcome.EndpointRefused, MaybeSent: false}
		recordSpanFailure(span, failure)
		return nil, failure
	}
	return response, nil
}

func (x *exchange) assertMaySend(picked endpoint.Endpoint) {
	x.gateway.Invariant.Assert(invariant.SingleAttempt, x.idempotent || !x.maybeSent, func() string {
		return "second attempt of non-idempotent request " + x.id + " on " + picked.Host
	})
}

// drainGrace is how long after the first report that an endpoint is draining a
// request may still be sent to it without violating the invariant. Requests are
// normally not sent at all then, since each attempt checks immediately before
// sending.
const drainGrace = 3 * time.Second

// observe reports a response's latency and drain header to the balancer, and
// asserts that the endpoint was not draining when the request was sent.
func (x *exchange) observe(picked endpoint.Endpoint, response *http.Response, latency time.Duration) {
	g := x.gateway
	g.metrics.attemptSeconds.WithLabelValues(x.service.Name).Observe(latency.Seconds())
	drainingFor := g.balancer.Observe(picked, latency)
	g.Invariant.Assert(invariant.NoWorkAfterDrain, drainingFor < drainGrace, func() string {
		return "request " + x.id + " was sent to " + picked.Host + ", which had been leaving for " + drainingFor.String()
	})
	if response.Header.Get(outcome.DrainingHeader) != "" {
		g.balancer.MarkDraining(picked)
	}
}

// refineReason replaces the reason of a failure that was not caused by the
// endpoint but by the caller's body or this gateway's share of connections.
func (x *exchange) refineReason(failure *attempt.Failure) {
	var full *limit.ConnectionLimitError
	if errors.As(failure.Cause, &full) {
		failure.Reason = outcome.Overloaded
		return
	}
	if x.body.stream == nil || failure.Reason != outcome.EndpointLost {
		return
	}
	if bodyErr := bodyErrorOf(failure.Cause); bodyErr.Reason != outcome.BadRequest {
		failure.Reason = bodyErr.Reason
	}
}

// heldSlot releases a slot exactly once, however the attempt ends.
type heldSlot struct {
	gateway  *Gateway
	slot     *limit.Slot
	released bool
}

func (h *heldSlot) release(reason outcome.Reason) {
	if h.released {
		return
	}
	h.released = true
	h.gateway.release(h.slot, reason)
}

// isIdempotent reports whether the request may be sent more than once. It matches
// the patterns against both the path as received and the cleaned path, so that a
// doubled slash or a dot segment does not evade a pattern.
func isIdempotent(service endpoint.Service, r *http.Request) bool {
	cleaned := cleanPath(r.URL.Path)
	for _, pattern := range service.Spec.NonIdempotent {
		if pattern.Method != "" && pattern.Method != r.Method {
			continue
		}
		if strings.HasPrefix(r.URL.Path, pattern.PathPrefix) || strings.HasPrefix(cleaned, pattern.PathPrefix) {
			return false
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
