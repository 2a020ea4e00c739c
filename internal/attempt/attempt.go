// Package attempt sends one request to one endpoint exactly once and says
// whether a byte of it can have reached the endpoint.
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

// Endpoint is where an attempt goes.
type Endpoint struct {
	// Host is the name of the host the endpoint runs on.
	Host string
	// Address is IP number and port.
	Address string
}

// Failure says that an attempt brought no answer.
type Failure struct {
	Endpoint Endpoint
	Reason   outcome.Reason
	// MaybeSent is true unless it is certain that no byte of the request reached
	// the endpoint, now or later.
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
	// dialTimeout is short: an endpoint that can't be connected to has been
	// sent nothing, so the caller is better served by another one.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is shorter than the idle time-outs usual at servers (5 s
	// and up). The endpoint closing an idle connection just as a request leaves
	// on it makes that request's outcome unknown, so this side closes first.
	idleConnTimeout = 4 * time.Second
	maxAnswerHeader = 256 << 10
)

// Transport sends attempts. It is safe for concurrent use.
type Transport struct {
	http *http.Transport
}

// PlainDialer dials TCP with the transport's own time limit.
func PlainDialer() Dialer { return (&net.Dialer{Timeout: dialTimeout}).DialContext }

// NewTransport returns a transport that dials with dial, or plain TCP when
// dial is nil. maxIdle bounds the idle connections kept per endpoint.
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
			return &sealedConn{Conn: conn}, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		DisableCompression:     true,
	}}
}

// CloseIdle closes connections that carry no request.
func (t *Transport) CloseIdle() { t.http.CloseIdleConnections() }

// Do sends request to endpoint once, within ctx. The request's URL names path
// and query only; its header and body are the transport's from now on. On
// success the caller must close the answer's body. inform may be nil.
func (t *Transport) Do(ctx context.Context, request *http.Request, endpoint Endpoint, inform Got1xxFunc) (*http.Response, *Failure) {
	watch := connWatch{gate: gateOf(ctx)}
	outgoing := request.WithContext(httptrace.WithClientTrace(ctx, watch.trace(inform)))
	outgoing.URL = &url.URL{
		Scheme: "http", Host: endpoint.Address,
		Path: request.URL.Path, RawPath: request.URL.RawPath,
		RawQuery: request.URL.RawQuery, ForceQuery: request.URL.ForceQuery,
	}
	id := request.Header.Get(outcome.RequestIDHeader)
	forbidReplay(outgoing)
	response, err := t.http.RoundTrip(outgoing)
	if err != nil {
		return nil, &Failure{Endpoint: endpoint, Reason: ReasonOf(ctx, watch.lost()), MaybeSent: watch.seal(), Cause: err}
	}
	if foreign := watch.foreignAnswer(id, response); foreign != nil {
		sent := watch.seal()
		response.Body.Close()
		return nil, &Failure{Endpoint: endpoint, Reason: outcome.ResponseMismatch, MaybeSent: sent, Cause: foreign}
	}
	return response, nil
}

// forbidReplay keeps http.Transport from sending a request a second time by
// itself. It does so on a dead kept-alive connection for requests it takes
// for replayable: GET and the like without a body, and any request with an
// idempotency key header whose body is empty or has GetBody. The symptom is a
// licence offer issued twice. A body without GetBody is never replayable, and
// the key goes under a name that the transport's exact look-up doesn't find
// (header names are case-insensitive on the wire). What is left, a GET without
// a body, is stopped at its second connection: see connWatch.
func forbidReplay(request *http.Request) {
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

// ReasonOf returns why an attempt under ctx ended: the caller's leaving and
// the deadline come before otherwise.
func ReasonOf(ctx context.Context, otherwise outcome.Reason) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.TimedOut
	case ctx.Err() != nil:
		return outcome.CallerGone
	}
	return otherwise
}
