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

// FaultKind is one thing that happens to the deployment.
type FaultKind string

// The verbs. Those on processes are carried out by the script, the others by
// the stand-in platform.
const (
	// KillProcess ends a process at once and starts its replacement.
	KillProcess FaultKind = "kill"
	// PauseProcess stops a process for longer than its leases last.
	PauseProcess FaultKind = "pause"
	// StopProcess stops a process as planned and starts its replacement.
	StopProcess FaultKind = "stop"
	// StoreDown makes the store refuse everything.
	StoreDown FaultKind = "store-down"
	// StoreThrottled makes the store refuse calls for their rate.
	StoreThrottled FaultKind = "store-throttled"
	// LoseResponses loses a share of the store's write answers.
	LoseResponses FaultKind = "lose-answers"
	// ZoneDown takes every endpoint host of a zone down.
	ZoneDown FaultKind = "zone-down"
	// HostDown takes one endpoint host down.
	HostDown FaultKind = "host-down"
)

// Fault is one entry of a schedule.
type Fault struct {
	// At counts from the start of the run.
	At   time.Duration
	Kind FaultKind
	// Target is a process, a zone or a host; empty for the store.
	Target string
	// Duration is how long the fault holds; zero for those that are over at once.
	Duration time.Duration
}

// Line returns the fault as the script reads it: milliseconds, verb, target,
// milliseconds.
func (f Fault) Line() string {
	target := f.Target
	if target == "" {
		target = "-"
	}
	return fmt.Sprintf("%d %s %s %d", f.At.Milliseconds(), f.Kind, target, f.Duration.Milliseconds())
}

// Targets names what a schedule may hit.
type Targets struct {
	Gateways    []string
	Controllers []string
	Zones       []string
	Hosts       []string
}

// Spans of a schedule: a calm start, faults, and a calm end in which
// everything must recover.
const (
	calmStart = 4 * time.Second
	// RecoveryPeriod is how long the last part of a run stays without new faults.
	RecoveryPeriod = 15 * time.Second
	meanGap        = 2500 * time.Millisecond
	pauseTime      = 12 * time.Second
	zoneTime       = 4 * time.Second
	hostTime       = 3 * time.Second
	storeTime      = 6 * time.Second
	lossyTime      = 5 * time.Second
	settleTime     = 3 * time.Second
)

// Plan returns the faults of a run, the same for the same seed. One process of
// a role is hit at a time and a zone is only lost while nothing else is: the
// budgets are made for the worst single loss, not for two at once.
func Plan(seed uint64, length time.Duration, fleet Targets) []Fault {
	p := &planner{
		random: rand.New(rand.NewPCG(seed, seed)),
		fleet:  fleet,
		end:    length - RecoveryPeriod,
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
	fleet  Targets
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
	processVerbs := []FaultKind{KillProcess, PauseProcess, StopProcess}
	switch p.random.IntN(8) {
	case 0, 1:
		p.put(at, groupGateways, processVerbs[p.random.IntN(3)], p.pick(p.fleet.Gateways))
	case 2, 3:
		p.put(at, groupControllers, processVerbs[p.random.IntN(3)], p.pick(p.fleet.Controllers))
	case 4:
		p.put(at, groupStore, StoreDown, "")
	case 5:
		verbs := []FaultKind{LoseResponses, StoreThrottled}
		p.put(at, groupStore, verbs[p.random.IntN(2)], "")
	case 6:
		p.put(at, groupHosts, HostDown, p.pick(p.fleet.Hosts))
	case 7:
		p.put(at, groupHosts, ZoneDown, p.pick(p.fleet.Zones))
	}
}

func (p *planner) put(at time.Duration, group string, verb FaultKind, target string) {
	lasts := lengths[verb]
	if at < p.busy[group] || at+lasts+settleTime > p.end {
		return
	}
	p.busy[group] = at + lasts + settleTime
	p.faults = append(p.faults, Fault{At: at, Kind: verb, Target: target, Duration: lasts})
}

var lengths = map[FaultKind]time.Duration{
	PauseProcess:   pauseTime,
	StoreDown:      storeTime,
	StoreThrottled: storeTime,
	LoseResponses:  lossyTime,
	ZoneDown:       zoneTime,
	HostDown:       hostTime,
}

func (p *planner) pick(names []string) string { return names[p.random.IntN(len(names))] }
