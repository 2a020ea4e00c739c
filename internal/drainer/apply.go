package drainer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

// isStartingHost reports whether the wave is currently taking a host out.
func (d *Drainer) isStartingHost(waveName string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, state := range d.hosts {
		if state.startingFor == waveName {
			return true
		}
	}
	return false
}

// startStep applies a step in the background. It skips the step if another one is
// in progress for the host or too many are in progress overall; the next reconcile
// plans it again.
func (d *Drainer) startStep(ctx context.Context, o *observation, waveName string, step wave.Step) {
	if !d.markBusy(waveName, step) {
		return
	}
	select {
	case d.stepSlots <- struct{}{}:
	default:
		d.clearBusy(step.Host)
		return
	}
	d.inProgress.Go(func() {
		defer func() {
			<-d.stepSlots
			d.clearBusy(step.Host)
		}()
		if d.applyStep(ctx, o, waveName, step) == nil {
			d.trigger()
		}
	})
}

// markBusy records that a step is in progress for its host. It returns false if one
// already is.
func (d *Drainer) markBusy(waveName string, step wave.Step) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.stateOf(step.Host)
	if state.busy {
		return false
	}
	state.busy = true
	if step.Verb == wave.MarkDraining {
		state.startingFor = waveName
	}
	return true
}

func (d *Drainer) clearBusy(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.stateOf(host)
	state.busy, state.startingFor = false, ""
}

// applyStep applies a step, and logs and returns its error. A failed step is retried
// after the next interval.
func (d *Drainer) applyStep(ctx context.Context, o *observation, waveName string, step wave.Step) error {
	err := d.runStep(ctx, o, waveName, step, o.Records[step.Host])
	if errors.HasType(err, (*fleet.StaleOperationError)(nil)) {
		err = d.finishEndedOperation(ctx, o, waveName, o.Records[step.Host])
	}
	var refused *budget.RefusedError
	reason := ""
	if errors.As(err, &refused) {
		reason = refused.Reason
	}
	d.recordRefusal(step.Host, reason)
	switch {
	case refused != nil:
		d.metrics.refusals.Inc()
	case store.IsConflict(err), errors.HasType(err, (*NotOwnedError)(nil)):
		// Another controller is handling the host; the next reconcile observes it.
	case err != nil:
		d.Log.Warn().Err(err).Str("host", step.Host).Str("verb", string(step.Verb)).Msg("Maintenance step failed; retrying on a later reconcile.")
	default:
		d.metrics.steps.WithLabelValues(string(step.Verb)).Inc()
		d.Log.Info().Str("host", step.Host).Str("wave", waveName).Str("verb", string(step.Verb)).
			Str("reason", step.Reason).Msg("Maintenance step applied.")
	}
	return err
}

// recordRefusal records why the host was refused; an empty reason clears it.
func (d *Drainer) recordRefusal(host, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stateOf(host).refusal = reason
}

func (d *Drainer) runStep(ctx context.Context, o *observation, waveName string, step wave.Step, item configstate.HostRecord) error {
	switch step.Verb {
	case wave.MarkDraining:
		return d.startDrain(ctx, o, waveName, step, item)
	case wave.DrainHost:
		return d.drain(ctx, waveName, item)
	case wave.Reboot:
		return d.reboot(ctx, o, waveName, item)
	case wave.VerifyHealth:
		d.prober.Forget(item.Host)
		_, err := d.writeIfOwned(ctx, waveName, item, func(r *hostrecord.Record) { r.Phase = hostrecord.Verifying })
		return err
	case wave.ReturnToService:
		return d.returnToService(ctx, o, waveName, step, item)
	case wave.MarkFailed:
		_, err := d.writeIfOwned(ctx, waveName, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Failed
			r.WaveOutcomes = withOutcome(r, step.Outcome)
		})
		return err
	}
	return nil
}

// startDrain acquires the grants before it writes the intent, so that a host is
// never marked out without its grants.
func (d *Drainer) startDrain(ctx context.Context, o *observation, waveName string, step wave.Step, item configstate.HostRecord) error {
	if err := d.mayStart(o, item); err != nil {
		return err
	}
	operation := uuid.NewString()
	grant := budget.Grant{Operation: operation, Wave: waveName, Requester: d.Member}
	services := o.ServicesOf(item.Pool)
	if err := d.Grants.Acquire(ctx, item.Host, grant, services, o.ServiceState); err != nil {
		return err
	}
	err := d.mayStart(o, item)
	if err == nil {
		_, err = d.writeIfOwned(ctx, waveName, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Draining
			r.Wave = waveName
			r.Operation = operation
			r.GrantedServices = services
			r.OutSince = time.Now().UTC()
			r.AlreadyDown = step.AlreadyDown
		})
	}
	if err == nil || store.IsUnknownOutcome(err) {
		// After an unknown outcome the sweep decides: it fences the record
		// before it releases a grant.
		return err
	}
	for _, service := range services {
		if releaseErr := d.Grants.Release(ctx, service, item.Host, operation); releaseErr != nil {
			return errors.CombineErrors(err, releaseErr)
		}
	}
	return err
}

// mayStart returns an error if a host must not be taken out now. The observation may
// be too old: a controller that was paused after observing would act on outdated
// state. Also, two visits of a host must be separated by fleet.MaxActionDelay, in
// which a delayed request of the earlier visit may still arrive; not all platforms
// reject it.
func (d *Drainer) mayStart(o *observation, item configstate.HostRecord) error {
	if time.Since(o.at) > maxDecisionAge || time.Since(o.listedAt) > maxDecisionAge {
		return &StaleDecisionError{Host: item.Host, Age: time.Since(o.at)}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.stateOf(item.Host); item.LastOperation != "" && time.Since(state.revisionSeenAt) < fleet.MaxActionDelay {
		return &budget.RefusedError{Host: item.Host, Reason: "its last visit ended a moment ago"}
	}
	return nil
}

func (d *Drainer) drain(ctx context.Context, waveName string, item configstate.HostRecord) error {
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	if err := d.HostControl.Drain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.stateOf(item.Host)
	state.drainOperation, state.changedAt = item.Operation, time.Now()
	return nil
}

// reboot records the current boot ID and then requests the reboot. If the process
// terminates in between or the response is lost, the next reconcile requests it
// again. The operation ID makes the request idempotent on the platform.
func (d *Drainer) reboot(ctx context.Context, o *observation, waveName string, item configstate.HostRecord) error {
	condition, known := o.Conditions[item.Host]
	retry := item.Phase == hostrecord.Rebooting
	restarted := known && condition.Reachable && condition.BootID != item.BootID
	if !retry || restarted {
		// A host that restarted by itself in the meantime has a new boot ID. If it
		// were not recorded, that boot would be taken for the requested reboot.
		_, err := d.writeIfOwned(ctx, waveName, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Rebooting
			r.BootID = condition.BootID
		})
		if err != nil {
			return err
		}
	}
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	if known && condition.LastOperation == item.Operation {
		return nil
	}
	if !retry && d.drainRequestedUnder(item) {
		return d.HostControl.Reboot(ctx, item.Host, item.Operation)
	}
	// The platform may have no record of the drain: the host was unreachable until
	// its deadline, another controller requested the drain, or a restart of the
	// platform lost it. The platform only accepts a reboot after its drain.
	if err := d.HostControl.Drain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	return d.HostControl.Reboot(ctx, item.Host, item.Operation)
}

func (d *Drainer) drainRequestedUnder(item configstate.HostRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateOf(item.Host).drainOperation == item.Operation
}

// returnToService marks the host as serving before it releases the grants. In
// between, the budget only counts one host too many as out, which is safe.
func (d *Drainer) returnToService(ctx context.Context, o *observation, waveName string, step wave.Step, item configstate.HostRecord) error {
	if err := d.mayReturn(o, item); err != nil {
		return err
	}
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	return d.endVisit(ctx, o, waveName, step.Outcome, item)
}

// finishEndedOperation completes a visit whose operation has already ended on the
// platform, because the host was undrained but its record was not written. The
// platform rejects all further requests of the operation, so the host would
// otherwise stay out forever.
func (d *Drainer) finishEndedOperation(ctx context.Context, o *observation, waveName string, item configstate.HostRecord) error {
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	return d.endVisit(ctx, o, waveName, nil, item)
}

func (d *Drainer) endVisit(ctx context.Context, o *observation, waveName string, visit *hostrecord.WaveOutcome, item configstate.HostRecord) error {
	if err := d.HostControl.Undrain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	services := grantedServices(o, item)
	returnRevision, err := d.writeIfOwned(ctx, waveName, item, func(r *hostrecord.Record) {
		r.WaveOutcomes = withOutcome(r, visit)
		// A host that returns before its reboot may still have requests of its old
		// pool in flight, so its move has to wait for another drain.
		if r.NextPool != "" && r.Phase != hostrecord.Draining {
			r.Pool, r.NextPool = d.poolOnReturn(r), ""
		}
		r.LastOperation = r.Operation
		r.Phase, r.Wave, r.Operation, r.BootID = hostrecord.Serving, "", "", ""
		r.GrantedServices, r.OutSince, r.AlreadyDown = nil, time.Time{}, false
	})
	if err != nil {
		return err
	}
	return d.releaseGrants(ctx, item, services, returnRevision)
}

// poolOnReturn returns the pool of a host that returns with NextPool set. If
// operators removed that pool while the host was out, the host stays in its old
// pool, as the mover counts it: in the removed pool it would serve nobody, while
// the old pool may need it. If the old pool was removed too, the host is in no
// configured pool and the mover can assign it to any.
func (d *Drainer) poolOnReturn(r *hostrecord.Record) string {
	if d.Feed.Snapshot().Pools()[r.NextPool] == nil {
		return r.Pool
	}
	return r.NextPool
}

// releaseGrants releases the grants of a host that serves again as of the record
// revision returned. The sweep releases the grants for which this fails.
func (d *Drainer) releaseGrants(ctx context.Context, item configstate.HostRecord, services []string, returnRevision store.Revision) error {
	for _, service := range services {
		if err := d.Grants.ReleaseAfter(ctx, service, item.Host, item.Operation, returnRevision); err != nil {
			return err
		}
	}
	return nil
}

// grantedServices returns the services in which the visit holds grants. Records
// without this list, from older versions, fall back to the services of the pool.
func grantedServices(o *observation, item configstate.HostRecord) []string {
	if item.GrantedServices != nil {
		return item.GrantedServices
	}
	return o.ServicesOf(item.Pool)
}
