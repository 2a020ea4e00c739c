package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/gateway"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/lending"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/sharemanager"
	"auburnglade.example/glade/internal/supervise"
	"auburnglade.example/glade/internal/telemetry"
)

// Gateway is one glade-gateway.
type Gateway struct {
	*common
	settings *GatewaySettings
	gateway  *gateway.Gateway
	once     *atmostonce.Deduplicator
	shares   *sharemanager.Manager
}

// NewGateway builds a gateway that logs to logs; nothing runs before Run.
func NewGateway(ctx context.Context, settings *GatewaySettings, logs io.Writer) (*Gateway, error) {
	base, err := newCommon(ctx, commonOptions{
		binary: "glade-gateway", role: member.RoleGateway, process: settings.Process,
		platform: settings.Platform, store: settings.Store, log: settings.Log, trace: settings.Trace,
		peerAddress: settings.Listen.Peers, peers: settings.Peers, keys: settings.Auth, logs: logs,
	})
	if err != nil {
		return nil, err
	}
	g := &Gateway{common: base, settings: settings}
	ledger := atmostonce.NewBatchedStore(atmostonce.BatchedConfig{
		Store: base.store, Self: base.self.ID, Peers: gatewayPeers(base.feed), DialTLS: base.trust.dialTLS(),
	})
	prefix, handler := atmostonce.NewServer(ledger).Handler()
	base.peerMux.Handle(prefix, base.trust.members(handler))
	g.once = atmostonce.New(atmostonce.Config{
		ClaimStore: ledger, Log: telemetry.PartLogger(base.log, "gateway/once"), Registry: base.registry,
	})
	g.shares = newShares(base)
	broker := lending.NewClient(base.self.ID, g.shares, base.trust.dialTLS())
	g.shares.Lenders = broker
	g.gateway = gateway.New(gateway.Config{
		Member: base.self.ID, Zone: settings.Process.Zone, Feed: base.feed, Hosts: base.hosts,
		Invariant: base.invariant, Log: telemetry.PartLogger(base.log, "gateway"), Registry: base.registry,
		Tracer: base.tracer, OnApplied: base.feed.RegisterConsumer("gateway"), Idempotency: g.once, Shares: g.shares,
		MaxBodyBytes: int64(settings.Callers.MaxBodyBytes),
		Borrower:     broker,
	})
	g.shares.Usage = g.gateway
	g.lendShares()
	return g, nil
}

// Run serves callers until ctx ends, then stops as planned: readiness fails
// first, requests are served until the balancer has noticed, those in flight
// finish, and the membership is withdrawn last. It returns
// *supervise.PartFailedError when a part kept failing.
func (g *Gateway) Run(ctx context.Context) error {
	callers, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	rest, stopRest := context.WithCancel(context.Background())
	defer stopRest()

	front := g.newTree("callers")
	front.Add("callers", g.newCallerServer())
	back := g.newTree("parts")
	back.Add("gateway", g.gateway)
	back.Add("once", g.once)
	back.Add("shares", g.shares)
	g.addCommonParts(back, g.settings.Listen.Peers, g.settings.Listen.Admin, g.ready)

	ended := make(chan error, 2)
	go func() { ended <- g.runFront(callers, front) }()
	go func() { ended <- back.Run(rest) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	g.log.Info().Msg("Planned stop begun.")
	g.peers.SetStopping()
	g.gateway.SetStopping()
	pause.For(context.Background(), g.settings.Stop.DrainDelay)
	stopCallers()
	err := <-ended
	g.invariant.Assert(invariant.NoInFlightAtExit, g.gateway.InFlight() == 0, func() string {
		return "requests in flight at the end of a planned stop"
	})
	g.leaveShares()
	stopRest()
	if restErr := <-ended; err == nil {
		err = restErr
	}
	g.log.Info().Msg("Planned stop done.")
	return err
}

// readyPoll is the pause between two looks at readiness before the first.
const readyPoll = 20 * time.Millisecond

// runFront listens for callers once there is a configuration to serve them by
// and a share of the endpoints to serve them with.
// A replacement that listened at once, under its predecessor's address, would
// refuse the callers that a balancer still sends there; a closed port makes
// the balancer go elsewhere.
func (g *Gateway) runFront(ctx context.Context, front *supervise.Tree) error {
	for !g.ready() {
		if ctx.Err() != nil {
			return nil
		}
		pause.For(ctx, readyPoll)
	}
	return front.Run(ctx)
}

// stoppingAware asks callers to open their next connection elsewhere while the
// gateway stops. Idle connections stay open until the notice is over: closing
// one under a request that is on its way would cut it.
func (g *Gateway) stoppingAware() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.gateway.Stopping() {
			w.Header().Set("Connection", "close")
		}
		g.gateway.ServeHTTP(w, r)
	})
}
