package wave

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// estimateRounding is the granularity of estimates in seconds. Without it the
// status would be rewritten every second.
const estimateRounding = 30

// fillStatus fills in the status that operators see.
func (p *planner) fillStatus() {
	p.setWaitReasons()
	p.setEstimate()
	p.setBuffers()
}

// setWaitReasons sets the reason why each waiting host waits.
func (p *planner) setWaitReasons() {
	starting := make(map[string]bool)
	for _, step := range p.steps {
		starting[step.Host] = step.Verb == MarkDraining
	}
	for _, pp := range p.poolPlans {
		for _, rack := range pp.racks {
			for _, host := range rack.hosts {
				if !starting[host.Name] || host.Refusal != "" {
					p.status.Waiting[host.Name] = p.waitReason(host, rack)
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

func (p *planner) waitReason(host Host, rack *rackQueue) string {
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
	if rack.deferred {
		return fmt.Sprintf("rack %s lost hosts in this wave and comes last", rack.rack)
	}
	return fmt.Sprintf("waits for its turn: %d hosts may be out at once, %s", p.status.Parallelism, p.status.ParallelismReason)
}

// secondsPerHost returns the mean downtime per host and its source: the observed
// mean, or the sum of the timeouts as an upper bound.
func (p *planner) secondsPerHost() (seconds float64, from string) {
	if p.history.samples > 0 {
		return p.history.meanSeconds, fmt.Sprintf("the mean of %d hosts", p.history.samples)
	}
	return MaxDowntime(p.input.Spec).Seconds(), "the record's deadlines, an upper bound"
}

// setEstimate estimates the remaining time: the slowest pool at its own budget
// limit, or all hosts at the wave's maximum parallelism, whichever is longer,
// plus half a host's time if hosts are out.
func (p *planner) setEstimate() {
	mean, from := p.secondsPerHost()
	p.status.SecondsPerHost = int(math.Round(mean))
	if p.status.Phase != Running && p.status.Phase != OutsideWindow {
		return
	}
	width := max(1, p.maxParallelism)
	remaining := batches(p.waiting, width, p.out) * mean
	for _, pp := range p.poolPlans {
		remaining = max(remaining, batches(pp.waiting, max(1, pp.budgetLimit), pp.out)*mean)
	}
	p.status.RemainingSeconds = int(math.Ceil(remaining/estimateRounding)) * estimateRounding
	p.status.EstimatedFrom = from
}

// batches returns the remaining time as a multiple of the time per host, for
// waiting hosts of which width are out at once. Hosts that are out count as half done.
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

// setBuffers sets the capacity that the wave reserves for each service while it
// works on the service's pools: from the first host taken out to the last one
// back.
func (p *planner) setBuffers() {
	byService := make(map[string]*ServiceBuffer)
	for _, pp := range p.poolPlans {
		starts := pp.picked()
		if pp.out+starts == 0 && !pp.active() {
			continue
		}
		for _, service := range pp.services {
			reserved := byService[service]
			if reserved == nil {
				buffer, _ := p.fleet.Budgets.Buffer(service)
				buffer.Service = service
				reserved = &ServiceBuffer{Buffer: buffer}
				byService[service] = reserved
			}
			reserved.Out += pp.out + starts
			reserved.MaxOut += min(pp.budgetLimit, pp.out+pp.waiting)
		}
	}
	for _, reserved := range byService {
		p.status.Buffers = append(p.status.Buffers, *reserved)
	}
	slices.SortFunc(p.status.Buffers, func(a, b ServiceBuffer) int { return strings.Compare(a.Service, b.Service) })
}
