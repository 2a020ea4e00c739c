package wave

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// estimateStep rounds estimates, so that a status isn't written anew for
// every second that passes.
const estimateStep = 30

// report fills in what operators see.
func (p *planner) report() {
	p.explain()
	p.estimate()
	p.claims()
}

// explain says of every waiting host what it waits for.
func (p *planner) explain() {
	starting := make(map[string]bool)
	for _, step := range p.steps {
		starting[step.Host] = step.Verb == MarkDraining
	}
	for _, l := range p.lanes {
		for _, r := range l.racks {
			for _, host := range r.hosts {
				if !starting[host.Name] || host.Refusal != "" {
					p.status.Waiting[host.Name] = p.waitsFor(host, r)
				}
			}
		}
	}
	if p.status.Phase != Running {
		for _, host := range p.down {
			p.status.Waiting[host.Name] = p.status.Reason
		}
	}
}

func (p *planner) waitsFor(host Host, r *rackQueue) string {
	if p.status.Phase != Running {
		return p.status.Reason
	}
	if host.Refusal != "" {
		return host.Refusal
	}
	if p.fleet.Budgets.Has(host.Name) {
		if decision := p.fleet.Budgets.Check(host.Name); !decision.Allowed {
			return decision.Reason
		}
	}
	if r.held {
		return fmt.Sprintf("rack %s lost hosts in this wave and comes last", r.rack)
	}
	return fmt.Sprintf("waits for its turn: %d hosts may be out at once, %s", p.status.Parallelism, p.status.ParallelismReason)
}

// secondsPerHost is the mean time out: observed, or the deadlines' sum, which
// is an upper bound.
func (p *planner) secondsPerHost() (seconds float64, from string) {
	if p.history.seen > 0 {
		return p.history.meanSeconds, fmt.Sprintf("the mean of %d hosts", p.history.seen)
	}
	return MaxDowntime(p.input.Spec).Seconds(), "the record's deadlines, an upper bound"
}

// estimate foretells the end: the slowest pool's hosts one after another at
// the pool's own limit, or all of them at the wave's width, whichever is
// longer, plus half a host's time for those that are out.
func (p *planner) estimate() {
	mean, from := p.secondsPerHost()
	p.status.SecondsPerHost = int(math.Round(mean))
	if p.status.Phase != Running && p.status.Phase != OutsideWindow {
		return
	}
	width := max(1, p.limit)
	remaining := batches(p.waiting, width, p.out) * mean
	for _, l := range p.lanes {
		remaining = max(remaining, batches(l.waiting, max(1, l.safe), l.out)*mean)
	}
	p.status.RemainingSeconds = int(math.Ceil(remaining/estimateStep)) * estimateStep
	p.status.EstimatedFrom = from
}

// batches returns how many host times it takes to see to waiting hosts, width
// at once, when out hosts are half done.
func batches(waiting, width, out int) float64 {
	b := float64(waiting) / float64(width)
	if out > 0 {
		b += 0.5
	}
	if waiting > 0 {
		b = math.Max(b, 1)
	}
	return b
}

// claims says what each service holds back while its pools are being done: a
// claim runs from the first host taken out to the last one back.
func (p *planner) claims() {
	byService := make(map[string]*ServiceBuffer)
	for _, l := range p.lanes {
		starts := l.picked()
		if l.out+starts == 0 && !l.active() {
			continue
		}
		for _, service := range l.services {
			claim := byService[service]
			if claim == nil {
				buffer, _ := p.fleet.Budgets.Buffer(service)
				buffer.Service = service
				claim = &ServiceBuffer{Buffer: buffer}
				byService[service] = claim
			}
			claim.Out += l.out + starts
			claim.MaxOut += min(l.safe, l.out+l.waiting)
		}
	}
	for _, claim := range byService {
		p.status.Buffers = append(p.status.Buffers, *claim)
	}
	slices.SortFunc(p.status.Buffers, func(a, b ServiceBuffer) int { return strings.Compare(a.Service, b.Service) })
}
