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

// prefix routes to the one service measured.
const prefix = "/match/"

// pieceBytes is how much of an answer an endpoint writes at once.
const pieceBytes = 32 << 10

// bench is a gateway with its endpoints, on loopback.
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
		address, err := b.serve(http.HandlerFunc(answer))
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
	b.plain, err = b.serve(plainHop(b.endpoints))
	return b, err
}

// plainHop passes requests on in turn and nothing else.
func plainHop(endpoints []string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: plainIdle, DisableCompression: true}
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
		// A caller that breaks off is counted on its own side.
		_, _ = io.Copy(w, response.Body)
	})
}

// plainIdle keeps the plain hop from opening connections under load.
const plainIdle = 64

func (b *bench) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	b.servers = append(b.servers, server)
	go func() {
		// Ends with the server's Close.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

func (b *bench) close() {
	for _, server := range b.servers {
		_ = server.Close()
	}
}

var piece [pieceBytes]byte

func answerPath(bytes int) string { return prefix + "work?bytes=" + strconv.Itoa(bytes) }

// answer is the endpoints' work: read the body, answer as many bytes as asked.
func answer(w http.ResponseWriter, r *http.Request) {
	// A caller that breaks off is counted on its own side.
	_, _ = io.Copy(io.Discard, r.Body)
	left, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(left))
	for left > 0 {
		n, err := w.Write(piece[:min(left, pieceBytes)])
		if err != nil {
			return
		}
		left -= n
	}
}
