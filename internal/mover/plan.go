// Package mover decides which pool each host belongs to and moves hosts between
// pools. MakePlan is a pure function from a snapshot to a plan with reasons.
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
	// Live is whether the platform lists the host as live, or the host is out
	// for a wave or a move and listed in any state.
	Live bool
	// HasRecord is whether the host has a record.
	HasRecord bool
	Record    hostrecord.Record
	// MaintenanceDue is whether a running wave is still to drain the host.
	MaintenanceDue bool
	// VisitedByWave is whether an existing wave has an outcome for the host.
	VisitedByWave bool
}

// missing reports whether a host that should be listed as live isn't. A host that is
// out for a wave or a move is not missing until it serves again or is marked failed,
// although a slow reboot may take longer than the stabilization window. If it
// counted as missing, another host would be moved into its pool and the pool would
// have one too many when it returns.
func (h Host) missing() bool {
	inOperation := !h.Record.Schedulable() && h.Record.Phase != hostrecord.Failed
	return h.HasRecord && !h.Live && !inOperation
}

// Input is the snapshot that a plan is computed from.
type Input struct {
	Pools map[string]*record.Pool
	Hosts []Host
	// ReasonAges is how long each reason to move has existed.
	ReasonAges ReasonAges
	// StabilizationWindow is how long a reason must exist before a host moves.
	StabilizationWindow time.Duration
	// MaxMoves limits the concurrent moves without a wave; zero means no limit.
	// Disruption budgets limit them too.
	MaxMoves int
}

// Assignment assigns a host without a pool to a pool.
type Assignment struct{ Host, Pool, Reason string }

// Move moves a host from one pool to another.
type Move struct {
	Host, From, To, Reason string
	// WithWave is whether the move waits for a wave that is still to drain the
	// host, so that move and maintenance share one drain.
	WithWave bool
}

// Change is a change or removal of a host's record, with its reason.
type Change struct{ Host, Reason string }

// Plan is what to do now, and why the remaining deficits wait.
type Plan struct {
	Assign []Assignment
	// Moves lists the moves to start.
	Moves []Move
	// Withdraw lists hosts whose planned move is no longer needed.
	Withdraw []Change
	// Removals lists permanently lost hosts, whose records are to be removed.
	Removals []Change
	// Waiting maps a pool to the reason why its deficit isn't covered now.
	Waiting map[string]string
}

// Limits of a plan.
const (
	// LostHostTTL is how long a host must be missing from the platform's list
	// before its record is removed. It is well above the duration of a zone loss
	// or a network outage to a region, which end within an hour.
	LostHostTTL = 2 * time.Hour
	// VisitedHostTTL replaces LostHostTTL for a host with VisitedByWave.
	VisitedHostTTL = 24 * time.Hour
	// MaxWaveWait is how long, beyond the stabilization window, a deficit waits for
	// a host that moves with a wave.
	MaxWaveWait = time.Hour
)

// noPool is the group of hosts without a pool.
const noPool = ""

// MakePlan computes the assignments, moves, withdrawals and removals.
func MakePlan(input Input) Plan {
	c := newHostCounts(input)
	p := &planner{input: input, hostCounts: c, plan: Plan{Waiting: make(map[string]string)}}
	p.forgetLostHosts()
	p.withdrawMoves()
	p.fill()
	sort.Slice(p.plan.Assign, func(i, j int) bool { return p.plan.Assign[i].Host < p.plan.Assign[j].Host })
	return p.plan
}

type planner struct {
	input      Input
	hostCounts *hostCounts
	plan       Plan
}

func (p *planner) forgetLostHosts() {
	for _, host := range p.input.Hosts {
		if !host.HasRecord || host.Live {
			continue
		}
		need := LostHostTTL
		if host.VisitedByWave {
			need = VisitedHostTTL
		}
		// A host in maintenance or a move keeps its record, and so its grants,
		// until it serves again or is marked failed.
		idle := host.Record.Phase == hostrecord.Serving || host.Record.Phase == hostrecord.Failed
		if idle && p.input.ReasonAges.Unavailable[host.Name] >= need {
			p.plan.Removals = append(p.plan.Removals, Change{Host: host.Name, Reason: fmt.Sprintf("missing from the platform's list for %s", need)})
		}
	}
}

// withdrawMoves withdraws moves that haven't started and whose destination pool no
// longer exists or needs no more hosts.
func (p *planner) withdrawMoves() {
	for _, name := range slices.Sorted(maps.Keys(p.hostCounts.incoming)) {
		surplus := p.hostCounts.members[name] - p.hostCounts.sizes[name]
		for _, host := range p.hostCounts.incoming[name] {
			if host.Record.Phase != hostrecord.Serving || (surplus <= 0 && p.hostCounts.exists(name)) {
				continue
			}
			surplus--
			p.plan.Withdraw = append(p.plan.Withdraw, Change{Host: host.Name, Reason: fmt.Sprintf("pool %s needs no more hosts", name)})
		}
	}
}

// fill covers deficits: first and at once with hosts without a pool; then, for
// deficits and surpluses older than the stabilization window, with hosts of other
// pools.
func (p *planner) fill() {
	p.beginPlannedMoves()
	deficits := p.deficits()
	matching := newMatching(p.hostCounts, deficits)
	matching.addGroup(noPool, p.hostCounts.movableCount(noPool))
	matching.run()
	for name, deficit := range deficits {
		due := lastingCount(p.input.ReasonAges.Deficits[name], p.input.StabilizationWindow)
		matching.limitPool(name, min(due, deficit-matching.filled(name)))
	}
	surplus := p.lastingSurplus()
	for _, name := range slices.Sorted(maps.Keys(surplus)) {
		matching.addGroup(name, surplus[name])
	}
	matching.run()
	reasons := make(map[string]string)
	for name := range deficits {
		reasons[name] = p.hostCounts.sizeReason(name)
	}
	picked := make(map[string]bool)
	for _, pick := range matching.picks() {
		picked[pick.host.Name] = true
		if pick.from == noPool {
			p.plan.Assign = append(p.plan.Assign, Assignment{Host: pick.host.Name, Pool: pick.to, Reason: reasons[pick.to]})
			continue
		}
		p.addMove(pick, fmt.Sprintf("pool %s has lacked hosts and pool %s has had too many for %s", pick.to, pick.from, p.input.StabilizationWindow))
	}
	p.explainDeficits(deficits)
	p.spreadPools(picked)
}

// beginPlannedMoves starts moves that were planned to wait for a wave if the wave no
// longer covers the host or the deficit has waited too long.
func (p *planner) beginPlannedMoves() {
	withdrawn := make(map[string]bool)
	for _, change := range p.plan.Withdraw {
		withdrawn[change.Host] = true
	}
	for _, name := range slices.Sorted(maps.Keys(p.hostCounts.incoming)) {
		for _, host := range p.hostCounts.incoming[name] {
			planned := pick{host: host, from: host.Record.Pool, to: name}
			if host.Record.Phase == hostrecord.Serving && host.Live && !withdrawn[host.Name] && !p.waitsForWave(planned) {
				p.addMove(planned, "its move was planned and no wave brings it")
			}
		}
	}
}

func (p *planner) addMove(pick pick, reason string) {
	move := Move{Host: pick.host.Name, From: pick.from, To: pick.to, Reason: reason, WithWave: p.waitsForWave(pick)}
	if !move.WithWave {
		if p.input.MaxMoves > 0 && p.hostCounts.moving >= p.input.MaxMoves {
			p.plan.Waiting[pick.to] = fmt.Sprintf("%d moves are under way, %d may be at once", p.hostCounts.moving, p.input.MaxMoves)
			return
		}
		p.hostCounts.moving++
	}
	p.plan.Moves = append(p.plan.Moves, move)
}

// waitsForWave reports whether a move waits for a wave to drain the host: the host's
// maintenance is due and the deficit isn't older than the window plus MaxWaveWait.
func (p *planner) waitsForWave(pick pick) bool {
	ages := p.input.ReasonAges.Deficits[pick.to]
	return pick.host.MaintenanceDue && (len(ages) == 0 || ages[0] < p.input.StabilizationWindow+MaxWaveWait)
}

func (p *planner) deficits() map[string]int {
	deficits := make(map[string]int)
	for name := range p.input.Pools {
		if deficit := p.hostCounts.sizes[name] - p.hostCounts.members[name]; deficit > 0 {
			deficits[name] = deficit
		}
	}
	return deficits
}

func (p *planner) lastingSurplus() map[string]int {
	surplus := make(map[string]int)
	for name := range p.hostCounts.movable {
		if name == noPool {
			continue
		}
		excess := min(p.hostCounts.members[name]-p.hostCounts.sizes[name], lastingCount(p.input.ReasonAges.Surpluses[name], p.input.StabilizationWindow))
		if excess > 0 {
			surplus[name] = excess
		}
	}
	return surplus
}

func (p *planner) explainDeficits(deficits map[string]int) {
	for name := range deficits {
		missing := p.hostCounts.sizes[name] - p.hostCounts.members[name]
		if missing <= 0 || p.plan.Waiting[name] != "" {
			continue
		}
		age := time.Duration(0)
		if ages := p.input.ReasonAges.Deficits[name]; len(ages) > 0 {
			age = ages[len(ages)-1]
		}
		reason := "no pool in its zones has hosts over its size for long enough"
		if age < p.input.StabilizationWindow {
			reason = fmt.Sprintf("the newest lack has lasted %s of %s", age.Round(time.Second), p.input.StabilizationWindow)
		}
		p.plan.Waiting[name] = fmt.Sprintf("lacks %d hosts: %s", missing, reason)
	}
}

// lastingCount returns how many of the ages, in descending order, are at least window.
func lastingCount(ages []time.Duration, window time.Duration) int {
	return sort.Search(len(ages), func(i int) bool { return ages[i] < window })
}
