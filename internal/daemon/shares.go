package daemon

import (
	"context"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/lending"
	"auburnglade.example/glade/internal/sharemanager"
	"auburnglade.example/glade/internal/telemetry"
)

const leaveTimeout = time.Second

// newShares builds the keeper of this gateway's shares; its Usage is still to
// be set.
func newShares(base *common) *sharemanager.Manager {
	keeper := sharemanager.New(sharemanager.Config{
		Self: base.self, Store: base.store, Feed: base.feed, Lease: base.registrar,
		Prober:    &sharemanager.PeerProber{Client: base.asker},
		Invariant: base.invariant, Log: telemetry.PartLogger(base.log, "shares"), Registry: base.registry,
	})
	base.peers.SetShareRevision(keeper.ConfirmedRevision)
	return keeper
}

// lendShares lets the other gateways borrow this one's unused slots.
func (g *Gateway) lendShares() {
	server := &lending.Server{
		Self: g.self.ID, Membership: g.shares, Limiter: g.gateway.Limiter(), Stopping: g.gateway.Stopping,
	}
	prefix, handler := server.Handler()
	g.peerMux.Handle(prefix, g.trust.members(http.MaxBytesHandler(handler, maxLendBytes)))
}

// maxLendBytes bounds one request for slots: some thousand hosts' names.
const maxLendBytes = 256 << 10

// leaveShares lets the other gateways have this one's shares at once.
func (g *Gateway) leaveShares() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := g.shares.Leave(ctx); err != nil {
		g.log.Warn().Err(err).Msg("Shares not handed back: the others wait for the lease to end.")
	}
}

// ready holds the balancer off until this gateway has shares of the endpoints,
// and serves what was in force when it became a member.
func (g *Gateway) ready() bool {
	return g.gateway.Ready() && g.shares.Ready() && g.registrar.ReadyAt(g.feed.ServedRevision())
}
