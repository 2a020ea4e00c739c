// Package mover decides which pool each host belongs to, and moves hosts
// between pools. Make is pure: a snapshot in, a plan with its reasons out.
package mover

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// Host is one host as the planner sees it.
type Host struct {
	Name, Zone, Rack string
	// Live says that the platform lists the host as live.
	Live bool
	// HasRecord says that the host has a record.
	HasRecord bool
	Record    hostrecord.Record
	// MaintenanceDue says that a running wave will drain the host anyway.
	MaintenanceDue bool
	// VisitedByWave says that a wave in force still counts its visit to the host.
	VisitedByWave bool
}

// missing reports whether the platform has lost a host that it should list. One
// that is out for a wave or a move restarts by our own doing, for longer than
// the hold if it takes its time, and is in hand until it serves or is given up.
// Counted as lost, its pool would lack it, another host would move in, and that
// one would be too many when it is back.
func (h Host) missing() bool {
	inHand := !h.Record.TakesWork() && h.Record.Phase != hostrecord.Failed
	return h.HasRecord && !h.Live && !inHand
}

// Input is the snapshot a plan is made from.
type Input struct {
	Pools map[string]*record.Pool
	Hosts []Host
	// ReasonAges is how long each reason has held; see Holds.
	ReasonAges ReasonAges
	// StabilizationWindow is how long a reason must hold before a host moves for it.
	StabilizationWindow time.Duration
	// MaxMoves bounds the hosts in a move of their own at once; zero means no
	// bound. Budgets bound them besides.
	MaxMoves int
}

// Assignment gives a host that belongs to no pool yet to one.
type Assignment struct{ Host, Pool, Reason string }

// Move takes a host out of one pool and into another.
type Move struct {
	Host, From, To, Reason string
	// WithWave says that a wave drains the host soon: the move waits for it,
	// so that move and maintenance share one drain.
	WithWave bool
}

// Change is a host's record to be changed or removed, and why.
type Change struct{ Host, Reason string }

// Plan is what to do now, and why the rest waits.
type Plan struct {
	Assign []Assignment
	// Moves are to be begun.
	Moves []Move
	// Withdraw names hosts whose planned move has lost its reason.
	Withdraw []Change
	// Forget names hosts that are gone for good.
	Forget []Change
	// Waiting says by pool why its missing hosts don't come now.
	Waiting map[string]string
}

// Limits of a plan.
const (
	// GoneAfter is how long a host must be missing from the platform's list
	// before its record is removed. It is well above the loss of a zone or of
	// the way to a region, which pass within the hour.
	GoneAfter = 2 * time.Hour
	// VisitedGoneAfter is GoneAfter for a host that a wave in force counts.
	VisitedGoneAfter = 24 * time.Hour
	// WaveWait is how long a lasting deficit waits for a wave to bring its
	// host, beyond the hold.
	WaveWait = time.Hour
)

// noPool is the group of hosts that belong to no pool yet.
const noPool = ""

// MakePlan plans assignments and moves.
func MakePlan(input Input) Plan {
	c := newCensus(input)
	p := &planner{input: input, census: c, plan: Plan{Waiting: make(map[string]string)}}
	p.forget()
	p.withdraw()
	p.fill()
	sort.Slice(p.plan.Assign, func(i, j int) bool { return p.plan.Assign[i].Host < p.plan.Assign[j].Host })
	return p.plan
}

type planner struct {
	input  Input
	census *census
	plan   Plan
}

func (p *planner) forget() {
	for _, host := range p.input.Hosts {
		if !host.HasRecord || host.Live {
			continue
		}
		need := GoneAfter
		if host.VisitedByWave {
			need = VisitedGoneAfter
		}
		// A host in mid-maintenance is its wave's until the wave gives it up:
		// its grant stays counted until then.
		settled := host.Record.Phase == hostrecord.Serving || host.Record.Phase == hostrecord.Failed
		if settled && p.input.ReasonAges.Unavailable[host.Name] >= need {
			p.plan.Forget = append(p.plan.Forget, Change{Host: host.Name, Reason: fmt.Sprintf("missing from the platform's list for %s", need)})
		}
	}
}

// withdraw takes back moves that haven't begun and whose pool needs no host
// any more.
func (p *planner) withdraw() {
	for _, name := range slices.Sorted(maps.Keys(p.census.incoming)) {
		over := p.census.members[name] - p.census.sizes[name]
		for _, host := range p.census.incoming[name] {
			if host.Record.Phase != hostrecord.Serving || (over <= 0 && p.census.exists(name)) {
				continue
			}
			over--
			p.plan.Withdraw = append(p.plan.Withdraw, Change{Host: host.Name, Reason: fmt.Sprintf("pool %s needs no more hosts", name)})
		}
	}
}

// fill covers deficits: from hosts without a pool first, at once; then, for
// reasons that lasted, from pools that have too many.
func (p *planner) fill() {
	p.goOn()
	deficits := p.deficits()
	round := newRound(p.census, deficits)
	round.addGroup(noPool, p.census.offered(noPool))
	round.run()
	for name, lack := range deficits {
		lasting := lastingCount(p.input.ReasonAges.Deficits[name], p.input.StabilizationWindow)
		round.narrow(name, min(lasting, lack-round.filled(name)))
	}
	surplus := p.lastingSurplus()
	for _, name := range slices.Sorted(maps.Keys(surplus)) {
		round.addGroup(name, surplus[name])
	}
	round.run()
	reasons := make(map[string]string)
	for name := range deficits {
		reasons[name] = p.census.why(name)
	}
	picked := make(map[string]bool)
	for _, pick := range round.picks() {
		picked[pick.host.Name] = true
		if pick.from == noPool {
			p.plan.Assign = append(p.plan.Assign, Assignment{Host: pick.host.Name, Pool: pick.to, Reason: reasons[pick.to]})
			continue
		}
		p.begin(pick, fmt.Sprintf("pool %s has lacked hosts and pool %s has had too many for %s", pick.to, pick.from, p.input.StabilizationWindow))
	}
	p.explain(deficits)
	p.spread(picked)
}

// goOn begins the moves that were planned to go with a wave which no longer
// comes, or not soon enough.
func (p *planner) goOn() {
	withdrawn := make(map[string]bool)
	for _, change := range p.plan.Withdraw {
		withdrawn[change.Host] = true
	}
	for _, name := range slices.Sorted(maps.Keys(p.census.incoming)) {
		for _, host := range p.census.incoming[name] {
			planned := pick{host: host, from: host.Record.Pool, to: name}
			if host.Record.Phase == hostrecord.Serving && host.Live && !withdrawn[host.Name] && !p.waits(planned) {
				p.begin(planned, "its move was planned and no wave brings it")
			}
		}
	}
}

func (p *planner) begin(pick pick, reason string) {
	move := Move{Host: pick.host.Name, From: pick.from, To: pick.to, Reason: reason, WithWave: p.waits(pick)}
	if !move.WithWave {
		if p.input.MaxMoves > 0 && p.census.moving >= p.input.MaxMoves {
			p.plan.Waiting[pick.to] = fmt.Sprintf("%d moves are under way, %d may be at once", p.census.moving, p.input.MaxMoves)
			return
		}
		p.census.moving++
	}
	p.plan.Moves = append(p.plan.Moves, move)
}

// waits reports whether a move is left to a wave: as long as the pool hasn't
// been short for too long.
func (p *planner) waits(pick pick) bool {
	lasted := p.input.ReasonAges.Deficits[pick.to]
	return pick.host.MaintenanceDue && (len(lasted) == 0 || lasted[0] < p.input.StabilizationWindow+WaveWait)
}

func (p *planner) deficits() map[string]int {
	deficits := make(map[string]int)
	for name := range p.input.Pools {
		if lack := p.census.sizes[name] - p.census.members[name]; lack > 0 {
			deficits[name] = lack
		}
	}
	return deficits
}

func (p *planner) lastingSurplus() map[string]int {
	surplus := make(map[string]int)
	for name := range p.census.movable {
		if name == noPool {
			continue
		}
		over := min(p.census.members[name]-p.census.sizes[name], lastingCount(p.input.ReasonAges.Surpluses[name], p.input.StabilizationWindow))
		if over > 0 {
			surplus[name] = over
		}
	}
	return surplus
}

func (p *planner) explain(deficits map[string]int) {
	for name := range deficits {
		open := p.census.sizes[name] - p.census.members[name]
		if open <= 0 || p.plan.Waiting[name] != "" {
			continue
		}
		lasted := time.Duration(0)
		if held := p.input.ReasonAges.Deficits[name]; len(held) > 0 {
			lasted = held[len(held)-1]
		}
		reason := "no pool in its zones has hosts over its size for long enough"
		if lasted < p.input.StabilizationWindow {
			reason = fmt.Sprintf("the newest lack has lasted %s of %s", lasted.Round(time.Second), p.input.StabilizationWindow)
		}
		p.plan.Waiting[name] = fmt.Sprintf("lacks %d hosts: %s", open, reason)
	}
}

func lastingCount(lasted []time.Duration, hold time.Duration) int {
	return sort.Search(len(lasted), func(i int) bool { return lasted[i] < hold })
}
