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

// starting reports whether the wave is taking a host out right now.
func (d *Drainer) starting(waveName string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.hosts {
		if m.starting == waveName {
			return true
		}
	}
	return false
}

// start applies a step in the background, unless one is under way for the host
// or too many are. It is planned again in the next round.
func (d *Drainer) start(ctx context.Context, o *observed, waveName string, step wave.Step) {
	if !d.begin(waveName, step) {
		return
	}
	select {
	case d.slots <- struct{}{}:
	default:
		d.ended(step.Host)
		return
	}
	d.acting.Go(func() {
		defer func() {
			<-d.slots
			d.ended(step.Host)
		}()
		if d.applyOne(ctx, o, waveName, step) == nil {
			d.signal()
		}
	})
}

// begin notes that a step is under way for its host, and reports false if one
// was already.
func (d *Drainer) begin(waveName string, step wave.Step) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memoryOf(step.Host)
	if m.busy {
		return false
	}
	m.busy = true
	if step.Verb == wave.MarkDraining {
		m.starting = waveName
	}
	return true
}

func (d *Drainer) ended(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memoryOf(host)
	m.busy, m.starting = false, ""
}

// applyOne returns the step's error, which it has dealt with: what failed waits
// for the next interval.
func (d *Drainer) applyOne(ctx context.Context, o *observed, waveName string, step wave.Step) error {
	err := d.step(ctx, o, waveName, step, o.Records[step.Host])
	if errors.HasType(err, (*fleet.StaleOperationError)(nil)) {
		err = d.finishEnded(ctx, o, waveName, o.Records[step.Host])
	}
	var refused *budget.RefusedError
	reason := ""
	if errors.As(err, &refused) {
		reason = refused.Reason
	}
	d.noteRefusal(step.Host, reason)
	switch {
	case refused != nil:
		d.metrics.refused.Inc()
	case store.IsConflict(err), errors.HasType(err, (*NotHeldError)(nil)):
		// Someone else goes on with the host; the next round observes it.
	case err != nil:
		d.Log.Warn().Err(err).Str("host", step.Host).Str("verb", string(step.Verb)).Msg("Step not applied.")
	default:
		d.metrics.steps.WithLabelValues(string(step.Verb)).Inc()
		d.Log.Info().Str("host", step.Host).Str("wave", waveName).Str("verb", string(step.Verb)).
			Str("reason", step.Reason).Msg("Step applied.")
	}
	return err
}

// noteRefusal keeps why the host was refused, empty if it wasn't.
func (d *Drainer) noteRefusal(host, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memoryOf(host).refusal = reason
}

func (d *Drainer) step(ctx context.Context, o *observed, waveName string, step wave.Step, item configstate.HostRecord) error {
	switch step.Verb {
	case wave.MarkDraining:
		return d.startDrain(ctx, o, waveName, step, item)
	case wave.DrainHost:
		return d.drain(ctx, waveName, item)
	case wave.Reboot:
		return d.reboot(ctx, o, waveName, item)
	case wave.VerifyHealth:
		d.asker.Forget(item.Host)
		_, err := d.write(ctx, waveName, item, func(r *hostrecord.Record) { r.Phase = hostrecord.Verifying })
		return err
	case wave.ReturnToService:
		return d.putBack(ctx, o, waveName, step, item)
	case wave.MarkFailed:
		_, err := d.write(ctx, waveName, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Failed
			r.WaveOutcomes = visited(r, step.Visit)
		})
		return err
	}
	return nil
}

// startDrain takes the grants first and writes the intent second: a host is
// never marked out without its budget.
func (d *Drainer) startDrain(ctx context.Context, o *observed, waveName string, step wave.Step, item configstate.HostRecord) error {
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
		_, err = d.write(ctx, waveName, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Draining
			r.Wave = waveName
			r.Operation = operation
			r.GrantedServices = services
			r.OutSince = time.Now().UTC()
			r.AlreadyDown = step.AlreadyDown
		})
	}
	if err == nil || store.IsUnknownOutcome(err) {
		// Of an unknown outcome the sweep finds out: it fences the record
		// before it gives a grant back.
		return err
	}
	for _, service := range services {
		if releaseErr := d.Grants.Release(ctx, service, item.Host, operation); releaseErr != nil {
			return errors.CombineErrors(err, releaseErr)
		}
	}
	return err
}

// mayStart refuses to take a host out on an old view: a controller that was
// paused while it decided would act on a fleet that is no longer there. It also
// keeps two visits apart by the time that an act of the earlier one may still
// be on its way, for platforms that don't refuse it.
func (d *Drainer) mayStart(o *observed, item configstate.HostRecord) error {
	if time.Since(o.at) > decisionAge || time.Since(o.listed) > decisionAge {
		return &StaleDecisionError{Host: item.Host, Age: time.Since(o.at)}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.memoryOf(item.Host); item.LastOperation != "" && time.Since(m.at) < fleet.MaxActionDelay {
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
	m := d.memoryOf(item.Host)
	m.drained, m.changed = item.Operation, time.Now()
	return nil
}

// reboot writes the boot seen before, then acts. Should the process end in
// between, or its answer be lost, the next round finds the phase and acts
// again: the operation identity makes the platform take it once.
func (d *Drainer) reboot(ctx context.Context, o *observed, waveName string, item configstate.HostRecord) error {
	state, known := o.Conditions[item.Host]
	again := item.Phase == hostrecord.Rebooting
	moved := known && state.Reachable && state.BootID != item.BootID
	if !again || moved {
		// A host that restarted by itself since has another boot: without the
		// new one on record, that boot would pass for our reboot's.
		_, err := d.write(ctx, waveName, item, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Rebooting
			r.BootID = state.BootID
		})
		if err != nil {
			return err
		}
	}
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	if known && state.LastOperation == item.Operation {
		return nil
	}
	if !again && d.drainedUnder(item) {
		return d.HostControl.Reboot(ctx, item.Host, item.Operation)
	}
	// The platform may not know of the drain: the host couldn't be reached
	// before its deadline, or another controller asked, or a restart of the
	// platform lost it. A reboot is only taken after its drain.
	if err := d.HostControl.Drain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	return d.HostControl.Reboot(ctx, item.Host, item.Operation)
}

func (d *Drainer) drainedUnder(item configstate.HostRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.memoryOf(item.Host).drained == item.Operation
}

// putBack writes the host back to work before it gives the grants back: in
// between the budget is only the more cautious.
func (d *Drainer) putBack(ctx context.Context, o *observed, waveName string, step wave.Step, item configstate.HostRecord) error {
	if err := d.mayReturn(o, item); err != nil {
		return err
	}
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	return d.endVisit(ctx, o, waveName, step.Visit, item)
}

// finishEnded ends a visit whose operation has ended at the platform: a return
// was begun there and never written. Nothing can be done under the operation
// any more, so that without this the host would stay out for ever.
func (d *Drainer) finishEnded(ctx context.Context, o *observed, waveName string, item configstate.HostRecord) error {
	if err := d.mayAct(ctx, waveName, item); err != nil {
		return err
	}
	return d.endVisit(ctx, o, waveName, nil, item)
}

func (d *Drainer) endVisit(ctx context.Context, o *observed, waveName string, visit *hostrecord.WaveOutcome, item configstate.HostRecord) error {
	if err := d.HostControl.Undrain(ctx, item.Host, item.Operation); err != nil {
		return err
	}
	services := granted(o, item)
	returned, err := d.write(ctx, waveName, item, func(r *hostrecord.Record) {
		r.WaveOutcomes = visited(r, visit)
		// A host that is put back before its reboot may still have its old
		// pool's work in flight: its move waits for another drain.
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
	return d.giveBack(ctx, item, services, returned)
}

// poolOnReturn is the pool that a host bound for another one comes back to. The
// operators may have removed that one while the host was out: in it the host
// would serve nobody, although the pool it came from may lack it. So it stays
// where it was, as the mover's count has it. Should that pool be gone too, the
// host is in none that is in force, and the mover may give it to any.
func (d *Drainer) poolOnReturn(r *hostrecord.Record) string {
	if d.Feed.Snapshot().Pools()[r.NextPool] == nil {
		return r.Pool
	}
	return r.NextPool
}

// giveBack releases the grants of a host that serves again since its record's
// revision returned. What it can't release the sweep will.
func (d *Drainer) giveBack(ctx context.Context, item configstate.HostRecord, services []string, returned store.Revision) error {
	for _, service := range services {
		if err := d.Grants.ReleaseAfter(ctx, service, item.Host, item.Operation, returned); err != nil {
			return err
		}
	}
	return nil
}

// granted are the services in whose ledgers the visit holds grants; records
// written before they were kept there fall back on the pool's.
func granted(o *observed, item configstate.HostRecord) []string {
	if item.GrantedServices != nil {
		return item.GrantedServices
	}
	return o.ServicesOf(item.Pool)
}
