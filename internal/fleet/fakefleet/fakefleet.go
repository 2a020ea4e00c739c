// Package fakefleet is an in-memory fake of the platform's hosts. It records every
// action on a host, so that tests check what happened to the hosts rather than
// what the system reports.
package fakefleet

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

// Options configure the fake. With the zero value hosts reboot at once and the
// host list has no lag.
type Options struct {
	// ListLag is how far the host list lags behind the actual state.
	ListLag time.Duration
	// RebootTime is how long a host is down during a reboot.
	RebootTime time.Duration
	// LastRebootOnly makes the platform remember only the last Reboot of each
	// host, so that it accepts actions of operations that have ended.
	LastRebootOnly bool
	// OnDown and OnUp, when set, are called when a host goes down or comes back.
	OnDown func(host string)
	OnUp   func(host string)
	// InFlight, when set, returns the amount of work running on a host.
	InFlight func(host string) int
}

// Fleet is the fake. It implements fleet.HostList and fleet.HostControl.
type Fleet struct {
	options Options
	mu      sync.Mutex
	hosts   map[string]*hostState
	// published is the host list that Hosts returns; it lags by ListLag.
	published   []fleet.Host
	publishedAt time.Time
	actions     []Action
	faults      faultState
}

type hostState struct {
	info          fleet.Host
	up            bool
	unhealthy     bool
	draining      bool
	boots         int
	lastOperation string
	// operation is the one under which the host is drained; ended holds the
	// operations that have ended.
	operation string
	ended     map[string]bool
	// outages counts how often the host has gone down, so that the end of an
	// earlier outage does not end a later one.
	outages int
	// failNextReboot makes the host stay down after its next reboot.
	failNextReboot bool
	rebootTime     time.Duration
}

// Action is one action or event that affected a host.
type Action struct {
	Host      string
	Verb      string
	Operation string
	At        time.Time
	// InFlight is the amount of work running on the host at that moment.
	InFlight int
}

// The verbs of an Action.
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
			info: host, up: true, boots: 1, rebootTime: options.RebootTime, ended: make(map[string]bool),
		}
	}
	f.published = f.listLocked()
	f.publishedAt = time.Now()
	return f
}

// Hosts implements fleet.HostList.
func (f *Fleet) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if err := f.checkCall(ctx, "list", ""); err != nil {
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
		host := state.info
		host.State = fleet.HostLive
		if state.draining {
			host.State = fleet.HostDraining
		}
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Condition implements fleet.HostControl.
func (f *Fleet) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	if err := f.checkCall(ctx, "condition", host); err != nil {
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
		Healthy:       state.up && !state.unhealthy,
		BootID:        fmt.Sprintf("%s-boot-%d", host, state.boots),
		InFlight:      inFlight,
		LastOperation: state.lastOperation,
	}, nil
}

// Drain implements fleet.HostControl.
func (f *Fleet) Drain(ctx context.Context, host, operation string) error {
	return f.apply(ctx, host, VerbDrain, operation, func(state *hostState) bool {
		repeated := state.operation == operation
		state.draining = state.draining || !repeated
		state.operation = operation
		return !repeated
	})
}

// Undrain implements fleet.HostControl. A repeated call has no effect.
func (f *Fleet) Undrain(ctx context.Context, host, operation string) error {
	return f.apply(ctx, host, VerbUndrain, operation, func(state *hostState) bool {
		state.ended[operation] = true
		if !f.options.LastRebootOnly && state.operation != operation {
			return false
		}
		state.draining = false
		state.operation = ""
		return true
	})
}

// Reboot implements fleet.HostControl. A repeated operation has no effect.
func (f *Fleet) Reboot(ctx context.Context, host, operation string) error {
	return f.apply(ctx, host, VerbReboot, operation, func(state *hostState) bool {
		if state.lastOperation == operation {
			return false
		}
		state.lastOperation = operation
		state.draining = false
		f.takeDownLocked(state, state.rebootTime, state.failNextReboot)
		return true
	})
}

// apply carries out one action unless it is refused; change reports whether the
// action had an effect.
func (f *Fleet) apply(ctx context.Context, host, verb, operation string, change func(*hostState) bool) error {
	if err := f.checkCall(ctx, verb, host); err != nil {
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
	return f.response(verb, host)
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
	action := Action{Host: host, Verb: verb, Operation: operation, At: time.Now(), InFlight: inFlight}
	f.actions = append(f.actions, action)
}

// takeDownLocked takes a host down. The host comes back after downtime unless
// permanent is set.
func (f *Fleet) takeDownLocked(state *hostState, downtime time.Duration, permanent bool) {
	state.up = false
	state.outages++
	outage := state.outages
	if !permanent {
		time.AfterFunc(downtime, func() { f.endOutage(state, outage) })
	}
}

// endOutage brings a host back up unless the outage has already ended.
func (f *Fleet) endOutage(state *hostState, outage int) {
	f.mu.Lock()
	if state.up || state.outages != outage {
		f.mu.Unlock()
		return
	}
	state.up = true
	state.boots++
	f.recordLocked(state.info.Name, VerbReturn, "", 0)
	f.mu.Unlock()
	f.notify(f.options.OnUp, state.info.Name)
}

// Crash makes a host fail by itself. It stays down for the given time, or until
// Repair if the time is zero.
func (f *Fleet) Crash(host string, downtime time.Duration) {
	f.mu.Lock()
	state := f.hosts[host]
	f.takeDownLocked(state, downtime, downtime == 0)
	f.recordLocked(host, VerbCrash, "", 0)
	f.mu.Unlock()
	f.notify(f.options.OnDown, host)
}

// Repair brings a host that is down back up.
func (f *Fleet) Repair(host string) {
	f.mu.Lock()
	state := f.hosts[host]
	outage := state.outages
	state.failNextReboot = false
	f.mu.Unlock()
	f.endOutage(state, outage)
}

// SetUnhealthy makes a running host fail or pass its health checks.
func (f *Fleet) SetUnhealthy(host string, unhealthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].unhealthy = unhealthy
}

// FailNextReboot makes the host stay down after its next reboot.
func (f *Fleet) FailNextReboot(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].failNextReboot = true
}

// Actions returns everything that has happened to the hosts, in order. Actions
// without an effect, such as repeated ones, are not included.
func (f *Fleet) Actions() []Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Action(nil), f.actions...)
}

// Up reports whether a host is up, without lag.
func (f *Fleet) Up(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.hosts[host]
	return state != nil && state.up
}

// Draining reports whether a host is draining, without lag.
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
