// Package gateway carries callers' requests to endpoints: it routes, picks an
// endpoint, forwards, and tells the caller honestly what became of the request.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/attempt"
	"auburnglade.example/glade/internal/balance"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/retry"
	"auburnglade.example/glade/internal/store"
)

// Config is what a Gateway is made of.
type Config struct {
	Member    string
	Zone      string
	Feed      *configfeed.Feed
	Hosts     fleet.HostList
	Invariant *invariant.Checker
	Log       zerolog.Logger
	Registry  prometheus.Registerer
	Tracer    trace.TracerProvider
	// OnApplied is told the revision that the table in force is made from.
	OnApplied func(store.Revision)
	// Idempotency claims idempotency keys; nil leaves them to the endpoints.
	Idempotency *atmostonce.Deduplicator
	// HostListInterval is the pause between two readings of the host list; zero
	// means DefaultHostInterval.
	HostListInterval time.Duration
	// Shares tells what this gateway may use of each endpoint.
	Shares limit.Shares
	// Borrower borrows slots from other gateways; it may be nil.
	Borrower limit.Borrower
	// Dial opens connections to endpoints; nil means plain TCP.
	Dial attempt.Dialer
	// MaxBodyBytes bounds a request's body; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

// DefaultHostListInterval is the pause between two readings of the host list.
const DefaultHostListInterval = time.Second

// maxIdlePerEndpoint bounds idle connections to one endpoint. The limiter's
// share bounds them more closely; a lower bound here would close and open
// connections under load.
const maxIdlePerEndpoint = 64

// Gateway serves callers. Mount it as an http.Handler and run Serve beside it.
type Gateway struct {
	Config
	transport *attempt.Transport
	tracer    trace.Tracer
	metrics   *metrics
	table     atomic.Pointer[table]
	// resolved is only used by Serve.
	resolved resolved

	balancer *balance.Balancer
	limiter  *limit.Limiter
	retries  retry.Budgets

	// idPrefix and lastID make the identities of requests that bring none.
	idPrefix string
	lastID   atomic.Uint64

	stopping atomic.Bool
	inFlight atomic.Int64
}

// table is the routing table in force.
type table struct {
	services map[string]endpoint.Service
	// byPrefix names the service of each path prefix.
	byPrefix map[string]string
}

// New returns a gateway that refuses requests until Serve has a table.
func New(config Config) *Gateway {
	if config.HostListInterval == 0 {
		config.HostListInterval = DefaultHostListInterval
	}
	if config.OnApplied == nil {
		config.OnApplied = func(store.Revision) {}
	}
	if config.MaxBodyBytes == 0 {
		config.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if config.Dial == nil {
		config.Dial = attempt.PlainDialer()
	}
	if config.Tracer == nil {
		config.Tracer = otel.GetTracerProvider()
	}
	g := &Gateway{
		Config:   config,
		tracer:   config.Tracer.Tracer("auburnglade/gateway"),
		metrics:  newMetrics(config.Registry),
		balancer: balance.New(config.Zone),
		idPrefix: uuid.NewString() + "-",
	}
	g.limiter = limit.New(limit.Config{
		Shares: config.Shares, Borrower: config.Borrower, CloseIdle: g.CloseIdle, Registry: config.Registry,
	})
	g.transport = attempt.NewTransport(g.limiter.Dialer(config.Dial), maxIdlePerEndpoint)
	return g
}

// Serve keeps the routing table current until ctx ends.
func (g *Gateway) Serve(ctx context.Context) error {
	var hosts []fleet.Host
	for ctx.Err() == nil {
		listed, err := g.Hosts.Hosts(ctx)
		if err == nil {
			hosts = listed
		} else {
			g.Log.Warn().Err(err).Msg("Host list not read.")
		}
		g.followUntilNextList(ctx, hosts)
	}
	return ctx.Err()
}

func (g *Gateway) followUntilNextList(ctx context.Context, hosts []fleet.Host) {
	ctx, cancel := context.WithTimeout(ctx, pause.Jitter(g.HostListInterval))
	defer cancel()
	for ctx.Err() == nil {
		snapshot, changed := g.Feed.Current()
		g.resolve(snapshot, hosts)
		g.OnApplied(snapshot.Revision)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Install puts a table of services in force. Serve does so by itself; a program
// without records calls it instead.
func (g *Gateway) Install(services map[string]endpoint.Service) {
	g.balancer.Install(services)
	next := &table{services: services, byPrefix: make(map[string]string, len(services))}
	for name, service := range services {
		next.byPrefix[service.Spec.PathPrefix] = name
	}
	g.table.Store(next)
}

// resolved is what the routing table in force was made from.
type resolved struct {
	snapshot *configstate.Snapshot
	hosts    []fleet.Host
}

// resolve makes the routing table anew unless it was made from the very same
// snapshot and host list. At 1,000 hosts and 261 pools that was most of an
// idle gateway's processor time.
func (g *Gateway) resolve(snapshot *configstate.Snapshot, hosts []fleet.Host) {
	if g.resolved.snapshot == snapshot && fleet.SameListing(g.resolved.hosts, hosts) {
		return
	}
	g.Install(endpoint.Resolve(snapshot, hosts))
	g.resolved = resolved{snapshot: snapshot, hosts: hosts}
}

// lookup returns the service with the longest matching path prefix. Prefixes
// end with a slash, so only the path's own prefixes up to a slash can match.
func (t *table) lookup(path string) (endpoint.Service, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if name, ok := t.byPrefix[path[:end+1]]; ok {
			return t.services[name], true
		}
	}
	return endpoint.Service{}, false
}

// Ready reports whether the gateway can serve callers. It doesn't depend on
// the store being up: every gateway leaving the balancer for the store's
// outage would be an outage of our own making.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.Feed.Ready() && g.table.Load() != nil
}

// SetStopping fails readiness; requests are still served.
func (g *Gateway) SetStopping() { g.stopping.Store(true) }

// InFlight returns the number of callers' requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	current := g.table.Load()
	if current == nil {
		g.refuse(w, "", outcome.NoConfiguration)
		return
	}
	service, ok := current.lookup(r.URL.Path)
	if !ok {
		g.refuse(w, "", outcome.NoRoute)
		return
	}
	timeout, err := timeoutOf(r, service)
	if err != nil {
		g.refuse(w, service.Name, err.Reason)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	boundWriting(w, timeout)
	g.guardBody(w, r)
	ctx, span := g.startSpan(ctx, r, service.Name)
	defer span.End()
	g.ensureRequestID(r)
	g.serveOnce(w, r.WithContext(ctx), service)
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }
