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

// host is one host's truth and its record.
type host struct {
	fleet.Host
	fate   fate
	record hostrecord.Record
	// known says that the host has a record, version counts its writes.
	known   bool
	version int
	up      bool
	// upAt is when a host that is down comes back; never when it is zero.
	upAt      time.Duration
	boots     int
	lastOp    string
	drainedAt time.Duration
	drained   bool
	// flips are the times at which it went down or came up, for the lag.
	flips []time.Duration
	gone  time.Duration
}

// world is the fakes of one run: virtual time, hosts and their records.
type world struct {
	*scenario
	now    time.Duration
	hosts  []*host
	byName map[string]*host
	spec   record.Wave
	memory memory
	meter  meter
	// operations numbers the operation identities.
	operations int
	lostRack   bool
	stoppedAt  time.Duration
	lasted     mover.ReasonAges
	fewest     *fewest
}

// memory is what a controller process remembers and loses on a fail-over.
type memory struct {
	seen     map[string]seen
	healthy  map[string]time.Duration
	drained  map[string]string
	refusals map[string]string
}

type seen struct {
	version int
	at      time.Duration
}

func newMemory() memory {
	return memory{
		seen: make(map[string]seen), healthy: make(map[string]time.Duration),
		drained: make(map[string]string), refusals: make(map[string]string),
	}
}

func newWorld(s *scenario) *world {
	w := &world{scenario: s, byName: make(map[string]*host), spec: *s.wave, memory: newMemory()}
	for _, listed := range s.hosts {
		w.join(listed, s.fates[listed.Name])
	}
	dealt := s.deal()
	for name, pool := range dealt {
		w.assign(w.byName[name], pool)
	}
	w.fewest = newFewest(dealt)
	w.meter = newMeter(w)
	return w
}

func (w *world) join(listed fleet.Host, f fate) *host {
	h := &host{Host: listed, fate: f, up: true, boots: 1}
	w.hosts = append(w.hosts, h)
	w.byName[h.Name] = h
	return h
}

func (w *world) assign(h *host, pool string) {
	if h.known && h.record.Pool != pool {
		w.meter.doublePool++
	}
	h.known = true
	w.write(h, func(r *hostrecord.Record) {
		*r = hostrecord.Record{Host: h.Name, Pool: pool, Phase: hostrecord.Serving}
	})
}

func (w *world) write(h *host, change func(*hostrecord.Record)) {
	change(&h.record)
	h.version++
}

// pass moves time on and lets happen what happens by itself.
func (w *world) pass(to time.Duration) {
	w.now = to
	for _, h := range w.hosts {
		if !h.up && h.upAt > 0 && h.upAt <= to {
			h.flip(true, h.upAt)
			h.boots++
			h.upAt = 0
		}
		if h.gone > 0 && h.gone+replaceAfter <= to {
			h.gone = 0
			w.replace(h)
		}
	}
	if !w.lostRack && w.faults.rack != "" && to >= w.faults.rackAt {
		w.lostRack = true
		w.loseRack()
	}
}

func (h *host) flip(up bool, at time.Duration) {
	if h.up != up {
		h.up = up
		h.flips = append(h.flips, at)
	}
}

func (w *world) loseRack() {
	back := w.faults.rackAt + w.faults.rackAway
	for _, h := range w.hosts {
		if h.Rack == w.faults.rack {
			h.flip(false, w.now)
			h.upAt = max(h.upAt, back)
			h.drained = false
		}
	}
}

// replace brings a new host in the place of one that is gone for good.
func (w *world) replace(old *host) {
	listed := old.Host
	listed.Name = old.Name + "-new"
	w.join(listed, fate{work: old.fate.work, reboot: old.fate.reboot})
}

// upAgo reports whether the host was up some time ago.
func (w *world) upAgo(h *host, ago time.Duration) bool {
	up := h.up
	for _, at := range slices.Backward(h.flips) {
		if at <= w.now-ago {
			break
		}
		up = !up
	}
	return up
}

// listedLive is the platform's list, which lags.
func (w *world) listedLive(h *host) bool { return w.upAgo(h, w.lag) }

// seemsUp is what the controllers go by: listed live, and well when asked.
func (w *world) seemsUp(h *host) bool { return w.listedLive(h) && w.upAgo(h, conditionAge) }

// available is the pessimistic view that budgets are judged on.
func (w *world) available(h *host) bool { return h.record.TakesWork() && w.seemsUp(h) }

func (h *host) bootID() string { return fmt.Sprintf("boot-%d", h.boots) }

func (w *world) inFlight(h *host) int {
	if !h.up {
		return 0
	}
	n := w.load.inFlight(h.Name)
	if h.drained && w.now < h.drainedAt+h.fate.work {
		n++
	}
	return n
}

// reboot takes the act once for each operation.
func (w *world) reboot(h *host) {
	if !h.up || h.lastOp == h.record.Operation {
		return
	}
	h.lastOp = h.record.Operation
	h.flip(false, w.now)
	h.drained = false
	if h.fate.bad {
		h.gone = w.now
		return
	}
	away := h.fate.reboot
	f := w.faults
	if h.Zone == f.slowZone && w.now >= f.slowFrom && w.now < f.slowTo {
		away *= slowFactor
	}
	h.upAt = w.now + away
}

// serving returns the hosts of a service that truly serve.
func (w *world) serving(service string) []*host {
	var serving []*host
	for _, h := range w.hosts {
		if h.known && h.up && h.record.TakesWork() && slices.Contains(w.servicesOf(h), service) {
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

// view is what a gate knows of a service.
func (w *world) view(service string) budget.ServiceState {
	view := budget.ServiceState{Service: service}
	for _, b := range w.budgets {
		if b.Service == service {
			view.Budgets = append(view.Budgets, b)
		}
	}
	for _, h := range w.hosts {
		if !h.known || !slices.Contains(w.servicesOf(h), service) {
			continue
		}
		view.Endpoints = append(view.Endpoints, budget.Endpoint{
			Host: h.Name, Zone: h.Zone, Rack: h.Rack,
			Available: w.available(h),
		})
	}
	return view
}

// acquire asks the gate for every service of the host.
func (w *world) acquire(h *host) (string, bool) {
	for _, service := range w.servicesOf(h) {
		if decision := budget.Decide(w.view(service), h.Name); !decision.Allowed {
			return decision.Reason, false
		}
	}
	return "", true
}
