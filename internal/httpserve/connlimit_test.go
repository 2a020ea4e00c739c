package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nGlade-Outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// startLimited starts a server with the given limits on a free port and returns
// its address.
func startLimited(t *testing.T, limits Limits) (address string) {
	t.Helper()
	return startHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), limits)
}

// startHandler is startLimited with a handler.
func startHandler(t *testing.T, handler http.Handler, limits Limits) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address = listener.Addr().String()
	must.NoError(t, listener.Close())
	limits.RefusalResponse = []byte(refusal)
	server := New("callers", netip.MustParseAddrPort(address), handler, time.Second).WithLimits(limits)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return address
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
	}
}

func requestStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// A client over its connection limit is refused at once with the outcome not-run.
// As soon as one of its connections closes, the next one is accepted.
func TestConnectionsOfOneClientAreLimited(t *testing.T) {
	refused := make(chan LimitKind, 1)
	address := startLimited(t, Limits{MaxConnectionsPerClient: 2, OnRefused: func(b LimitKind) { refused <- b }})
	first, second := dial(t, address), dial(t, address)
	must.EqOp(t, http.StatusNoContent, requestStatus(t, first))
	must.EqOp(t, http.StatusNoContent, requestStatus(t, second))
	must.EqOp(t, http.StatusServiceUnavailable, requestStatus(t, dial(t, address)))
	must.EqOp(t, LimitPerClient, <-refused)
	must.NoError(t, first.Close())
	for requestStatus(t, dial(t, address)) != http.StatusNoContent {
		<-refused
	}
}

// Connections of one client do not count against the limit of another, but all
// count against the total limit.
func TestConnectionsOfAllClientsAreLimited(t *testing.T) {
	l := newLimitedListener(nil, Limits{MaxConnections: 3, MaxConnectionsPerClient: 2})
	admit := func(address string) (*clientConn, LimitKind) {
		conn, limit := l.admit(addressedConn{address})
		if conn != nil {
			must.NoError(t, l.intake.settle(conn.account))
		}
		return conn, limit
	}
	_, limit := admit("10.0.0.1")
	must.EqOp(t, "", limit)
	first, limit := admit("10.0.0.1")
	must.EqOp(t, "", limit)
	_, limit = admit("10.0.0.1")
	must.EqOp(t, LimitPerClient, limit)
	_, limit = admit("10.0.0.2")
	must.EqOp(t, "", limit)
	_, limit = admit("10.0.0.3")
	must.EqOp(t, LimitTotal, limit)
	must.NoError(t, first.Close())
	_, limit = admit("10.0.0.3")
	must.EqOp(t, "", limit)
}

// addressedConn is a connection of a client at an address, without data.
type addressedConn struct{ address string }

func (c addressedConn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(c.address), 1))
}
func (c addressedConn) Close() error                     { return nil }
func (c addressedConn) LocalAddr() net.Addr              { return c.RemoteAddr() }
func (c addressedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c addressedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c addressedConn) SetDeadline(time.Time) error      { return nil }
func (c addressedConn) SetReadDeadline(time.Time) error  { return nil }
func (c addressedConn) SetWriteDeadline(time.Time) error { return nil }

// A client that sends its header too slowly, or a header that is too large, must
// not occupy a connection: the server closes it.
func TestSlowAndLargeHeadersCloseTheConnection(t *testing.T) {
	slow := dial(t, startLimited(t, Limits{HeaderTimeout: 50 * time.Millisecond}))
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	must.NoError(t, err)
	received, err := io.ReadAll(slow)
	// On a busy machine the timeout may expire before the start of the header
	// arrives; the connection then ends with a reset.
	must.True(t, err == nil || errors.Is(err, syscall.ECONNRESET))
	must.SliceEmpty(t, received)

	large := dial(t, startLimited(t, Limits{HeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 10}))
	_, err = io.WriteString(large, "GET / HTTP/1.1\r\nHost: x\r\nFill: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(large), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.EqOp(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}
