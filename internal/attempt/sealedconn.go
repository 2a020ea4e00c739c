package attempt

import (
	"io"
	"net"
	"sync"
)

// WriteClosedError says that a connection was sealed before the write.
type WriteClosedError struct{}

func (e *WriteClosedError) Error() string { return "connection is sealed: its attempt has ended" }

var errSealed = &WriteClosedError{}

// sealedConn counts writes and can be sealed. The transport's write loop may
// still hold the request when an attempt is given up; without the seal it
// could write it after the caller was told "not run". A write is counted
// before it is made, so a seal that finds the count unchanged proves that no
// byte of the attempt was or will be written. A write that the kernel refused
// whole, as on a connection that was reset while idle, is taken off again.
//
// It also notes whether anything was read since the attempt's first write. An
// answer whose first byte was there before was made for an earlier request: a
// late or doubled answer, or a time-out notice on an idle connection. Without
// this the caller would get another's answer.
type sealedConn struct {
	net.Conn
	mu     sync.Mutex
	count  int64
	before int64
	heard  bool
	sealed bool
	// gate, when set, is asked before the next write.
	gate   func() bool
	closed bool
}

// begin starts a new attempt on the connection. gate may be nil; it is asked
// before the next write, and when it says no the connection is sealed.
func (c *sealedConn) begin(gate func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before = c.count
	c.heard = false
	c.gate = gate
}

func (c *sealedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteRead()
	}
	return n, err
}

func (c *sealedConn) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = c.heard || c.count != c.before
}

// heardSinceWrite reports whether bytes arrived after the attempt's first
// write was admitted.
func (c *sealedConn) heardSinceWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

func (c *sealedConn) Write(p []byte) (int, error) {
	if err := c.admitWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.retractWrite()
	}
	return n, err
}

// ReadFrom copies through a pooled buffer; without it net/http allocates one
// for each streamed request body.
func (c *sealedConn) ReadFrom(source io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(writerOnly{c}, source, buffer[:])
}

// writerOnly hides ReadFrom from io.CopyBuffer.
type writerOnly struct{ io.Writer }

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func (c *sealedConn) admitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != nil && !c.gate() {
		c.sealed, c.closed = true, true
	}
	c.gate = nil
	if c.sealed {
		return errSealed
	}
	c.count++
	return nil
}

func (c *sealedConn) gateClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *sealedConn) retractWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
}

// seal refuses all further writes and reports whether any was admitted since
// the attempt began.
func (c *sealedConn) seal() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.count != c.before
}
