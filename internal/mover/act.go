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

// assign creates the host's record: that the key must be absent is what keeps
// a host in one pool when two controllers race.
func (m *Mover) assign(ctx context.Context, a Assignment, place fleet.Host) error {
	record := hostrecord.Record{
		Host: a.Host, Pool: a.Pool, Phase: hostrecord.Serving,
		Zone: place.Zone, Rack: place.Rack, WriteID: uuid.NewString(),
	}
	_, err := store.IdempotentCAS(ctx, m.Store, store.Write{Key: storekeys.Host(a.Host), Value: record.Encode()})
	return err
}

// begin starts a move. With a wave coming it only writes where the host goes
// on its return. Otherwise it takes the old pool's grants first and writes the
// intent second, so that a host is never marked out without its budget.
func (m *Mover) begin(ctx context.Context, view *hostview.View, move Move) error {
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

// forget removes the record of a host that is gone for good, then gives back
// what it may still hold. Should the host come back, it is a new host.
func (m *Mover) forget(ctx context.Context, item configstate.HostRecord) error {
	host := item.Host
	_, err := store.IdempotentCAS(ctx, m.Store, store.Write{Key: storekeys.Host(host), Expect: item.Revision, Delete: true})
	if err != nil || item.Operation == "" {
		return err
	}
	return m.release(ctx, item.GrantedServices, host, item.Operation)
}

// PendingOperationError says that an act of a host's maintenance before may still be
// on its way to it: an undrain that comes late would end the next drain.
type PendingOperationError struct{ Host string }

func (e *PendingOperationError) Error() string {
	return fmt.Sprintf("an act of the maintenance before may still be on its way to host %s", e.Host)
}

// firstSeen is when this process first saw the host's record as it is.
func (m *Mover) firstSeen(item configstate.HostRecord) time.Time {
	if m.seen[item.Host].revision != item.Revision {
		m.seen[item.Host] = seenRecord{revision: item.Revision, at: time.Now()}
	}
	return m.seen[item.Host].at
}

// advance takes every host in a move of its own one step further.
func (m *Mover) advance(ctx context.Context, snapshot *configstate.Snapshot) {
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
		verb, reason := Next(m.transit(ctx, snapshot, item, conditions[name]))
		if verb == Wait {
			continue
		}
		m.try(name, string(verb), reason, func() error { return m.step(ctx, item, verb) })
	}
}

// conditions asks all the hosts at once, each for a while only. Asked one after
// the other, one that hangs would make the whole round too old to act on, every
// time: nothing would be assigned or moved until it answers.
func (m *Mover) conditions(ctx context.Context, hosts []string) map[string]fleet.HostCondition {
	ctx, cancel := context.WithTimeout(ctx, hostview.ProbeTimeout)
	defer cancel()
	answers := make([]fleet.HostCondition, len(hosts))
	var wait sync.WaitGroup
	for i, host := range hosts {
		wait.Go(func() {
			if answer, err := m.HostControl.Condition(ctx, host); err == nil {
				answers[i] = answer
			}
		})
	}
	wait.Wait()
	known := make(map[string]fleet.HostCondition, len(hosts))
	for i, host := range hosts {
		known[host] = answers[i]
	}
	return known
}

// transit takes a host whose condition isn't known for unreachable.
func (m *Mover) transit(ctx context.Context, snapshot *configstate.Snapshot, item configstate.HostRecord, condition fleet.HostCondition) MoveState {
	host := item.Host
	t := MoveState{
		Record: item.Record, PhaseAge: time.Since(m.firstSeen(item)),
		DrainRequested: m.drained[host] == item.Operation,
		TargetExists:   snapshot.Pools()[item.NextPool] != nil,
	}
	if !condition.Healthy {
		delete(m.healthy, host)
	} else if _, ok := m.healthy[host]; !ok {
		m.healthy[host] = time.Now()
	}
	if since, ok := m.healthy[host]; ok {
		t.HealthyFor = time.Since(since)
	}
	t.Reachable, t.InFlight = condition.Reachable, condition.InFlight
	t.RecordConfirmed = t.DrainRequested || len(m.Confirmer.Lagging(ctx, item.Revision)) == 0
	return t
}

func (m *Mover) step(ctx context.Context, item configstate.HostRecord, verb Verb) error {
	switch verb {
	case DrainHost:
		if err := m.HostControl.Drain(ctx, item.Host, item.Operation); err != nil {
			return err
		}
		m.drained[item.Host] = item.Operation
		return nil
	case ChangePool:
		delete(m.healthy, item.Host)
		return m.write(ctx, item, func(r *hostrecord.Record) {
			r.PreviousPool, r.Pool, r.NextPool = r.Pool, r.NextPool, ""
			r.Phase = hostrecord.Verifying
		})
	case ReturnToService, AbortMove:
		return m.putBack(ctx, item)
	case MarkFailed:
		return m.write(ctx, item, func(r *hostrecord.Record) { r.Phase, r.NextPool = hostrecord.Failed, "" })
	}
	return nil
}

// putBack lets the host serve before it gives the grants back: in between the
// budget is only the more cautious. A controller that ends in between leaves
// orphaned grants, which the drainer finds by their operation.
func (m *Mover) putBack(ctx context.Context, item configstate.HostRecord) error {
	if err := m.HostControl.Undrain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	served, err := m.swap(ctx, item, func(r *hostrecord.Record) {
		r.LastOperation = r.Operation
		r.Phase, r.Operation, r.NextPool, r.PreviousPool, r.GrantedServices = hostrecord.Serving, "", "", "", nil
	})
	if err != nil {
		return err
	}
	delete(m.drained, item.Host)
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
	_, err := m.swap(ctx, item, change)
	return err
}

// swap is write that returns the record's new revision.
func (m *Mover) swap(ctx context.Context, item configstate.HostRecord, change func(*hostrecord.Record)) (store.Revision, error) {
	next := item.Record
	change(&next)
	legal := m.Invariant.Assert(invariant.OnePool, changeAllowed(item.Record, next), func() string {
		return fmt.Sprintf("host %s would change from pool %q to %q while %s", item.Host, item.Pool, next.Pool, item.Phase)
	})
	if !legal {
		return 0, &IllegalChangeError{Host: item.Host, From: item.Pool, To: next.Pool, Phase: item.Phase}
	}
	next.WriteID = uuid.NewString()
	return store.IdempotentCAS(ctx, m.Store, store.Write{Key: storekeys.Host(item.Host), Expect: item.Revision, Value: next.Encode()})
}

// IllegalChangeError says that a host was about to change pool while it could
// still serve the old one.
type IllegalChangeError struct {
	Host, From, To string
	Phase          hostrecord.Phase
}

func (e *IllegalChangeError) Error() string {
	return fmt.Sprintf("host %s must not change from pool %q to %q while it is %s", e.Host, e.From, e.To, e.Phase)
}

// changeAllowed reports whether a host may go from one record to the next: its
// pool changes only out of a drain and into a proof.
func changeAllowed(before, after hostrecord.Record) bool {
	if before.Pool == after.Pool {
		return true
	}
	return before.Phase == hostrecord.Draining && before.NextPool == after.Pool && after.Phase == hostrecord.Verifying
}
