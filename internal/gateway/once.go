package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/attempt"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

const (
	// maxKeyedBody is the maximum body size in bytes of a non-idempotent request
	// with an idempotency key. The body is read completely to compute its
	// fingerprint before anything is sent.
	maxKeyedBody = 1 << 20
	// maxKeyBytes is the maximum length of an idempotency key in bytes.
	maxKeyBytes = 255
)

// serveAtMostOnce forwards a request. A non-idempotent request with an idempotency
// key runs at most once across all gateways: its key is claimed in the platform's
// store before the request is queued for an endpoint.
func (g *Gateway) serveAtMostOnce(w http.ResponseWriter, r *http.Request, service endpoint.Service) {
	key := r.Header.Get(outcome.IdempotencyKeyHeader)
	if key == "" || g.Idempotency == nil || isIdempotent(service, r) {
		g.forward(w, r, service)
		return
	}
	if len(key) > maxKeyBytes {
		g.refuse(w, service.Name, outcome.BadRequest)
		return
	}
	body, bodyErr := readKeyedBody(w, r)
	if bodyErr != nil {
		g.refuse(w, service.Name, bodyErr.Reason)
		return
	}
	granted, claimOutcome, err := g.claim(r, service, key, body)
	if err != nil {
		g.Log.Debug().Err(err).Str("service", service.Name).Msg("Cannot claim the idempotency key; refusing the request.")
		g.refuse(w, service.Name, outcome.StoreUnavailable)
		return
	}
	if granted == nil {
		g.respondToRepeat(w, r, service.Name, claimOutcome)
		return
	}
	g.forwardClaimed(w, r, service, granted)
}

// claim claims a request's key. It has its own span because it calls the owner of
// the key's shard and the store.
func (g *Gateway) claim(r *http.Request, service endpoint.Service, key string, body []byte) (*atmostonce.GrantedClaim, atmostonce.ClaimOutcome, error) {
	ctx, span := g.tracer.Start(r.Context(), "claim", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	return g.Idempotency.Begin(ctx, atmostonce.Request{
		ID:          atmostonce.NewID(service.Name, r.Header.Get(outcome.CallerHeader), key),
		Fingerprint: atmostonce.NewFingerprint(r.Method, r.URL.RequestURI(), body),
		Window:      service.Spec.Timeout(),
	})
}

// forwardClaimed forwards a request under its claim. It continues if the caller
// disconnects, so that a repeat by the caller gets the response.
func (g *Gateway) forwardClaimed(w http.ResponseWriter, r *http.Request, service endpoint.Service, granted *atmostonce.GrantedClaim) {
	ctx, cancel := withoutCaller(r.Context())
	defer cancel()
	recorder := newRecorder(w)
	finished := false
	defer func() { granted.Settle(recorder.result(finished)) }()
	g.forward(recorder, r.WithContext(attempt.WithSendCheck(ctx, granted.CanSend)), service)
	finished = true
}

// withoutCaller returns a context with the deadline of ctx that is not cancelled
// when the caller disconnects.
func withoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// readKeyedBody reads the body and replaces it with a reader over the bytes read.
// No slot is held meanwhile, and the limits on slow callers apply.
func readKeyedBody(w http.ResponseWriter, r *http.Request) ([]byte, *BodyRefusedError) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	// limitBody has already wrapped the body with a stall guard.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKeyedBody))
	if err != nil {
		return nil, bodyErrorOf(err)
	}
	r.ContentLength = int64(len(body))
	r.TransferEncoding = nil
	r.Body = http.NoBody
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return body, nil
}

// respondToRepeat responds to a request whose key had already been claimed.
func (g *Gateway) respondToRepeat(w http.ResponseWriter, r *http.Request, service string, claimOutcome atmostonce.ClaimOutcome) {
	switch claimOutcome.State {
	case atmostonce.Answered:
		if claimOutcome.Response == nil {
			g.refuseRepeat(w, service, outcome.ResponseNotStored, 0)
			return
		}
		g.metrics.requests.WithLabelValues(service, string(outcome.Answered)).Inc()
		replay(w, r.Header.Get(outcome.RequestIDHeader), claimOutcome.Response)
	case atmostonce.InProgress:
		g.refuseRepeat(w, service, outcome.KeyInUse, claimOutcome.RetryAfter)
	case atmostonce.KeyReused:
		g.refuse(w, service, outcome.KeyReused)
	default:
		g.refuseRepeat(w, service, outcome.KeyOutcomeUnknown, 0)
	}
}

// refuseRepeat reports to the caller that an earlier request with the same key may
// have run. A positive retryAfter is the time after which its response may be
// available.
func (g *Gateway) refuseRepeat(w http.ResponseWriter, service string, reason outcome.Reason, retryAfter time.Duration) {
	g.metrics.requests.WithLabelValues(service, string(outcome.Unknown)).Inc()
	w.Header().Set(outcome.Header, string(outcome.Unknown))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	http.Error(w, "unknown: an earlier request with this key may have run", outcome.StatusUnknown)
}

// replay writes the stored response to the first request as the response to this
// one.
func replay(w http.ResponseWriter, id string, stored *atmostonce.Response) {
	header := w.Header()
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(outcome.Header, string(outcome.Answered))
	header.Set(outcome.ReplayedHeader, "true")
	header.Set(outcome.RequestIDHeader, id)
	w.WriteHeader(stored.Status)
	// If the write fails, the caller can repeat the request again.
	_, _ = w.Write(stored.Body)
}
