package policy

import (
	"slices"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/wave"
)

// decider is a policy under measurement.
type decider interface {
	// plan returns what to do now.
	plan(fleet wave.Snapshot) wave.Plan
	// limit is how many hosts of a service it may have out at once, where the
	// budget has room for so many.
	limit(service string, room int) int
	// foresees says that moves and placements know which hosts the wave has yet
	// to drain: a move shares the drain, a long task goes elsewhere.
	foresees() bool
}

// ours is the planner under measurement.
type ours struct{}

func (ours) plan(fleet wave.Snapshot) wave.Plan { return wave.PlanAll(fleet)[0] }

func (ours) limit(_ string, room int) int { return room }

func (ours) foresees() bool { return true }

// baseline takes hosts out in the order of zone, pool and name. All baselines
// keep the budgets, go on whatever fails, and handle hosts that are out as our
// planner does; they differ in when they take the next ones out.
type baseline struct {
	// may reports how many hosts may be out now, given how many are, and the
	// room that the budgets give anyway.
	may func(out int) int
	// zones finishes one zone before it begins the next.
	zones bool
	// single limits the claim to one host of a service.
	single bool
}

// everything is more hosts than a fleet has.
const everything = 1 << 30

// baselines returns a fresh decider of each policy by name.
func deciders() map[string]decider {
	return map[string]decider{
		Ours:         ours{},
		OneAtATime:   baseline{may: func(int) int { return 1 }, single: true},
		WholeBudget:  baseline{may: wholeBatch},
		BudgetRefill: baseline{may: func(int) int { return everything }},
		ZoneByZone:   baseline{may: func(int) int { return everything }, zones: true},
	}
}

// wholeBatch takes the whole budget at once, and again when all are back.
func wholeBatch(out int) int {
	if out > 0 {
		return 0
	}
	return everything
}

func (b baseline) foresees() bool { return false }

func (b baseline) limit(_ string, room int) int {
	if b.single {
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
		case !host.Record.TakesWork():
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
	slices.SortFunc(waiting, b.before)
	may := b.may(out) - out
	for _, host := range waiting {
		if may <= 0 || (b.zones && !b.zoneOpen(host, waiting, zonesOut)) {
			break
		}
		if fleet.Budgets.TryMarkOut(host.Name).Allowed {
			may--
			steps = append(steps, wave.Step{Host: host.Name, Verb: wave.MarkDraining})
		}
	}
	return steps
}

// zoneOpen reports whether the host's zone is the one in turn.
func (b baseline) zoneOpen(host wave.Host, waiting []wave.Host, zonesOut map[string]bool) bool {
	if host.Zone != waiting[0].Zone {
		return false
	}
	return len(zonesOut) == 0 || zonesOut[host.Zone]
}

// before orders one at a time pool by pool, so that it claims one service at a
// time, and the others zone by zone.
func (b baseline) before(x, y wave.Host) int {
	first, second := x.Zone+"/"+x.Record.Pool, y.Zone+"/"+y.Record.Pool
	if b.single {
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
