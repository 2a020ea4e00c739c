package httpserve

import (
	"net"
	"sync"
	"time"
)

// Limits bounds the connections and other resources of a server that its
// clients may use.
type Limits struct {
	// MaxConnections bounds the open connections, MaxConnectionsPerClient those
	// of one client address. Zero means no limit. A connection over the total limit
	// takes the place of one whose request is not whole.
	MaxConnections          int
	MaxConnectionsPerClient int
	// MaxBytes bounds the memory, in bytes and by estimate, that all connections make
	// the process hold. Zero means no limit.
	MaxBytes int64
	// HeaderTimeout bounds the time from the first to the last byte of a
	// request's header, MaxHeaderBytes the header's size, and IdleTimeout the
	// time between two requests on a connection. Zero selects the package's
	// default.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	// CurrentMaxHeaderBytes, if set, returns a lower limit of a header that may change.
	// It is not used with TLS.
	CurrentMaxHeaderBytes func() int
	// RequestTimeout bounds the time from the first byte of a request to its last one,
	// WriteTimeout that of writing a part of a response. Zero means no limit.
	RequestTimeout time.Duration
	WriteTimeout   time.Duration
	// RefusalResponse is written to a connection over a limit before it is closed. No
	// byte of its request has been read by then.
	RefusalResponse []byte
	// OnRefused, if set, is called for each refused connection with the limit
	// that it exceeded.
	OnRefused func(limit LimitKind)
	// OnClosed, if set, is called for each connection that is closed, and each request
	// that is refused, for what it would make the process hold.
	OnClosed func(closing Closing)
}

// LimitKind names the limit that a connection exceeded.
type LimitKind string

// The limits on connections.
const (
	LimitTotal     LimitKind = "connections"
	LimitPerClient LimitKind = "connections_per_caller"
)

const (
	refusalWriteTimeout = 100 * time.Millisecond
	// refusalLinger is how long data from a refused connection is read and
	// discarded. Closing a connection with unread data resets it, and the client
	// may then lose the refusal.
	refusalLinger = time.Second
	// maxLingering bounds the refused connections that linger; beyond it a
	// refused connection is closed at once.
	maxLingering = 64
)

// limitedListener accepts connections within the limits. A connection over a
// limit is refused at once rather than left in the kernel's backlog, where its
// client would wait without any response.
type limitedListener struct {
	net.Listener
	limits Limits
	intake *intake

	mu             sync.Mutex
	byClient       map[string]int
	lingeringCount int
}

func newLimitedListener(l net.Listener, limits Limits) *limitedListener {
	return &limitedListener{Listener: l, limits: limits, intake: newIntake(limits), byClient: make(map[string]int)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client, limit := l.admit(conn)
		if limit == "" {
			return client, nil
		}
		if l.limits.OnRefused != nil {
			l.limits.OnRefused(limit)
		}
		l.refuse(conn)
	}
}

// admit counts a connection and returns it, or returns the limit that it would exceed.
func (l *limitedListener) admit(conn net.Conn) (*clientConn, LimitKind) {
	address := clientAddress(conn)
	if !l.acquire(address) {
		return nil, LimitPerClient
	}
	account := l.intake.open(conn)
	if account == nil {
		l.release(address)
		return nil, LimitTotal
	}
	return &clientConn{
		Conn: conn, intake: l.intake, account: account, maxHeaderBytes: l.limits.CurrentMaxHeaderBytes, writeTimeout: l.limits.WriteTimeout,
		release: sync.OnceFunc(func() { l.intake.close(account); l.release(address) }),
	}, ""
}

// acquire counts a connection of client, unless it has as many as it may have.
func (l *limitedListener) acquire(client string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.MaxConnectionsPerClient > 0 && l.byClient[client] >= l.limits.MaxConnectionsPerClient {
		return false
	}
	l.byClient[client]++
	return true
}

func (l *limitedListener) release(client string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byClient[client]--
	if l.byClient[client] == 0 {
		delete(l.byClient, client)
	}
}

// refuse sends the refusal and closes the connection. It does not block, so that
// the next connection can be accepted.
func (l *limitedListener) refuse(conn net.Conn) {
	if len(l.limits.RefusalResponse) == 0 || !l.addLingering(+1) {
		_ = conn.Close()
		return
	}
	go func() {
		defer l.addLingering(-1)
		defer conn.Close()
		_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		if _, err := conn.Write(l.limits.RefusalResponse); err != nil {
			return
		}
		linger(conn)
	}()
}

// closeWrite ends what is sent on a connection, where its kind allows it.
func closeWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// linger ends a connection's answer and reads on until the client has gone, for
// refusalLinger at most.
func linger(conn net.Conn) {
	_ = closeWrite(conn)
	_ = conn.SetReadDeadline(time.Now().Add(refusalLinger))
	var discarded [4 << 10]byte
	for {
		if _, err := conn.Read(discarded[:]); err != nil {
			return
		}
	}
}

func (l *limitedListener) addLingering(delta int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingeringCount+delta > maxLingering {
		return false
	}
	l.lingeringCount += delta
	return true
}

func clientAddress(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
