// Package sharding shares decisions among the live controllers. Every shard, a
// wave for one, belongs to the live controller that rendezvous hashing picks
// from the membership. Holding costs no call of its own: the membership lease
// that each controller has anyway is the lease on all its shards. Holding is
// only economy, so that not everyone does the same work; safety rests on the
// compare-and-swap of each record and on operation identities.
package sharding

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/store"
)

// HandoverDelay is how long a shard's new holder waits before it acts. Every process
// that follows the store at all sees a change of membership within that time,
// so the earlier holder has stopped by itself. It overlaps only when its
// configuration lags by more, and then compare-and-swap decides.
const HandoverDelay = 500 * time.Millisecond

// Membership is this process's own registration.
type Membership interface {
	// Valid reports whether the lease is certainly still held, by the
	// monotonic clock.
	Valid() bool
	// RegisteredRevision is the revision at which the record was last written.
	RegisteredRevision() store.Revision
}

// Feed hands out the configuration in force.
type Feed interface{ Snapshot() *configstate.Snapshot }

// Ownership tells which shards a controller holds. It is safe for concurrent use.
type Ownership struct {
	self       string
	feed       Feed
	membership Membership

	mu       sync.Mutex
	revision store.Revision
	view     view
	// past are the memberships that others may still go by: those replaced less
	// than Settle ago.
	past []pastView
}

// pastView is a membership and when this process saw it replaced.
type pastView struct {
	view
	replaced time.Time
}

// view is a membership and who holds what under it.
type view struct {
	controllers []string
	hash        *rendezvous.Rendezvous
}

// New returns a holder for the controller named self.
func New(self string, f Feed, m Membership) *Ownership {
	return &Ownership{self: self, feed: f, membership: m}
}

// Owns reports whether the shard is held right now. Check it right before
// every act: a paused process wakes believing what it believed before.
func (h *Ownership) Owns(shard string) bool {
	snapshot := h.feed.Snapshot()
	// A process that was away for longer than its lease registers anew. Until
	// it sees its own new registration it may be looking at a membership from
	// before it was away.
	if !h.membership.Valid() || snapshot.Revision < h.membership.RegisteredRevision() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follow(snapshot)
	if h.view.holderOf(shard) != h.self {
		return false
	}
	h.past = slices.DeleteFunc(h.past, func(p pastView) bool { return time.Since(p.replaced) >= HandoverDelay })
	// One view back isn't enough: of two changes in quick succession the second
	// would hide that the first one made this process the holder a moment ago.
	return !slices.ContainsFunc(h.past, func(p pastView) bool { return p.holderOf(shard) != h.self })
}

// follow takes over the snapshot's membership; the caller holds mu.
func (h *Ownership) follow(snapshot *configstate.Snapshot) {
	if snapshot.Revision <= h.revision {
		return
	}
	h.revision = snapshot.Revision
	var controllers []string
	for _, m := range member.OfRole(snapshot, member.RoleController) {
		controllers = append(controllers, m.ID)
	}
	if slices.Equal(controllers, h.view.controllers) {
		return
	}
	h.past = append(h.past, pastView{h.view, time.Now()})
	h.view = view{controllers: controllers, hash: rendezvous.New(controllers, xxhash.Sum64String)}
}

func (v view) holderOf(shard string) string {
	if v.hash == nil {
		return ""
	}
	return v.hash.Lookup(shard)
}

// Shard is one shard of a Holder.
type Shard struct {
	holder *Ownership
	name   string
}

// Shard returns the named shard.
func (h *Ownership) Shard(name string) Shard { return Shard{holder: h, name: name} }

// Owned reports whether the shard is held right now.
func (s Shard) Owned() bool { return s.holder.Owns(s.name) }
