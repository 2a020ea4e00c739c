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

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// exchange is one caller's request on its way to an outcome.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	service endpoint.Service
	body    *requestBody
	// id is the request's identity over all its hops.
	id         string
	idempotent bool
	tried      map[string]bool
	// sent is true once a byte of the request may have reached an endpoint
	// that didn't refuse it.
	sent bool
}

// forward sends the request until it has an answer or an honest failure.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, service endpoint.Service) {
	body, err := g.takeBody(r)
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
	for attempts := 1; ; attempts++ {
		slot, err := g.acquire(x.r, x.service, x.tried)
		if err != nil {
			tellWhen(x.w.Header(), err)
			g.fail(x.w, x.service.Name, x.sent, refusalReason(err))
			return
		}
		failure := x.try(slot)
		if failure == nil {
			return
		}
		x.note(slot.Endpoint, failure)
		if attempts == maxAttempts || !x.mayRetry(failure) {
			g.fail(x.w, x.service.Name, x.sent, failure.Reason)
			return
		}
		g.metrics.retries.WithLabelValues(x.service.Name, string(failure.Reason)).Inc()
		pause.For(x.r.Context(), retry.Backoff(attempts))
	}
}

func (x *exchange) note(on endpoint.Endpoint, failure *attempt.Failure) {
	if x.tried == nil {
		x.tried = make(map[string]bool, maxAttempts)
	}
	x.tried[on.Host] = true
	x.sent = x.sent || failure.MaybeSent
	x.gateway.metrics.failedAttempts.WithLabelValues(x.service.Name, string(failure.Reason)).Inc()
	x.gateway.Log.Debug().Err(failure).Str("request", x.id).Msg("Attempt failed.")
}

// mayRetry decides whether another attempt is safe and affordable. An attempt
// that sent nothing is free: it put no work on any endpoint, so trying the next
// one doesn't multiply load when a zone is lost.
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

// try makes one attempt on the slot's endpoint. It returns nil once the caller
// has the answer, and panics with http.ErrAbortHandler when an answer breaks
// off after its header went out.
func (x *exchange) try(slot *limit.Slot) *attempt.Failure {
	held := &heldSlot{gateway: x.gateway, slot: slot}
	defer held.release(outcome.EndpointLost)
	response, failure := x.send(slot)
	if failure != nil {
		held.release(failure.Reason)
		return failure
	}
	defer response.Body.Close()
	if length := answerLength(x.r.Method, response); length >= 0 && length <= largeBuffer {
		return x.answerWhole(response, int(length), held)
	}
	x.answerStreaming(response, held)
	return nil
}

// send sends the request to one endpoint. An endpoint that refuses before
// starting says so itself, which counts as a failure with nothing sent.
func (x *exchange) send(slot *limit.Slot) (*http.Response, *attempt.Failure) {
	g, picked := x.gateway, slot.Endpoint
	target := attempt.Endpoint{Host: picked.Host, Address: picked.Address}
	if _, leaving := g.balancer.DrainingFor(picked); leaving {
		// It began to leave between the ranking and now.
		return nil, &attempt.Failure{Endpoint: target, Reason: outcome.NoEndpoint}
	}
	ctx, span := g.startAttemptSpan(x.r.Context(), picked)
	defer span.End()
	x.assertMaySend(picked)
	informer := &informer{w: x.w}
	defer informer.end()
	outgoing := x.outgoing(ctx)
	outgoing.Close = slot.SingleUse
	began := time.Now()
	response, failure := g.transport.Do(ctx, outgoing, target, informer.inform)
	if failure != nil {
		x.explain(failure)
		noteFailure(span, failure)
		return nil, failure
	}
	x.observe(picked, response, time.Since(began))
	if response.Header.Get(outcome.Header) == string(outcome.NotRun) {
		response.Body.Close()
		failure = &attempt.Failure{Endpoint: target, Reason: outcome.EndpointRefused, MaybeSent: false}
		noteFailure(span, failure)
		return nil, failure
	}
	return response, nil
}

func (x *exchange) assertMaySend(picked endpoint.Endpoint) {
	x.gateway.Invariant.Assert(invariant.SingleAttempt, x.idempotent || !x.sent, func() string {
		return "second attempt of non-idempotent request " + x.id + " on " + picked.Host
	})
}

// leavingGrace is how long after the first word of its leaving an endpoint may
// still get work: none does in fact, since each attempt asks right before.
const leavingGrace = 3 * time.Second

// observe tells the balancer what an answer says of its endpoint, and asserts
// that the endpoint wasn't leaving already when the request was sent.
func (x *exchange) observe(picked endpoint.Endpoint, response *http.Response, latency time.Duration) {
	g := x.gateway
	g.metrics.attemptSeconds.WithLabelValues(x.service.Name).Observe(latency.Seconds())
	left := g.balancer.Observe(picked, latency)
	g.Invariant.Assert(invariant.NoWorkAfterDrain, left < leavingGrace, func() string {
		return "request " + x.id + " was sent to " + picked.Host + ", which had been leaving for " + left.String()
	})
	if response.Header.Get(outcome.DrainingHeader) != "" {
		g.balancer.MarkDraining(picked)
	}
}

// explain names the cause where that, and not the endpoint, broke the attempt
// off: the caller's body, or this gateway's own share of connections.
func (x *exchange) explain(failure *attempt.Failure) {
	var full *limit.ConnectionsFullError
	if errors.As(failure.Cause, &full) {
		failure.Reason = outcome.Overloaded
		return
	}
	if x.body.stream == nil || failure.Reason != outcome.EndpointLost {
		return
	}
	if refused := refusedBody(failure.Cause); refused.Reason != outcome.BadRequest {
		failure.Reason = refused.Reason
	}
}

// heldSlot gives a slot back once, whichever way the attempt ends.
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

// isIdempotent decides by the path as it came and as an endpoint may read it,
// so that a doubled slash or a dot segment doesn't slip past a pattern.
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
