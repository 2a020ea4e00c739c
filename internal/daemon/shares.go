package daemon

import (
	"context"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/lending"
	"auburnglade.example/glade/internal/sharemanager"
	"auburnglade.example/glade/internal/telemetry"
)

const releaseTimeout = time.Second

// newShareManager returns the manager of this gateway's shares. The caller must set
// its Usage and Lenders.
func newShareManager(base *common) *sharemanager.Manager {
	manager := sharemanager.New(sharemanager.Config{
		Self: base.self, Store: base.store, Feed: base.feed, Lease: base.registrar,
		Prober:    &sharemanager.PeerProber{Client: base.peerClient},
		Invariant: base.invariant, Log: telemetry.PartLogger(base.log, "shares"), Registry: base.registry,
	})
	base.peers.SetShareRevision(manager.ConfirmedRevision)
	return manager
}

// serveLending serves other gateways' requests to borrow unused slots.
func (g *Gateway) serveLending() {
	server := &lending.Server{
		Self: g.self.ID, Membership: g.shares, Limiter: g.gateway.Limiter(), Stopping: g.gateway.Stopping,
	}
	prefix, handler := server.Handler()
	g.peerMux.Handle(prefix, g.trust.requireMember(http.MaxBytesHandler(handler, maxLendRequestBytes)))
}

// maxLendRequestBytes is the maximum size of a request for slots, enough for several
// thousand host names.
const maxLendRequestBytes = 256 << 10

// releaseShares makes this gateway's shares available to the other gateways at once.
func (g *Gateway) releaseShares() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := g.shares.Leave(ctx); err != nil {
		g.log.Warn().Err(err).Msg("Releasing shares failed: other gateways get them after the membership lease expires.")
	}
}

// ready reports whether the balancer may send callers: the gateway has shares of the
// endpoints, and serves a configuration at least as recent as its registration as a
// member.
func (g *Gateway) ready() bool {
	return g.gateway.Ready() && g.shares.Ready() && g.registrar.ReadyAt(g.feed.ServedRevision())
}
