package attempt

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"auburnglade.example/glade/internal/outcome"
)

// MismatchedResponseError says that what came back isn't the answer to the
// attempt's own request.
type MismatchedResponseError struct {
	// Early is true when the answer's first byte was there before the request
	// was written.
	Early bool
	// Got and Want are the request identities, when the endpoint echoes one.
	Got, Want string
	// Status is set when the endpoint switched protocols unasked.
	Status int
}

func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("answer isn't this request's own: early=%t, id %q, want %q, status %d", e.Early, e.Got, e.Want, e.Status)
}

// connWatch remembers the connection an attempt got.
type connWatch struct {
	gate func() bool
	conn atomic.Pointer[sealedConn]
	// again is set when the transport got a second connection after the first
	// had been written to: it is about to send the request once more.
	again atomic.Bool
	// own is set when the answer's first byte came after the request's.
	own atomic.Bool
}

// Got1xxFunc is told of an informational (1xx) answer before the final one. It may
// still be called while Do returns a failure.
type Got1xxFunc func(status int, header textproto.MIMEHeader) error

func (w *connWatch) trace(inform Got1xxFunc) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: w.gotConn, GotFirstResponseByte: w.gotFirstByte, Got1xxResponse: inform,
	}
}

// gotConn is called for each connection before anything is written on it. One
// for a replay is closed to writes there and then, so that only one connection
// ever carries the request.
func (w *connWatch) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*sealedConn)
	if !ok {
		return
	}
	if previous := w.conn.Load(); previous != nil && previous.seal() {
		w.again.Store(true)
	}
	gate := w.gate
	if w.again.Load() {
		gate = never
	}
	conn.begin(gate)
	w.conn.Store(conn)
}

func never() bool { return false }

func (w *connWatch) gotFirstByte() {
	if conn := w.conn.Load(); conn != nil {
		w.own.Store(conn.heardSinceWrite())
	}
}

// lost is the reason of an attempt that failed by itself.
func (w *connWatch) lost() outcome.Reason {
	conn := w.conn.Load()
	switch {
	case w.again.Load():
		return outcome.EndpointLost
	case conn == nil:
		return outcome.ConnectFailed
	case conn.gateClosed():
		return outcome.ClaimExpired
	}
	return outcome.EndpointLost
}

// seal stops all further writes on the attempt's connection and reports
// whether any was made for this attempt.
func (w *connWatch) seal() (sent bool) {
	conn := w.conn.Load()
	if conn == nil {
		return false
	}
	return conn.seal() || w.again.Load()
}

// foreignAnswer returns why the answer can't be the request's own, or nil.
// What it can't see: an endpoint that echoes no identity and answers an
// earlier request only after the next one was written on the same connection.
func (w *connWatch) foreignAnswer(id string, response *http.Response) *MismatchedResponseError {
	got := response.Header.Get(outcome.RequestIDHeader)
	switch {
	case !w.own.Load():
		return &MismatchedResponseError{Early: true, Got: got, Want: id}
	case got != "" && got != id:
		return &MismatchedResponseError{Got: got, Want: id}
	case response.StatusCode == http.StatusSwitchingProtocols:
		return &MismatchedResponseError{Status: response.StatusCode}
	}
	return nil
}
