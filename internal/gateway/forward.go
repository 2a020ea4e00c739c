package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"

	"auburnglade.example/glade/internal/attempt"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/outcome"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// retryAfterSeconds is told to a caller whose request did not run.
	retryAfterSeconds = 1
	copyBufferBytes   = 32 << 10
)

// hopByHop are the headers that end at each hop (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var traceContext = propagation.TraceContext{}

func (g *Gateway) startSpan(ctx context.Context, r *http.Request, service string) (context.Context, trace.Span) {
	ctx = traceContext.Extract(ctx, propagation.HeaderCarrier(r.Header))
	return g.tracer.Start(ctx, "gateway "+service, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(semconv.HTTPRequestMethodKey.String(r.Method), semconv.URLPath(r.URL.Path)))
}

// forward sends the request until it has an answer or an honest failure.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, service endpoint.Service) {
	idempotent := isIdempotent(service, r)
	replayable := r.Body == nil || r.Body == http.NoBody
	tried := make(map[string]bool)
	sent := false
	for attempts := 0; attempts < maxAttempts; attempts++ {
		slot, err := g.acquire(r, service, tried)
		if err != nil {
			g.fail(w, service.Name, sent, refusalReason(err))
			return
		}
		picked := slot.Endpoint
		tried[picked.Host] = true
		g.Invariant.Hold(invariant.SingleAttempt, idempotent || !sent, func() string {
			return "second attempt of a non-idempotent request " + r.Header.Get(outcome.RequestIDHeader)
		})
		response, failure := g.attempt(r, picked)
		if failure == nil {
			g.answerAndRelease(w, service.Name, response, slot)
			return
		}
		g.release(slot, failure.Reason)
		sent = sent || failure.Sent
		g.metrics.failedAttempts.WithLabelValues(service.Name, string(failure.Reason)).Inc()
		if r.Context().Err() != nil || (failure.Sent && !idempotent) || !replayable {
			g.fail(w, service.Name, sent, failure.Reason)
			return
		}
	}
	g.fail(w, service.Name, sent, outcome.ConnectFailed)
}

// attempt sends the request to one endpoint. An endpoint that refuses before
// starting says so itself, which counts as a failure with nothing sent.
func (g *Gateway) attempt(r *http.Request, picked endpoint.Endpoint) (*http.Response, *attempt.Failure) {
	ctx, span := g.tracer.Start(r.Context(), "attempt "+picked.Host, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	outgoing := r.Clone(ctx)
	outgoing.RequestURI = ""
	outgoing.Close = false
	removeHopByHop(outgoing.Header)
	traceContext.Inject(ctx, propagation.HeaderCarrier(outgoing.Header))
	if deadline, ok := ctx.Deadline(); ok {
		outgoing.Header.Set(outcome.DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	target := attempt.Endpoint{Host: picked.Host, Address: picked.Address}
	response, failure := g.transport.Do(outgoing, target)
	if failure != nil {
		return nil, failure
	}
	if response.Header.Get(outcome.Header) == string(outcome.NotRun) {
		response.Body.Close()
		return nil, &attempt.Failure{Endpoint: target, Reason: outcome.EndpointRefused, Sent: false}
	}
	return response, nil
}

// answerAndRelease holds the slot until the answer is through, also when the
// copy breaks off and panics.
func (g *Gateway) answerAndRelease(w http.ResponseWriter, service string, response *http.Response, slot *limit.Slot) {
	reason := outcome.EndpointLost
	defer func() { g.release(slot, reason) }()
	g.answer(w, service, response)
	reason = ""
}

// answer copies the endpoint's answer. A copy that breaks off aborts the
// caller's connection, so that a truncated answer never looks whole.
func (g *Gateway) answer(w http.ResponseWriter, service string, response *http.Response) {
	defer response.Body.Close()
	removeHopByHop(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	header.Set(outcome.Header, string(outcome.Answered))
	w.WriteHeader(response.StatusCode)
	if err := copyFlushing(w, response.Body); err != nil {
		g.metrics.requests.WithLabelValues(service, string(outcome.Unknown)).Inc()
		g.Log.Debug().Err(err).Str("service", service).Msg("Answer broke off.")
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	g.metrics.requests.WithLabelValues(service, string(outcome.Answered)).Inc()
}

// copyFlushing copies body and flushes after each read, so that a slow stream
// reaches the caller as it comes.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			// A writer that can't flush buffers only.
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (g *Gateway) fail(w http.ResponseWriter, service string, sent bool, reason outcome.Reason) {
	if !sent {
		g.refuse(w, service, reason)
		return
	}
	g.metrics.requests.WithLabelValues(service, string(outcome.Unknown)).Inc()
	w.Header().Set(outcome.Header, string(outcome.Unknown))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	http.Error(w, "unknown: the request may have run", outcome.StatusUnknown)
}

func (g *Gateway) refuse(w http.ResponseWriter, service string, reason outcome.Reason) {
	g.metrics.requests.WithLabelValues(service, string(outcome.NotRun)).Inc()
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	http.Error(w, "not run: the request did not start", outcome.StatusNotRun)
}

func isIdempotent(service endpoint.Service, r *http.Request) bool {
	for _, pattern := range service.Spec.NonIdempotent {
		if strings.HasPrefix(r.URL.Path, pattern.PathPrefix) && (pattern.Method == "" || pattern.Method == r.Method) {
			return false
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func removeHopByHop(header http.Header) {
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
