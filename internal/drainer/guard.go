package drainer

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// NotHeldError says that this controller doesn't hold the wave any more.
type NotHeldError struct{ Wave string }

func (e *NotHeldError) Error() string { return fmt.Sprintf("wave %q is not held here", e.Wave) }

// StaleDecisionError says that a decision was too old to act on.
type StaleDecisionError struct {
	Host string
	Age  time.Duration
}

func (e *StaleDecisionError) Error() string {
	return fmt.Sprintf("decision on host %q is %s old", e.Host, e.Age)
}

// PendingOperationError says that a reboot may still be on its way to a host.
type PendingOperationError struct{ Host string }

func (e *PendingOperationError) Error() string {
	return fmt.Sprintf("a reboot may still be on its way to host %q", e.Host)
}

// NoGrantError says that a host is out without a grant in a service's ledger.
type NoGrantError struct {
	Host    string
	Service string
}

func (e *NoGrantError) Error() string {
	return fmt.Sprintf("host %q is out without a grant of %s", e.Host, e.Service)
}

// mayAct is asked right before every act on the platform. The shard is checked
// on the monotonic clock, and the grants in the ledgers. Nothing fences the act
// itself: a pause after this check is what operation identities are for.
func (d *Drainer) mayAct(ctx context.Context, waveName string, item configstate.HostRecord) error {
	for _, service := range item.GrantedServices {
		holds, err := d.Grants.IsGranted(ctx, service, item.Host, item.Operation)
		if err != nil {
			return err
		}
		if !holds {
			return d.withoutGrant(ctx, item, service)
		}
	}
	if !d.Shards.Owns(waveShard + waveName) {
		return &NotHeldError{Wave: waveName}
	}
	return nil
}

// withoutGrant tells a broken budget from a decision that others have long
// carried out: in the latter the record has moved on as well.
func (d *Drainer) withoutGrant(ctx context.Context, item configstate.HostRecord, service string) error {
	entry, err := d.Store.Get(ctx, storekeys.Host(item.Host))
	if err != nil {
		return err
	}
	current, err := hostrecord.Parse(entry.Key, entry.Value)
	if err != nil {
		return err
	}
	d.Invariant.Assert(invariant.BudgetRespected, current.Operation != item.Operation, func() string {
		return fmt.Sprintf("host %s is %s under operation %s without a grant of %s", item.Host, current.Phase, item.Operation, service)
	})
	return &NoGrantError{Host: item.Host, Service: service}
}

// mayReturn keeps a host out while a reboot of this visit may still reach it:
// one that the platform hasn't shown to have taken. It would take down a host
// that serves, outside every budget.
func (d *Drainer) mayReturn(o *observed, item configstate.HostRecord) error {
	state, known := o.Conditions[item.Host]
	if known && state.LastOperation == item.Operation {
		return nil
	}
	if item.Phase == hostrecord.Draining {
		// No reboot was decided: it is written first.
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memoryOf(item.Host)
	if time.Since(m.at) < fleet.MaxActionDelay || time.Since(m.changed) < fleet.MaxActionDelay {
		return &PendingOperationError{Host: item.Host}
	}
	return nil
}

// write changes a host's record unless it changed since it was read, and
// returns the revision of the changed one.
func (d *Drainer) write(ctx context.Context, waveName string, item configstate.HostRecord, change func(*hostrecord.Record)) (store.Revision, error) {
	if !d.Shards.Owns(waveShard + waveName) {
		return 0, &NotHeldError{Wave: waveName}
	}
	return d.swap(ctx, item, change)
}

// swap is write for changes that need no wave. The revision it returns can't be
// read back from the host's memory: a round may have seen it in the feed, and
// dropped it there.
func (d *Drainer) swap(ctx context.Context, item configstate.HostRecord, change func(*hostrecord.Record)) (store.Revision, error) {
	next := item.Record
	change(&next)
	next.WriteID = uuid.NewString()
	d.Invariant.Assert(invariant.OnePool, onePool(item.Record, next), func() string {
		return fmt.Sprintf("host %s would go from pool %q to %q as it goes from %s to %s",
			item.Host, item.Pool, next.Pool, item.Phase, next.Phase)
	})
	revision, err := store.IdempotentCAS(ctx, d.Store, store.Write{
		Key: storekeys.Host(item.Host), Expect: item.Revision, Value: next.Encode(),
	})
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memoryOf(item.Host)
	m.own = &configstate.HostRecord{Record: next, Revision: revision}
	m.changed = time.Now()
	return revision, nil
}

// onePool reports whether a change of record leaves the host in one pool: it
// changes only for the next pool on record, and only once the host has been
// rebooted, so that none of its old pool's work is left on it.
func onePool(before, after hostrecord.Record) bool {
	if after.Host != before.Host {
		return false
	}
	return after.Pool == before.Pool || after.Pool == before.NextPool && !before.TakesWork() && before.Phase != hostrecord.Draining
}

// visited returns the record's visits with one more; a nil visit leaves what
// the record says of the wave.
func visited(r *hostrecord.Record, visit *hostrecord.WaveOutcome) map[string]hostrecord.WaveOutcome {
	if visit == nil {
		return r.WaveOutcomes
	}
	visits := maps.Clone(r.WaveOutcomes)
	if visits == nil {
		visits = make(map[string]hostrecord.WaveOutcome)
	}
	visits[r.Wave] = *visit
	return visits
}
