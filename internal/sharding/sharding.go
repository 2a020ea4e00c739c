// Package sharding distributes decisions among the running controllers. Each
// shard, such as a maintenance wave, is owned by the controller that rendezvous
// hashing selects from the membership. Ownership costs no call of its own: each
// controller's membership lease also covers its shards. Ownership only avoids
// duplicate work; safety rests on the compare-and-swap of each record and on
// operation IDs.
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

// HandoverDelay is how long the new owner of a shard waits before it acts.
// Every process that watches the store sees a change of membership within that
// time, so the previous owner has stopped by then. The two overlap only when
// the previous owner's configuration lags by more, and then compare-and-swap
// decides.
const HandoverDelay = 500 * time.Millisecond

// Membership is this process's own registration.
type Membership interface {
	// LeaseValid reports whether the lease is certainly still held, by the monotonic
	// clock.
	LeaseValid() bool
	// RegisteredRevision is the revision at which the record was last written.
	RegisteredRevision() store.Revision
}

// Feed provides the active configuration.
type Feed interface{ Snapshot() *configstate.Snapshot }

// Ownership decides which shards a controller owns. It is safe for concurrent
// use.
type Ownership struct {
	self       string
	feed       Feed
	membership Membership

	mu       sync.Mutex
	revision store.Revision
	view     view
	// past holds the memberships that other controllers may still use: those
	// replaced less than HandoverDelay ago.
	past []pastView
}

// pastView is a membership and the time at which this process saw it replaced.
type pastView struct {
	view
	replaced time.Time
}

// view is a membership and the ownership that follows from it.
type view struct {
	controllers []string
	hash        *rendezvous.Rendezvous
}

// New returns the Ownership of the controller named self.
func New(self string, f Feed, m Membership) *Ownership {
	return &Ownership{self: self, feed: f, membership: m}
}

// Owns reports whether the shard is owned right now. It must be checked right
// before every action, because a process that was paused resumes with outdated
// state.
func (o *Ownership) Owns(shard string) bool {
	snapshot := o.feed.Snapshot()
	// A process that was paused for longer than its lease registers again.
	// Until it sees its own new registration, its view of the membership may
	// predate the pause.
	if !o.membership.LeaseValid() || snapshot.Revision < o.membership.RegisteredRevision() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateView(snapshot)
	if o.view.ownerOf(shard) != o.self {
		return false
	}
	o.past = slices.DeleteFunc(o.past, func(p pastView) bool { return time.Since(p.replaced) >= HandoverDelay })
	// The last view alone isn't enough: of two changes in quick succession, the
	// second would hide that the first one made this process the owner.
	return !slices.ContainsFunc(o.past, func(p pastView) bool { return p.ownerOf(shard) != o.self })
}

// updateView applies the snapshot's membership; the caller holds mu.
func (o *Ownership) updateView(snapshot *configstate.Snapshot) {
	if snapshot.Revision <= o.revision {
		return
	}
	o.revision = snapshot.Revision
	var controllers []string
	for _, m := range member.OfRole(snapshot, member.RoleController) {
		controllers = append(controllers, m.ID)
	}
	if slices.Equal(controllers, o.view.controllers) {
		return
	}
	o.past = append(o.past, pastView{o.view, time.Now()})
	o.view = view{controllers: controllers, hash: rendezvous.New(controllers, xxhash.Sum64String)}
}

func (v view) ownerOf(shard string) string {
	if v.hash == nil {
		return ""
	}
	return v.hash.Lookup(shard)
}

// Shard is one shard of an Ownership.
type Shard struct {
	ownership *Ownership
	name      string
}

// Shard returns the named shard.
func (o *Ownership) Shard(name string) Shard { return Shard{ownership: o, name: name} }

// Owned reports whether the shard is owned right now.
func (s Shard) Owned() bool { return s.ownership.Owns(s.name) }
