package drainer

import (
	"context"
	"maps"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	// sweepInterval is the time between two sweeps. A sweep makes one list call for
	// the whole fleet, regardless of its size.
	sweepInterval = 10 * time.Second
	// minOrphanAge gives a controller time to write the host record after acquiring
	// the grants. An earlier sweep would be safe, but would make that write fail.
	minOrphanAge = 5 * time.Second
	// maxPrunedPerSweep limits the records pruned in one sweep.
	maxPrunedPerSweep = 20
)

// sweeper records since when grants appear to be orphaned.
type sweeper struct {
	nextSweep time.Time
	firstSeen map[grantKey]time.Time
}

type grantKey struct{ service, host, operation string }

func newSweeper() *sweeper { return &sweeper{firstSeen: make(map[grantKey]time.Time)} }

// sweep releases grants without a matching host record. They remain if a controller
// terminates between acquiring the grant and writing the record, or between the
// return of the host and the release. All grant sets are checked, including those
// of services and pools that no longer exist.
func (d *Drainer) sweep(ctx context.Context, snapshot *configstate.Snapshot) {
	if time.Now().Before(d.sweeper.nextSweep) {
		return
	}
	d.sweeper.nextSweep = time.Now().Add(sweepInterval)
	d.pruneOutcomes(ctx, snapshot)
	grantSets, err := d.Grants.List(ctx)
	if err != nil {
		d.Log.Warn().Err(err).Msg("Failed to list disruption grants.")
		return
	}
	previous := d.sweeper.firstSeen
	d.sweeper.firstSeen = make(map[grantKey]time.Time)
	for service, grantSet := range grantSets {
		for host, grant := range grantSet.ByHost {
			if snapshot.Hosts[host].Operation == grant.Operation {
				continue
			}
			key := grantKey{service: service, host: host, operation: grant.Operation}
			since, seen := previous[key]
			if !seen {
				since = time.Now()
			}
			d.sweeper.firstSeen[key] = since
			if seen && time.Since(since) > minOrphanAge {
				d.releaseAndLog(ctx, key, grant)
			}
		}
	}
}

func (d *Drainer) releaseAndLog(ctx context.Context, key grantKey, grant budget.Grant) {
	err := d.releaseOrphan(ctx, key)
	switch {
	case err == nil:
		d.metrics.orphans.Inc()
		d.Log.Info().Str("host", key.host).Str("service", key.service).Str("holder", grant.Requester).Msg("Released orphaned disruption grant.")
	case !store.IsConflict(err):
		d.Log.Warn().Err(err).Str("host", key.host).Msg("Failed to release orphaned disruption grant.")
	}
}

// releaseOrphan fences the host record before it releases the grant. The controller
// that acquired the grant may only be paused before it writes the host record.
// Without the fence it would take the host out after its grant is released, and
// violate the budget. Its write expects the record revision from before the grant,
// so rewriting the record makes it fail. A deleted record needs no fence, since
// revisions are never reused.
func (d *Drainer) releaseOrphan(ctx context.Context, key grantKey) error {
	entry, err := d.Store.Get(ctx, storekeys.Host(key.host))
	if store.IsNotFound(err) {
		return d.Grants.ReleaseAfter(ctx, key.service, key.host, key.operation, d.Feed.Snapshot().Revision)
	}
	if err != nil {
		return err
	}
	current, err := hostrecord.Parse(entry.Key, entry.Value)
	if err != nil || current.Operation == key.operation || !d.Shards.Owns(sweepShard) {
		return err
	}
	item := configstate.HostRecord{Record: current, Revision: entry.ModRevision}
	fencedRevision, err := d.writeRecord(ctx, item, func(*hostrecord.Record) {})
	if err != nil {
		return err
	}
	return d.Grants.ReleaseAfter(ctx, key.service, key.host, key.operation, fencedRevision)
}

// pruneOutcomes removes the outcomes of deleted waves from host records, so that
// records do not grow without limit and a new wave of the same name starts from the
// beginning.
func (d *Drainer) pruneOutcomes(ctx context.Context, snapshot *configstate.Snapshot) {
	pruned := 0
	for _, item := range snapshot.Hosts {
		if pruned >= maxPrunedPerSweep || !d.Shards.Owns(sweepShard) {
			return
		}
		retained := retainedOutcomes(snapshot, item)
		if len(retained) == len(item.WaveOutcomes) {
			continue
		}
		pruned++
		_, err := d.writeRecord(ctx, item, func(r *hostrecord.Record) { r.WaveOutcomes = retained })
		if err != nil && !store.IsConflict(err) {
			d.Log.Warn().Err(err).Str("host", item.Host).Msg("Failed to prune wave outcomes of the host record.")
		}
	}
}

// retainedOutcomes returns the outcomes of waves that still exist. It checks the
// stored key and not the parsed record, because a record that this process cannot
// parse may be a wave.
func retainedOutcomes(snapshot *configstate.Snapshot, item configstate.HostRecord) map[string]hostrecord.WaveOutcome {
	retained := maps.Clone(item.WaveOutcomes)
	maps.DeleteFunc(retained, func(name string, _ hostrecord.WaveOutcome) bool {
		_, stored := snapshot.Raw[storekeys.Spec(record.ID{Kind: record.KindWave, Name: name})]
		return !stored && item.Wave != name
	})
	return retained
}
