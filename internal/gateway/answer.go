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

// answerLength returns how many bytes of body follow the answer's header, -1
// when it isn't known.
func answerLength(method string, response *http.Response) int64 {
	if method == http.MethodHead || response.Body == http.NoBody {
		return 0
	}
	return response.ContentLength
}

// answerWhole reads a short answer to its end before the caller sees any of
// it. An endpoint that dies in the middle then still leaves an honest outcome
// to give, and a slow caller holds no slot.
func (x *exchange) answerWhole(response *http.Response, length int, held *heldSlot) *attempt.Failure {
	if length == 0 {
		held.release("")
		x.writeHead(response)
		x.finish()
		return nil
	}
	buffer, free := answerBuffer(length)
	defer free()
	if _, err := io.ReadFull(response.Body, buffer); err != nil {
		reason := x.brokenReason()
		held.release(reason)
		target := attempt.Endpoint{Host: held.slot.Endpoint.Host, Address: held.slot.Endpoint.Address}
		return &attempt.Failure{Endpoint: target, Reason: reason, MaybeSent: true, Cause: err}
	}
	response.Body.Close()
	held.release("")
	x.writeHead(response)
	if _, err := x.w.Write(buffer); err != nil {
		x.abort(err)
	}
	x.finish()
	return nil
}

// answerStreaming copies a long answer as it comes. A copy that breaks off
// aborts the caller's connection, so that a truncated answer never looks whole.
func (x *exchange) answerStreaming(response *http.Response, held *heldSlot) {
	x.writeHead(response)
	// With a length, the server's own buffer decides when to send. Without
	// one, the endpoint may be sending events, each of which has to go out.
	flush := response.ContentLength < 0
	readFailed, err := copyAnswer(x.w, response.Body, flush)
	if err != nil {
		reason := outcome.CallerGone
		if readFailed {
			reason = x.brokenReason()
		}
		held.release(reason)
		x.abort(err)
	}
	held.release("")
	passTrailers(x.w.Header(), response.Trailer)
	x.finish()
}

// passTrailers sets what came after the body; names that the endpoint didn't
// announce go under net/http's prefix for such.
func passTrailers(header, trailer http.Header) {
	announced := header["Trailer"]
	for name, values := range trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
}

// writeHead passes the answer's header on.
func (x *exchange) writeHead(response *http.Response) {
	x.gateway.holdBelongs(x.id, response)
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

// holdBelongs asserts that an answer about to be passed on was made for this
// request: it came back on the attempt that carries the request's identity,
// and names no other.
func (g *Gateway) holdBelongs(id string, response *http.Response) {
	carried := response.Request.Header.Get(outcome.RequestIDHeader)
	echoed := response.Header.Get(outcome.RequestIDHeader)
	g.Invariant.Assert(invariant.ResponseMatchesRequest, carried == id && (echoed == "" || echoed == id), func() string {
		return "request " + id + " got the answer to " + carried + " that names " + echoed
	})
}

func (x *exchange) finish() {
	x.gateway.metrics.requests.WithLabelValues(x.service.Name, string(outcome.Answered)).Inc()
}

func (x *exchange) abort(cause error) {
	x.gateway.metrics.requests.WithLabelValues(x.service.Name, string(outcome.Unknown)).Inc()
	x.gateway.Log.Debug().Err(cause).Str("service", x.service.Name).Str("request", x.id).Msg("Answer broke off.")
	panic(http.ErrAbortHandler)
}

// brokenReason says why an answer broke off on the endpoint's side.
func (x *exchange) brokenReason() outcome.Reason {
	return attempt.ReasonOf(x.r.Context(), outcome.EndpointLost)
}

// copyAnswer copies through a pooled buffer. readFailed tells a broken endpoint
// from a caller that has gone.
func copyAnswer(w http.ResponseWriter, body io.Reader, flush bool) (readFailed bool, err error) {
	buffer, free := answerBuffer(largeBuffer)
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
			// A writer that can't flush buffers only.
			_ = controller.Flush()
		}
	}
}

// answerBuffer returns pooled memory of the given length, at most largeBuffer.
func answerBuffer(length int) (buffer []byte, free func()) {
	if length <= smallBody {
		small := smallBuffers.Get().(*[smallBody]byte)
		return small[:length], func() { smallBuffers.Put(small) }
	}
	large := largeBuffers.Get().(*[largeBuffer]byte)
	return large[:length], func() { largeBuffers.Put(large) }
}

var smallBuffers = sync.Pool{New: func() any { return new([smallBody]byte) }}

// informer passes informational (1xx) answers on while the attempt is under
// way. The hook runs beside the handler, which writes as soon as the attempt
// has ended; the lock keeps the two apart.
type informer struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	ended bool
}

func (i *informer) inform(status int, header textproto.MIMEHeader) error {
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

func (i *informer) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}
