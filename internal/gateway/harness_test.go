package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/record"
)

const testZone = "zone-a"

// testGateway is a gateway on the loopback interface with a fixed routing table.
type testGateway struct {
	*Gateway
	server *httptest.Server
	client *http.Client
}

// startGateway serves /offers/ from the given addresses; POSTs and everything
// below /offers/issue/ are non-idempotent.
func startGateway(t *testing.T, addresses ...string) *testGateway {
	t.Helper()
	checker := invariant.New(zerolog.Nop(), nil)
	g := New(Config{Member: "gateway-1", Zone: testZone, Invariant: checker, Log: zerolog.Nop()})
	g.Install(map[string]endpoint.Service{"offers": offersAt(addresses...)})
	server := httptest.NewServer(g)
	t.Cleanup(func() {
		server.Close()
		must.SliceEmpty(t, checker.Violations())
	})
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(client.CloseIdleConnections)
	return &testGateway{Gateway: g, server: server, client: client}
}

func offersAt(addresses ...string) endpoint.Service {
	service := endpoint.Service{Name: "offers", Spec: &record.Service{
		PathPrefix:     "/offers/",
		TimeoutSeconds: 5,
		NonIdempotent:  []record.RequestPattern{{PathPrefix: "/offers/issue/"}},
	}}
	for i, address := range addresses {
		service.Endpoints = append(service.Endpoints, endpoint.Endpoint{
			Service: "offers", Host: "host-" + string(rune('a'+i)), Zone: testZone, Address: address, TakesWork: true,
		})
	}
	return service
}

func (g *testGateway) do(t *testing.T, method, path string, body io.Reader) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, g.server.URL+path, body)
	must.NoError(t, err)
	response, err := g.client.Do(request)
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (g *testGateway) get(t *testing.T, path string) *http.Response {
	t.Helper()
	return g.do(t, http.MethodGet, path, nil)
}

func wantOutcome(t *testing.T, response *http.Response, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	must.EqOp(t, string(want), response.Header.Get(outcome.Header))
	must.EqOp(t, string(reason), response.Header.Get(outcome.ReasonHeader))
}

// startEndpoint starts an HTTP server with the given handler and returns its
// address.
func startEndpoint(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// connHandler handles one request that has been read from conn.
type connHandler func(conn net.Conn, reader *bufio.Reader, request *http.Request)

// startOneRequestEndpoint starts an endpoint that passes the first request on each
// connection to handle and then closes the connection. read counts the requests
// whose header has been read.
func startOneRequestEndpoint(t *testing.T, handle connHandler) (address string, read *atomic.Int64) {
	t.Helper()
	read = new(atomic.Int64)
	return startRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		read.Add(1)
		handle(conn, reader, request)
	}), read
}

// startRaw starts a listener that calls serve for each accepted connection and then
// closes it.
func startRaw(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func writeString(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	must.NoError(t, err)
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(body)
}
