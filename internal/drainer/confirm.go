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
	// leaseMargin is how long a gateway whose record is gone still counts as
	// lagging. Its own clock ends its lease before the store does, because it
	// counts from before each call; the margin covers clocks that run at
	// different rates, far more than the 10 s lease could drift.
	leaseMargin = 2 * time.Second
	// askPause is the least time between two rounds of asking for the same
	// revision, so that many askers don't become a storm.
	askPause = 50 * time.Millisecond
	// maxAsked bounds the gateways asked at once.
	maxAsked = 16
)

// PeerConfirmer knows which gateways serve which revision. It learns it from
// the traffic between peers that there is anyway, asks the relays, which hear
// from everyone, for what it lacks, and asks a gateway itself only when no
// relay knows. A served revision never goes back, so what was once heard holds.
type PeerConfirmer struct {
	feed   *configfeed.Feed
	server *peer.Server
	client *peer.Client

	mu sync.Mutex
	// present are the gateways that the membership showed last, left when each
	// of those that went was first missed, begun when it first showed anything.
	present map[string]bool
	left    map[string]time.Time
	begun   time.Time
	asked   map[store.Revision]time.Time
}

// unknownMember stands for gateways that may have left just before this
// controller saw the membership for the first time.
const unknownMember = "gateways that left before this controller started"

// NewPeerConfirmer returns a confirmer that learns from what server hears and
// asks through client.
func NewPeerConfirmer(f *configfeed.Feed, server *peer.Server, client *peer.Client) *PeerConfirmer {
	return &PeerConfirmer{
		feed: f, server: server, client: client,
		present: make(map[string]bool),
		left:    make(map[string]time.Time),
		asked:   make(map[store.Revision]time.Time),
	}
}

// Serve follows the membership until ctx ends, so that the time at which a
// gateway went is known even while nobody asks.
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
	if c.begun.IsZero() {
		c.begun = now
	}
	before := c.present
	c.present = make(map[string]bool, len(gateways))
	for _, gateway := range gateways {
		c.present[gateway.ID] = true
		delete(c.left, gateway.ID)
		delete(before, gateway.ID)
	}
	for id := range before {
		c.left[id] = now
	}
}

// Lagging implements Confirmer. A gateway that can't be asked lags until its
// lease has certainly ended: its record is gone, and a margin has passed.
func (c *PeerConfirmer) Lagging(ctx context.Context, revision store.Revision) []string {
	gateways := member.OfRole(c.feed.Snapshot(), member.RoleGateway)
	c.track(gateways)
	lagging := c.lagging(ctx, gateways, revision)
	for _, id := range c.waited() {
		if c.server.ServedRevision(id) < revision {
			lagging = append(lagging, id)
		}
	}
	slices.Sort(lagging)
	return lagging
}

// lagging returns those of members that may serve an older revision.
func (c *PeerConfirmer) lagging(ctx context.Context, members []member.Member, revision store.Revision) []string {
	behind := c.unconfirmed(members, revision)
	if len(behind) > 0 && c.mayAsk(revision) {
		c.askRelays(ctx, configsync.AllRelays(member.All(c.feed.Snapshot())), revision)
		c.askThemselves(ctx, c.unconfirmed(behind, revision))
		behind = c.unconfirmed(behind, revision)
	}
	var ids []string
	for _, m := range behind {
		ids = append(ids, m.ID)
	}
	return ids
}

// AllMembersConfirmer answers for every process in the membership, controllers included, and
// for nobody who has left it. It is what an operator who waits for a change
// asks.
type AllMembersConfirmer struct{ Confirmer *PeerConfirmer }

// Lagging implements operatorapi.Confirmer.
func (l AllMembersConfirmer) Lagging(ctx context.Context, revision store.Revision) []string {
	return l.Confirmer.lagging(ctx, member.All(l.Confirmer.feed.Snapshot()), revision)
}

// waited returns the gateways that are gone but for less than the margin.
func (c *PeerConfirmer) waited() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waited []string
	for id, since := range c.left {
		if time.Since(since) > leaseMargin {
			delete(c.left, id)
			continue
		}
		waited = append(waited, id)
	}
	if time.Since(c.begun) < leaseMargin {
		waited = append(waited, unknownMember)
	}
	return waited
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

func (c *PeerConfirmer) mayAsk(revision store.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for asked, at := range c.asked {
		if now.Sub(at) > askPause {
			delete(c.asked, asked)
		}
	}
	if _, recent := c.asked[revision]; recent {
		return false
	}
	c.asked[revision] = now
	return true
}

func (c *PeerConfirmer) askRelays(ctx context.Context, relays []member.Member, revision store.Revision) {
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

func (c *PeerConfirmer) askThemselves(ctx context.Context, gateways []member.Member) {
	room := make(chan struct{}, maxAsked)
	var wait sync.WaitGroup
	for _, gateway := range gateways {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			// The client tells the server what it hears.
			_, _ = c.client.Exchange(ctx, gateway.PeerAddress)
		})
	}
	wait.Wait()
}
