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
	// sweepPause is the time between two sweeps: one listing each for the
	// whole fleet, whatever its size.
	sweepPause = 10 * time.Second
	// orphanAge leaves a controller time to write the record after the grants.
	// Sweeping earlier would be safe and only spoil its start.
	orphanAge = 5 * time.Second
	// maxPruned bounds the records rewritten in one sweep.
	maxPruned = 20
)

// sweeper remembers since when grants look orphaned.
type sweeper struct {
	next  time.Time
	since map[grantKey]time.Time
}

type grantKey struct{ service, host, operation string }

func newSweeper() *sweeper { return &sweeper{since: make(map[grantKey]time.Time)} }

// sweep gives back grants that no host record stands for: their controller
// ended between the grant and the record, or between the return and the
// release. Every ledger is looked at, also those of services and pools that
// are no longer there.
func (d *Drainer) sweep(ctx context.Context, snapshot *configstate.Snapshot) {
	if time.Now().Before(d.sweeper.next) {
		return
	}
	d.sweeper.next = time.Now().Add(sweepPause)
	d.prune(ctx, snapshot)
	ledgers, err := d.Grants.List(ctx)
	if err != nil {
		d.Log.Warn().Err(err).Msg("Ledgers not read.")
		return
	}
	before := d.sweeper.since
	d.sweeper.since = make(map[grantKey]time.Time)
	for service, ledger := range ledgers {
		for host, grant := range ledger.ByHost {
			if snapshot.Hosts[host].Operation == grant.Operation {
				continue
			}
			key := grantKey{service: service, host: host, operation: grant.Operation}
			first, seen := before[key]
			if !seen {
				first = time.Now()
			}
			d.sweeper.since[key] = first
			if seen && time.Since(first) > orphanAge {
				d.sweepOne(ctx, key, grant)
			}
		}
	}
}

func (d *Drainer) sweepOne(ctx context.Context, key grantKey, grant budget.Grant) {
	err := d.releaseOrphan(ctx, key)
	switch {
	case err == nil:
		d.metrics.orphans.Inc()
		d.Log.Info().Str("host", key.host).Str("service", key.service).Str("holder", grant.Requester).Msg("Orphaned grant released.")
	case !store.IsConflict(err):
		d.Log.Warn().Err(err).Str("host", key.host).Msg("Orphaned grant kept.")
	}
}

// releaseOrphan fences before it releases. The controller that took the grant
// may only be paused before it writes the host's record; that write expects the
// revision from before its grant, so writing the record anew makes it fail. A
// record that is gone is a fence by itself: no revision comes twice. Without
// the fence the paused controller would take a host out on a grant that is
// gone, and the budget would be broken.
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
	fenced, err := d.swap(ctx, item, func(*hostrecord.Record) {})
	if err != nil {
		return err
	}
	return d.Grants.ReleaseAfter(ctx, key.service, key.host, key.operation, fenced)
}

// prune forgets the visits of waves that are no longer there, so that records
// don't grow for ever and a later wave of the same name starts from nothing.
func (d *Drainer) prune(ctx context.Context, snapshot *configstate.Snapshot) {
	pruned := 0
	for _, item := range snapshot.Hosts {
		if pruned >= maxPruned || !d.Shards.Owns(sweepShard) {
			return
		}
		kept := keptVisits(snapshot, item)
		if len(kept) == len(item.WaveOutcomes) {
			continue
		}
		pruned++
		_, err := d.swap(ctx, item, func(r *hostrecord.Record) { r.WaveOutcomes = kept })
		if err != nil && !store.IsConflict(err) {
			d.Log.Warn().Err(err).Str("host", item.Host).Msg("Visits not pruned.")
		}
	}
}

// keptVisits asks for the stored key and not for the record in force: a record
// that this process can't read may well be a wave.
func keptVisits(snapshot *configstate.Snapshot, item configstate.HostRecord) map[string]hostrecord.WaveOutcome {
	kept := maps.Clone(item.WaveOutcomes)
	maps.DeleteFunc(kept, func(name string, _ hostrecord.WaveOutcome) bool {
		_, stored := snapshot.Raw[storekeys.Spec(record.ID{Kind: record.KindWave, Name: name})]
		return !stored && item.Wave != name
	})
	return kept
}
