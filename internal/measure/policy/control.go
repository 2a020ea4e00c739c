package policy

import (
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

// maxConditionAge is the maximum age of the condition of a serving host when the
// drainer checks a budget against it. The host list alone lags by up to a minute
// here.
const maxConditionAge = 3 * time.Second

// waveName is the name of the only wave of a run.
const waveName = "kernel"

// snapshot returns the snapshot from which a policy plans.
func (w *world) snapshot() wave.Snapshot {
	input := wave.Input{Name: waveName, Spec: &w.spec}
	var budgetHosts []budget.Host
	for _, h := range w.hosts {
		if !h.hasRecord {
			continue
		}
		budgetHosts = append(budgetHosts, budget.Host{
			Name: h.Name, Zone: h.Zone, Rack: h.Rack, Services: w.servicesOf(h),
			Available: w.available(h),
		})
		if slices.Contains(w.spec.Pools, h.record.Pool) {
			input.Hosts = append(input.Hosts, w.observe(h))
		}
	}
	return wave.Snapshot{
		Waves: []wave.Input{input}, Budgets: budget.NewTracker(w.budgets, budgetHosts), Policy: w.policy, Now: epoch.Add(w.now),
	}
}

// epoch is the wall clock at virtual time zero.
var epoch = time.Date(2026, time.December, 2, 20, 0, 0, 0, time.UTC)

// observe returns the state of a host as the controller sees it.
func (w *world) observe(h *host) wave.Host {
	if w.controller.observed[h.Name].version != h.version {
		w.controller.observed[h.Name] = observation{version: h.version, at: w.now}
	}
	if !h.up {
		delete(w.controller.healthy, h.Name)
	} else if _, ok := w.controller.healthy[h.Name]; !ok {
		w.controller.healthy[h.Name] = w.now
	}
	observed := wave.Host{
		Name: h.Name, Zone: h.Zone, Rack: h.Rack, Record: h.record,
		PhaseAge: w.now - w.controller.observed[h.Name].at, RecordConfirmed: true, Down: !w.reportedUp(h),
		DrainRequested: h.record.Operation != "" && w.controller.drained[h.Name] == h.record.Operation,
		Refusal:        w.controller.refusals[h.Name],
	}
	if h.up {
		observed.Reachable, observed.Healthy = true, true
		observed.BootID, observed.LastOperation, observed.InFlight = h.bootID(), h.lastOp, w.inFlight(h)
		observed.HealthyFor = w.now - w.controller.healthy[h.Name]
	}
	return observed
}

// apply executes one step as the drainer does.
func (w *world) apply(step wave.Step) {
	h := w.byName[step.Host]
	switch step.Verb {
	case wave.MarkDraining:
		w.startDrain(h, step)
	case wave.DrainHost:
		if h.up {
			h.drained, h.drainedAt = true, w.now
			w.controller.drained[h.Name] = h.record.Operation
		}
	case wave.Reboot:
		if h.record.Phase != hostrecord.Rebooting {
			w.write(h, func(r *hostrecord.Record) {
				r.Phase = hostrecord.Rebooting
				r.BootID = ""
				if h.up {
					r.BootID = h.bootID()
				}
			})
		}
		w.reboot(h)
	case wave.VerifyHealth:
		delete(w.controller.healthy, h.Name)
		w.write(h, func(r *hostrecord.Record) { r.Phase = hostrecord.Verifying })
	case wave.ReturnToService:
		w.returnToService(h, step)
	case wave.MarkFailed:
		w.write(h, func(r *hostrecord.Record) {
			r.Phase = hostrecord.Failed
			r.WaveOutcomes = map[string]hostrecord.WaveOutcome{waveName: *step.Outcome}
		})
	}
}

func (w *world) startDrain(h *host, step wave.Step) {
	if reason, ok := w.checkBudgets(h); !ok {
		w.controller.refusals[h.Name] = reason
		return
	}
	delete(w.controller.refusals, h.Name)
	w.operations++
	w.write(h, func(r *hostrecord.Record) {
		r.Phase, r.Wave, r.Operation = hostrecord.Draining, waveName, fmt.Sprintf("op-%d", w.operations)
		r.OutSince, r.AlreadyDown = epoch.Add(w.now), step.AlreadyDown
	})
	w.meter.check(w, h)
}

func (w *world) returnToService(h *host, step wave.Step) {
	h.drained = false
	w.write(h, func(r *hostrecord.Record) {
		if step.Outcome != nil {
			r.WaveOutcomes = map[string]hostrecord.WaveOutcome{waveName: *step.Outcome}
		}
		if r.NextPool != "" {
			w.meter.moves++
			r.Pool, r.NextPool = r.NextPool, ""
		}
		r.Phase, r.Wave, r.Operation, r.BootID = hostrecord.Serving, "", "", ""
		r.OutSince, r.AlreadyDown = time.Time{}, false
	})
}

// controllerDown reports whether no controller is running now.
func (w *world) controllerDown() bool {
	for _, at := range w.faults.failovers {
		if w.now >= at && w.now < at+failoverTime {
			w.controller = newControllerState()
			return true
		}
	}
	for _, at := range w.faults.outages {
		if w.now >= at && w.now < at+outageTime {
			return true
		}
	}
	return false
}

// runOperators simulates the operators: they resize two pools, and resume a stopped
// wave after operatorDelay.
func (w *world) runOperators(status wave.Status) {
	if w.resizeFrom != "" && w.now >= resizeAt {
		w.resizeNow()
	}
	if status.Phase != wave.Stopped {
		w.stoppedAt = 0
		return
	}
	if w.stoppedAt == 0 {
		w.stoppedAt = w.now
	}
	if w.now-w.stoppedAt >= operatorDelay {
		w.spec.ResumeGeneration++
		w.stoppedAt = 0
	}
}

// operatorDelay is how long operators take to resume a stopped wave.
const operatorDelay = 10 * time.Minute

func (w *world) resizeNow() {
	pools := make(map[string]*record.Pool, len(w.pools))
	for name, pool := range w.pools {
		resized := *pool
		pools[name] = &resized
	}
	pools[w.resizeFrom].Size--
	pools[w.resizeTo].Size++
	w.pools = pools
	w.resizeFrom = ""
}
