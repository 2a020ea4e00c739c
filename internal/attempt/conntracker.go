package attempt

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"auburnglade.example/glade/internal/outcome"
)

// MismatchedResponseError reports that the response received does not belong to
// the attempt's request.
type MismatchedResponseError struct {
	// Early is true if the first byte of the response arrived before the request
	// was written.
	Early bool
	// Got is the request ID echoed by the endpoint, if any, and Want the ID of
	// the request sent.
	Got, Want string
	// Status is set if the endpoint switched protocols without being asked to.
	Status int
}

func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("response does not belong to the request: early=%t, id %q, want %q, status %d", e.Early, e.Got, e.Want, e.Status)
}

// connTracker tracks the connection that an attempt uses.
type connTracker struct {
	sendCheck func() bool
	conn      atomic.Pointer[guardedConn]
	// replayed is set when the transport obtains a second connection after the
	// first has been written to, i.e. it is about to resend the request.
	replayed atomic.Bool
	// afterWrite is set if the first byte of the response arrived after the
	// first write of the request.
	afterWrite atomic.Bool
}

// Got1xxFunc is called for each informational (1xx) response that precedes the
// final one. It may still be running when Do returns a failure.
type Got1xxFunc func(status int, header textproto.MIMEHeader) error

func (t *connTracker) trace(got1xx Got1xxFunc) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: t.gotConn, GotFirstResponseByte: t.gotFirstByte, Got1xxResponse: got1xx,
	}
}

// gotConn is called for each connection before anything is written to it. It
// closes a connection obtained for a replay to writes, so that the request is
// written to one connection at most.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*guardedConn)
	if !ok {
		return
	}
	if previous := t.conn.Load(); previous != nil && previous.closeWrites() {
		t.replayed.Store(true)
	}
	sendCheck := t.sendCheck
	if t.replayed.Load() {
		sendCheck = refuseSend
	}
	conn.begin(sendCheck)
	t.conn.Store(conn)
}

func refuseSend() bool { return false }

func (t *connTracker) gotFirstByte() {
	if conn := t.conn.Load(); conn != nil {
		t.afterWrite.Store(conn.hasReadSinceWrite())
	}
}

// failureReason returns why an attempt failed, provided that its context had not
// ended.
func (t *connTracker) failureReason() outcome.Reason {
	conn := t.conn.Load()
	switch {
	case t.replayed.Load():
		return outcome.EndpointLost
	case conn == nil:
		return outcome.ConnectFailed
	case conn.sendCheckFailed():
		return outcome.ClaimExpired
	}
	return outcome.EndpointLost
}

// closeWrites blocks all further writes to the attempt's connection and reports
// whether any write was made for this attempt.
func (t *connTracker) closeWrites() (sent bool) {
	conn := t.conn.Load()
	if conn == nil {
		return false
	}
	return conn.closeWrites() || t.replayed.Load()
}

// checkResponse returns why the response cannot belong to the request, or nil.
// It cannot detect an endpoint that echoes no request ID and responds to an
// earlier request only after the next one was written to the same connection.
func (t *connTracker) checkResponse(id string, response *http.Response) *MismatchedResponseError {
	got := response.Header.Get(outcome.RequestIDHeader)
	switch {
	case !t.afterWrite.Load():
		return &MismatchedResponseError{Early: true, Got: got, Want: id}
	case got != "" && got != id:
		return &MismatchedResponseError{Got: got, Want: id}
	case response.StatusCode == http.StatusSwitchingProtocols:
		return &MismatchedResponseError{Status: response.StatusCode}
	}
	return nil
}
