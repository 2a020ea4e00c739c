package drainer

import (
	"context"
	"sync"

	"auburnglade.example/glade/internal/feed"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/store"
)

// PeerConfirmer asks every gateway that the membership shows which revision it
// serves. A member that can't be asked lags until its lease has ended and its
// record is gone.
type PeerConfirmer struct {
	Feed   *feed.Feed
	Client *peer.Client
}

// Lagging implements Confirmer.
func (c *PeerConfirmer) Lagging(ctx context.Context, revision store.Revision) []string {
	gateways := member.OfRole(c.Feed.Snapshot(), member.RoleGateway)
	behind := make([]bool, len(gateways))
	var wait sync.WaitGroup
	for i, gateway := range gateways {
		wait.Go(func() {
			presence, err := c.Client.Served(ctx, gateway.PeerAddress)
			behind[i] = err != nil || presence.Member != gateway.ID || presence.ServedRevision < int64(revision)
		})
	}
	wait.Wait()
	var lagging []string
	for i, gateway := range gateways {
		if behind[i] {
			lagging = append(lagging, gateway.ID)
		}
	}
	return lagging
}
