package clientcache

import (
	"fmt"
	"io"
	"net/http"
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

// receiver is a transport that counts the bytes of each answer.
type receiver struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r *receiver) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.base.RoundTrip(request)
	if err == nil {
		response.Body = &countedBody{ReadCloser: response.Body}
	}
	return response, err
}

type countedBody struct {
	io.ReadCloser
	received int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if err != nil && err != io.EOF {
		err = &InterruptedError{b.received, err}
	}
	return n, err
}
