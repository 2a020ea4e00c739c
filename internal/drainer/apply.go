package drainer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

func (d *Drainer) apply(ctx context.Context, o *observed, waveName string, step wave.Step) {
	if !d.Shard.Held() {
		return
	}
	item := o.snapshot.Hosts[step.Host]
	err := d.step(ctx, o, waveName, step, item)
	var refused *budget.RefusedError
	switch {
	case errors.As(err, &refused):
		d.refusals[step.Host] = refused.Reason
	case store.IsConflict(err):
		// Someone changed the record in between; the next round observes it.
	case err != nil:
		d.Log.Warn().Err(err).Str("host", step.Host).Str("verb", string(step.Verb)).Msg("Step not applied.")
	default:
		delete(d.refusals, step.Host)
		d.Log.Info().Str("host", step.Host).Str("wave", waveName).Str("verb", string(step.Verb)).
			Str("reason", step.Reason).Msg("Step applied.")
	}
}

func (d *Drainer) step(ctx context.Context, o *observed, waveName string, step wave.Step, item catalog.HostItem) error {
	switch step.Verb {
	case wave.StartDrain:
		return d.startDrain(ctx, o, waveName, step, item)
	case wave.DrainHost:
		if err := d.Pool.Drain(ctx, item.Host, item.Operation); err != nil {
			return err
		}
		d.drained[item.Host] = item.Operation
		return nil
	case wave.Reboot:
		return d.reboot(ctx, o, item)
	case wave.AwaitProof:
		delete(d.healthy, item.Host)
		return d.write(ctx, item, func(r *hostrecord.Record) { r.Phase = hostrecord.Proving })
	case wave.Return:
		return d.putBack(ctx, o, step, item)
	case wave.GiveUp:
		return d.write(ctx, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Failed
			r.Visits = visited(r, step.Visit)
		})
	}
	return nil
}

// startDrain takes the grants first and writes the intent second: a host is
// never marked out without its budget.
func (d *Drainer) startDrain(ctx context.Context, o *observed, waveName string, step wave.Step, item catalog.HostItem) error {
	operation := uuid.NewString()
	grant := budget.Grant{Operation: operation, Wave: waveName, Holder: d.Member}
	services := o.servicesOf(item.Pool)
	view := func(service string) budget.View { return o.view(service) }
	if err := d.Gate.Acquire(ctx, item.Host, grant, services, view); err != nil {
		return err
	}
	err := d.write(ctx, item, func(r *hostrecord.Record) {
		r.Phase = hostrecord.Draining
		r.Wave = waveName
		r.Operation = operation
		r.OutSince = time.Now().UTC()
		r.AlreadyDown = step.AlreadyDown
	})
	if store.IsConflict(err) {
		return errors.CombineErrors(err, d.releaseAll(ctx, services, item.Host, operation))
	}
	return err
}

// reboot writes the boot seen before, then acts. Should the process end in
// between, the next round finds the phase and acts again: the operation
// identity makes the platform take it once.
func (d *Drainer) reboot(ctx context.Context, o *observed, item catalog.HostItem) error {
	if item.Phase == hostrecord.Rebooting {
		// The platform never took the act: ask again, without a write that
		// would start the host's deadline anew.
		return d.Pool.Reboot(ctx, item.Host, item.Operation)
	}
	err := d.write(ctx, item, func(r *hostrecord.Record) {
		r.Phase = hostrecord.Rebooting
		r.BootID = o.states[item.Host].BootID
	})
	if err != nil {
		return err
	}
	if !d.Shard.Held() {
		return nil
	}
	return d.Pool.Reboot(ctx, item.Host, item.Operation)
}

// putBack writes the host back to work before it gives the grants back: in
// between the budget is only the more cautious.
func (d *Drainer) putBack(ctx context.Context, o *observed, step wave.Step, item catalog.HostItem) error {
	if err := d.Pool.Undrain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	operation := item.Operation
	err := d.write(ctx, item, func(r *hostrecord.Record) {
		r.Visits = visited(r, step.Visit)
		r.Phase = hostrecord.Serving
		r.Wave = ""
		r.Operation = ""
		r.BootID = ""
		r.OutSince = time.Time{}
		r.AlreadyDown = false
	})
	if err != nil {
		return err
	}
	return d.releaseAll(ctx, o.servicesOf(item.Pool), item.Host, operation)
}

func (d *Drainer) releaseAll(ctx context.Context, services []string, host, operation string) error {
	for _, service := range services {
		if err := d.Gate.Release(ctx, service, host, operation); err != nil {
			return err
		}
	}
	return nil
}

// releaseOrphans gives back grants whose host record shows no maintenance:
// their controller ended between the two writes. The host record is written
// anew first, so that the ended controller, should it only have been paused,
// loses its compare-and-swap and can't start on a grant that is gone.
func (d *Drainer) releaseOrphans(ctx context.Context, o *observed) {
	for service := range o.snapshot.Services() {
		ledger, _, err := d.Gate.Ledger(ctx, service)
		if err != nil {
			d.Log.Warn().Err(err).Str("service", service).Msg("Ledger not read.")
			continue
		}
		for host, grant := range ledger.Grants {
			if !d.orphaned(o, host, grant) {
				continue
			}
			if err := d.releaseOrphan(ctx, o, service, host, grant); err != nil && !store.IsConflict(err) {
				d.Log.Warn().Err(err).Str("host", host).Msg("Orphaned grant kept.")
			}
		}
	}
}

const orphanAge = 5 * time.Second

func (d *Drainer) orphaned(o *observed, host string, grant budget.Grant) bool {
	item, known := o.snapshot.Hosts[host]
	settled := time.Since(d.seen[host].at) > orphanAge
	return known && settled && d.Shard.Held() && item.Operation != grant.Operation
}

func (d *Drainer) releaseOrphan(ctx context.Context, o *observed, service, host string, grant budget.Grant) error {
	if err := d.write(ctx, o.snapshot.Hosts[host], func(*hostrecord.Record) {}); err != nil {
		return err
	}
	return d.Gate.Release(ctx, service, host, grant.Operation)
}

func (d *Drainer) write(ctx context.Context, item catalog.HostItem, change func(*hostrecord.Record)) error {
	next := item.Record
	change(&next)
	next.WriteID = uuid.NewString()
	_, err := store.Swap(ctx, d.Store, store.Write{
		Key: keys.Host(item.Host), Expect: item.Revision, Value: next.Encode(),
	})
	return err
}

// visited returns the record's visits with the one that a step leaves, if it
// leaves any.
func visited(r *hostrecord.Record, visit *hostrecord.Visit) map[string]hostrecord.Visit {
	if visit == nil {
		return r.Visits
	}
	visits := make(map[string]hostrecord.Visit, len(r.Visits)+1)
	for name, earlier := range r.Visits {
		visits[name] = earlier
	}
	visits[r.Wave] = *visit
	return visits
}

// publish has a wave's status written. Nothing reads it to decide.
func (d *Drainer) publish(status wave.Status) {
	data, err := json.Marshal(status)
	if err != nil {
		// A Status holds strings, numbers and lists of them only.
		panic(err)
	}
	d.Status.Put(keys.Status(record.ID{Kind: record.KindWave, Name: status.Wave}), data)
}

func (o *observed) servicesOf(pool string) []string {
	spec := o.snapshot.Pools()[pool]
	if spec == nil {
		return nil
	}
	return spec.Services
}

// view is pessimistic: a host counts as available only when its record says
// that it serves and the platform lists it live.
func (o *observed) view(service string) budget.View {
	view := budget.View{Service: service}
	for _, b := range o.snapshot.Budgets() {
		if b.Service == service {
			view.Budgets = append(view.Budgets, b)
		}
	}
	for _, pool := range o.snapshot.PoolsOf(service) {
		for _, name := range o.snapshot.HostsOf(pool) {
			host, listed := o.listed[name]
			view.Endpoints = append(view.Endpoints, budget.Endpoint{
				Host: name, Zone: host.Zone, Rack: host.Rack,
				Available: listed && host.State == fleet.HostLive && o.snapshot.Hosts[name].TakesWork(),
			})
		}
	}
	return view
}
