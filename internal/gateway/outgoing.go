package gateway

import (
	"context"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"auburnglade.example/glade/internal/outcome"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1). Expect is not
// forwarded either, since the gateway responds to it by reading the body.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Headers added to requests to endpoints.
const (
	viaHeader       = "Via"
	viaValue        = "1.1 glade"
	forwardedFor    = "X-Forwarded-For"
	userAgentHeader = "User-Agent"
)

// outgoing builds the request of one attempt, which is bounded by ctx.
func (x *exchange) outgoing(ctx context.Context) *http.Request {
	incoming := x.r
	out := &http.Request{
		Method: incoming.Method, URL: incoming.URL, Host: incoming.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: outgoingHeader(incoming),
	}
	x.body.attach(out)
	traceContext.Inject(ctx, propagation.HeaderCarrier(out.Header))
	if deadline, ok := ctx.Deadline(); ok {
		out.Header[outcome.DeadlineHeader] = []string{strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)}
	}
	return out
}

func outgoingHeader(incoming *http.Request) http.Header {
	header := make(http.Header, len(incoming.Header)+maxAddedHeaders)
	for name, values := range incoming.Header {
		header[name] = values
	}
	removeHopByHop(header)
	delete(header, "Expect")
	delete(header, outcome.Header)
	delete(header, outcome.ReasonHeader)
	delete(header, outcome.DrainingHeader)
	// The request ID is forwarded even if the caller lists it as a hop-by-hop
	// header, since it identifies the request on all hops.
	header[outcome.RequestIDHeader] = incoming.Header[outcome.RequestIDHeader]
	header[viaHeader] = appended(header[viaHeader], viaValue)
	header[forwardedFor] = appended(header[forwardedFor], callerAddress(incoming))
	if _, ok := header[userAgentHeader]; !ok {
		// An empty value keeps net/http from adding its default User-Agent.
		header[userAgentHeader] = noUserAgent
	}
	return header
}

// maxAddedHeaders is the maximum number of headers added.
const maxAddedHeaders = 8

var noUserAgent = []string{""}

// appended returns a new slice, because the caller's header is shared by all
// attempts.
func appended(values []string, value string) []string {
	return append(values[:len(values):len(values)], value)
}

// removeHopByHop deletes the hop-by-hop headers, including those that the sender
// lists in Connection.
func removeHopByHop(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

func cleanPath(p string) string {
	if !strings.Contains(p, "//") && !strings.Contains(p, "/.") {
		return p
	}
	cleaned := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return cleaned
}
