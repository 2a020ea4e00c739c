package wave

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/window"
)

// planner plans a single wave.
type planner struct {
	input       Input
	fleet       Snapshot
	history     history
	speedWeight float64
	status      Status
	steps       []Step
	// down holds hosts that are already down; taking them out uses no budget.
	// poolPlans holds the other hosts to take out, and waiting counts them.
	down []Host
	// uncertain holds hosts that respond although the host list, which lags, does
	// not show them as live (they may be back, or about to be removed), and hosts
	// whose condition the platform did not report. They are skipped until no
	// other hosts are left.
	uncertain []Host
	poolPlans []*poolPlan
	waiting   int
	// out counts hosts that count against the parallelism, elsewhere those taken
	// out by another wave or a move, and downElsewhere those of elsewhere that
	// were down before they were taken out.
	out, elsewhere, downElsewhere, started int
	// verifying counts hosts in out that have rebooted and are verifying their
	// health. poolCount counts the wave's pools that have hosts.
	verifying, poolCount int
	// maxParallelism is the parallelism that the wave reaches if no host fails.
	maxParallelism int
	// nextPool is the index of the pool plan to pick from next. exhausted is set
	// when no pool has a host left that the budgets allow to be taken out.
	nextPool  int
	exhausted bool
	// reserved is set when the budget for the wave's next host is withheld from
	// other waves.
	reserved bool
}

// hostState is the state of one host with respect to a wave.
type hostState int

const (
	stateWaiting hostState = iota
	stateDown
	stateOut
	stateMaintained
	stateFailed
	stateElsewhere
	stateUncertain
)

func newPlanner(input Input, fleet Snapshot) *planner {
	p := &planner{
		input: input, fleet: fleet, speedWeight: speedWeightOf(fleet.Policy),
		history: readHistory(input.Name, input.Spec.ResumeGeneration, input.Hosts),
		status: Status{
			Wave: input.Name, Phase: Running, Hosts: len(input.Hosts),
			Failed: map[string]string{}, Waiting: map[string]string{},
		},
	}
	for _, host := range input.Hosts {
		p.countHost(host)
	}
	slices.Sort(p.status.HostsOut)
	if p.waiting+len(p.down)+len(p.status.HostsOut)+p.elsewhere == 0 {
		p.down, p.uncertain = p.uncertain, nil
	}
	p.poolPlans = newPoolPlans(p, fleet.Budgets)
	p.status.Phase, p.status.Reason = p.phase()
	return p
}

func (p *planner) stateOf(host Host) hostState {
	visit, visited := host.Record.WaveOutcomes[p.input.Name]
	serving := host.Record.Schedulable()
	switch {
	case visited && visit.Result == hostrecord.Maintained:
		return stateMaintained
	case visited, host.Record.Phase == hostrecord.Failed:
		return stateFailed
	case host.Record.Wave == p.input.Name:
		return stateOut
	case serving && host.ConditionUnknown, serving && host.Down && host.Reachable && host.Healthy:
		return stateUncertain
	case serving && host.Down:
		return stateDown
	case serving:
		return stateWaiting
	}
	return stateElsewhere
}

func (p *planner) countHost(host Host) {
	switch p.stateOf(host) {
	case stateMaintained:
		p.status.Maintained++
	case stateFailed:
		p.status.Failed[host.Name] = failureReason(p.input.Name, host)
	case stateOut:
		p.status.HostsOut = append(p.status.HostsOut, host.Name)
		if !host.Record.AlreadyDown {
			p.out++
			p.verifying += boolToInt(host.Record.Phase == hostrecord.Verifying)
		}
	case stateDown:
		p.down = append(p.down, host)
	case stateUncertain:
		p.uncertain = append(p.uncertain, host)
		p.status.Waiting[host.Name] = uncertainReason(host)
	case stateWaiting:
		p.waiting++
	case stateElsewhere:
		p.elsewhere++
		p.downElsewhere += boolToInt(host.Record.AlreadyDown)
		p.status.Waiting[host.Name] = fmt.Sprintf("host is %s for wave %q", host.Record.Phase, host.Record.Wave)
	}
}

func uncertainReason(host Host) string {
	if host.ConditionUnknown {
		return "the platform did not say how it is"
	}
	return "the platform's list does not show it live"
}

// onlyDownHostsLeft reports whether the only remaining hosts were down before
// they were taken out, by this wave or another one. Hosts that other waves have
// out are excluded too: two waves that each had such a host and counted the
// other's as remaining would wait for each other forever.
func (p *planner) onlyDownHostsLeft() bool {
	return p.out+p.started+p.elsewhere-p.downElsewhere+len(p.uncertain) == 0
}

// completed returns how many hosts the wave has maintained or marked failed.
func (p *planner) completed() int { return p.status.Maintained + len(p.status.Failed) }

func failureReason(wave string, host Host) string {
	if visit, visited := host.Record.WaveOutcomes[wave]; visited {
		return visit.Reason
	}
	return fmt.Sprintf("failed in wave %q", host.Record.Wave)
}

// phase returns Running, or the phase and reason why no further host starts.
func (p *planner) phase() (Phase, string) {
	spec := p.input.Spec
	left := p.waiting + len(p.down) + len(p.uncertain) + p.elsewhere + len(p.status.HostsOut)
	switch {
	case spec.Cancelled && len(p.status.HostsOut) > 0:
		return Cancelled, fmt.Sprintf("cancelled by an operator; %d hosts are still out", len(p.status.HostsOut))
	case spec.Cancelled:
		return Cancelled, "cancelled by an operator"
	case left == 0:
		return Finished, "every host was visited"
	case spec.Paused:
		return Paused, "paused by an operator"
	}
	if reason := p.history.stopReason(spec); reason != "" && p.waiting+len(p.down) > 0 {
		return Stopped, reason
	}
	if window.Fits(spec.Windows, p.fleet.Now, MaxDowntime(spec)) || p.waiting+len(p.down) == 0 {
		return Running, ""
	}
	return OutsideWindow, p.outsideWindowReason()
}

func (p *planner) outsideWindowReason() string {
	need := MaxDowntime(p.input.Spec)
	if at, ok := window.Next(p.input.Spec.Windows, p.fleet.Now, need); ok {
		return fmt.Sprintf("a host may take %s and must be back before its window closes; next start %s",
			need, at.UTC().Format("Mon 15:04 UTC"))
	}
	return fmt.Sprintf("a host may take %s and no window of the week is that long; widen one or lower the deadlines", need)
}

// concurrentPools reports whether the wave works on all its pools at once, for
// speed.
func (p *planner) concurrentPools() bool { return p.speedWeight >= evenWeight }

// computeLimits determines how many hosts the budgets would allow out at once,
// by marking hosts out and then reverting that, and derives the parallelism.
func (p *planner) computeLimits() {
	var taken []Host
	for _, pp := range p.poolPlans {
		pp.budgetLimit = pp.out
		for {
			host, ok := pp.pick(p.fleet.Budgets)
			if !ok {
				break
			}
			pp.budgetLimit++
			taken = append(taken, host)
		}
	}
	for _, host := range taken {
		p.fleet.Budgets.MarkAvailable(host.Name)
	}
	for _, pp := range p.poolPlans {
		pp.resetPicks()
	}
	p.exhausted = len(taken) == 0
	p.status.BudgetLimit = p.out + len(taken)
	p.setParallelism()
}

// setParallelism sums the budget limits of as many pools as the policy allows at
// once, and applies the wave's history and the record's limit to that maximum.
func (p *planner) setParallelism() {
	poolsLeft := maxConcurrentPools(p.poolCount, p.speedWeight)
	for _, pp := range p.poolPlans {
		// A pool whose budget allows no host must not take the place of another.
		if pp.budgetLimit > 0 && (poolsLeft > 0 || pp.out > 0) {
			p.maxParallelism += pp.budgetLimit
			poolsLeft--
		}
	}
	start := initialParallelism(p.maxParallelism, p.status.Hosts, p.speedWeight)
	p.status.Parallelism, p.status.ParallelismReason = p.history.parallelism(start, p.maxParallelism, growthPerSuccess(p.speedWeight), p.verifying)
	if limit := p.input.Spec.MaxParallel; limit > 0 && limit < p.status.Parallelism {
		p.status.Parallelism, p.status.ParallelismReason = limit, "the record's maxParallel"
		p.maxParallelism = min(p.maxParallelism, limit)
	}
}

// mayStart reports whether the wave may take out another host now.
func (p *planner) mayStart() bool {
	return p.status.Phase == Running && !p.exhausted && p.out+p.started < p.status.Parallelism
}

// startDown takes out hosts that are already down: this does not reduce the
// remaining capacity of their services.
func (p *planner) startDown() {
	for _, host := range p.down {
		if p.status.Phase != Running {
			return
		}
		if tracker := p.fleet.Budgets; tracker.Has(host.Name) {
			if decision := tracker.Check(host.Name); !decision.Allowed {
				p.status.Waiting[host.Name] = "down; " + decision.Reason
				continue
			}
		}
		p.steps = append(p.steps, Step{
			Host: host.Name, Verb: MarkDraining, Reason: "down already", AlreadyDown: true,
		})
	}
}

// startNext takes out one more host. To favor speed it goes through the pools
// round-robin; to keep the buffer small it uses the first pool with a candidate.
func (p *planner) startNext() {
	for range p.poolPlans {
		pp := p.poolPlans[p.nextPool%len(p.poolPlans)]
		host, ok := pp.pick(p.fleet.Budgets)
		if !ok || p.concurrentPools() {
			p.nextPool++
		}
		if !ok {
			continue
		}
		p.started++
		p.steps = append(p.steps, Step{Host: host.Name, Verb: MarkDraining, Reason: "next in order"})
		return
	}
	p.exhausted = true
}

// Advance returns the next steps for the wave's hosts that are already out. It
// takes out no further hosts. lastChance is set when only hosts that were down
// before are out or about to go out; these are then not given more time to
// recover.
func Advance(fleet Snapshot, input Input, lastChance bool) []Step {
	if fleet.Budgets == nil {
		fleet.Budgets = budget.NewTracker(nil, nil)
	}
	p := &planner{input: input, fleet: fleet}
	p.history = readHistory(input.Name, input.Spec.ResumeGeneration, input.Hosts)
	p.advance(lastChance)
	return p.steps
}

// advance plans the next transition of every host that is out.
func (p *planner) advance(lastChance bool) {
	sequence := p.history.lastSequence
	for _, host := range p.input.Hosts {
		if host.Record.Wave != p.input.Name {
			continue
		}
		t := transition{spec: p.input.Spec, host: host, lastChance: lastChance}
		step, due := t.next()
		if !due {
			continue
		}
		if step.Outcome = t.outcome(step, sequence+1, p.fleet.Now); step.Outcome != nil {
			sequence++
		}
		p.steps = append(p.steps, step)
	}
}

// anyAllowed returns the first waiting host that the budgets allow to be taken
// out.
func (p *planner) anyAllowed(tracker *budget.Tracker) (Host, bool) {
	for _, pp := range p.poolPlans {
		for _, rack := range pp.racks {
			if rack.picked < len(rack.hosts) && tracker.Check(rack.hosts[rack.picked].Name).Allowed {
				return rack.hosts[rack.picked], true
			}
		}
	}
	return Host{}, false
}
