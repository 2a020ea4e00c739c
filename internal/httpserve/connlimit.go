package httpserve

import (
	"net"
	"sync"
	"time"
)

// Limits bound what clients may hold of a server.
type Limits struct {
	// MaxConnections bounds the open connections, PerClient those of one client
	// address. Zero means no bound.
	MaxConnections          int
	MaxConnectionsPerClient int
	// HeaderTimeout bounds the time from the first to the last byte of a
	// request's header, HeaderBytes its size, and IdleTimeout the time between
	// two requests on a connection. Zero means the package's default.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	// Refusal is written to a connection that is over a bound before it is
	// closed. Nothing of its request has been read.
	Refusal []byte
	// OnRefused, when set, is told each time which bound it was.
	OnRefused func(bound LimitKind)
}

// LimitKind names the bound that a connection was over.
type LimitKind string

// The bounds.
const (
	LimitTotal     LimitKind = "connections"
	LimitPerClient LimitKind = "connections_per_caller"
)

const (
	refusalWriteTimeout = 100 * time.Millisecond
	// refusalLinger is how long a refused connection is read from and what is
	// read dropped: closing a connection with unread bytes resets it, and the
	// client may lose the refusal with it.
	refusalLinger = time.Second
	// maxLingering bounds the refused connections that linger; others are
	// closed at once.
	maxLingering = 64
)

// limitedListener accepts connections within the limits. One over a bound is
// refused at once rather than left in the kernel's backlog, where its client
// would wait without knowing.
type limitedListener struct {
	net.Listener
	limits Limits

	mu        sync.Mutex
	open      int
	byClient  map[string]int
	lingering int
}

func newLimitedListener(l net.Listener, limits Limits) *limitedListener {
	return &limitedListener{Listener: l, limits: limits, byClient: make(map[string]int)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client := clientOf(conn)
		bound := l.enter(client)
		if bound == "" {
			return &limitedConn{Conn: conn, leave: sync.OnceFunc(func() { l.leave(client) })}, nil
		}
		if l.limits.OnRefused != nil {
			l.limits.OnRefused(bound)
		}
		l.refuse(conn)
	}
}

// enter counts a connection, or names the bound that it is over.
func (l *limitedListener) enter(client string) LimitKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.limits.MaxConnections > 0 && l.open >= l.limits.MaxConnections:
		return LimitTotal
	case l.limits.MaxConnectionsPerClient > 0 && l.byClient[client] >= l.limits.MaxConnectionsPerClient:
		return LimitPerClient
	}
	l.open++
	l.byClient[client]++
	return ""
}

func (l *limitedListener) leave(client string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.byClient[client]--
	if l.byClient[client] == 0 {
		delete(l.byClient, client)
	}
}

// refuse tells the client without holding up the next one.
func (l *limitedListener) refuse(conn net.Conn) {
	if len(l.limits.Refusal) == 0 || !l.linger(+1) {
		_ = conn.Close()
		return
	}
	go func() {
		defer l.linger(-1)
		defer conn.Close()
		_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		if _, err := conn.Write(l.limits.Refusal); err != nil {
			return
		}
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_ = conn.SetReadDeadline(time.Now().Add(refusalLinger))
		var dropped [4 << 10]byte
		for {
			if _, err := conn.Read(dropped[:]); err != nil {
				return
			}
		}
	}()
}

func (l *limitedListener) linger(by int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering+by > maxLingering {
		return false
	}
	l.lingering += by
	return true
}

func clientOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// limitedConn counts until it is closed.
type limitedConn struct {
	net.Conn
	leave func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}
