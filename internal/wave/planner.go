package wave

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/window"
)

// planner plans one wave.
type planner struct {
	input   Input
	fleet   Snapshot
	history history
	share   float64
	status  Status
	steps   []Step
	// down hosts take nothing from the budgets' room; waiting counts the
	// others that are to be taken out, by lane.
	down []Host
	// unlisted hosts answer but the lagging list doesn't show them live: they
	// may be back, or about to leave. Of others the platform didn't say how they
	// are. They are left until nothing else is.
	unlisted []Host
	lanes    []*lane
	waiting  int
	// out counts hosts that the width is charged for, elsewhere those that
	// another wave or a move has out, and lostElsewhere those of these that were
	// down before they were taken out.
	out, elsewhere, lostElsewhere, started int
	// proving counts those of out that are back from their reboot, and pools
	// the wave's pools that have hosts.
	proving, pools int
	// limit is the width that the wave reaches while nothing fails.
	limit int
	// rotation is the lane that is asked next, exhausted says that none has a
	// host left that the budgets let out.
	rotation  int
	exhausted bool
	// reserved says that it keeps what its next host needs from other waves.
	reserved bool
}

// place is where one host stands in a wave.
type place int

const (
	placeWaiting place = iota
	placeDown
	placeOut
	placeMaintained
	placeFailed
	placeElsewhere
	placeUnlisted
)

func newPlanner(input Input, fleet Snapshot) *planner {
	p := &planner{
		input: input, fleet: fleet, share: speedShare(fleet.Policy),
		history: readHistory(input.Name, input.Spec.ResumeGeneration, input.Hosts),
		status: Status{
			Wave: input.Name, Phase: Running, Hosts: len(input.Hosts),
			Failed: map[string]string{}, Waiting: map[string]string{},
		},
	}
	for _, host := range input.Hosts {
		p.observe(host)
	}
	slices.Sort(p.status.Out)
	if p.waiting+len(p.down)+len(p.status.Out)+p.elsewhere == 0 {
		p.down, p.unlisted = p.unlisted, nil
	}
	p.lanes = lanesOf(p, fleet.Budgets)
	p.status.Phase, p.status.Reason = p.phase()
	return p
}

func (p *planner) place(host Host) place {
	visit, visited := host.Record.WaveOutcomes[p.input.Name]
	serving := host.Record.TakesWork()
	switch {
	case visited && visit.Result == hostrecord.Maintained:
		return placeMaintained
	case visited, host.Record.Phase == hostrecord.Failed:
		return placeFailed
	case host.Record.Wave == p.input.Name:
		return placeOut
	case serving && host.ConditionUnknown, serving && host.Down && host.Reachable && host.Healthy:
		return placeUnlisted
	case serving && host.Down:
		return placeDown
	case serving:
		return placeWaiting
	}
	return placeElsewhere
}

func (p *planner) observe(host Host) {
	switch p.place(host) {
	case placeMaintained:
		p.status.Maintained++
	case placeFailed:
		p.status.Failed[host.Name] = failure(p.input.Name, host)
	case placeOut:
		p.status.Out = append(p.status.Out, host.Name)
		if !host.Record.AlreadyDown {
			p.out++
			p.proving += yes(host.Record.Phase == hostrecord.Verifying)
		}
	case placeDown:
		p.down = append(p.down, host)
	case placeUnlisted:
		p.unlisted = append(p.unlisted, host)
		p.status.Waiting[host.Name] = unlistedReason(host)
	case placeWaiting:
		p.waiting++
	case placeElsewhere:
		p.elsewhere++
		p.lostElsewhere += yes(host.Record.AlreadyDown)
		p.status.Waiting[host.Name] = fmt.Sprintf("host is %s for wave %q", host.Record.Phase, host.Record.Wave)
	}
}

func unlistedReason(host Host) string {
	if host.ConditionUnknown {
		return "the platform did not say how it is"
	}
	return "the platform's list does not show it live"
}

// waitsForNone reports whether nothing but hosts that were down before they were
// taken out is left of the wave, wherever these are. Two waves that each had one
// such host, and counted the other's as left, waited for each other for ever.
func (p *planner) waitsForNone() bool {
	return p.out+p.started+p.elsewhere-p.lostElsewhere+len(p.unlisted) == 0
}

// visited counts the hosts that the wave is done with.
func (p *planner) visited() int { return p.status.Maintained + len(p.status.Failed) }

func failure(wave string, host Host) string {
	if visit, visited := host.Record.WaveOutcomes[wave]; visited {
		return visit.Reason
	}
	return fmt.Sprintf("failed in wave %q", host.Record.Wave)
}

// phase returns why the wave starts no further host, or Running.
func (p *planner) phase() (Phase, string) {
	spec := p.input.Spec
	left := p.waiting + len(p.down) + len(p.unlisted) + p.elsewhere + len(p.status.Out)
	switch {
	case spec.Cancelled && len(p.status.Out) > 0:
		return Cancelled, fmt.Sprintf("cancelled by an operator; %d hosts are still out", len(p.status.Out))
	case spec.Cancelled:
		return Cancelled, "cancelled by an operator"
	case left == 0:
		return Finished, "every host was visited"
	case spec.Paused:
		return Paused, "paused by an operator"
	}
	if why := p.history.stop(spec); why != "" && p.waiting+len(p.down) > 0 {
		return Stopped, why
	}
	if window.Fits(spec.Windows, p.fleet.Now, MaxDowntime(spec)) || p.waiting+len(p.down) == 0 {
		return Running, ""
	}
	return OutsideWindow, p.shutReason()
}

func (p *planner) shutReason() string {
	need := MaxDowntime(p.input.Spec)
	if at, ok := window.Next(p.input.Spec.Windows, p.fleet.Now, need); ok {
		return fmt.Sprintf("a host may take %s and must be back before its window closes; next start %s",
			need, at.UTC().Format("Mon 15:04 UTC"))
	}
	return fmt.Sprintf("a host may take %s and no window of the week is that long; widen one or lower the deadlines", need)
}

// spread says that the wave works on all its pools at once, for speed.
func (p *planner) spread() bool { return p.share >= evenShare }

// measure finds out how many hosts the budgets would let out at once by taking
// them and putting them back, and from it the wave's width.
func (p *planner) measure() {
	var taken []Host
	for _, l := range p.lanes {
		l.safe = l.out
		for {
			host, ok := l.pick(p.fleet.Budgets)
			if !ok {
				break
			}
			l.safe++
			taken = append(taken, host)
		}
	}
	for _, host := range taken {
		p.fleet.Budgets.MarkAvailable(host.Name)
	}
	for _, l := range p.lanes {
		l.putBack()
	}
	p.exhausted = len(taken) == 0
	p.status.BudgetLimit = p.out + len(taken)
	p.setWidth()
}

// setWidth takes as many lanes as the policy works on at once, each as wide as
// it safely is, and lets the wave's history say how much of that to use.
func (p *planner) setWidth() {
	most := poolsAtOnce(p.pools, p.share)
	for _, l := range p.lanes {
		// A lane that no budget lets out must not hold the place of another.
		if l.safe > 0 && (most > 0 || l.out > 0) {
			p.limit += l.safe
			most--
		}
	}
	start := first(p.limit, p.status.Hosts, p.share)
	p.status.Parallelism, p.status.ParallelismReason = p.history.width(start, p.limit, growth(p.share), p.proving)
	if bound := p.input.Spec.MaxParallel; bound > 0 && bound < p.status.Parallelism {
		p.status.Parallelism, p.status.ParallelismReason = bound, "the record's maxParallel"
		p.limit = min(p.limit, bound)
	}
}

// mayStart reports whether the wave would start another host now.
func (p *planner) mayStart() bool {
	return p.status.Phase == Running && !p.exhausted && p.out+p.started < p.status.Parallelism
}

// startDown starts hosts that are down already: they take nothing from the
// service that it still has.
func (p *planner) startDown() {
	for _, host := range p.down {
		if p.status.Phase != Running {
			return
		}
		if book := p.fleet.Budgets; book.Has(host.Name) {
			if decision := book.Check(host.Name); !decision.Allowed {
				p.status.Waiting[host.Name] = "down; " + decision.Reason
				continue
			}
		}
		p.steps = append(p.steps, Step{
			Host: host.Name, Verb: MarkDraining, Reason: "down already", AlreadyDown: true,
		})
	}
}

// startNext starts one more host: of the lanes in turn for speed, of the first
// lane that lets one out for a small buffer.
func (p *planner) startNext() {
	for range p.lanes {
		l := p.lanes[p.rotation%len(p.lanes)]
		host, ok := l.pick(p.fleet.Budgets)
		if !ok || p.spread() {
			p.rotation++
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

// Advance returns the steps that take a wave's hosts that are out further, and
// starts none. LastChance says that nothing but hosts that were down before is
// out or about to go out, so that those have no more time to come back.
func Advance(fleet Snapshot, input Input, lastChance bool) []Step {
	if fleet.Budgets == nil {
		fleet.Budgets = budget.NewTracker(nil, nil)
	}
	p := &planner{input: input, fleet: fleet}
	p.history = readHistory(input.Name, input.Spec.ResumeGeneration, input.Hosts)
	p.advance(lastChance)
	return p.steps
}

// advance takes every host that is out one transition further.
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
		if step.Visit = t.visit(step, sequence+1, p.fleet.Now); step.Visit != nil {
			sequence++
		}
		p.steps = append(p.steps, step)
	}
}

// anyAllowed returns the first waiting host that the book lets out.
func (p *planner) anyAllowed(book *budget.Tracker) (Host, bool) {
	for _, l := range p.lanes {
		for _, r := range l.racks {
			if r.taken < len(r.hosts) && book.Check(r.hosts[r.taken].Name).Allowed {
				return r.hosts[r.taken], true
			}
		}
	}
	return Host{}, false
}
