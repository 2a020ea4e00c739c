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

// NewGateway returns a gateway that writes its log to logs. Nothing runs until Run
// is called.
func NewGateway(ctx context.Context, settings *GatewaySettings, logs io.Writer) (*Gateway, error) {
	base, err := newCommon(ctx, commonOptions{
		binary: "glade-gateway", role: member.RoleGateway, process: settings.Process,
		platform: settings.Platform, store: settings.Store, log: settings.Log, trace: settings.Trace,
		peerAddress: settings.Listen.Peers, peers: settings.Peers, auth: settings.Auth, logs: logs,
	})
	if err != nil {
		return nil, err
	}
	g := &Gateway{common: base, settings: settings}
	claims := atmostonce.NewBatchedStore(atmostonce.BatchedConfig{
		Store: base.store, Self: base.self.ID, Peers: gatewayPeers(base.feed), DialTLS: base.trust.dialTLS(),
	})
	prefix, handler := atmostonce.NewServer(claims).Handler()
	base.peerMux.Handle(prefix, base.trust.requireMember(handler))
	g.once = atmostonce.New(atmostonce.Config{
		ClaimStore: claims, Log: telemetry.PartLogger(base.log, "gateway/once"), Registry: base.registry,
	})
	g.shares = newShareManager(base)
	borrower := lending.NewClient(base.self.ID, g.shares, base.trust.dialTLS())
	g.shares.Lenders = borrower
	g.gateway = gateway.New(gateway.Config{
		Member: base.self.ID, Zone: settings.Process.Zone, Feed: base.feed, Hosts: base.hosts,
		Invariant: base.invariant, Log: telemetry.PartLogger(base.log, "gateway"), Registry: base.registry,
		Tracer: base.tracer, OnApplied: base.feed.RegisterConsumer("gateway"), Idempotency: g.once, Shares: g.shares,
		MaxBodyBytes: int64(settings.Callers.MaxBodyBytes),
		Borrower:     borrower,
	})
	g.shares.Usage = g.gateway
	g.serveLending()
	return g, nil
}

// Run serves callers until ctx is done, then stops gracefully: readiness fails
// first, requests are accepted until the balancer has noticed, requests in flight
// finish, and the membership is withdrawn last. It returns
// *supervise.PartFailedError if a part fails repeatedly.
func (g *Gateway) Run(ctx context.Context) error {
	callersCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	partsCtx, stopParts := context.WithCancel(context.Background())
	defer stopParts()

	callerTree := g.newTree("callers")
	callerTree.Add("callers", g.newCallerServer())
	partTree := g.newTree("parts")
	partTree.Add("gateway", g.gateway)
	partTree.Add("once", g.once)
	partTree.Add("shares", g.shares)
	g.addCommonParts(partTree, g.settings.Listen.Peers, g.settings.Listen.Admin, g.ready)

	ended := make(chan error, 2)
	go func() { ended <- g.runCallerServer(callersCtx, callerTree) }()
	go func() { ended <- partTree.Run(partsCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	g.log.Info().Msg("Planned stop started.")
	g.peers.SetStopping()
	g.gateway.SetStopping()
	pause.For(context.Background(), g.settings.Stop.DrainDelay)
	stopCallers()
	err := <-ended
	g.invariant.Assert(invariant.NoInFlightAtExit, g.gateway.InFlight() == 0, func() string {
		return "requests in flight at the end of a planned stop"
	})
	g.releaseShares()
	stopParts()
	if partsErr := <-ended; err == nil {
		err = partsErr
	}
	g.log.Info().Msg("Planned stop done.")
	return err
}

// readyPollInterval is the interval at which readiness is checked before the
// gateway starts to listen.
const readyPollInterval = 20 * time.Millisecond

// runCallerServer listens for callers once the gateway has a configuration and a
// share of the endpoints' slots. A replacement that listened at once under its
// predecessor's address would refuse the callers that a balancer still sends there;
// a closed port makes the balancer use another gateway.
func (g *Gateway) runCallerServer(ctx context.Context, tree *supervise.Tree) error {
	for !g.ready() {
		if ctx.Err() != nil {
			return nil
		}
		pause.For(ctx, readyPollInterval)
	}
	return tree.Run(ctx)
}

// closeWhenStopping returns a handler that sends "Connection: close" while the
// gateway stops, so that callers open their next connection to another gateway.
// Idle connections stay open until the drain delay has passed: closing one earlier
// could cut off a request that is already in flight to the gateway.
func (g *Gateway) closeWhenStopping() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.gateway.Stopping() {
			w.Header().Set("Connection", "close")
		}
		g.gateway.ServeHTTP(w, r)
	})
}
