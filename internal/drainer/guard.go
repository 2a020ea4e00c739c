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

// NotOwnedError reports that this controller no longer owns the wave.
type NotOwnedError struct{ Wave string }

func (e *NotOwnedError) Error() string {
	return fmt.Sprintf("this controller does not own wave %q", e.Wave)
}

// StaleDecisionError reports that a decision is too old to be applied.
type StaleDecisionError struct {
	Host string
	Age  time.Duration
}

func (e *StaleDecisionError) Error() string {
	return fmt.Sprintf("decision for host %q is based on an observation that is %s old", e.Host, e.Age)
}

// PendingOperationError reports that a delayed reboot request may still reach a
// host.
type PendingOperationError struct{ Host string }

func (e *PendingOperationError) Error() string {
	return fmt.Sprintf("a delayed reboot request may still reach host %q", e.Host)
}

// NoGrantError reports that a host is out without a grant of a service.
type NoGrantError struct {
	Host    string
	Service string
}

func (e *NoGrantError) Error() string {
	return fmt.Sprintf("host %q is out without a disruption grant of service %s", e.Host, e.Service)
}

// mayAct is called right before every request to the platform. It checks that the
// grants are held and that, by the monotonic clock, this controller still owns the
// shard. The request itself is not fenced: if the process is paused after this check,
// the operation ID protects against a delayed request.
func (d *Drainer) mayAct(ctx context.Context, waveName string, item configstate.HostRecord) error {
	for _, service := range item.GrantedServices {
		granted, err := d.Grants.IsGranted(ctx, service, item.Host, item.Operation)
		if err != nil {
			return err
		}
		if !granted {
			return d.missingGrantError(ctx, item, service)
		}
	}
	if !d.Shards.Owns(waveShard + waveName) {
		return &NotOwnedError{Wave: waveName}
	}
	return nil
}

// missingGrantError returns *NoGrantError. It reports a budget violation unless
// another controller has already completed the operation, in which case the host
// record has a different operation.
func (d *Drainer) missingGrantError(ctx context.Context, item configstate.HostRecord, service string) error {
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

// mayReturn returns *PendingOperationError while a reboot request of this visit that
// the platform has not accepted may still arrive. It would take down a serving host
// without a grant.
func (d *Drainer) mayReturn(o *observation, item configstate.HostRecord) error {
	condition, known := o.Conditions[item.Host]
	if known && condition.LastOperation == item.Operation {
		return nil
	}
	if item.Phase == hostrecord.Draining {
		// No reboot was requested: the phase changes before the request.
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.stateOf(item.Host)
	if time.Since(state.revisionSeenAt) < fleet.MaxActionDelay || time.Since(state.changedAt) < fleet.MaxActionDelay {
		return &PendingOperationError{Host: item.Host}
	}
	return nil
}

// writeIfOwned updates a host record unless it changed since it was read, and
// returns its new revision. It returns *NotOwnedError if the wave is not owned.
func (d *Drainer) writeIfOwned(ctx context.Context, waveName string, item configstate.HostRecord, change func(*hostrecord.Record)) (store.Revision, error) {
	if !d.Shards.Owns(waveShard + waveName) {
		return 0, &NotOwnedError{Wave: waveName}
	}
	return d.writeRecord(ctx, item, change)
}

// writeRecord is writeIfOwned without the ownership check. Callers must use the
// returned revision and not the one in hostState.lastWrite, which a concurrent
// reconcile clears once the feed shows the write.
func (d *Drainer) writeRecord(ctx context.Context, item configstate.HostRecord, change func(*hostrecord.Record)) (store.Revision, error) {
	next := item.Record
	change(&next)
	next.WriteID = uuid.NewString()
	d.Invariant.Assert(invariant.OnePool, onePool(item.Record, next), func() string {
		return fmt.Sprintf("host %s would go from pool %q to %q as it goes from %s to %s",
			item.Host, item.Pool, next.Pool, item.Phase, next.Phase)
	})
	revision, err := store.IdempotentCAS(ctx, d.Store, store.SwapRequest{
		Key: storekeys.Host(item.Host), Expect: item.Revision, Value: next.Encode(),
	})
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.stateOf(item.Host)
	state.lastWrite = &configstate.HostRecord{Record: next, Revision: revision}
	state.changedAt = time.Now()
	return revision, nil
}

// onePool reports whether a record change keeps the host in one pool. The pool may
// only change to the recorded next pool, and only after the host was rebooted, so
// that no work of the old pool is left on it.
func onePool(before, after hostrecord.Record) bool {
	if after.Host != before.Host {
		return false
	}
	return after.Pool == before.Pool || after.Pool == before.NextPool && !before.Schedulable() && before.Phase != hostrecord.Draining
}

// withOutcome returns the record's wave outcomes with visit added for the current
// wave. If visit is nil, they are unchanged.
func withOutcome(r *hostrecord.Record, visit *hostrecord.WaveOutcome) map[string]hostrecord.WaveOutcome {
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
