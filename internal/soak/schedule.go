// Package soak drives faults through real, separate glade-gateway and
// glade-controller processes: a seeded schedule of faults, a stand-in platform
// that counts what happened, and a judgement from its counts. The processes
// are started and stopped by scripts/soak, since no process of ours starts
// another.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Verb is one thing that happens to the deployment.
type Verb string

// The verbs. Those on processes are carried out by the script, the others by
// the stand-in platform.
const (
	// KillProcess ends a process at once and starts its replacement.
	KillProcess Verb = "kill"
	// PauseProcess stops a process for longer than its leases last.
	PauseProcess Verb = "pause"
	// StopProcess stops a process as planned and starts its replacement.
	StopProcess Verb = "stop"
	// StoreDown makes the store refuse everything.
	StoreDown Verb = "store-down"
	// StoreThrottled makes the store refuse calls for their rate.
	StoreThrottled Verb = "store-throttled"
	// LoseAnswers loses a share of the store's write answers.
	LoseAnswers Verb = "lose-answers"
	// ZoneDown takes every endpoint host of a zone down.
	ZoneDown Verb = "zone-down"
	// HostDown takes one endpoint host down.
	HostDown Verb = "host-down"
)

// Fault is one entry of a schedule.
type Fault struct {
	// At counts from the start of the run.
	At   time.Duration
	Verb Verb
	// Target is a process, a zone or a host; empty for the store.
	Target string
	// Lasts is how long the fault holds; zero for those that are over at once.
	Lasts time.Duration
}

// Line returns the fault as the script reads it: milliseconds, verb, target,
// milliseconds.
func (f Fault) Line() string {
	target := f.Target
	if target == "" {
		target = "-"
	}
	return fmt.Sprintf("%d %s %s %d", f.At.Milliseconds(), f.Verb, target, f.Lasts.Milliseconds())
}

// Fleet names what a schedule may hit.
type Fleet struct {
	Gateways    []string
	Controllers []string
	Zones       []string
	Hosts       []string
}

// Spans of a schedule: a calm start, faults, and a calm end in which
// everything must recover.
const (
	calmStart = 4 * time.Second
	// CalmEnd is how long the last part of a run stays without new faults.
	CalmEnd    = 15 * time.Second
	meanGap    = 2500 * time.Millisecond
	pauseTime  = 12 * time.Second
	zoneTime   = 4 * time.Second
	hostTime   = 3 * time.Second
	storeTime  = 6 * time.Second
	lossyTime  = 5 * time.Second
	settleTime = 3 * time.Second
)

// Plan returns the faults of a run, the same for the same seed. One process of
// a role is hit at a time and a zone is only lost while nothing else is: the
// budgets are made for the worst single loss, not for two at once.
func Plan(seed uint64, length time.Duration, fleet Fleet) []Fault {
	p := &planner{
		random: rand.New(rand.NewPCG(seed, seed)),
		fleet:  fleet,
		end:    length - CalmEnd,
		busy:   make(map[string]time.Duration),
	}
	for at := calmStart; at < p.end; at += p.gap() {
		p.add(at)
	}
	sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].At < p.faults[j].At })
	return p.faults
}

type planner struct {
	random *rand.Rand
	fleet  Fleet
	end    time.Duration
	faults []Fault
	// busy says until when a group of targets is under a fault.
	busy map[string]time.Duration
}

func (p *planner) gap() time.Duration {
	return meanGap/2 + time.Duration(p.random.Int64N(int64(meanGap)))
}

// The groups of which one member at a time is under a fault.
const (
	groupGateways    = "gateways"
	groupControllers = "controllers"
	groupStore       = "store"
	groupHosts       = "hosts"
)

func (p *planner) add(at time.Duration) {
	processVerbs := []Verb{KillProcess, PauseProcess, StopProcess}
	switch p.random.IntN(8) {
	case 0, 1:
		p.put(at, groupGateways, processVerbs[p.random.IntN(3)], p.pick(p.fleet.Gateways))
	case 2, 3:
		p.put(at, groupControllers, processVerbs[p.random.IntN(3)], p.pick(p.fleet.Controllers))
	case 4:
		p.put(at, groupStore, StoreDown, "")
	case 5:
		verbs := []Verb{LoseAnswers, StoreThrottled}
		p.put(at, groupStore, verbs[p.random.IntN(2)], "")
	case 6:
		p.put(at, groupHosts, HostDown, p.pick(p.fleet.Hosts))
	case 7:
		p.put(at, groupHosts, ZoneDown, p.pick(p.fleet.Zones))
	}
}

func (p *planner) put(at time.Duration, group string, verb Verb, target string) {
	lasts := lengths[verb]
	if at < p.busy[group] || at+lasts+settleTime > p.end {
		return
	}
	p.busy[group] = at + lasts + settleTime
	p.faults = append(p.faults, Fault{At: at, Verb: verb, Target: target, Lasts: lasts})
}

var lengths = map[Verb]time.Duration{
	PauseProcess:   pauseTime,
	StoreDown:      storeTime,
	StoreThrottled: storeTime,
	LoseAnswers:    lossyTime,
	ZoneDown:       zoneTime,
	HostDown:       hostTime,
}

func (p *planner) pick(names []string) string { return names[p.random.IntN(len(names))] }
