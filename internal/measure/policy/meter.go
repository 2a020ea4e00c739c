package policy

import (
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// meter judges a run from the fakes' own record.
type meter struct {
	violations int
	// marginBroken counts acts that left the minimum whole but not the margin.
	marginBroken int
	doublePool   int
	moves        int
	// buffer is in host-hours.
	buffer   float64
	services map[string]*serviceMeter
}

// serviceMeter follows one service through the wave.
type serviceMeter struct {
	budget *record.Budget
	// room is how many of its hosts the budget lets out when all are up.
	room  int
	begun bool
}

func newMeter(w *world) meter {
	m := meter{services: make(map[string]*serviceMeter)}
	members := w.placed()
	for _, b := range w.budgets {
		// One pool a service and one service a pool in every deployment here.
		m.services[b.Service] = &serviceMeter{budget: b, room: w.room(b.Service, members[b.Service])}
	}
	return m
}

// judge looks at the truth right after a host was taken out.
func (m *meter) judge(w *world, taken *host) {
	for _, service := range w.servicesOf(taken) {
		s := m.services[service]
		left := w.serving(service)
		switch {
		case !taken.up:
			// A host that is down serves nobody: taking it out changed nothing.
		case len(left) < s.budget.MinAvailable:
			m.violations++
		case len(left)-worstLoss(left, s.budget.Margin) < s.budget.MinAvailable:
			m.marginBroken++
		}
	}
}

// claim is what a policy keeps of a service's hosts at one moment.
type claim struct{ out, unfinished int }

// measure adds what is held back over a stretch of time. For each service from
// its first host taken out to its last one back:
//
//	held = max(out, min(limit, unfinished)) + reserve
//
// out counts hosts that the wave has out and that still may come back; limit is
// how many the policy may have out of the service at once, unfinished its hosts
// not yet maintained or given up, and reserve the hosts that the worst single
// loss named in the budget would take.
func (m *meter) measure(w *world, limit func(service string, room int) int, passed time.Duration) {
	for service, c := range m.claims(w) {
		s := m.services[service]
		s.begun = s.begun || c.out > 0
		if !s.begun || c.unfinished == 0 {
			continue
		}
		held := max(c.out, min(limit(service, s.room), c.unfinished))
		held += worstLoss(w.serving(service), s.budget.Margin)
		m.buffer += float64(held) * passed.Hours()
	}
}

func (m *meter) claims(w *world) map[string]*claim {
	claims := make(map[string]*claim)
	for _, h := range w.hosts {
		_, visited := h.record.WaveOutcomes[waveName]
		if !h.known || (visited && h.record.Wave == "") || h.record.Phase == hostrecord.Failed {
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
