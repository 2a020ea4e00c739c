package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/outcome"
)

const (
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 64 << 20
	// smallBody is kept in memory of its own and goes out in one write with
	// the header; bodies up to largeBuffer are kept in pooled memory.
	smallBody   = 4 << 10
	largeBuffer = 64 << 10
	// bodyStall is how long a caller may take for the next part of a body.
	bodyStall = 10 * time.Second
)

// BodyRefusedError says that a request's body wasn't taken; nothing was sent.
type BodyRefusedError struct {
	Reason outcome.Reason
	Cause  error
}

func (e *BodyRefusedError) Error() string {
	return fmt.Sprintf("request body refused: %s: %v", e.Reason, e.Cause)
}

func (e *BodyRefusedError) Unwrap() error { return e.Cause }

// BodyClosedError says that an attempt read the body after it had ended.
type BodyClosedError struct{}

func (e *BodyClosedError) Error() string { return "request body read after its attempt ended" }

var errBodyClosed = &BodyClosedError{}

// requestBody is a caller's body: whole in memory when it is small, so that an
// attempt that sent nothing can be followed by another, and a stream else.
type requestBody struct {
	length  int64
	whole   []byte
	pooled  *[largeBuffer]byte
	stream  io.Reader
	trailer http.Header
	guard   *stallGuard
	started atomic.Bool
	current *attemptBody
}

// guardBody bounds the body's size and how long the caller may take for each
// part of it, whoever reads it.
func (g *Gateway) guardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	r.Body = &stallGuard{
		source: http.MaxBytesReader(w, r.Body, g.MaxBodyBytes), controller: http.NewResponseController(w),
	}
}

// takeBody reads a small body whole, before any endpoint's slot is taken: a
// slow caller holds none.
func (g *Gateway) takeBody(r *http.Request) (*requestBody, *BodyRefusedError) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength > g.MaxBodyBytes {
		return nil, &BodyRefusedError{Reason: outcome.TooLarge}
	}
	body := &requestBody{length: r.ContentLength, trailer: r.Trailer}
	guard, fromCaller := r.Body.(*stallGuard)
	if !fromCaller {
		// It was read before, for its fingerprint; nothing can stall.
		guard = &stallGuard{source: r.Body}
	}
	body.guard = guard
	if r.ContentLength > largeBuffer {
		body.streamFrom(guard)
		return body, nil
	}
	if err := body.fill(); err != nil {
		body.close()
		return nil, refusedBody(err)
	}
	return body, nil
}

// fill reads up to largeBuffer bytes; a body of unknown length that is longer
// becomes a stream that begins with them.
func (b *requestBody) fill() error {
	if b.length >= 0 && b.length <= smallBody {
		b.whole = make([]byte, b.length)
	} else if b.length >= 0 {
		b.pooled = largeBuffers.Get().(*[largeBuffer]byte)
		b.whole = b.pooled[:b.length]
	} else {
		b.pooled = largeBuffers.Get().(*[largeBuffer]byte)
		b.whole = b.pooled[:]
	}
	n, err := readFull(b.guard, b.whole)
	short := b.length >= 0 && int64(n) < b.length
	b.whole = b.whole[:n]
	switch {
	case errors.Is(err, io.EOF) && !short:
		return nil
	case err != nil:
		return err
	case b.length < 0:
		b.streamFrom(io.MultiReader(bytes.NewReader(b.whole), b.guard))
		return nil
	}
	b.guard.finished()
	return nil
}

// streamFrom makes the body a stream. Reading and answering then go on side by
// side.
func (b *requestBody) streamFrom(source io.Reader) {
	b.stream = source
	if b.guard.controller != nil {
		// Only HTTP/1 servers need it, and they have it.
		_ = b.guard.controller.EnableFullDuplex()
	}
}

// readFull fills buffer and reads on until the end is seen where the source
// gives it with the last bytes.
func readFull(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = source.Read(buffer[n:])
		n += more
	}
	return n, err
}

func refusedBody(err error) *BodyRefusedError {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &BodyRefusedError{Reason: outcome.TooLarge, Cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyRefusedError{Reason: outcome.SlowCaller, Cause: err}
	}
	return &BodyRefusedError{Reason: outcome.BadRequest, Cause: err}
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.started.Load() }

// attach gives an attempt's request its body.
func (b *requestBody) attach(out *http.Request) {
	b.endAttempt()
	out.ContentLength = b.length
	if len(b.trailer) > 0 {
		// Trailers need chunked framing.
		out.ContentLength = -1
		out.Trailer = b.trailer
	}
	switch {
	case b.stream != nil:
		b.current = &attemptBody{source: b.stream, read: &b.started}
		out.Body = b.current
	case b.pooled != nil:
		b.current = &attemptBody{source: bytes.NewReader(b.whole), read: &b.started}
		out.Body = b.current
		out.ContentLength = knownLength(out.ContentLength, len(b.whole), b.trailer)
	case len(b.whole) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.whole))
	default:
		out.Body = http.NoBody
		out.ContentLength = 0
	}
}

// knownLength turns a chunked body that was read whole into one with a length.
func knownLength(length int64, whole int, trailer http.Header) int64 {
	if len(trailer) > 0 {
		return length
	}
	return int64(whole)
}

// endAttempt keeps a late write loop of the last attempt from reading on.
func (b *requestBody) endAttempt() {
	if b.current == nil {
		return
	}
	if b.stream != nil && b.started.Load() {
		b.guard.interrupt()
	}
	b.current.end()
	b.current = nil
}

// close ends the body's use. The pooled memory goes back only once no write
// loop can read it: else another caller's bytes would go out on the wire.
func (b *requestBody) close() {
	b.endAttempt()
	if b.pooled != nil {
		largeBuffers.Put(b.pooled)
		b.pooled = nil
	}
}

var largeBuffers = sync.Pool{New: func() any { return new([largeBuffer]byte) }}

// attemptBody is a body as one attempt reads it. Once ended it gives nothing.
type attemptBody struct {
	mu     sync.Mutex
	source io.Reader
	read   *atomic.Bool
	ended  bool
}

func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, errBodyClosed
	}
	b.read.Store(true)
	return b.source.Read(p)
}

// Close leaves the source open: net/http closes the body of an attempt that
// never got a connection, and the next attempt still needs it.
func (b *attemptBody) Close() error { return nil }

func (b *attemptBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// stallGuard bounds how long the caller may take for each part of its body.
// Without it a caller that sends a byte a minute holds a slot for as long as
// the service's time-out.
type stallGuard struct {
	source io.ReadCloser
	// controller is nil for a body that is in memory.
	controller  *http.ResponseController
	atEnd       atomic.Bool
	interrupted atomic.Bool
}

// longAgo is a deadline that ends a blocked read at once.
var longAgo = time.Unix(1, 0)

func (s *stallGuard) Read(p []byte) (int, error) {
	s.setDeadline(time.Now().Add(bodyStall))
	if s.interrupted.Load() {
		return 0, errBodyClosed
	}
	n, err := s.source.Read(p)
	if errors.Is(err, io.EOF) {
		s.finished()
	}
	return n, err
}

// Close implements io.Closer.
func (s *stallGuard) Close() error { return s.source.Close() }

func (s *stallGuard) setDeadline(deadline time.Time) {
	if s.controller != nil {
		// A writer without deadlines is a test's; the request's own holds.
		_ = s.controller.SetReadDeadline(deadline)
	}
}

// finished lifts the deadline: the server goes on watching the connection for
// the caller's leaving, which a deadline left behind would report falsely.
func (s *stallGuard) finished() {
	s.atEnd.Store(true)
	s.setDeadline(time.Time{})
}

// interrupt ends a read under way and all later ones, so that giving up a
// request never waits for a slow caller's next byte.
func (s *stallGuard) interrupt() {
	if s.atEnd.Load() {
		return
	}
	s.interrupted.Store(true)
	s.setDeadline(longAgo)
}
