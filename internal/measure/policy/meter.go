package policy

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// meter checks and measures a run from the records of the simulation.
type meter struct {
	violations int
	// marginViolations is the number of steps that kept the minimum of available hosts
	// but not the margin.
	marginViolations int
	doublePool       int
	moves            int
	// buffer is the buffer cost in host-hours.
	buffer   float64
	services map[string]*serviceMeter
}

// serviceMeter is the state of one service during the wave.
type serviceMeter struct {
	budget *record.Budget
	// maxOut is how many of its hosts the budget allows out when all are up.
	maxOut  int
	started bool
}

func newMeter(w *world) meter {
	m := meter{services: make(map[string]*serviceMeter)}
	members := w.hostsByPool()
	for _, b := range w.budgets {
		// Every deployment here has one pool per service and one service per pool.
		m.services[b.Service] = &serviceMeter{budget: b, maxOut: w.maxOut(b.Service, members[b.Service])}
	}
	return m
}

// check checks the budgets against the actual state after a host was taken out of
// service.
func (m *meter) check(w *world, taken *host) {
	for _, service := range w.servicesOf(taken) {
		s := m.services[service]
		left := w.serving(service)
		switch {
		case !taken.up:
			// The host was down, so taking it out didn't change availability.
		case len(left) < s.budget.MinAvailable:
			m.violations++
		case len(left)-worstLoss(left, s.budget.Margin) < s.budget.MinAvailable:
			m.marginViolations++
		}
	}
}

// claim is the number of hosts of a service that the wave has out of service, and
// that it has yet to finish.
type claim struct{ out, unfinished int }

// measure adds the buffer cost of an interval. For each service, from the time its
// first host is taken out until its last one is back:
//
//	held = max(out, min(limit, unfinished)) + reserve
//
// out is the number of hosts that the wave has out of service and that may still
// come back; limit is the maximum number that the policy has out of the service at
// once; unfinished is the number of its hosts not yet maintained or marked failed;
// reserve is the number of hosts that the worst single failure in the margin of the
// budget takes.
func (m *meter) measure(w *world, limit func(service string, room int) int, passed time.Duration) {
	for service, c := range m.claims(w) {
		s := m.services[service]
		s.started = s.started || c.out > 0
		if !s.started || c.unfinished == 0 {
			continue
		}
		held := max(c.out, min(limit(service, s.maxOut), c.unfinished))
		held += worstLoss(w.serving(service), s.budget.Margin)
		m.buffer += float64(held) * passed.Hours()
	}
}

func (m *meter) claims(w *world) map[string]*claim {
	claims := make(map[string]*claim)
	for _, h := range w.hosts {
		_, visited := h.record.WaveOutcomes[waveName]
		if !h.hasRecord || (visited && h.record.Wave == "") || h.record.Phase == hostrecord.Failed {
			continue
		}
		for _, service := range w.servicesOf(h) {
			c := claims[service]
			if c == nil {
				c = &claim{}
				claims[service] = c
			}
			c.unfinished++
			if h.record.Wave == waveName {
				c.out++
			}
		}
	}
	return claims
}
