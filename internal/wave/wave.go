package wave

import (
	"fmt"
	"sort"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// MakeAll plans every wave. The plans are in the order of fleet.Waves.
func MakeAll(fleet Fleet) []Plan {
	plans := make([]Plan, len(fleet.Waves))
	for i, input := range fleet.Waves {
		plans[i] = Make(input)
	}
	return plans
}

// Make plans one wave.
func Make(input Input) Plan {
	p := &planner{input: input, status: Status{
		Wave: input.Name, Phase: Running, Hosts: len(input.Hosts),
		Failed: map[string]string{}, Waiting: map[string]string{},
	}}
	p.observe()
	p.advance()
	p.begin()
	p.finish()
	return Plan{Steps: p.steps, Status: p.status}
}

type planner struct {
	input   Input
	status  Status
	steps   []Step
	pending []Host
}

func (p *planner) observe() {
	for _, host := range p.input.Hosts {
		visit, visited := host.Record.Visits[p.input.Name]
		switch {
		case visited && visit.Result == hostrecord.Maintained:
			p.status.Maintained++
		case visited:
			p.status.Failed[host.Name] = visit.Reason
		case host.Record.Wave == p.input.Name:
			p.status.Out = append(p.status.Out, host.Name)
		case host.Record.Phase == hostrecord.Serving:
			p.pending = append(p.pending, host)
		default:
			p.status.Waiting[host.Name] = fmt.Sprintf("host is %s for wave %q", host.Record.Phase, host.Record.Wave)
		}
	}
	sort.Strings(p.status.Out)
}

// advance takes every host that is out one transition further.
func (p *planner) advance() {
	for _, host := range p.input.Hosts {
		if host.Record.Wave != p.input.Name {
			continue
		}
		if step, due := next(p.input.Spec, host); due {
			p.steps = append(p.steps, step)
		}
	}
}

func next(spec *record.Wave, host Host) (Step, bool) {
	step := func(verb Verb, reason string) (Step, bool) {
		step := Step{Host: host.Name, Verb: verb, Reason: reason}
		switch verb {
		case Return:
			step.Visit = &hostrecord.Visit{Result: hostrecord.Maintained}
		case GiveUp:
			step.Visit = &hostrecord.Visit{Result: hostrecord.GaveUp, Reason: reason}
		}
		return step, true
	}
	switch host.Record.Phase {
	case hostrecord.Draining:
		switch {
		case !host.Confirmed:
			return Step{}, false
		case !host.Drained:
			return step(DrainHost, "every member sends it no new work")
		case host.InFlight == 0:
			return step(Reboot, "nothing in flight")
		case host.Age > spec.Drain():
			return step(Reboot, "drain deadline passed")
		}
	case hostrecord.Rebooting:
		switch {
		case host.Reachable && host.BootID != host.Record.BootID:
			return step(AwaitProof, "host is back")
		case host.Age > spec.Reboot():
			return step(GiveUp, "host did not come back in time")
		}
	case hostrecord.Proving:
		switch {
		case host.Healthy && host.HealthyFor >= spec.Proof():
			return step(Return, "host stayed healthy")
		case host.Age > spec.Proof()+spec.Reboot():
			return step(GiveUp, "host did not stay healthy")
		}
	}
	return Step{}, false
}

// begin takes further hosts out, as many at once as hosts have come back
// whole, so that a wave that breaks hosts breaks few.
func (p *planner) begin() {
	spec := p.input.Spec
	switch {
	case spec.Cancelled:
		p.status.Phase = Cancelled
		p.status.Reason = "cancelled by an operator"
		return
	case spec.Paused:
		p.status.Phase = Paused
		p.status.Reason = "paused by an operator"
		return
	case len(p.status.Failed) > spec.MaxFailedHosts:
		p.status.Phase = Stopped
		p.status.Reason = fmt.Sprintf("%d hosts failed, %d are allowed", len(p.status.Failed), spec.MaxFailedHosts)
		return
	}
	room := p.width() - len(p.status.Out)
	sort.Slice(p.pending, func(i, j int) bool { return before(p.pending[i], p.pending[j]) })
	for _, host := range p.pending {
		if host.Refusal != "" {
			p.status.Waiting[host.Name] = host.Refusal
		}
		if room <= 0 {
			continue
		}
		room--
		p.steps = append(p.steps, Step{Host: host.Name, Verb: StartDrain, Reason: "next in order"})
	}
}

func (p *planner) width() int {
	width := max(1, p.status.Maintained)
	if p.input.Spec.MaxParallel > 0 {
		width = min(width, p.input.Spec.MaxParallel)
	}
	return width
}

func before(a, b Host) bool {
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.Name < b.Name
}

func (p *planner) finish() {
	left := p.status.Hosts - p.status.Maintained - len(p.status.Failed)
	if left == 0 && p.status.Phase == Running {
		p.status.Phase = Finished
		p.status.Reason = "every host was visited"
	}
}
