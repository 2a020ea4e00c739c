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

// callTimeout bounds one call to the store or to another gateway. It is well below
// promiseTTL.
const callTimeout = 800 * time.Millisecond

// applySnapshot activates the agreement of the snapshot unless it is older than the
// active one.
func (mgr *Manager) applySnapshot() {
	entry, ok := mgr.Feed.Snapshot().Raw[storekeys.SharesKey]
	if !ok || entry.ModRevision <= mgr.active.Load().agreement.Revision {
		return
	}
	mgr.installEntry(entry)
}

func (mgr *Manager) installEntry(entry store.Entry) bool {
	agreement, err := share.Parse(entry)
	if err != nil {
		// The shares stay as they are and no newer agreement is confirmed.
		mgr.Log.Error().Err(err).Msg("Could not parse the stored share agreement.")
		return false
	}
	mgr.install(agreement)
	return true
}

// verifyNewLease reads the agreement from the store after each new lease. An agreement
// written before this read is then active. One written after it either includes this
// gateway, whose membership record exists again, or cannot be committed without its
// confirmation.
func (mgr *Manager) verifyNewLease(ctx context.Context) {
	generation := mgr.Lease.Generation()
	if !mgr.Lease.LeaseValid() || generation == mgr.verifiedGeneration.Load() {
		return
	}
	if mgr.superseded.Load() {
		// Reset before the read: what another gateway learns from here on must not cover an
		// agreement written after the read.
		mgr.confirmed.Store(0)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := mgr.Store.Get(ctx, storekeys.SharesKey)
	switch {
	case store.IsNotFound(err):
	case err != nil:
		return
	case entry.ModRevision > mgr.active.Load().agreement.Revision && !mgr.installEntry(entry):
		return
	}
	mgr.superseded.Store(false)
	mgr.verifiedGeneration.Store(generation)
}

// extendOnPromises lets this gateway keep its share without a lease while the others'
// responses show that no newer agreement is in use. In a store outage every gateway
// thus keeps its last agreed share. A quorum of the committed view must respond that it
// has not confirmed a newer agreement than the active one: no newer agreement is
// committed without a quorum's confirmation, nor before the promises have expired. The
// exception is a quorum that has been unresponsive for quorumLossTimeout. A gateway
// that could use no share for that long, such as one of several that were paused
// together, therefore does not resume on promises but reads the agreement first.
func (mgr *Manager) extendOnPromises(ctx context.Context) {
	current := &mgr.active.Load().agreement
	if mgr.Lease.LeaseValid() || mgr.superseded.Load() || mgr.unusableFor() >= quorumLossTimeout || time.Since(mgr.promisesProbedAt) < promiseProbeInterval ||
		!current.Committed.Has(mgr.Self.ID) {
		return
	}
	probedAt := time.Now()
	mgr.promisesProbedAt = probedAt
	promised, newer := collectPromises(mgr.probeAll(ctx, current.Committed.Members), current.Revision)
	if current.Committed.HasQuorum(func(id string) bool { return promised[id] }) {
		until := probedAt.Add(promiseTTL)
		mgr.promisedUntil.Store(&until)
		return
	}
	mgr.releaseIfSuperseded(newer)
}

// unusableFor returns how long no share has been usable, or quorumLossTimeout if none
// ever was.
func (mgr *Manager) unusableFor() time.Duration {
	at := mgr.lastUsableAt.Load()
	if at == nil {
		return quorumLossTimeout
	}
	return time.Since(*at)
}

// collectPromises returns the members that have confirmed nothing newer than revision,
// and whether any member has confirmed something newer.
func collectPromises(outcomes map[string]probeOutcome, revision store.Revision) (promised map[string]bool, newer bool) {
	promised = make(map[string]bool, len(outcomes))
	for id, outcome := range outcomes {
		switch {
		case outcome.err != nil || outcome.result.Member != id || outcome.result.Revision == NoShareRevision:
		case outcome.result.Revision > revision:
			newer = true
		default:
			promised[id] = true
		}
	}
	return promised, newer
}

// releaseIfSuperseded releases the shares, until the agreement has been read anew, and
// reports that to the others. It does so once others have confirmed a newer agreement
// that this gateway has not received within supersededTimeout: this gateway is then cut
// off from the store, and the store itself is not down.
func (mgr *Manager) releaseIfSuperseded(newer bool) {
	if !newer || mgr.sharesUsable() || mgr.unusableFor() < supersededTimeout {
		return
	}
	mgr.superseded.Store(true)
	mgr.Log.Warn().Msg("Shares released: other gateways confirmed a newer agreement while this one had no lease.")
}

// cachedLiveView returns buildLiveView's result, computed once per snapshot and list of
// stopped members.
func (mgr *Manager) cachedLiveView(snapshot *configstate.Snapshot, stopped []string) share.View {
	if mgr.liveSnapshot != snapshot || !slices.Equal(mgr.liveStopped, stopped) {
		mgr.liveSnapshot, mgr.liveStopped = snapshot, stopped
		mgr.liveView = buildLiveView(snapshot, stopped)
	}
	return mgr.liveView
}

// buildLiveView returns the view derived from the current membership and the active
// records. It omits stopped members, whose membership records are about to be removed.
func buildLiveView(snapshot *configstate.Snapshot, stopped []string) share.View {
	view := share.View{Services: make(map[string]share.Service)}
	for _, m := range member.OfRole(snapshot, member.RoleGateway) {
		if slices.Contains(stopped, m.ID) {
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
