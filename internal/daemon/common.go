package daemon

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configsync"
	"auburnglade.example/glade/internal/fleet/hostcache"
	"auburnglade.example/glade/internal/httpserve"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/platformhttp"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/storelimit"
	"auburnglade.example/glade/internal/supervise"
	"auburnglade.example/glade/internal/telemetry"
	"auburnglade.example/glade/internal/telemetry/tracing"
)

const adminStopGrace = time.Second

// common holds the parts that both daemons have.
type common struct {
	self      member.Member
	log       zerolog.Logger
	registry  *prometheus.Registry
	invariant *invariant.Checker
	platform  *platformhttp.Client
	// hosts is the platform's host list, shared by all parts.
	hosts      *hostcache.Cache
	store      *storelimit.Store
	feed       *configfeed.Feed
	registrar  *member.Registrar
	peers      *peer.Server
	peerClient *peer.Client
	syncer     *configsync.Syncer
	trust      trust
	peerMux    *http.ServeMux
	tracer     trace.TracerProvider
	stopTrace  func(context.Context) error
}

type commonOptions struct {
	binary      string
	role        member.Role
	process     ProcessSettings
	platform    PlatformSettings
	store       StoreSettings
	log         LogSettings
	trace       TraceSettings
	peerAddress netip.AddrPort
	peers       PeerSettings
	auth        AuthSettings
	// memberTTL is the TTL of the membership lease; zero means
	// member.DefaultTTL.
	memberTTL time.Duration
	logs      io.Writer
}

const incarnationLength = 8

func newCommon(ctx context.Context, o commonOptions) (*common, error) {
	level, err := zerolog.ParseLevel(o.log.Level)
	if err != nil {
		return nil, err
	}
	id := o.process.ID + "-" + uuid.NewString()[:incarnationLength]
	c := &common{
		self: member.Member{
			ID: id, Role: o.role, Zone: o.process.Zone,
			PeerAddress: o.peerAddress.String(), MaxSchema: record.MaxSchema,
		},
		log:      telemetry.NewLogger(o.logs, o.binary, id, level),
		registry: telemetry.NewRegistry(),
		platform: platformhttp.NewClient(o.platform.URL),
	}
	c.hosts = hostcache.New(hostcache.Config{Source: c.platform, MinInterval: o.platform.HostListInterval})
	c.tracer, c.stopTrace, err = tracing.NewTracer(ctx, o.trace.URL, o.binary, id)
	if err != nil {
		return nil, err
	}
	c.trust, err = newTrust(o.auth, telemetry.PartLogger(c.log, "keys"), c.registry)
	if err != nil {
		return nil, err
	}
	c.invariant = invariant.New(telemetry.PartLogger(c.log, "invariant"), c.registry)
	c.store = storelimit.New(c.platform, storelimit.Config{
		MaxRate: o.store.MaxCallRate, FleetRate: o.store.FleetCalls, Members: c.members, CheckWrite: c.checkWrite,
		Log: telemetry.PartLogger(c.log, "store"), Registerer: c.registry,
	})
	c.feed = configfeed.New(c.store, telemetry.PartLogger(c.log, "feed"), c.invariant, c.registry)
	c.registrar = member.NewRegistrar(c.store, c.self, o.memberTTL, telemetry.PartLogger(c.log, "member"))
	c.peers = peer.NewServer(c.self, c.feed)
	c.peers.SetViolations(func() int64 { return int64(len(c.invariant.Violations())) })
	c.peerClient = c.newPeerClient()
	c.syncer = configsync.New(configsync.Config{
		Feed: c.feed, Server: c.peers, Client: c.peerClient, SeedAddresses: o.peers.strings(),
		Log: telemetry.PartLogger(c.log, "relay"), Registerer: c.registry,
	})
	c.peerMux = http.NewServeMux()
	return c, nil
}

// newPeerClient returns a client for other members, with its own connections.
func (c *common) newPeerClient() *peer.Client {
	return peer.NewClient(append(c.trust.peerOptions(), peer.WithServer(c.peers))...)
}

// members returns the number of processes that share the store, including this
// one.
func (c *common) members() int { return len(c.feed.Snapshot().Members) }

// checkWrite refuses changes and disruptions while the store is behind a revision
// that this process has already seen.
func (c *common) checkWrite(key string) error { return c.feed.CheckWrite(key) }

// newTree returns a supervisor tree. Each tree counts its restarts under its own
// name.
func (c *common) newTree(name string) *supervise.Tree {
	registerer := prometheus.WrapRegistererWith(prometheus.Labels{"tree": name}, c.registry)
	return supervise.New(name, telemetry.PartLogger(c.log, "supervise"), registerer)
}

func (c *common) addCommonParts(tree *supervise.Tree, peers, admin netip.AddrPort, ready func() bool) {
	tree.Add("relay", c.syncer)
	tree.Add("member", c.registrar)
	tree.Add("trace", &traceFlusher{stop: c.stopTrace})
	prefix, handler := c.peers.Handler()
	c.peerMux.Handle(prefix, c.trust.requireMember(handler))
	tree.Add("keys", c.trust.keyring)
	tree.Add("peers", c.trust.secure(httpserve.New("peers", peers, c.peerMux, adminStopGrace), auth.RequireMemberCert))
	adminMux := http.NewServeMux()
	telemetry.MountAdmin(adminMux, c.registry, ready)
	tree.Add("admin", c.trust.secure(httpserve.New("admin", admin, adminMux, adminStopGrace), auth.NoClientCert))
}

// Violations returns the invariant violations recorded in this process.
func (c *common) Violations() []invariant.Violation { return c.invariant.Violations() }

// traceFlusher sends the remaining spans when the process stops.
type traceFlusher struct{ stop func(context.Context) error }

func (t *traceFlusher) Serve(ctx context.Context) error {
	<-ctx.Done()
	flushCtx, cancel := context.WithTimeout(context.Background(), adminStopGrace)
	defer cancel()
	return t.stop(flushCtx)
}
