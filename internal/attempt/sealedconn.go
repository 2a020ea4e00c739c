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
	if c.sealed {
		return errSealed
	}
	c.count++
	return nil
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
