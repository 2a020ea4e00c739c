package attempt

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/outcome"
)

// The gateway is paused between claiming the key and writing the first byte, and
// resumes after the claim has expired. The attempt must fail without writing
// anything. Without the send check the endpoint receives the request.
func TestFailedSendCheckWritesNothing(t *testing.T) {
	address, read := startDroppingEndpoint(t)
	transport := NewTransport(nil, 1)
	request := newRequest(t, http.MethodPost, "Idempotency-Key")
	failing := request.WithContext(WithSendCheck(t.Context(), func() bool { return false }))
	_, failure := transport.Do(failing.Context(), failing, Endpoint{Host: "h", Address: address}, nil)
	must.NotNil(t, failure)
	must.False(t, failure.MaybeSent)
	must.EqOp(t, outcome.ClaimExpired, failure.Reason)
	must.EqOp(t, int64(0), read.Load())
	passing := request.WithContext(WithSendCheck(t.Context(), func() bool { return true }))
	response, failure := transport.Do(passing.Context(), passing, Endpoint{Host: "h", Address: address}, nil)
	must.Nil(t, failure)
	must.NoError(t, response.Body.Close())
	must.EqOp(t, int64(1), read.Load())
}
