package gatewaycost

import (
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/gateway"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/record"
)

// prefix is the path prefix of the measured service.
const prefix = "/match/"

// maxWriteBytes is the maximum size of a single write of a response by an endpoint.
const maxWriteBytes = 32 << 10

// bench is a gateway with its endpoints, on loopback TCP.
type bench struct {
	endpoints []string
	gateway   string
	plain     string
	servers   []*http.Server
}

func newBench(endpoints int) (*bench, error) {
	b := &bench{}
	service := endpoint.Service{Name: "match", Spec: &record.Service{PathPrefix: prefix}}
	for i := range endpoints {
		address, err := b.serve(http.HandlerFunc(handleWork))
		if err != nil {
			b.close()
			return nil, err
		}
		b.endpoints = append(b.endpoints, address)
		service.Endpoints = append(service.Endpoints, endpoint.Endpoint{
			Service: service.Name, Host: "host-" + strconv.Itoa(i), Zone: "zone-a", Address: address, TakesWork: true,
		})
	}
	registry := prometheus.NewRegistry()
	g := gateway.New(gateway.Config{
		Member: "gateway-1", Zone: "zone-a", Invariant: invariant.New(zerolog.Nop(), registry),
		Log: zerolog.Nop(), Registry: registry, Tracer: noop.NewTracerProvider(),
	})
	g.Install(map[string]endpoint.Service{service.Name: service})
	var err error
	if b.gateway, err = b.serve(g); err != nil {
		b.close()
		return nil, err
	}
	b.plain, err = b.serve(plainProxy(b.endpoints))
	return b, err
}

// plainProxy returns a proxy that only forwards requests, round-robin over the
// endpoints.
func plainProxy(endpoints []string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePlain, DisableCompression: true}
	var turn atomic.Uint64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address := endpoints[turn.Add(1)%uint64(len(endpoints))]
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", address, ""
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		maps.Copy(w.Header(), response.Header)
		w.WriteHeader(response.StatusCode)
		// If this fails, the caller has gone away and counts the failure itself.
		_, _ = io.Copy(w, response.Body)
	})
}

// maxIdlePlain is the number of idle connections per endpoint that the plain proxy
// keeps, so that it needn't open new ones under load.
const maxIdlePlain = 64

func (b *bench) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	b.servers = append(b.servers, server)
	go func() {
		// Returns when the server is closed.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

func (b *bench) close() {
	for _, server := range b.servers {
		_ = server.Close()
	}
}

var responseChunk [maxWriteBytes]byte

func workPath(bytes int) string { return prefix + "work?bytes=" + strconv.Itoa(bytes) }

// handleWork is the handler of the endpoints. It reads the request body and responds
// with as many bytes as the query parameter bytes states.
func handleWork(w http.ResponseWriter, r *http.Request) {
	// If this fails, the caller has gone away and counts the failure itself.
	_, _ = io.Copy(io.Discard, r.Body)
	left, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(left))
	for left > 0 {
		n, err := w.Write(responseChunk[:min(left, maxWriteBytes)])
		if err != nil {
			return
		}
		left -= n
	}
}
