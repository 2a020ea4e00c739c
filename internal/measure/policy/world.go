package policy

import (
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
	"auburnglade.example/glade/internal/record"
)

// host is a host with its actual state and its record.
type host struct {
	fleet.Host
	behavior hostBehavior
	record   hostrecord.Record
	// hasRecord reports whether the host has a record, version is the number of its
	// writes.
	hasRecord bool
	version   int
	up        bool
	// upAt is when a host that is down comes back; zero if it never does.
	upAt      time.Duration
	boots     int
	lastOp    string
	drainedAt time.Duration
	drained   bool
	// transitions are the times at which the host went down or came up, from which
	// the lagging host list is computed.
	transitions []time.Duration
	lostAt      time.Duration
}

// world is the simulation of one run: virtual time, hosts and their records.
type world struct {
	*scenario
	now        time.Duration
	hosts      []*host
	byName     map[string]*host
	spec       record.Wave
	controller controllerState
	meter      meter
	// operations is the number of operation IDs assigned.
	operations int
	lostRack   bool
	stoppedAt  time.Duration
	reasonAges mover.ReasonAges
	moveBound  *moveBound
}

// controllerState is the in-memory state of a controller process, lost on a failover.
type controllerState struct {
	observed map[string]observation
	healthy  map[string]time.Duration
	drained  map[string]string
	refusals map[string]string
}

type observation struct {
	version int
	at      time.Duration
}

func newControllerState() controllerState {
	return controllerState{
		observed: make(map[string]observation), healthy: make(map[string]time.Duration),
		drained: make(map[string]string), refusals: make(map[string]string),
	}
}

func newWorld(s *scenario) *world {
	w := &world{scenario: s, byName: make(map[string]*host), spec: *s.wave, controller: newControllerState()}
	for _, listed := range s.hosts {
		w.addHost(listed, s.behaviors[listed.Name])
	}
	pools := s.initialPools()
	for name, pool := range pools {
		w.assign(w.byName[name], pool)
	}
	w.moveBound = newMoveBound(pools)
	w.meter = newMeter(w)
	return w
}

func (w *world) addHost(listed fleet.Host, f hostBehavior) *host {
	h := &host{Host: listed, behavior: f, up: true, boots: 1}
	w.hosts = append(w.hosts, h)
	w.byName[h.Name] = h
	return h
}

func (w *world) assign(h *host, pool string) {
	if h.hasRecord && h.record.Pool != pool {
		w.meter.doublePool++
	}
	h.hasRecord = true
	w.write(h, func(r *hostrecord.Record) {
		*r = hostrecord.Record{Host: h.Name, Pool: pool, Phase: hostrecord.Serving}
	})
}

func (w *world) write(h *host, change func(*hostrecord.Record)) {
	change(&h.record)
	h.version++
}

// advance sets the current time and applies the events until then.
func (w *world) advance(to time.Duration) {
	w.now = to
	for _, h := range w.hosts {
		if !h.up && h.upAt > 0 && h.upAt <= to {
			h.setUp(true, h.upAt)
			h.boots++
			h.upAt = 0
		}
		if h.lostAt > 0 && h.lostAt+replacementDelay <= to {
			h.lostAt = 0
			w.replace(h)
		}
	}
	if !w.lostRack && w.faults.rack != "" && to >= w.faults.rackAt {
		w.lostRack = true
		w.failRack()
	}
}

func (h *host) setUp(up bool, at time.Duration) {
	if h.up != up {
		h.up = up
		h.transitions = append(h.transitions, at)
	}
}

func (w *world) failRack() {
	back := w.faults.rackAt + w.faults.rackOutage
	for _, h := range w.hosts {
		if h.Rack == w.faults.rack {
			h.setUp(false, w.now)
			h.upAt = max(h.upAt, back)
			h.drained = false
		}
	}
}

// replace adds a new host in place of one that never came back.
func (w *world) replace(old *host) {
	listed := old.Host
	listed.Name = old.Name + "-new"
	w.addHost(listed, hostBehavior{drainTime: old.behavior.drainTime, rebootTime: old.behavior.rebootTime})
}

// wasUp reports whether the host was up at the given time before now.
func (w *world) wasUp(h *host, ago time.Duration) bool {
	up := h.up
	for _, at := range slices.Backward(h.transitions) {
		if at <= w.now-ago {
			break
		}
		up = !up
	}
	return up
}

// listedLive reports whether the platform's list, which lags, shows the host as
// live.
func (w *world) listedLive(h *host) bool { return w.wasUp(h, w.listLag) }

// reportedUp reports whether the controllers consider the host up: listed as live,
// and healthy when last probed.
func (w *world) reportedUp(h *host) bool { return w.listedLive(h) && w.wasUp(h, maxConditionAge) }

// available reports whether budgets count the host as available. The view is
// pessimistic.
func (w *world) available(h *host) bool { return h.record.Schedulable() && w.reportedUp(h) }

func (h *host) bootID() string { return fmt.Sprintf("boot-%d", h.boots) }

func (w *world) inFlight(h *host) int {
	if !h.up {
		return 0
	}
	n := w.load.inFlight(h.Name)
	if h.drained && w.now < h.drainedAt+h.behavior.drainTime {
		n++
	}
	return n
}

// reboot reboots a host, once per operation.
func (w *world) reboot(h *host) {
	if !h.up || h.lastOp == h.record.Operation {
		return
	}
	h.lastOp = h.record.Operation
	h.setUp(false, w.now)
	h.drained = false
	if h.behavior.neverReturns {
		h.lostAt = w.now
		return
	}
	rebootTime := h.behavior.rebootTime
	f := w.faults
	if h.Zone == f.slowZone && w.now >= f.slowFrom && w.now < f.slowTo {
		rebootTime *= slowFactor
	}
	h.upAt = w.now + rebootTime
}

// serving returns the hosts of a service that are actually serving.
func (w *world) serving(service string) []*host {
	var serving []*host
	for _, h := range w.hosts {
		if h.hasRecord && h.up && h.record.Schedulable() && slices.Contains(w.servicesOf(h), service) {
			serving = append(serving, h)
		}
	}
	return serving
}

func (w *world) servicesOf(h *host) []string {
	pool := w.pools[h.record.Pool]
	if pool == nil {
		return nil
	}
	return pool.Services
}

// serviceState returns the state of a service as the grant store sees it.
func (w *world) serviceState(service string) budget.ServiceState {
	state := budget.ServiceState{Service: service}
	for _, b := range w.budgets {
		if b.Service == service {
			state.Budgets = append(state.Budgets, b)
		}
	}
	for _, h := range w.hosts {
		if !h.hasRecord || !slices.Contains(w.servicesOf(h), service) {
			continue
		}
		state.Endpoints = append(state.Endpoints, budget.Endpoint{
			Host: h.Name, Zone: h.Zone, Rack: h.Rack,
			Available: w.available(h),
		})
	}
	return state
}

// checkBudgets reports whether the budgets of all services of the host allow taking
// it out. If not, it returns the reason.
func (w *world) checkBudgets(h *host) (string, bool) {
	for _, service := range w.servicesOf(h) {
		if decision := budget.Decide(w.serviceState(service), h.Name); !decision.Allowed {
			return decision.Reason, false
		}
	}
	return "", true
}
