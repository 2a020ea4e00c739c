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
	// maxIDLength is the maximum length in bytes of a request ID set by the caller.
	maxIDLength = 128
	idBase      = 36
	// writeGrace is how long after its deadline a request's response may still be
	// written, so that a refusal at the deadline reaches the caller.
	writeGrace = 2 * time.Second
)

// RequestRefusedError reports that a request has an invalid or expired header.
type RequestRefusedError struct {
	Reason outcome.Reason
	Header string
	Got    string
}

func (e *RequestRefusedError) Error() string {
	return fmt.Sprintf("request refused: %s: header %s is %q", e.Reason, e.Header, e.Got)
}

// requestTimeout returns the timeout of a request: that of its service, or the
// caller's deadline header (milliseconds) if that is shorter.
func requestTimeout(r *http.Request, service endpoint.Service) (time.Duration, *RequestRefusedError) {
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

// setWriteDeadline keeps a caller that stops reading from holding a connection,
// and the slot of a streamed response, indefinitely: a blocked write does not
// observe the request's context.
func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	// Only writers in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// ensureRequestID sets a request ID unless the request has a valid one. The prefix
// is random for each start of a process, so that IDs of different processes do not
// collide.
func (g *Gateway) ensureRequestID(r *http.Request) {
	if id := r.Header.Get(outcome.RequestIDHeader); id != "" && len(id) <= maxIDLength && isPrintableASCII(id) {
		return
	}
	id := g.idPrefix + strconv.FormatUint(g.lastID.Add(1), idBase)
	r.Header[outcome.RequestIDHeader] = []string{id}
}

func isPrintableASCII(text string) bool {
	return strings.IndexFunc(text, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
