package attempt

import (
	"io"
	"net"
	"sync"
)

// WriteClosedError reports a write to a connection that is closed to writes.
type WriteClosedError struct{}

func (e *WriteClosedError) Error() string {
	return "connection is closed to writes: its attempt has ended"
}

var errWriteClosed = &WriteClosedError{}

// guardedConn counts writes and can be closed to writes. The transport's write
// loop may still have the request queued when an attempt is abandoned; without
// closing the connection to writes it could write the request after the caller
// got the outcome "not run". A write is counted before it is made, so an
// unchanged count when writes are closed proves that no byte of the attempt was
// or will be written. A write that the kernel rejected entirely, as on a
// connection that was reset while idle, is subtracted again.
//
// It also records whether anything was read after the attempt's first write. A
// response whose first byte arrived earlier belongs to an earlier request: a
// late or duplicate response, or a timeout response on an idle connection.
// Without this check the caller would get the response to another request.
type guardedConn struct {
	net.Conn
	mu             sync.Mutex
	writes         int64
	writesBefore   int64
	readSinceWrite bool
	writeClosed    bool
	// sendCheck, if set, is called before the next write.
	sendCheck   func() bool
	checkFailed bool
}

// begin starts a new attempt on the connection. If sendCheck is not nil it is
// called before the next write; if it returns false, the connection is closed to
// writes.
func (c *guardedConn) begin(sendCheck func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBefore = c.writes
	c.readSinceWrite = false
	c.sendCheck = sendCheck
}

func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteRead()
	}
	return n, err
}

func (c *guardedConn) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readSinceWrite = c.readSinceWrite || c.writes != c.writesBefore
}

// hasReadSinceWrite reports whether bytes arrived after the attempt's first
// write was admitted.
func (c *guardedConn) hasReadSinceWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readSinceWrite
}

func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.admitWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.undoWrite()
	}
	return n, err
}

// ReadFrom copies through a pooled buffer. Without it net/http allocates a
// buffer for each streamed request body.
func (c *guardedConn) ReadFrom(source io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(writerOnly{c}, source, buffer[:])
}

// writerOnly hides ReadFrom from io.CopyBuffer.
type writerOnly struct{ io.Writer }

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func (c *guardedConn) admitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendCheck != nil && !c.sendCheck() {
		c.writeClosed, c.checkFailed = true, true
	}
	c.sendCheck = nil
	if c.writeClosed {
		return errWriteClosed
	}
	c.writes++
	return nil
}

func (c *guardedConn) sendCheckFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkFailed
}

func (c *guardedConn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// closeWrites rejects all further writes and reports whether any was admitted
// since the attempt began.
func (c *guardedConn) closeWrites() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed = true
	return c.writes != c.writesBefore
}
