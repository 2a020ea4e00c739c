// Package soak injects faults into a deployment of separate glade-gateway and
// glade-controller processes. It has a seeded schedule of faults, a simulated
// platform that counts what happened, and checks on these counts. The processes
// are started and stopped by scripts/soak, since no process of this project starts
// another.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Faults of processes are carried out by scripts/soak, all
// others by the simulated platform.
const (
	// KillProcess kills a process and starts its replacement.
	KillProcess FaultKind = "kill"
	// PauseProcess suspends a process for longer than its lease TTL.
	PauseProcess FaultKind = "pause"
	// StopProcess stops a process gracefully and starts its replacement.
	StopProcess FaultKind = "stop"
	// StoreDown makes the store refuse all calls.
	StoreDown FaultKind = "store-down"
	// StoreThrottled makes the store refuse calls because of their rate.
	StoreThrottled FaultKind = "store-throttled"
	// LoseResponses loses a fraction of the store's responses to writes.
	LoseResponses FaultKind = "lose-answers"
	// ZoneDown takes down all endpoint hosts of a zone.
	ZoneDown FaultKind = "zone-down"
	// HostDown takes down one endpoint host.
	HostDown FaultKind = "host-down"
)

// Fault is one entry of a schedule.
type Fault struct {
	// At is the time since the start of the run.
	At   time.Duration
	Kind FaultKind
	// Target is a process, a zone or a host; empty for the store.
	Target string
	// Duration is how long the fault lasts; zero for instantaneous faults.
	Duration time.Duration
}

// Line returns the fault in the format that scripts/soak reads: start in
// milliseconds, kind, target, duration in milliseconds.
func (f Fault) Line() string {
	target := f.Target
	if target == "" {
		target = "-"
	}
	return fmt.Sprintf("%d %s %s %d", f.At.Milliseconds(), f.Kind, target, f.Duration.Milliseconds())
}

// Targets lists the possible targets of faults.
type Targets struct {
	Gateways    []string
	Controllers []string
	Zones       []string
	Hosts       []string
}

// The durations of a schedule: a start without faults, the faults, and an end
// without faults in which the deployment must recover.
const (
	quietStart = 4 * time.Second
	// RecoveryPeriod is the length of the last part of a run, in which no faults
	// are injected.
	RecoveryPeriod       = 15 * time.Second
	meanFaultInterval    = 2500 * time.Millisecond
	pauseDuration        = 12 * time.Second
	zoneDuration         = 4 * time.Second
	hostDuration         = 3 * time.Second
	storeDuration        = 6 * time.Second
	responseLossDuration = 5 * time.Second
	recoveryGap          = 3 * time.Second
)

// Plan returns the faults of a run; the same seed gives the same faults. At most
// one process of a role is under a fault at a time, and a zone fails only while no
// other host fault is active: the budgets cover the worst single failure, not two
// at once.
func Plan(seed uint64, length time.Duration, targets Targets) []Fault {
	p := &planner{
		random:    rand.New(rand.NewPCG(seed, seed)),
		targets:   targets,
		end:       length - RecoveryPeriod,
		busyUntil: make(map[string]time.Duration),
	}
	for at := quietStart; at < p.end; at += p.nextInterval() {
		p.addRandom(at)
	}
	sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].At < p.faults[j].At })
	return p.faults
}

type planner struct {
	random  *rand.Rand
	targets Targets
	end     time.Duration
	faults  []Fault
	// busyUntil is the time, by group of targets, until which the group's last
	// fault lasts, including the recovery after it.
	busyUntil map[string]time.Duration
}

func (p *planner) nextInterval() time.Duration {
	return meanFaultInterval/2 + time.Duration(p.random.Int64N(int64(meanFaultInterval)))
}

// The groups of targets. At most one target of a group is under a fault at a
// time.
const (
	groupGateways    = "gateways"
	groupControllers = "controllers"
	groupStore       = "store"
	groupHosts       = "hosts"
)

func (p *planner) addRandom(at time.Duration) {
	processKinds := []FaultKind{KillProcess, PauseProcess, StopProcess}
	switch p.random.IntN(8) {
	case 0, 1:
		p.schedule(at, groupGateways, processKinds[p.random.IntN(3)], p.pick(p.targets.Gateways))
	case 2, 3:
		p.schedule(at, groupControllers, processKinds[p.random.IntN(3)], p.pick(p.targets.Controllers))
	case 4:
		p.schedule(at, groupStore, StoreDown, "")
	case 5:
		kinds := []FaultKind{LoseResponses, StoreThrottled}
		p.schedule(at, groupStore, kinds[p.random.IntN(2)], "")
	case 6:
		p.schedule(at, groupHosts, HostDown, p.pick(p.targets.Hosts))
	case 7:
		p.schedule(at, groupHosts, ZoneDown, p.pick(p.targets.Zones))
	}
}

func (p *planner) schedule(at time.Duration, group string, kind FaultKind, target string) {
	duration := faultDurations[kind]
	if at < p.busyUntil[group] || at+duration+recoveryGap > p.end {
		return
	}
	p.busyUntil[group] = at + duration + recoveryGap
	p.faults = append(p.faults, Fault{At: at, Kind: kind, Target: target, Duration: duration})
}

var faultDurations = map[FaultKind]time.Duration{
	PauseProcess:   pauseDuration,
	StoreDown:      storeDuration,
	StoreThrottled: storeDuration,
	LoseResponses:  responseLossDuration,
	ZoneDown:       zoneDuration,
	HostDown:       hostDuration,
}

func (p *planner) pick(names []string) string { return names[p.random.IntN(len(names))] }
