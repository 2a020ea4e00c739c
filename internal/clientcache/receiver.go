package clientcache

import (
	"fmt"
	"io"
	"net/http"

	"auburnglade.example/glade/internal/progress"
)

// InterruptedError reports an answer that ended before it was complete.
type InterruptedError struct {
	// Received is how many bytes of it had arrived.
	Received int64
	Cause    error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("answer interrupted after %d bytes: %v", e.Received, e.Cause)
}

func (e *InterruptedError) Unwrap() error { return e.Cause }

// receiver is a transport that counts the bytes of each answer, which are progress of its
// call.
type receiver struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r *receiver) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.base.RoundTrip(request)
	if err == nil {
		response.Body = &countedBody{Reader: &progress.Reader{Context: request.Context(), Reader: response.Body}, Closer: response.Body}
	}
	return response, err
}

type countedBody struct {
	io.Reader
	io.Closer
	received int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.received += int64(n)
	if err != nil && err != io.EOF {
		err = &InterruptedError{b.received, err}
	}
	return n, err
}
