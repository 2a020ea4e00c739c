package sharemanager

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// callTimeout bounds one call to the store or to another gateway. It is well
// under promiseLife.
const callTimeout = 800 * time.Millisecond

// follow puts the agreement of the snapshot in force unless it is older.
func (k *Manager) follow() {
	entry, ok := k.Feed.Snapshot().Raw[storekeys.Shares]
	if !ok || entry.ModRevision <= k.inForce.Load().agreement.Revision {
		return
	}
	k.read(entry)
}

func (k *Manager) read(entry store.Entry) bool {
	agreement, err := share.Parse(entry)
	if err != nil {
		// The shares stay as they are and nothing newer is confirmed.
		k.Log.Error().Err(err).Msg("Agreement not read.")
		return false
	}
	k.install(agreement)
	return true
}

// verify reads the agreement from the store after each new lease. An agreement
// written before this reading is known now; one written after it names this
// gateway, whose membership record stands again, or can't be settled without
// its confirmation.
func (k *Manager) verify(ctx context.Context) {
	generation := k.Lease.Generation()
	if !k.Lease.Valid() || generation == k.verified.Load() {
		return
	}
	if k.superseded.Load() {
		// Before the reading: what another gateway is told from here on must
		// not cover an agreement written after it.
		k.confirmed.Store(0)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := k.Store.Get(ctx, storekeys.Shares)
	switch {
	case store.IsNotFound(err):
	case err != nil:
		return
	case entry.ModRevision > k.inForce.Load().agreement.Revision && !k.read(entry):
		return
	}
	k.superseded.Store(false)
	k.verified.Store(generation)
}

// hold lets this gateway go on without a lease while the others show that
// nobody has moved on: in a store outage everybody keeps the last agreed
// share. A quorum of the settled view must answer that it hasn't confirmed a
// newer agreement than this one; without a quorum's confirmation no newer one
// is settled, and not before the promises have run out. The exception is when
// a quorum has been silent for escapeWait; so a gateway that could use nothing
// for that long, such as one of several that were paused together, doesn't
// resume on promises but reads the agreement first.
func (k *Manager) hold(ctx context.Context) {
	current := &k.inForce.Load().agreement
	if k.Lease.Valid() || k.superseded.Load() || k.unusableFor() >= escapeWait || time.Since(k.heldAsked) < holdInterval ||
		!current.Committed.Has(k.Self.ID) {
		return
	}
	asked := time.Now()
	k.heldAsked = asked
	promised, newer := promises(k.ask(ctx, current.Committed.Members), current.Revision)
	if current.Committed.HasQuorum(func(id string) bool { return promised[id] }) {
		until := asked.Add(promiseLife)
		k.holdUntil.Store(&until)
		return
	}
	k.yield(newer)
}

// unusableFor is for how long no share could be used, or more.
func (k *Manager) unusableFor() time.Duration {
	at := k.usableAt.Load()
	if at == nil {
		return escapeWait
	}
	return time.Since(*at)
}

// promises returns which members have confirmed nothing newer than revision,
// and whether any has.
func promises(answers map[string]asking, revision store.Revision) (promised map[string]bool, newer bool) {
	promised = make(map[string]bool, len(answers))
	for id, a := range answers {
		switch {
		case a.err != nil || a.answer.Member != id || a.answer.Revision == NoShareRevision:
		case a.answer.Revision > revision:
			newer = true
		default:
			promised[id] = true
		}
	}
	return promised, newer
}

// yield gives the shares up for good, and lets the others know, once they have
// agreed anew and this gateway hasn't learned what: it is cut off from the
// store, not in an outage.
func (k *Manager) yield(newer bool) {
	if !newer || k.usable() || k.unusableFor() < yieldAfter {
		return
	}
	k.superseded.Store(true)
	k.Log.Warn().Msg("Shares given up: others have agreed anew while the lease was lapsed.")
}

// live is liveView, worked out once per snapshot and agreement.
func (k *Manager) live(snapshot *configstate.Snapshot, left []string) share.View {
	if k.liveOf != snapshot || !slices.Equal(k.liveLeft, left) {
		k.liveOf, k.liveLeft = snapshot, left
		k.liveView = liveView(snapshot, left)
	}
	return k.liveView
}

// liveView is the view by the membership and records in force, without those
// that have left and whose membership record is about to go.
func liveView(snapshot *configstate.Snapshot, left []string) share.View {
	view := share.View{Services: make(map[string]share.Service)}
	for _, m := range member.OfRole(snapshot, member.RoleGateway) {
		if slices.Contains(left, m.ID) {
			continue
		}
		view.Members = append(view.Members, share.Member{ID: m.ID, PeerAddress: m.PeerAddress})
	}
	for name, spec := range snapshot.Services() {
		service := share.Service{Slots: spec.Slots(), Connections: spec.Connections()}
		for _, pool := range snapshot.PoolsOf(name) {
			service.Hosts = append(service.Hosts, snapshot.HostsOf(pool)...)
		}
		view.Services[name] = service.Sorted()
	}
	return view
}
