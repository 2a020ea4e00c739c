// Package gateway forwards callers' requests to endpoints: it routes a request
// to a service, picks an endpoint, forwards the request, and reports to the
// caller whether it was answered, was not run, or has an unknown outcome.
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

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Member    string
	Zone      string
	Feed      *configfeed.Feed
	Hosts     fleet.HostList
	Invariant *invariant.Checker
	Log       zerolog.Logger
	Registry  prometheus.Registerer
	Tracer    trace.TracerProvider
	// OnApplied is called with the revision from which the current routing table
	// was built; it may be nil.
	OnApplied func(store.Revision)
	// Idempotency claims idempotency keys. If it is nil, keys are only passed on
	// to the endpoints.
	Idempotency *atmostonce.Deduplicator
	// HostListInterval is the time between two reads of the host list; zero means
	// DefaultHostListInterval.
	HostListInterval time.Duration
	// Shares returns the part of each endpoint's capacity that this gateway may
	// use.
	Shares limit.Shares
	// Borrower borrows slots from other gateways; it may be nil.
	Borrower limit.Borrower
	// Dial opens connections to endpoints; nil means plain TCP.
	Dial attempt.Dialer
	// MaxBodyBytes is the maximum size of a request body in bytes; zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

// DefaultHostListInterval is the default time between two reads of the host list.
const DefaultHostListInterval = time.Second

// maxIdlePerEndpoint is the maximum number of idle connections to one endpoint.
// The limiter's share is the tighter limit; a lower value here would make
// connections close and reopen under load.
const maxIdlePerEndpoint = 64

// Gateway serves callers as an http.Handler. Serve must run concurrently to keep
// its routing table up to date.
type Gateway struct {
	Config
	transport *attempt.Transport
	tracer    trace.Tracer
	metrics   *metrics
	table     atomic.Pointer[table]
	// tableInputs is used only by Serve.
	tableInputs tableInputs

	balancer *balance.Balancer
	limiter  *limit.Limiter
	retries  retry.Budgets

	// idPrefix and lastID form the IDs of requests that have none.
	idPrefix string
	lastID   atomic.Uint64

	stopping atomic.Bool
	inFlight atomic.Int64
}

// table is a routing table.
type table struct {
	services map[string]endpoint.Service
	// byPrefix maps each path prefix to the name of its service.
	byPrefix map[string]string
}

// New returns a gateway that refuses requests until a routing table is installed.
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

// Serve keeps the routing table up to date until ctx ends.
func (g *Gateway) Serve(ctx context.Context) error {
	var hosts []fleet.Host
	for ctx.Err() == nil {
		listed, err := g.Hosts.Hosts(ctx)
		if err == nil {
			hosts = listed
		} else {
			g.Log.Warn().Err(err).Msg("Cannot read the host list; using the previous one.")
		}
		g.applyUntilNextListing(ctx, hosts)
	}
	return ctx.Err()
}

func (g *Gateway) applyUntilNextListing(ctx context.Context, hosts []fleet.Host) {
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

// Install replaces the routing table. Serve calls it; programs that have no
// records call it directly instead of Serve.
func (g *Gateway) Install(services map[string]endpoint.Service) {
	g.balancer.Install(services)
	next := &table{services: services, byPrefix: make(map[string]string, len(services))}
	for name, service := range services {
		next.byPrefix[service.Spec.PathPrefix] = name
	}
	g.table.Store(next)
}

// tableInputs are the inputs from which the current routing table was built.
type tableInputs struct {
	snapshot *configstate.Snapshot
	hosts    []fleet.Host
}

// resolve rebuilds the routing table unless it was built from the same snapshot
// and host list. At 1,000 hosts and 261 pools, rebuilding it each time takes
// most of the CPU time of an idle gateway.
func (g *Gateway) resolve(snapshot *configstate.Snapshot, hosts []fleet.Host) {
	if g.tableInputs.snapshot == snapshot && fleet.SameListing(g.tableInputs.hosts, hosts) {
		return
	}
	g.Install(endpoint.Resolve(snapshot, hosts))
	g.tableInputs = tableInputs{snapshot: snapshot, hosts: hosts}
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

// Ready reports whether the gateway can serve callers. It does not depend on the
// store: if a store outage removed every gateway from the load balancer, callers
// would have an outage too.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.Feed.Ready() && g.table.Load() != nil
}

// SetStopping makes Ready return false. Requests are still served.
func (g *Gateway) SetStopping() { g.stopping.Store(true) }

// InFlight returns the number of callers' requests that are being served.
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
	timeout, err := requestTimeout(r, service)
	if err != nil {
		g.refuse(w, service.Name, err.Reason)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	setWriteDeadline(w, timeout)
	g.limitBody(w, r)
	ctx, span := g.startSpan(ctx, r, service.Name)
	defer span.End()
	g.ensureRequestID(r)
	g.serveAtMostOnce(w, r.WithContext(ctx), service)
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }
