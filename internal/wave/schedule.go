package wave

import (
	"cmp"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
)

// PlanOne plans one wave without budgets: only the grant store enforces them.
func PlanOne(input Input) Plan {
	return PlanAll(Snapshot{Waves: []Input{input}})[0]
}

// PlanAll plans all waves against one budget tracker and returns the plans in
// the order of fleet.Waves. Waves over the same services share their headroom:
// the wave with the fewest hosts out comes first, then the one that has completed
// the fewest. A wave that cannot start any host reserves the budget for its next
// one, so that no wave starves. Waves cannot deadlock: a host acquires all its
// grants or none, so no wave waits while it holds a grant that another needs.
func PlanAll(fleet Snapshot) []Plan {
	if fleet.Budgets == nil {
		fleet.Budgets = budget.NewTracker(nil, nil)
	}
	s := &schedule{fleet: fleet}
	for _, input := range fleet.Waves {
		s.planners = append(s.planners, newPlanner(input, fleet))
	}
	for _, p := range s.planners {
		p.computeLimits()
		p.startDown()
	}
	s.distribute()
	plans := make([]Plan, len(s.planners))
	for i, p := range s.planners {
		s.markBlocked(p)
		p.advance(p.onlyDownHostsLeft())
		p.fillStatus()
		plans[i] = Plan{Steps: p.steps, Status: p.status}
	}
	return plans
}

// schedule distributes the budgets' headroom among the waves.
type schedule struct {
	fleet    Snapshot
	planners []*planner
}

// distribute lets the waves take out hosts round-robin.
func (s *schedule) distribute() {
	order := slices.Clone(s.planners)
	slices.SortFunc(order, func(a, b *planner) int {
		return cmp.Or(cmp.Compare(a.out, b.out), cmp.Compare(a.completed(), b.completed()), cmp.Compare(a.input.Name, b.input.Name))
	})
	for started := true; started; {
		started = false
		for _, p := range order {
			if p.mayStart() {
				p.startNext()
				started = started || !p.exhausted
			}
			s.reserve(p)
		}
	}
}

// reserve withholds the budget for a wave's next host from other waves when the
// wave has no host out and cannot start one. Otherwise, if that host runs two
// services, waves that each use only one of them would take up all headroom as it
// becomes available, and the two would never have headroom at the same time. It
// reserves only when the wave waits solely for hosts that are out: a wave that is
// blocked otherwise must not block others.
func (s *schedule) reserve(p *planner) {
	starved := p.exhausted && p.out+p.started == 0 && p.status.Phase == Running
	if !starved || p.reserved || len(s.planners) == 1 {
		return
	}
	p.reserved = true
	if host, ok := s.startableOnceReturned(p); ok {
		s.fleet.Budgets.MarkOut(host.Name)
	}
}

// startableOnceReturned returns the host that the wave could take out if every
// host that waves have out were back in service.
func (s *schedule) startableOnceReturned(p *planner) (host Host, found bool) {
	tracker := s.fleet.Budgets
	var restored []string
	for _, name := range s.hostsOut() {
		if !tracker.Available(name) {
			tracker.MarkAvailable(name)
			restored = append(restored, name)
		}
	}
	host, found = p.anyAllowed(tracker)
	for _, name := range restored {
		tracker.MarkOut(name)
	}
	return host, found
}

// hostsOut returns the hosts that waves have out or take out in this plan and
// that are expected back, which excludes failed ones.
func (s *schedule) hostsOut() []string {
	var out []string
	for _, p := range s.planners {
		for _, host := range p.input.Hosts {
			phase := host.Record.Phase
			if phase != hostrecord.Failed && !host.Record.Schedulable() && s.fleet.Budgets.Has(host.Name) {
				out = append(out, host.Name)
			}
		}
		for _, step := range p.steps {
			if step.Verb == MarkDraining && !step.AlreadyDown && s.fleet.Budgets.Has(step.Host) {
				out = append(out, step.Host)
			}
		}
	}
	return out
}

// markBlocked marks a wave as blocked if no budget would allow any of its hosts
// out even with every host back in service. Waiting does not resolve that, so it
// is reported to the operator.
func (s *schedule) markBlocked(p *planner) {
	idle := p.out+p.started+p.elsewhere+len(p.uncertain) == 0
	if p.status.Phase != Running || p.waiting == 0 || !idle || !p.exhausted {
		return
	}
	if _, ok := s.startableOnceReturned(p); ok {
		return
	}
	p.status.Phase = Blocked
	p.status.Reason = "no budget lets a host out as things stand: " + p.firstRefusal()
}

func (p *planner) firstRefusal() string {
	for _, pp := range p.poolPlans {
		for _, rack := range pp.racks {
			if rack.picked < len(rack.hosts) {
				return p.fleet.Budgets.Check(rack.hosts[rack.picked].Name).Reason
			}
		}
	}
	return ""
}
