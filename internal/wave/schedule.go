package wave

import (
	"cmp"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
)

// PlanOne plans one wave without budgets: the gate alone refuses.
func PlanOne(input Input) Plan {
	return PlanAll(Snapshot{Waves: []Input{input}})[0]
}

// PlanAll plans every wave, over one book of budgets, and returns the plans in
// the order of fleet.Waves. Waves over the same services share the room there
// is: the one with the fewest hosts out goes first, and among those the one that
// has seen to the fewest. One that gets none keeps what it needs from the others
// until it does, so that none starves. No wave waits for another while it holds
// anything that the other needs: a host takes all its grants at once or none.
func PlanAll(fleet Snapshot) []Plan {
	if fleet.Budgets == nil {
		fleet.Budgets = budget.NewTracker(nil, nil)
	}
	s := &schedule{fleet: fleet}
	for _, input := range fleet.Waves {
		s.planners = append(s.planners, newPlanner(input, fleet))
	}
	for _, p := range s.planners {
		p.measure()
		p.startDown()
	}
	s.share()
	plans := make([]Plan, len(s.planners))
	for i, p := range s.planners {
		s.block(p)
		p.advance(p.waitsForNone())
		p.report()
		plans[i] = Plan{Steps: p.steps, Status: p.status}
	}
	return plans
}

// schedule shares the budgets' room among the waves.
type schedule struct {
	fleet    Snapshot
	planners []*planner
}

// share lets the waves start hosts in turn.
func (s *schedule) share() {
	turns := slices.Clone(s.planners)
	slices.SortFunc(turns, func(a, b *planner) int {
		return cmp.Or(cmp.Compare(a.out, b.out), cmp.Compare(a.visited(), b.visited()), cmp.Compare(a.input.Name, b.input.Name))
	})
	for started := true; started; {
		started = false
		for _, p := range turns {
			if p.mayStart() {
				p.startNext()
				started = started || !p.exhausted
			}
			s.reserve(p)
		}
	}
}

// reserve keeps what a wave's next host needs from the other waves when the
// wave has none out and gets none. Without it, waves that each use one of its
// services would take every place as it comes free, and it would never find
// both free at once. It is only done when hosts that are out are all that the
// wave waits for: a wave that something else holds up must not hold others.
func (s *schedule) reserve(p *planner) {
	starved := p.exhausted && p.out+p.started == 0 && p.status.Phase == Running
	if !starved || p.reserved || len(s.planners) == 1 {
		return
	}
	p.reserved = true
	if host, ok := s.onceReturned(p); ok {
		s.fleet.Budgets.MarkOut(host.Name)
	}
}

// onceReturned returns the host that a wave could start if every host that
// waves have out were back.
func (s *schedule) onceReturned(p *planner) (host Host, found bool) {
	book := s.fleet.Budgets
	var undone []string
	for _, name := range s.out() {
		if !book.Available(name) {
			book.MarkAvailable(name)
			undone = append(undone, name)
		}
	}
	host, found = p.anyAllowed(book)
	for _, name := range undone {
		book.MarkOut(name)
	}
	return host, found
}

// out returns the hosts that waves have out or take out in this plan, and that
// will be back.
func (s *schedule) out() []string {
	var out []string
	for _, p := range s.planners {
		for _, host := range p.input.Hosts {
			phase := host.Record.Phase
			if phase != hostrecord.Failed && !host.Record.TakesWork() && s.fleet.Budgets.Has(host.Name) {
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

// block marks a wave whose hosts no budget lets out even with every host back:
// an operator has to know, since waiting won't help.
func (s *schedule) block(p *planner) {
	idle := p.out+p.started+p.elsewhere+len(p.unlisted) == 0
	if p.status.Phase != Running || p.waiting == 0 || !idle || !p.exhausted {
		return
	}
	if _, ok := s.onceReturned(p); ok {
		return
	}
	p.status.Phase = Blocked
	p.status.Reason = "no budget lets a host out as things stand: " + p.firstRefusal()
}

func (p *planner) firstRefusal() string {
	for _, l := range p.lanes {
		for _, r := range l.racks {
			if r.taken < len(r.hosts) {
				return p.fleet.Budgets.Check(r.hosts[r.taken].Name).Reason
			}
		}
	}
	return ""
}
