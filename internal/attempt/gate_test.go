package attempt

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/outcome"
)

// The gateway is paused between its claim and the first byte, and wakes when
// the claim's window is over. The attempt must end with nothing written, and
// say so. Without the gate the endpoint reads the request.
func TestClosedGateWritesNothing(t *testing.T) {
	address, read := dyingEndpoint(t)
	transport := NewTransport(nil, 1)
	request := newRequest(t, http.MethodPost, "Idempotency-Key")
	closed := request.WithContext(WithSendCheck(t.Context(), func() bool { return false }))
	_, failure := transport.Do(closed.Context(), closed, Endpoint{Host: "h", Address: address}, nil)
	must.NotNil(t, failure)
	must.False(t, failure.MaybeSent)
	must.EqOp(t, outcome.ClaimExpired, failure.Reason)
	must.EqOp(t, int64(0), read.Load())
	open := request.WithContext(WithSendCheck(t.Context(), func() bool { return true }))
	response, failure := transport.Do(open.Context(), open, Endpoint{Host: "h", Address: address}, nil)
	must.Nil(t, failure)
	must.NoError(t, response.Body.Close())
	must.EqOp(t, int64(1), read.Load())
}
