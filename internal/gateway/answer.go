package gateway

import (
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/attempt"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/outcome"
)

// responseLength returns the number of body bytes that follow the response
// header, or -1 if it is unknown.
func responseLength(method string, response *http.Response) int64 {
	if method == http.MethodHead || response.Body == http.NoBody {
		return 0
	}
	return response.ContentLength
}

// respondBuffered reads a short response completely before writing any of it to
// the caller. If the endpoint fails while sending it, the caller can still be
// told that the outcome is unknown, and a slow caller does not hold a slot.
func (x *exchange) respondBuffered(response *http.Response, length int, held *heldSlot) *attempt.Failure {
	if length == 0 {
		held.release("")
		x.writeHeader(response)
		x.countAnswered()
		return nil
	}
	buffer, free := pooledBuffer(length)
	defer free()
	if _, err := io.ReadFull(response.Body, buffer); err != nil {
		reason := x.interruptedReason()
		held.release(reason)
		target := attempt.Endpoint{Host: held.slot.Endpoint.Host, Address: held.slot.Endpoint.Address}
		return &attempt.Failure{Endpoint: target, Reason: reason, MaybeSent: true, Cause: err}
	}
	response.Body.Close()
	held.release("")
	x.writeHeader(response)
	if _, err := x.w.Write(buffer); err != nil {
		x.abort(err)
	}
	x.countAnswered()
	return nil
}

// respondStreaming copies a long response as it arrives. If copying fails, the
// caller's connection is aborted, so that a truncated response never looks
// complete.
func (x *exchange) respondStreaming(response *http.Response, held *heldSlot) {
	x.writeHeader(response)
	// With a known length the server's buffer decides when to send. Otherwise the
	// endpoint may be sending events, and each must be sent immediately.
	flush := response.ContentLength < 0
	readFailed, err := copyResponse(x.w, response.Body, flush)
	if err != nil {
		reason := outcome.CallerDisconnected
		if readFailed {
			reason = x.interruptedReason()
		}
		held.release(reason)
		x.abort(err)
	}
	held.release("")
	setTrailers(x.w.Header(), response.Trailer)
	x.countAnswered()
}

// setTrailers sets the trailers received after the body. Those that the endpoint
// did not announce get net/http's prefix for undeclared trailers.
func setTrailers(header, trailer http.Header) {
	announced := header["Trailer"]
	for name, values := range trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
}

// writeHeader writes the response's status and header to the caller.
func (x *exchange) writeHeader(response *http.Response) {
	x.gateway.assertMatches(x.id, response)
	announced := response.Trailer
	removeHopByHop(response.Header)
	header := x.w.Header()
	maps.Copy(header, response.Header)
	delete(header, outcome.DrainingHeader)
	delete(header, outcome.ReasonHeader)
	header[outcome.Header] = answeredValue
	header[outcome.RequestIDHeader] = []string{x.id}
	for name := range announced {
		header.Add("Trailer", name)
	}
	x.w.WriteHeader(response.StatusCode)
}

var answeredValue = []string{string(outcome.Answered)}

// assertMatches asserts that a response about to be written belongs to this
// request: it was received by an attempt with the same request ID, and it echoes
// no other ID.
func (g *Gateway) assertMatches(id string, response *http.Response) {
	carried := response.Request.Header.Get(outcome.RequestIDHeader)
	echoed := response.Header.Get(outcome.RequestIDHeader)
	g.Invariant.Assert(invariant.ResponseMatchesRequest, carried == id && (echoed == "" || echoed == id), func() string {
		return "request " + id + " got the answer to " + carried + " that names " + echoed
	})
}

func (x *exchange) countAnswered() {
	x.gateway.metrics.requests.WithLabelValues(x.service.Name, string(outcome.Answered)).Inc()
}

func (x *exchange) abort(cause error) {
	x.gateway.metrics.requests.WithLabelValues(x.service.Name, string(outcome.Unknown)).Inc()
	x.gateway.Log.Debug().Err(cause).Str("service", x.service.Name).Str("request", x.id).Msg("Response interrupted; aborting the caller's connection.")
	panic(http.ErrAbortHandler)
}

// interruptedReason returns why a response was interrupted on the endpoint's side.
func (x *exchange) interruptedReason() outcome.Reason {
	return attempt.ReasonOf(x.r.Context(), outcome.EndpointLost)
}

// copyResponse copies body to w through a pooled buffer. readFailed tells whether
// reading from the endpoint or writing to the caller failed.
func copyResponse(w http.ResponseWriter, body io.Reader, flush bool) (readFailed bool, err error) {
	buffer, free := pooledBuffer(largeBuffer)
	defer free()
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return false, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return true, err
		}
		if flush {
			// Writers that cannot flush only buffer.
			_ = controller.Flush()
		}
	}
}

// pooledBuffer returns a pooled buffer of the given length, at most largeBuffer.
// free returns it to the pool.
func pooledBuffer(length int) (buffer []byte, free func()) {
	if length <= smallBody {
		small := smallBuffers.Get().(*[smallBody]byte)
		return small[:length], func() { smallBuffers.Put(small) }
	}
	large := largeBuffers.Get().(*[largeBuffer]byte)
	return large[:length], func() { largeBuffers.Put(large) }
}

var smallBuffers = sync.Pool{New: func() any { return new([smallBody]byte) }}

// infoWriter writes informational (1xx) responses to the caller while an
// attempt is in progress. Its hook runs concurrently with the handler, which
// writes as soon as the attempt has ended; the lock keeps the two from writing at
// the same time.
type infoWriter struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	ended bool
}

func (i *infoWriter) write(status int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended || status == http.StatusContinue {
		return nil
	}
	removeHopByHop(http.Header(header))
	own := i.w.Header()
	maps.Copy(own, http.Header(header))
	i.w.WriteHeader(status)
	for name := range header {
		delete(own, name)
	}
	return nil
}

func (i *infoWriter) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}
