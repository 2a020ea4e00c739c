package policy

import (
	"slices"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/wave"
)

// decider is a policy to measure.
type decider interface {
	// plan returns the steps to take now.
	plan(fleet wave.Snapshot) wave.Plan
	// limit returns the maximum number of hosts of a service that the policy has
	// out of service at a time, where the budget allows room hosts.
	limit(service string, room int) int
	// anticipatesDrains reports whether moves and placements take into account which
	// hosts the wave has yet to drain: a move then shares the drain, and a long task
	// is placed elsewhere.
	anticipatesDrains() bool
}

// productPlanner is the planner of the product.
type productPlanner struct{}

func (productPlanner) plan(fleet wave.Snapshot) wave.Plan { return wave.PlanAll(fleet)[0] }

func (productPlanner) limit(_ string, room int) int { return room }

func (productPlanner) anticipatesDrains() bool { return true }

// baseline takes hosts out of service in the order of zone, pool and name. All
// baselines respect the budgets, continue after failures, and advance hosts that
// are out as the product's planner does; they differ in when they take out the next
// hosts.
type baseline struct {
	// maxOut returns how many hosts may be out now, given how many are out. The
	// budgets limit the number further.
	maxOut func(out int) int
	// zoneByZone makes the policy finish one zone before it starts the next.
	zoneByZone bool
	// oneHost limits the policy to one host of a service at a time.
	oneHost bool
}

// unlimited is more than the number of hosts of any fleet.
const unlimited = 1 << 30

// deciders returns the policies by name.
func deciders() map[string]decider {
	return map[string]decider{
		Product:      productPlanner{},
		OneAtATime:   baseline{maxOut: func(int) int { return 1 }, oneHost: true},
		WholeBudget:  baseline{maxOut: wholeBudgetMaxOut},
		BudgetRefill: baseline{maxOut: func(int) int { return unlimited }},
		ZoneByZone:   baseline{maxOut: func(int) int { return unlimited }, zoneByZone: true},
	}
}

// wholeBudgetMaxOut allows the whole budget at once, and again when all hosts are back.
func wholeBudgetMaxOut(out int) int {
	if out > 0 {
		return 0
	}
	return unlimited
}

func (b baseline) anticipatesDrains() bool { return false }

func (b baseline) limit(_ string, room int) int {
	if b.oneHost {
		return 1
	}
	return room
}

func (b baseline) plan(fleet wave.Snapshot) wave.Plan {
	input := fleet.Waves[0]
	var waiting, down []wave.Host
	out, tracked, zonesOut := 0, 0, map[string]bool{}
	for _, host := range input.Hosts {
		_, visited := host.Record.WaveOutcomes[input.Name]
		switch {
		case visited || host.Record.Phase == hostrecord.Failed:
		case host.Record.Wave == input.Name:
			tracked++
			if !host.Record.AlreadyDown {
				out++
				zonesOut[host.Zone] = true
			}
		case !host.Record.Schedulable():
			tracked++
		case host.Down && host.Reachable && host.Healthy:
			tracked++
		case host.Down:
			down = append(down, host)
		default:
			waiting = append(waiting, host)
		}
	}
	starts := b.starts(fleet, waiting, zonesOut, out)
	steps := wave.Advance(fleet, input, out+len(starts) == 0)
	for _, host := range down {
		starts = append(starts, wave.Step{Host: host.Name, Verb: wave.MarkDraining, AlreadyDown: true})
	}
	steps = append(steps, starts...)
	phase := wave.Running
	if len(waiting)+len(down)+tracked == 0 {
		phase = wave.Finished
	}
	return wave.Plan{Steps: steps, Status: wave.Status{Phase: phase}}
}

func (b baseline) starts(fleet wave.Snapshot, waiting []wave.Host, zonesOut map[string]bool, out int) []wave.Step {
	var steps []wave.Step
	slices.SortFunc(waiting, b.compare)
	allowed := b.maxOut(out) - out
	for _, host := range waiting {
		if allowed <= 0 || (b.zoneByZone && !b.inCurrentZone(host, waiting, zonesOut)) {
			break
		}
		if fleet.Budgets.TryMarkOut(host.Name).Allowed {
			allowed--
			steps = append(steps, wave.Step{Host: host.Name, Verb: wave.MarkDraining})
		}
	}
	return steps
}

// inCurrentZone reports whether the host's zone is the current one.
func (b baseline) inCurrentZone(host wave.Host, waiting []wave.Host, zonesOut map[string]bool) bool {
	if host.Zone != waiting[0].Zone {
		return false
	}
	return len(zonesOut) == 0 || zonesOut[host.Zone]
}

// compare is a comparison function. It orders hosts by pool for the policy that
// handles one host at a time, so that it affects one service at a time, and by zone
// for the others.
func (b baseline) compare(x, y wave.Host) int {
	first, second := x.Zone+"/"+x.Record.Pool, y.Zone+"/"+y.Record.Pool
	if b.oneHost {
		first, second = x.Record.Pool+"/"+x.Zone, y.Record.Pool+"/"+y.Zone
	}
	switch {
	case first+"/"+x.Name < second+"/"+y.Name:
		return -1
	case first+"/"+x.Name > second+"/"+y.Name:
		return 1
	}
	return 0
}
