package httpserve

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Estimates of the memory that a connection takes, in bytes. They are checked by a test.
const (
	// connectionBytes is what an open connection takes: its goroutine and its buffers.
	connectionBytes = 24 << 10
	// headerByteFactor and headerLineBytes are what a byte and a line of a header take once
	// parsed: a line becomes a key, a list and an entry of a map, however short it is.
	headerByteFactor = 2
	headerLineBytes  = 192
	// bodyByteFactor is what a byte of a body takes that is read into a growing buffer.
	bodyByteFactor = 2
)

const (
	// ordinaryBytes is what the connection of an ordinary request takes at most: a job with a
	// payload of 4,000 bytes takes some 100 KiB until it is stored.
	ordinaryBytes = 160 << 10
	// reservedShare of the memory is for connections that take no more than that.
	reservedShare = 4
)

// headerReadAhead is how many bytes behind a header may be read with it: the buffer of
// net/http.
const headerReadAhead = 4 << 10

// headerRefusal answers a header over its limit.
const headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// clientConn counts what is read from a client's connection until the request's handler is
// called, and bounds the time of each write.
type clientConn struct {
	net.Conn
	intake  *intake
	account *account
	// maxHeaderBytes returns the limit of a header, nil without one.
	maxHeaderBytes func() int
	writeTimeout   time.Duration
	release        func()

	// inBody is set while a request is read behind its header and answered.
	inBody atomic.Bool
	// headerBytes counts the bytes read since the last request. Only the goroutine that
	// reads headers uses it.
	headerBytes int
	// begun is set once something but empty lines was read.
	begun bool
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 || c.inBody.Load() {
			return n, err
		}
		if countErr := c.countHeader(p[:n]); countErr != nil {
			return 0, countErr
		}
		n = c.dropEmptyLines(p[:n])
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// countHeader counts a part of a header. After an error the connection must be closed.
func (c *clientConn) countHeader(part []byte) error {
	c.headerBytes += len(part)
	if c.maxHeaderBytes != nil && c.headerBytes > c.maxHeaderBytes()+headerReadAhead {
		c.intake.reportHeader(c.account)
		c.refuseHeader()
		return io.EOF
	}
	held := len(part)*headerByteFactor + bytes.Count(part, []byte{'\n'})*headerLineBytes
	if err := c.intake.hold(c.account, int64(held)); err != nil {
		// The connection holds most of all; net/http closes it without an answer.
		return io.EOF
	}
	return nil
}

// dropEmptyLines removes empty lines before the first request of a connection: clients may
// send some, and net/http takes none there. Later ones may be the end of a header whose
// beginning was read ahead, and are left to net/http.
func (c *clientConn) dropEmptyLines(part []byte) int {
	if c.begun {
		return len(part)
	}
	rest := bytes.TrimLeft(part, "\r\n")
	c.begun = len(rest) > 0
	return copy(part, rest)
}

// refuseHeader answers a header over its limit and reads on for a moment: closing a
// connection with unread data resets it, and the client may lose the answer.
func (c *clientConn) refuseHeader() {
	if _, err := c.Write([]byte(headerRefusal)); err != nil {
		// The client has gone, or reads nothing.
		return
	}
	linger(c.Conn)
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.intake.answering(c.account)
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the answer. net/http does so before it closes a connection with unread data.
func (c *clientConn) CloseWrite() error { return closeWrite(c.Conn) }

// Close implements net.Conn.
func (c *clientConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// next prepares for the connection's next request.
func (c *clientConn) next() {
	c.headerBytes = 0
	c.intake.next(c.account)
	c.inBody.Store(false)
}

// clientOf returns the connection below conn, nil if it is not one of a client.
func clientOf(conn net.Conn) *clientConn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	client, _ := conn.(*clientConn)
	return client
}

type clientKey struct{}

// withClient is http.Server's ConnContext.
func withClient(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, clientOf(conn))
}

// onState is http.Server's ConnState.
func onState(conn net.Conn, state http.ConnState) {
	if client := clientOf(conn); client != nil && state == http.StateIdle {
		client.next()
	}
}
