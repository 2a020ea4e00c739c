package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

const (
	// maxIDLength bounds a caller's own request identity.
	maxIDLength = 128
	idBase      = 36
	// writeSlack is how long past its deadline a request's answer may still be
	// written, so that a refusal at the deadline gets through.
	writeSlack = 2 * time.Second
)

// RequestRefusedError says that a request can't be served as it is.
type RequestRefusedError struct {
	Reason outcome.Reason
	Header string
	Got    string
}

func (e *RequestRefusedError) Error() string {
	return fmt.Sprintf("request refused: %s: header %s is %q", e.Reason, e.Header, e.Got)
}

// timeoutOf returns the time a request has: its service's, or less when the
// caller says so.
func timeoutOf(r *http.Request, service endpoint.Service) (time.Duration, *RequestRefusedError) {
	timeout := service.Spec.Timeout()
	text := r.Header.Get(outcome.DeadlineHeader)
	if text == "" {
		return timeout, nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, &RequestRefusedError{Reason: outcome.BadRequest, Header: outcome.DeadlineHeader, Got: text}
	}
	if left <= 0 {
		return 0, &RequestRefusedError{Reason: outcome.TimedOut, Header: outcome.DeadlineHeader, Got: text}
	}
	if left < timeout.Milliseconds() {
		timeout = time.Duration(left) * time.Millisecond
	}
	return timeout, nil
}

// boundWriting keeps a caller that stops reading from holding a connection,
// and the slot behind a streamed answer, for ever: a blocked write doesn't see
// the request's context.
func boundWriting(w http.ResponseWriter, timeout time.Duration) {
	// A writer without deadlines is a test's.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeSlack))
}

// ensureRequestID gives the request an identity unless it brings a usable one.
// The prefix is random for each start of a process, so that no two processes
// ever give the same.
func (g *Gateway) ensureRequestID(r *http.Request) {
	if id := r.Header.Get(outcome.RequestIDHeader); id != "" && len(id) <= maxIDLength && isPlain(id) {
		return
	}
	id := g.idPrefix + strconv.FormatUint(g.lastID.Add(1), idBase)
	r.Header[outcome.RequestIDHeader] = []string{id}
}

func isPlain(text string) bool {
	return strings.IndexFunc(text, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
