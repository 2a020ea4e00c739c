package mover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/hostview"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// assign creates the host's record. The write requires the key to be absent, so
// that two racing controllers can't assign a host to two pools.
func (m *Mover) assign(ctx context.Context, assignment Assignment, host fleet.Host) error {
	record := hostrecord.Record{
		Host: assignment.Host, Pool: assignment.Pool, Phase: hostrecord.Serving,
		Zone: host.Zone, Rack: host.Rack, WriteID: uuid.NewString(),
	}
	_, err := store.IdempotentCAS(ctx, m.Store, store.SwapRequest{Key: storekeys.Host(assignment.Host), Value: record.Encode()})
	return err
}

// beginMove starts a move. If maintenance is due, it only records the pool the host
// returns to. Otherwise it acquires the old pool's disruption grants before it
// marks the host as draining, so that no host is out without a grant.
func (m *Mover) beginMove(ctx context.Context, view *hostview.View, move Move) error {
	item := view.Records[move.Host]
	if move.WithWave {
		return m.write(ctx, item, func(r *hostrecord.Record) { r.NextPool = move.To })
	}
	if item.LastOperation != "" && time.Since(m.firstSeen(item)) < fleet.MaxActionDelay {
		return &PendingOperationError{Host: item.Host}
	}
	operation := operationPrefix + uuid.NewString()
	services := view.ServicesOf(item.Pool)
	grant := budget.Grant{Operation: operation, Requester: m.Member}
	if err := m.Grants.Acquire(ctx, item.Host, grant, services, view.ServiceState); err != nil {
		return err
	}
	err := m.write(ctx, item, func(r *hostrecord.Record) {
		r.Phase, r.Operation, r.NextPool, r.GrantedServices = hostrecord.Draining, operation, move.To, services
	})
	if store.IsConflict(err) {
		return errors.CombineErrors(err, m.release(ctx, services, item.Host, operation))
	}
	return err
}

func (m *Mover) withdraw(ctx context.Context, item configstate.HostRecord) error {
	return m.write(ctx, item, func(r *hostrecord.Record) { r.NextPool = "" })
}

// forget removes the record of a permanently lost host and then releases its
// grants. If the host comes back, it is treated as a new host.
func (m *Mover) forget(ctx context.Context, item configstate.HostRecord) error {
	host := item.Host
	_, err := store.IdempotentCAS(ctx, m.Store, store.SwapRequest{Key: storekeys.Host(host), Expect: item.Revision, Delete: true})
	if err != nil || item.Operation == "" {
		return err
	}
	return m.release(ctx, item.GrantedServices, host, item.Operation)
}

// PendingOperationError reports that a call of a host's previous operation may still
// be in transit: a delayed undrain would end the next drain.
type PendingOperationError struct{ Host string }

func (e *PendingOperationError) Error() string {
	return fmt.Sprintf("a call of the previous operation may still be in transit to host %s", e.Host)
}

// firstSeen returns when this process first saw the current revision of the host's
// record.
func (m *Mover) firstSeen(item configstate.HostRecord) time.Time {
	if m.seen[item.Host].revision != item.Revision {
		m.seen[item.Host] = seenRecord{revision: item.Revision, at: time.Now()}
	}
	return m.seen[item.Host].at
}

// advanceMoves runs the next step of every move that is made without a wave.
func (m *Mover) advanceMoves(ctx context.Context, snapshot *configstate.Snapshot) {
	var moving []string
	for name, item := range snapshot.Hosts {
		if OutForMove(item.Record) && item.Phase != hostrecord.Failed {
			moving = append(moving, name)
		}
	}
	slices.Sort(moving)
	conditions := m.conditions(ctx, moving)
	for _, name := range moving {
		item := snapshot.Hosts[name]
		verb, reason := Next(m.moveState(ctx, snapshot, item, conditions[name]))
		if verb == Wait {
			continue
		}
		m.runStep(name, string(verb), reason, func() error { return m.step(ctx, item, verb) })
	}
}

// conditions queries all hosts concurrently, with a timeout. If they were queried
// one by one, a host that hangs would make the view of every reconcile too old to
// act on, and no host would be assigned or moved until it responds.
func (m *Mover) conditions(ctx context.Context, hosts []string) map[string]fleet.HostCondition {
	ctx, cancel := context.WithTimeout(ctx, hostview.ProbeTimeout)
	defer cancel()
	results := make([]fleet.HostCondition, len(hosts))
	var wait sync.WaitGroup
	for i, host := range hosts {
		wait.Go(func() {
			if condition, err := m.HostControl.Condition(ctx, host); err == nil {
				results[i] = condition
			}
		})
	}
	wait.Wait()
	known := make(map[string]fleet.HostCondition, len(hosts))
	for i, host := range hosts {
		known[host] = results[i]
	}
	return known
}

// moveState returns the state of a host in a move. A host whose condition isn't
// known counts as unreachable.
func (m *Mover) moveState(ctx context.Context, snapshot *configstate.Snapshot, item configstate.HostRecord, condition fleet.HostCondition) MoveState {
	host := item.Host
	state := MoveState{
		Record: item.Record, PhaseAge: time.Since(m.firstSeen(item)),
		DrainRequested: m.drainRequested[host] == item.Operation,
		TargetExists:   snapshot.Pools()[item.NextPool] != nil,
	}
	if !condition.Healthy {
		delete(m.healthySince, host)
	} else if _, ok := m.healthySince[host]; !ok {
		m.healthySince[host] = time.Now()
	}
	if since, ok := m.healthySince[host]; ok {
		state.HealthyFor = time.Since(since)
	}
	state.Reachable, state.InFlight = condition.Reachable, condition.InFlight
	state.RecordConfirmed = state.DrainRequested || len(m.Confirmer.Lagging(ctx, item.Revision)) == 0
	return state
}

func (m *Mover) step(ctx context.Context, item configstate.HostRecord, verb Verb) error {
	switch verb {
	case DrainHost:
		if err := m.HostControl.Drain(ctx, item.Host, item.Operation); err != nil {
			return err
		}
		m.drainRequested[item.Host] = item.Operation
		return nil
	case ChangePool:
		delete(m.healthySince, item.Host)
		return m.write(ctx, item, func(r *hostrecord.Record) {
			r.PreviousPool, r.Pool, r.NextPool = r.Pool, r.NextPool, ""
			r.Phase = hostrecord.Verifying
		})
	case ReturnToService, AbortMove:
		return m.returnHost(ctx, item)
	case MarkFailed:
		return m.write(ctx, item, func(r *hostrecord.Record) { r.Phase, r.NextPool = hostrecord.Failed, "" })
	}
	return nil
}

// returnHost marks the host as serving before it releases the grants, so that in
// between the budget counts too many hosts as out, never too few. If the controller
// stops in between, the drainer finds the orphaned grants by their operation.
func (m *Mover) returnHost(ctx context.Context, item configstate.HostRecord) error {
	if err := m.HostControl.Undrain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	served, err := m.writeRevision(ctx, item, func(r *hostrecord.Record) {
		r.LastOperation = r.Operation
		r.Phase, r.Operation, r.NextPool, r.PreviousPool, r.GrantedServices = hostrecord.Serving, "", "", "", nil
	})
	if err != nil {
		return err
	}
	delete(m.drainRequested, item.Host)
	for _, service := range item.GrantedServices {
		if err := m.Grants.ReleaseAfter(ctx, service, item.Host, item.Operation, served); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mover) release(ctx context.Context, services []string, host, operation string) error {
	for _, service := range services {
		if err := m.Grants.Release(ctx, service, host, operation); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mover) write(ctx context.Context, item configstate.HostRecord, change func(*hostrecord.Record)) error {
	_, err := m.writeRevision(ctx, item, change)
	return err
}

// writeRevision applies change to the host's record by compare-and-swap and returns
// the new revision. It returns an *IllegalChangeError if the pool may not change.
func (m *Mover) writeRevision(ctx context.Context, item configstate.HostRecord, change func(*hostrecord.Record)) (store.Revision, error) {
	next := item.Record
	change(&next)
	allowed := m.Invariant.Assert(invariant.OnePool, changeAllowed(item.Record, next), func() string {
		return fmt.Sprintf("host %s would change from pool %q to %q while %s", item.Host, item.Pool, next.Pool, item.Phase)
	})
	if !allowed {
		return 0, &IllegalChangeError{Host: item.Host, From: item.Pool, To: next.Pool, Phase: item.Phase}
	}
	next.WriteID = uuid.NewString()
	return store.IdempotentCAS(ctx, m.Store, store.SwapRequest{Key: storekeys.Host(item.Host), Expect: item.Revision, Value: next.Encode()})
}

// IllegalChangeError reports an attempt to change a host's pool while the host could
// still serve the old one.
type IllegalChangeError struct {
	Host, From, To string
	Phase          hostrecord.Phase
}

func (e *IllegalChangeError) Error() string {
	return fmt.Sprintf("host %s must not change from pool %q to %q in phase %s", e.Host, e.From, e.To, e.Phase)
}

// changeAllowed reports whether a host's record may change from before to after: the
// pool may change only from Draining to Verifying.
func changeAllowed(before, after hostrecord.Record) bool {
	if before.Pool == after.Pool {
		return true
	}
	return before.Phase == hostrecord.Draining && before.NextPool == after.Pool && after.Phase == hostrecord.Verifying
}
