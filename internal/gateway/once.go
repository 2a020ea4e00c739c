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
	// maxKeyedBody bounds the body of a keyed non-idempotent request: it is
	// read whole for its fingerprint before anything is sent.
	maxKeyedBody = 1 << 20
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// serveOnce forwards a request. A non-idempotent one that carries an
// idempotency key runs at most once over all gateways: its key is claimed in
// the platform's store before it is queued for an endpoint.
func (g *Gateway) serveOnce(w http.ResponseWriter, r *http.Request, service endpoint.Service) {
	key := r.Header.Get(outcome.IdempotencyKeyHeader)
	if key == "" || g.Idempotency == nil || isIdempotent(service, r) {
		g.forward(w, r, service)
		return
	}
	if len(key) > maxKeyBytes {
		g.refuse(w, service.Name, outcome.BadRequest)
		return
	}
	body, refused := readKeyedBody(w, r)
	if refused != nil {
		g.refuse(w, service.Name, refused.Reason)
		return
	}
	ticket, verdict, err := g.claim(r, service, key, body)
	if err != nil {
		g.Log.Debug().Err(err).Str("service", service.Name).Msg("Key not claimed.")
		g.refuse(w, service.Name, outcome.StoreUnavailable)
		return
	}
	if ticket == nil {
		g.answerRepeat(w, r, service.Name, verdict)
		return
	}
	g.forwardClaimed(w, r, service, ticket)
}

// claim claims a request's key under a span of its own: it is a hop to the
// owner of the key's shard and to the store.
func (g *Gateway) claim(r *http.Request, service endpoint.Service, key string, body []byte) (*atmostonce.GrantedClaim, atmostonce.ClaimOutcome, error) {
	ctx, span := g.tracer.Start(r.Context(), "claim", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	return g.Idempotency.Begin(ctx, atmostonce.Request{
		ID:          atmostonce.NewID(service.Name, r.Header.Get(outcome.CallerHeader), key),
		Fingerprint: atmostonce.NewFingerprint(r.Method, r.URL.RequestURI(), body),
		Window:      service.Spec.Timeout(),
	})
}

// forwardClaimed forwards a request under its claim. It goes on when the
// caller goes away, so that the caller's repeat gets the answer.
func (g *Gateway) forwardClaimed(w http.ResponseWriter, r *http.Request, service endpoint.Service, ticket *atmostonce.GrantedClaim) {
	ctx, cancel := withoutCaller(r.Context())
	defer cancel()
	recorder := newRecorder(w)
	finished := false
	defer func() { ticket.Settle(recorder.result(finished)) }()
	g.forward(recorder, r.WithContext(attempt.WithSendCheck(ctx, ticket.MaySend)), service)
	finished = true
}

// withoutCaller keeps a request's deadline but not its caller's cancellation.
func withoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// readKeyedBody reads the body and gives the request a fresh reader over it. A
// slow caller holds no slot meanwhile and is cut off like any other.
func readKeyedBody(w http.ResponseWriter, r *http.Request) ([]byte, *BodyRefusedError) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	// The guard against stalling is on the body already.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKeyedBody))
	if err != nil {
		return nil, refusedBody(err)
	}
	r.ContentLength = int64(len(body))
	r.TransferEncoding = nil
	r.Body = http.NoBody
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return body, nil
}

// answerRepeat answers a request whose key was claimed before.
func (g *Gateway) answerRepeat(w http.ResponseWriter, r *http.Request, service string, verdict atmostonce.ClaimOutcome) {
	switch verdict.State {
	case atmostonce.Answered:
		if verdict.Response == nil {
			g.refuseRepeat(w, service, outcome.ResponseNotStored, 0)
			return
		}
		g.metrics.requests.WithLabelValues(service, string(outcome.Answered)).Inc()
		replay(w, r.Header.Get(outcome.RequestIDHeader), verdict.Response)
	case atmostonce.InProgress:
		g.refuseRepeat(w, service, outcome.KeyInUse, verdict.RetryAfter)
	case atmostonce.KeyReused:
		g.refuse(w, service, outcome.KeyReused)
	default:
		g.refuseRepeat(w, service, outcome.KeyOutcomeUnknown, 0)
	}
}

// refuseRepeat says that an earlier attempt may have run. retryAfter, when
// set, says when its answer may be there.
func (g *Gateway) refuseRepeat(w http.ResponseWriter, service string, reason outcome.Reason, retryAfter time.Duration) {
	g.metrics.requests.WithLabelValues(service, string(outcome.Unknown)).Inc()
	w.Header().Set(outcome.Header, string(outcome.Unknown))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	http.Error(w, "unknown: an earlier request with this key may have run", outcome.StatusUnknown)
}

// replay gives the first answer again, as the answer to this request.
func replay(w http.ResponseWriter, id string, answer *atmostonce.Response) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(outcome.Header, string(outcome.Answered))
	header.Set(outcome.ReplayedHeader, "true")
	header.Set(outcome.RequestIDHeader, id)
	w.WriteHeader(answer.Status)
	// A caller that has gone may repeat once more.
	_, _ = w.Write(answer.Body)
}
