// Package fakefleet is a small in-memory stand-in for the platform's hosts. It
// keeps its own record of who was taken down when, so that tests judge the
// system by what happened to the hosts and not by what the system says.
package fakefleet

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

// Options shape the stand-in's behaviour. The zero value reboots at once and
// has no lag.
type Options struct {
	// ListLag is how far the host list lags behind the truth.
	ListLag time.Duration
	// RebootTime is how long a host is away in a reboot.
	RebootTime time.Duration
	// LastRebootOnly makes the platform remember only the last Reboot of each host,
	// so that it takes acts of operations that have ended.
	LastRebootOnly bool
	// OnDown and OnUp, when set, are told when a host goes and comes back.
	OnDown func(host string)
	OnUp   func(host string)
	// InFlight, when set, counts the work that runs on a host.
	InFlight func(host string) int
}

// Fleet is the stand-in. It implements fleet.HostList and fleet.PoolHosts.
type Fleet struct {
	options Options
	mu      sync.Mutex
	hosts   map[string]*hostState
	// published is the host list as the platform shows it, lagging.
	published   []fleet.Host
	publishedAt time.Time
	acts        []Action
	faults      faultState
}

type hostState struct {
	host          fleet.Host
	up            bool
	sick          bool
	draining      bool
	boots         int
	lastOperation string
	// operation is the one the host is drained under; ended holds those over.
	operation string
	ended     map[string]bool
	// outages counts how often the host went down, so that the return from an
	// earlier one doesn't end a later one.
	outages int
	// neverReturns makes the next reboot the host's last.
	neverReturns bool
	rebootTime   time.Duration
}

// Action is one act the fleet took, in order.
type Action struct {
	Host      string
	Verb      string
	Operation string
	At        time.Time
	// InFlight is the work that ran on the host at that moment.
	InFlight int
}

// The verbs of an Act.
const (
	VerbDrain   = "drain"
	VerbUndrain = "undrain"
	VerbReboot  = "reboot"
	VerbReturn  = "return"
	VerbCrash   = "crash"
)

var (
	_ fleet.HostList    = (*Fleet)(nil)
	_ fleet.HostControl = (*Fleet)(nil)
)

// New returns a fleet of hosts that are all up.
func New(hosts []fleet.Host, options Options) *Fleet {
	f := &Fleet{options: options, hosts: make(map[string]*hostState, len(hosts))}
	for _, host := range hosts {
		f.hosts[host.Name] = &hostState{
			host: host, up: true, boots: 1, rebootTime: options.RebootTime, ended: make(map[string]bool),
		}
	}
	f.published = f.listLocked()
	f.publishedAt = time.Now()
	return f
}

// Hosts implements fleet.HostList.
func (f *Fleet) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if err := f.refused(ctx, "list", ""); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.publishedAt) >= f.options.ListLag {
		f.published = f.listLocked()
		f.publishedAt = time.Now()
	}
	return append([]fleet.Host(nil), f.published...), nil
}

func (f *Fleet) listLocked() []fleet.Host {
	var hosts []fleet.Host
	for _, state := range f.hosts {
		if !state.up {
			continue
		}
		host := state.host
		host.State = fleet.HostLive
		if state.draining {
			host.State = fleet.HostDraining
		}
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Condition implements fleet.PoolHosts.
func (f *Fleet) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	if err := f.refused(ctx, "condition", host); err != nil {
		return fleet.HostCondition{}, err
	}
	f.mu.Lock()
	state := f.hosts[host]
	f.mu.Unlock()
	if state == nil {
		return fleet.HostCondition{}, &fleet.HostUnknownError{Host: host}
	}
	inFlight := f.inFlight(host)
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleet.HostCondition{
		Reachable:     state.up,
		Healthy:       state.up && !state.sick,
		BootID:        fmt.Sprintf("%s-boot-%d", host, state.boots),
		InFlight:      inFlight,
		LastOperation: state.lastOperation,
	}, nil
}

// Drain implements fleet.PoolHosts.
func (f *Fleet) Drain(ctx context.Context, host, operation string) error {
	return f.act(ctx, host, VerbDrain, operation, func(state *hostState) bool {
		repeated := state.operation == operation
		state.draining = state.draining || !repeated
		state.operation = operation
		return !repeated
	})
}

// Undrain implements fleet.PoolHosts. A repeated one has no effect.
func (f *Fleet) Undrain(ctx context.Context, host, operation string) error {
	return f.act(ctx, host, VerbUndrain, operation, func(state *hostState) bool {
		state.ended[operation] = true
		if !f.options.LastRebootOnly && state.operation != operation {
			return false
		}
		state.draining = false
		state.operation = ""
		return true
	})
}

// Reboot implements fleet.PoolHosts. A repeated operation has no effect.
func (f *Fleet) Reboot(ctx context.Context, host, operation string) error {
	return f.act(ctx, host, VerbReboot, operation, func(state *hostState) bool {
		if state.lastOperation == operation {
			return false
		}
		state.lastOperation = operation
		state.draining = false
		f.goDownLocked(state, state.rebootTime, state.neverReturns)
		return true
	})
}

// act takes one act unless it is refused; change reports whether it had any
// effect.
func (f *Fleet) act(ctx context.Context, host, verb, operation string, change func(*hostState) bool) error {
	if err := f.refused(ctx, verb, host); err != nil {
		return err
	}
	inFlight := f.inFlight(host)
	f.mu.Lock()
	state := f.hosts[host]
	if state == nil {
		f.mu.Unlock()
		return &fleet.HostUnknownError{Host: host}
	}
	if f.staleLocked(state, verb, operation) {
		f.mu.Unlock()
		return &fleet.StaleOperationError{Op: verb, Host: host, Operation: operation}
	}
	changed := change(state)
	if changed {
		f.recordLocked(host, verb, operation, inFlight)
	}
	f.mu.Unlock()
	if changed && verb == VerbReboot {
		f.notify(f.options.OnDown, host)
	}
	return f.answer(verb, host)
}

func (f *Fleet) staleLocked(state *hostState, verb, operation string) bool {
	if f.options.LastRebootOnly {
		return false
	}
	switch verb {
	case VerbDrain:
		return state.ended[operation]
	case VerbReboot:
		return state.operation != operation && state.lastOperation != operation
	}
	return false
}

func (f *Fleet) recordLocked(host, verb, operation string, inFlight int) {
	act := Action{Host: host, Verb: verb, Operation: operation, At: time.Now(), InFlight: inFlight}
	f.acts = append(f.acts, act)
}

// goDownLocked takes a host down; it comes back after away unless forever.
func (f *Fleet) goDownLocked(state *hostState, away time.Duration, forever bool) {
	state.up = false
	state.outages++
	outage := state.outages
	if !forever {
		time.AfterFunc(away, func() { f.comeBack(state, outage) })
	}
}

// comeBack ends one outage.
func (f *Fleet) comeBack(state *hostState, outage int) {
	f.mu.Lock()
	if state.up || state.outages != outage {
		f.mu.Unlock()
		return
	}
	state.up = true
	state.boots++
	f.recordLocked(state.host.Name, VerbReturn, "", 0)
	f.mu.Unlock()
	f.notify(f.options.OnUp, state.host.Name)
}

// Crash takes a host down without being asked; it stays away for the given
// time, for ever when it is zero.
func (f *Fleet) Crash(host string, away time.Duration) {
	f.mu.Lock()
	state := f.hosts[host]
	f.goDownLocked(state, away, away == 0)
	f.recordLocked(host, VerbCrash, "", 0)
	f.mu.Unlock()
	f.notify(f.options.OnDown, host)
}

// Repair brings back a host that is down.
func (f *Fleet) Repair(host string) {
	f.mu.Lock()
	state := f.hosts[host]
	outage := state.outages
	state.neverReturns = false
	f.mu.Unlock()
	f.comeBack(state, outage)
}

// SetUnhealthy makes a host that is up fail or pass its health checks.
func (f *Fleet) SetUnhealthy(host string, sick bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].sick = sick
}

// FailNextReboot makes the host's next reboot its last.
func (f *Fleet) FailNextReboot(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].neverReturns = true
}

// Actions returns everything that happened to the hosts, in order. Acts without
// effect, such as repeated ones, aren't among it.
func (f *Fleet) Actions() []Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Action(nil), f.acts...)
}

// Up reports whether a host is up, without any lag.
func (f *Fleet) Up(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.hosts[host]
	return state != nil && state.up
}

// Draining reports whether a host takes no new work, without any lag.
func (f *Fleet) Draining(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.hosts[host]
	return state != nil && state.draining
}

func (f *Fleet) inFlight(host string) int {
	if f.options.InFlight == nil {
		return 0
	}
	return f.options.InFlight(host)
}

func (f *Fleet) notify(hook func(string), host string) {
	if hook != nil {
		hook(host)
	}
}
