// Package attempt sends one request to one endpoint at most once and reports
// whether any byte of it may have reached the endpoint.
package attempt

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/outcome"
)

// Endpoint is the target of an attempt.
type Endpoint struct {
	// Host is the name of the host the endpoint runs on.
	Host string
	// Address is the endpoint's IP address and port.
	Address string
}

// Failure reports that an attempt returned no response.
type Failure struct {
	Endpoint Endpoint
	Reason   outcome.Reason
	// MaybeSent is false only if no byte of the request has reached the endpoint
	// and none can reach it later.
	MaybeSent bool
	Cause     error
}

func (e *Failure) Error() string {
	return fmt.Sprintf("attempt on %s (%s): %s, sent=%t: %v", e.Endpoint.Host, e.Endpoint.Address, e.Reason, e.MaybeSent, e.Cause)
}

func (e *Failure) Unwrap() error { return e.Cause }

// Dialer opens connections to endpoints.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// dialTimeout is short because nothing has been sent to an endpoint that
	// does not accept the connection, so another endpoint can be tried safely.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is shorter than the usual idle timeouts of servers (5 s
	// and more), so that this side closes idle connections first. If the
	// endpoint closes one while a request is being written to it, the outcome
	// of that request is unknown.
	idleConnTimeout   = 4 * time.Second
	maxResponseHeader = 256 << 10
)

// Transport sends attempts. It is safe for concurrent use.
type Transport struct {
	http *http.Transport
}

// PlainDialer returns a dialer for plain TCP with the transport's dial timeout.
func PlainDialer() Dialer { return (&net.Dialer{Timeout: dialTimeout}).DialContext }

// NewTransport returns a transport that dials with dial, or with PlainDialer if
// dial is nil. maxIdle is the maximum number of idle connections per endpoint.
func NewTransport(dial Dialer, maxIdle int) *Transport {
	if dial == nil {
		dial = PlainDialer()
	}
	return &Transport{http: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}}
}

// CloseIdle closes idle connections.
func (t *Transport) CloseIdle() { t.http.CloseIdleConnections() }

// Do sends request to endpoint once, bounded by ctx. Only the path and query of
// the request's URL are used. Do takes ownership of the request's header and
// body. On success the caller must close the response body. got1xx may be nil.
func (t *Transport) Do(ctx context.Context, request *http.Request, endpoint Endpoint, got1xx Got1xxFunc) (*http.Response, *Failure) {
	tracker := connTracker{sendCheck: sendCheckFrom(ctx)}
	outgoing := request.WithContext(httptrace.WithClientTrace(ctx, tracker.trace(got1xx)))
	outgoing.URL = &url.URL{
		Scheme: "http", Host: endpoint.Address,
		Path: request.URL.Path, RawPath: request.URL.RawPath,
		RawQuery: request.URL.RawQuery, ForceQuery: request.URL.ForceQuery,
	}
	id := request.Header.Get(outcome.RequestIDHeader)
	preventReplay(outgoing)
	response, err := t.http.RoundTrip(outgoing)
	if err != nil {
		return nil, &Failure{Endpoint: endpoint, Reason: ReasonOf(ctx, tracker.failureReason()), MaybeSent: tracker.closeWrites(), Cause: err}
	}
	if mismatch := tracker.checkResponse(id, response); mismatch != nil {
		sent := tracker.closeWrites()
		response.Body.Close()
		return nil, &Failure{Endpoint: endpoint, Reason: outcome.ResponseMismatch, MaybeSent: sent, Cause: mismatch}
	}
	return response, nil
}

// preventReplay keeps http.Transport from retrying a request on its own. When a
// kept-alive connection turns out to be closed, http.Transport resends requests
// it considers replayable: GET, HEAD, OPTIONS and TRACE without a body, and any
// request with an idempotency key header whose body is empty or has GetBody.
// A licence offer would then be issued twice. A body without GetBody is never
// replayable, and the key is sent under a spelling that the transport's exact
// map lookup does not match (header names are case-insensitive on the wire).
// The remaining case, a GET without a body, is blocked at its second
// connection by connTracker.
func preventReplay(request *http.Request) {
	request.GetBody = nil
	hideHeader(request.Header, "Idempotency-Key", "idempotency-key")
	hideHeader(request.Header, "X-Idempotency-Key", "x-idempotency-key")
	if request.Body == nil {
		request.Body = http.NoBody
	}
}

func hideHeader(header http.Header, canonical, hidden string) {
	if values, ok := header[canonical]; ok {
		delete(header, canonical)
		header[hidden] = values
	}
}

// ReasonOf returns why an attempt under ctx ended: TimedOut if the deadline has
// expired, CallerDisconnected if ctx was cancelled, and fallback otherwise.
func ReasonOf(ctx context.Context, fallback outcome.Reason) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.TimedOut
	case ctx.Err() != nil:
		return outcome.CallerDisconnected
	}
	return fallback
}
