package attempt

import (
	"net"
	"sync"
)

// SealedError says that a connection was sealed before the write.
type SealedError struct{}

func (e *SealedError) Error() string { return "connection is sealed: its attempt has ended" }

var errSealed = &SealedError{}

// sealedConn counts writes and can be sealed. The transport's write loop may
// still hold the request when an attempt is given up; without the seal it
// could write it after the caller was told "not run". A write is counted
// before it is made, so a seal that finds the count unchanged proves that no
// byte of the attempt was or will be written.
type sealedConn struct {
	net.Conn
	mu     sync.Mutex
	count  int64
	sealed bool
	// gate, when set, is asked before the next write.
	gate   func() bool
	closed bool
}

func (c *sealedConn) Write(p []byte) (int, error) {
	if err := c.admitWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

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

// setGate has gate asked before the next write; a gate that says no seals the
// connection.
func (c *sealedConn) setGate(gate func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
}

func (c *sealedConn) gateClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *sealedConn) writes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// seal refuses all further writes and returns how many were admitted.
func (c *sealedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.count
}
