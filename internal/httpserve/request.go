package httpserve

import (
	"context"
	"io"
	"net/http"
)

// countRequests returns a handler that counts the bodies of requests for their connections.
func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		client, _ := r.Context().Value(clientKey{}).(*clientConn)
		if client == nil {
			next.ServeHTTP(w, r)
			return
		}
		client.inBody.Store(true)
		if r.Body == nil || r.Body == http.NoBody {
			if err := client.intake.settle(client.account); err != nil {
				// The connection is closed: nobody would get an answer.
				panic(http.ErrAbortHandler)
			}
		} else {
			r.Body = &countedBody{r.Body, client}
		}
		next.ServeHTTP(w, r)
	})
}

// countedBody counts what is read of a body for its connection. Read returns *NoMemoryError
// if the process has no memory for it, and *ConnectionClosedError if the connection was closed
// for others.
type countedBody struct {
	io.ReadCloser
	client *clientConn
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if holdErr := b.client.intake.hold(b.client.account, int64(n)*bodyByteFactor); holdErr != nil {
			return 0, holdErr
		}
	}
	if err == io.EOF {
		if settleErr := b.client.intake.settle(b.client.account); settleErr != nil {
			return 0, settleErr
		}
	}
	return n, err
}

// Reserve counts memory, in bytes, that a whole request is about to take until it is
// answered. It returns *NoMemoryError if there is none, not even if connections whose
// requests are not whole are closed. ctx is the request's.
func Reserve(ctx context.Context, bytes int64) error {
	client, _ := ctx.Value(clientKey{}).(*clientConn)
	if client == nil {
		return nil
	}
	return client.intake.hold(client.account, bytes)
}
