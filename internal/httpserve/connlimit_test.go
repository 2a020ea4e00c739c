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

// startLimited serves with the limits on a free port.
func startLimited(t *testing.T, limits Limits) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address = listener.Addr().String()
	must.NoError(t, listener.Close())
	limits.Refusal = []byte(refusal)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
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

func ask(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// One caller holds all the connections that it may. Its next one is told at
// once that nothing ran, and as soon as one closes there is room again.
func TestConnectionsOfOneCallerAreBounded(t *testing.T) {
	refused := make(chan LimitKind, 1)
	address := startLimited(t, Limits{MaxConnectionsPerClient: 2, OnRefused: func(b LimitKind) { refused <- b }})
	first, second := dial(t, address), dial(t, address)
	must.EqOp(t, http.StatusNoContent, ask(t, first))
	must.EqOp(t, http.StatusNoContent, ask(t, second))
	must.EqOp(t, http.StatusServiceUnavailable, ask(t, dial(t, address)))
	must.EqOp(t, LimitPerClient, <-refused)
	must.NoError(t, first.Close())
	for ask(t, dial(t, address)) != http.StatusNoContent {
		<-refused
	}
}

// Another caller's connections don't count for the first one, but both do for
// the bound over all.
func TestConnectionsOfAllCallersAreBounded(t *testing.T) {
	l := newLimitedListener(nil, Limits{MaxConnections: 3, MaxConnectionsPerClient: 2})
	must.EqOp(t, "", l.enter("10.0.0.1"))
	must.EqOp(t, "", l.enter("10.0.0.1"))
	must.EqOp(t, LimitPerClient, l.enter("10.0.0.1"))
	must.EqOp(t, "", l.enter("10.0.0.2"))
	must.EqOp(t, LimitTotal, l.enter("10.0.0.3"))
	l.leave("10.0.0.1")
	must.EqOp(t, "", l.enter("10.0.0.3"))
}

// A caller sends a header without end, byte by byte or all at once. The
// connection is closed, and the slot it would hold is free again.
func TestSlowAndLargeHeadersEndTheConnection(t *testing.T) {
	slow := dial(t, startLimited(t, Limits{HeaderTimeout: 50 * time.Millisecond}))
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	must.NoError(t, err)
	answer, err := io.ReadAll(slow)
	// On a busy machine the time is over before the header's start is there; the
	// connection then ends with a reset.
	must.True(t, err == nil || errors.Is(err, syscall.ECONNRESET))
	must.SliceEmpty(t, answer)

	large := dial(t, startLimited(t, Limits{HeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 10}))
	_, err = io.WriteString(large, "GET / HTTP/1.1\r\nHost: x\r\nFill: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(large), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.EqOp(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}
