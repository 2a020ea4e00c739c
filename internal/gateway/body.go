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
	// DefaultMaxBodyBytes is the default maximum size of a request body in bytes.
	DefaultMaxBodyBytes = 64 << 20
	// Bodies of up to smallBody bytes are allocated and sent in one write with the
	// header; bodies of up to largeBuffer bytes use pooled buffers.
	smallBody   = 4 << 10
	largeBuffer = 64 << 10
	// bodyReadTimeout is how long a caller may take to send the next part of a body.
	bodyReadTimeout = 10 * time.Second
)

// BodyRefusedError reports that a request's body was not accepted.
type BodyRefusedError struct {
	Reason outcome.Reason
	Cause  error
}

func (e *BodyRefusedError) Error() string {
	return fmt.Sprintf("request body refused: %s: %v", e.Reason, e.Cause)
}

func (e *BodyRefusedError) Unwrap() error { return e.Cause }

// BodyClosedError reports that the body was read after its attempt had ended.
type BodyClosedError struct{}

func (e *BodyClosedError) Error() string { return "request body read after its attempt ended" }

var errBodyClosed = &BodyClosedError{}

// requestBody is the body of a caller's request. A small body is buffered
// completely, so that further attempts can send it again; a larger one is a
// stream.
type requestBody struct {
	length   int64
	buffered []byte
	pooled   *[largeBuffer]byte
	stream   io.Reader
	trailer  http.Header
	guard    *stallGuard
	started  atomic.Bool
	current  *attemptBody
}

// limitBody limits the size of the request's body and the time the caller may take
// for each part of it, regardless of which code reads it.
func (g *Gateway) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	r.Body = &stallGuard{
		source: http.MaxBytesReader(w, r.Body, g.MaxBodyBytes), controller: http.NewResponseController(w),
	}
}

// readBody reads a small body completely. It runs before a slot of an endpoint is
// acquired, so that a slow caller does not hold one.
func (g *Gateway) readBody(r *http.Request) (*requestBody, *BodyRefusedError) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength > g.MaxBodyBytes {
		return nil, &BodyRefusedError{Reason: outcome.TooLarge}
	}
	body := &requestBody{length: r.ContentLength, trailer: r.Trailer}
	guard, isGuarded := r.Body.(*stallGuard)
	if !isGuarded {
		// The body is in memory already, read for its fingerprint; it cannot stall.
		guard = &stallGuard{source: r.Body}
	}
	body.guard = guard
	if r.ContentLength > largeBuffer {
		body.streamFrom(guard)
		return body, nil
	}
	if err := body.fill(); err != nil {
		body.close()
		return nil, bodyErrorOf(err)
	}
	return body, nil
}

// fill reads up to largeBuffer bytes. A body of unknown length that is longer
// becomes a stream that begins with these bytes.
func (b *requestBody) fill() error {
	if b.length >= 0 && b.length <= smallBody {
		b.buffered = make([]byte, b.length)
	} else if b.length >= 0 {
		b.pooled = largeBuffers.Get().(*[largeBuffer]byte)
		b.buffered = b.pooled[:b.length]
	} else {
		b.pooled = largeBuffers.Get().(*[largeBuffer]byte)
		b.buffered = b.pooled[:]
	}
	n, err := readFull(b.guard, b.buffered)
	truncated := b.length >= 0 && int64(n) < b.length
	b.buffered = b.buffered[:n]
	switch {
	case errors.Is(err, io.EOF) && !truncated:
		return nil
	case err != nil:
		return err
	case b.length < 0:
		b.streamFrom(io.MultiReader(bytes.NewReader(b.buffered), b.guard))
		return nil
	}
	b.guard.finished()
	return nil
}

// streamFrom turns the body into a stream. The request is then read while the
// response is being written.
func (b *requestBody) streamFrom(source io.Reader) {
	b.stream = source
	if b.guard.controller != nil {
		// Only HTTP/1 servers need this, and they support it.
		_ = b.guard.controller.EnableFullDuplex()
	}
}

// readFull reads until buffer is full or source returns an error. Unlike
// io.ReadFull it returns an io.EOF that comes with the last bytes.
func readFull(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = source.Read(buffer[n:])
		n += more
	}
	return n, err
}

func bodyErrorOf(err error) *BodyRefusedError {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &BodyRefusedError{Reason: outcome.TooLarge, Cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyRefusedError{Reason: outcome.SlowCaller, Cause: err}
	}
	return &BodyRefusedError{Reason: outcome.BadRequest, Cause: err}
}

// replayable reports whether another attempt can send the complete body.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.started.Load() }

// attach sets the body of an attempt's request.
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
		b.current = &attemptBody{source: bytes.NewReader(b.buffered), read: &b.started}
		out.Body = b.current
		out.ContentLength = bufferedLength(out.ContentLength, len(b.buffered), b.trailer)
	case len(b.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		out.Body = http.NoBody
		out.ContentLength = 0
	}
}

// bufferedLength returns the content length of a buffered body: its size, unless
// trailers require chunked framing.
func bufferedLength(length int64, size int, trailer http.Header) int64 {
	if len(trailer) > 0 {
		return length
	}
	return int64(size)
}

// endAttempt stops the write loop of the previous attempt from reading the body.
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

// close releases the body. The pooled buffer is returned only after no write loop
// can read it any more; otherwise bytes of another caller's body could be sent.
func (b *requestBody) close() {
	b.endAttempt()
	if b.pooled != nil {
		largeBuffers.Put(b.pooled)
		b.pooled = nil
	}
}

var largeBuffers = sync.Pool{New: func() any { return new([largeBuffer]byte) }}

// attemptBody is the body as read by one attempt. Reads fail once the attempt has
// ended.
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

// Close leaves the source open: net/http closes the body of an attempt that gets
// no connection, and the next attempt still needs it.
func (b *attemptBody) Close() error { return nil }

func (b *attemptBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// stallGuard limits how long the caller may take for each part of its body.
// Without it a caller that sends one byte per minute holds a slot until the
// service's timeout.
type stallGuard struct {
	source io.ReadCloser
	// controller is nil if the body is in memory.
	controller  *http.ResponseController
	atEnd       atomic.Bool
	interrupted atomic.Bool
}

// expiredDeadline is a deadline in the past, which ends a blocked read at once.
var expiredDeadline = time.Unix(1, 0)

func (s *stallGuard) Read(p []byte) (int, error) {
	s.setDeadline(time.Now().Add(bodyReadTimeout))
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
		// Only writers in tests do not support deadlines; the request's deadline
		// applies anyway.
		_ = s.controller.SetReadDeadline(deadline)
	}
}

// finished removes the deadline. The server keeps reading from the connection to
// detect that the caller disconnects, and a remaining deadline would be taken for
// a disconnect.
func (s *stallGuard) finished() {
	s.atEnd.Store(true)
	s.setDeadline(time.Time{})
}

// interrupt ends the current read and fails all later ones, so that abandoning a
// request does not wait for the next byte of a slow caller.
func (s *stallGuard) interrupt() {
	if s.atEnd.Load() {
		return
	}
	s.interrupted.Store(true)
	s.setDeadline(expiredDeadline)
}
