package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/outcome"
)

func dialGateway(t *testing.T, g *testGateway) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// The endpoint closes the connection after reading the request, at different
// points of its response. A non-idempotent request must get the outcome "unknown"
// after one run, an idempotent one must be served by another endpoint, and a
// response that has begun must never look complete.
func TestEndpointFailsDuringExchange(t *testing.T) {
	closeAtOnce := func(net.Conn, *bufio.Reader, *http.Request) {}
	inResponseHeader := func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
	}
	inShortResponse := func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	}
	inChunkedResponse := func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
	}
	inLongResponse := func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeBuffer*2, strings.Repeat("x", largeBuffer))
	}
	for _, c := range []struct {
		name   string
		handle connHandler
		aborts bool
	}{
		{"before the response", closeAtOnce, false},
		{"in the response header", inResponseHeader, false},
		{"in a short response", inShortResponse, false},
		{"in a chunked response", inChunkedResponse, true},
		{"in a long response", inLongResponse, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, read := startOneRequestEndpoint(t, c.handle)
			g := startGateway(t, address)
			response := g.do(t, http.MethodPost, "/offers/issue/1", strings.NewReader("offer"))
			if c.aborts {
				_, err := io.ReadAll(response.Body)
				must.Error(t, err)
			} else {
				must.EqOp(t, outcome.StatusUnknown, response.StatusCode)
				wantOutcome(t, response, outcome.Unknown, outcome.EndpointLost)
			}
			must.EqOp(t, int64(1), read.Load())
			if !c.aborts {
				wantLookupRetriedElsewhere(t, c.handle)
			}
		})
	}
}

func wantLookupRetriedElsewhere(t *testing.T, handler connHandler) {
	t.Helper()
	failing, read := startOneRequestEndpoint(t, handler)
	healthy := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	g := startGateway(t, failing, healthy)
	for range 4 {
		response := g.get(t, "/offers/lookup")
		must.EqOp(t, "whole", readAll(t, response))
		wantOutcome(t, response, outcome.Answered, "")
	}
	must.Positive(t, read.Load())
}

// One endpoint refuses connections. Nothing has reached it, so even a
// non-idempotent request must be retried on the other one. If all endpoints
// refuse, the outcome must be "not run".
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	var runs atomic.Int64
	healthy := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		runs.Add(1)
		_, _ = w.Write(body)
	})
	for _, size := range []int{5, 20 << 10, 200 << 10} {
		runs.Store(0)
		g := startGateway(t, refusingAddress(t), healthy)
		for range 4 {
			offer := strings.Repeat("o", size)
			response := g.do(t, http.MethodPost, "/offers/issue/1", strings.NewReader(offer))
			must.EqOp(t, offer, readAll(t, response))
		}
		must.EqOp(t, int64(4), runs.Load())
	}
	response := startGateway(t, refusingAddress(t), refusingAddress(t)).do(t, http.MethodPost, "/offers/issue/1", strings.NewReader("x"))
	must.EqOp(t, outcome.StatusNotRun, response.StatusCode)
	must.EqOp(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
	must.NotEq(t, "", response.Header.Get("Retry-After"))
}

// An endpoint reports that it refused a request before starting it. A
// non-idempotent request must be retried on another endpoint, without the caller
// seeing the refusal.
func TestRefusalByEndpointIsRetriedElsewhere(t *testing.T) {
	refusing := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.Header, string(outcome.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	healthy := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	g := startGateway(t, refusing, healthy)
	for range 4 {
		must.EqOp(t, "done", readAll(t, g.do(t, http.MethodPost, "/offers/issue/1", strings.NewReader("x"))))
	}
	response := startGateway(t, refusing).do(t, http.MethodPost, "/offers/issue/1", strings.NewReader("x"))
	must.EqOp(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
}

// An endpoint sends two responses to one request on a kept-alive connection, so
// that the second arrives before the next caller's request is sent. That caller
// must get its own response or "unknown", never the surplus one.
func TestLateResponseNeverReachesAnotherCaller(t *testing.T) {
	address := startRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			token := request.URL.Query().Get("token")
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(token), token)
			_, _ = io.WriteString(conn, response+response)
		}
	})
	g := startGateway(t, address)
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			for n := range 25 {
				token := fmt.Sprintf("token-%d-%d", i, n)
				recorder := httptest.NewRecorder()
				g.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/offers/lookup?token="+token, nil))
				if recorder.Code == http.StatusOK && recorder.Body.String() != token {
					t.Errorf("%s got %s", token, recorder.Body)
				}
			}
		})
	}
	wait.Wait()
}

// An endpoint responds out of order and echoes the ID of another request. The
// caller must not get the response to that request.
func TestResponseWithAnotherRequestIDIsNotForwarded(t *testing.T) {
	address, _ := startOneRequestEndpoint(t, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nGlade-Request-Id: another\r\nContent-Length: 6\r\n\r\nsecret")
	})
	response := startGateway(t, address).do(t, http.MethodPost, "/offers/issue/1", strings.NewReader("x"))
	wantOutcome(t, response, outcome.Unknown, outcome.ResponseMismatch)
	must.StrNotContains(t, readAll(t, response), "secret")
}

// Request smuggling: headers that could make the gateway and the endpoint disagree
// about where a request ends. The endpoint must receive at most one well-formed
// request.
func TestHostileHeaders(t *testing.T) {
	var runs atomic.Int64
	address := startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if strings.Contains(r.URL.Path, "smuggled") {
			t.Error("a smuggled request reached the endpoint")
		}
	})
	g := startGateway(t, address)
	smuggled := "GET /offers/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, raw := range map[string]string{
		"two lengths":              "POST /offers/a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"bad transfer encoding":    "POST /offers/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n" + smuggled,
		"negative length":          "POST /offers/a HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"space before the colon":   "GET /offers/a HTTP/1.1\r\nHost: x\r\nX-A : 1\r\n\r\n",
		"header without an end":    "GET /offers/a HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 2<<20),
		"connect":                  "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: x\r\n\r\n",
		"no host":                  "GET /offers/a HTTP/1.1\r\n\r\n",
		"length hidden by chunked": "POST /offers/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"trace":                    "TRACE /offers/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			runs.Store(0)
			conn := dialGateway(t, g)
			// The gateway may close the connection before all is written.
			_, _ = io.WriteString(conn, raw)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, conn)
			must.LessEq(t, int64(1), runs.Load())
		})
	}
}
