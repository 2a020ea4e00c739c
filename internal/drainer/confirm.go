package drainer

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configsync"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/store"
)

const (
	// leaseMargin is how long a gateway still counts as lagging after its record is
	// gone. The gateway itself considers its lease expired before the store does,
	// because it counts from before each call. The margin covers clocks that run at
	// different rates, by far more than they can drift within the 10 s lease.
	leaseMargin = 2 * time.Second
	// minQueryInterval is the minimum time between two queries for the same
	// revision. It prevents a query storm when many callers wait for a revision.
	minQueryInterval = 50 * time.Millisecond
	// maxConcurrentQueries limits the gateways queried at once.
	maxConcurrentQueries = 16
)

// PeerConfirmer determines which gateways serve which revision. It uses the regular
// traffic between peers, queries the relays, which receive updates from all
// members, for missing gateways, and queries a gateway directly only if no relay
// has the answer. A served revision never decreases, so results stay valid.
type PeerConfirmer struct {
	feed   *configfeed.Feed
	server *peer.Server
	client *peer.Client

	mu sync.Mutex
	// present holds the gateways in the last membership, departed the time at which
	// each gateway that left was first missing, and startedAt the time of the first
	// membership.
	present   map[string]bool
	departed  map[string]time.Time
	startedAt time.Time
	queried   map[store.Revision]time.Time
}

// unknownDepartures is the placeholder for gateways that may have left just before
// this controller first read the membership.
const unknownDepartures = "gateways that left before this controller started"

// NewPeerConfirmer returns a PeerConfirmer that uses the revisions received by
// server and sends queries through client.
func NewPeerConfirmer(f *configfeed.Feed, server *peer.Server, client *peer.Client) *PeerConfirmer {
	return &PeerConfirmer{
		feed: f, server: server, client: client,
		present:  make(map[string]bool),
		departed: make(map[string]time.Time),
		queried:  make(map[store.Revision]time.Time),
	}
}

// Serve watches the membership until ctx ends, so that the departure time of a
// gateway is recorded even if Lagging is not called.
func (c *PeerConfirmer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		snapshot, changed := c.feed.Current()
		if c.feed.Ready() {
			c.track(member.OfRole(snapshot, member.RoleGateway))
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (c *PeerConfirmer) track(gateways []member.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	previous := c.present
	c.present = make(map[string]bool, len(gateways))
	for _, gateway := range gateways {
		c.present[gateway.ID] = true
		delete(c.departed, gateway.ID)
		delete(previous, gateway.ID)
	}
	for id := range previous {
		c.departed[id] = now
	}
}

// Lagging implements Confirmer. A gateway that cannot be queried counts as lagging
// until its lease has certainly expired: its record is gone and leaseMargin has
// passed.
func (c *PeerConfirmer) Lagging(ctx context.Context, revision store.Revision) []string {
	gateways := member.OfRole(c.feed.Snapshot(), member.RoleGateway)
	c.track(gateways)
	lagging := c.lagging(ctx, gateways, revision)
	for _, id := range c.recentlyDeparted() {
		if c.server.ServedRevision(id) < revision {
			lagging = append(lagging, id)
		}
	}
	slices.Sort(lagging)
	return lagging
}

// lagging returns the IDs of the members that may serve an older revision.
func (c *PeerConfirmer) lagging(ctx context.Context, members []member.Member, revision store.Revision) []string {
	behind := c.unconfirmed(members, revision)
	if len(behind) > 0 && c.shouldQuery(revision) {
		c.queryRelays(ctx, configsync.AllRelays(member.All(c.feed.Snapshot())), revision)
		c.queryGateways(ctx, c.unconfirmed(behind, revision))
		behind = c.unconfirmed(behind, revision)
	}
	var ids []string
	for _, m := range behind {
		ids = append(ids, m.ID)
	}
	return ids
}

// AllMembersConfirmer covers all current members, including controllers, but not
// those that have left. It is used when an operator waits for a change to be
// served.
type AllMembersConfirmer struct{ Confirmer *PeerConfirmer }

// Lagging implements operatorapi.Confirmer.
func (l AllMembersConfirmer) Lagging(ctx context.Context, revision store.Revision) []string {
	return l.Confirmer.lagging(ctx, member.All(l.Confirmer.feed.Snapshot()), revision)
}

// recentlyDeparted returns the gateways that left less than leaseMargin ago.
func (c *PeerConfirmer) recentlyDeparted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var recent []string
	for id, since := range c.departed {
		if time.Since(since) > leaseMargin {
			delete(c.departed, id)
			continue
		}
		recent = append(recent, id)
	}
	if time.Since(c.startedAt) < leaseMargin {
		recent = append(recent, unknownDepartures)
	}
	return recent
}

func (c *PeerConfirmer) unconfirmed(gateways []member.Member, revision store.Revision) []member.Member {
	var behind []member.Member
	for _, gateway := range gateways {
		if c.server.ServedRevision(gateway.ID) < revision {
			behind = append(behind, gateway)
		}
	}
	return behind
}

func (c *PeerConfirmer) shouldQuery(revision store.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for queried, queriedAt := range c.queried {
		if now.Sub(queriedAt) > minQueryInterval {
			delete(c.queried, queried)
		}
	}
	if _, recent := c.queried[revision]; recent {
		return false
	}
	c.queried[revision] = now
	return true
}

func (c *PeerConfirmer) queryRelays(ctx context.Context, relays []member.Member, revision store.Revision) {
	var wait sync.WaitGroup
	for _, m := range relays {
		wait.Go(func() {
			confirmed, err := c.client.Confirmed(ctx, m.PeerAddress, revision)
			if err != nil {
				return
			}
			for _, id := range confirmed {
				c.server.RecordServed(id, revision)
			}
		})
	}
	wait.Wait()
}

func (c *PeerConfirmer) queryGateways(ctx context.Context, gateways []member.Member) {
	sem := make(chan struct{}, maxConcurrentQueries)
	var wait sync.WaitGroup
	for _, gateway := range gateways {
		sem <- struct{}{}
		wait.Go(func() {
			defer func() { <-sem }()
			// The client records the received revision with the server.
			_, _ = c.client.Exchange(ctx, gateway.PeerAddress)
		})
	}
	wait.Wait()
}
