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
	acts        []Act
}

type hostState struct {
	host          fleet.Host
	up            bool
	draining      bool
	boots         int
	lastOperation string
	// neverReturns makes the next reboot the host's last.
	neverReturns bool
	rebootTime   time.Duration
}

// Act is one act the fleet took, in order.
type Act struct {
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
	_ fleet.HostList  = (*Fleet)(nil)
	_ fleet.PoolHosts = (*Fleet)(nil)
)

// New returns a fleet of hosts that are all up.
func New(hosts []fleet.Host, options Options) *Fleet {
	f := &Fleet{options: options, hosts: make(map[string]*hostState, len(hosts))}
	for _, host := range hosts {
		f.hosts[host.Name] = &hostState{host: host, up: true, boots: 1, rebootTime: options.RebootTime}
	}
	f.published = f.listLocked()
	f.publishedAt = time.Now()
	return f
}

// Hosts implements fleet.HostList.
func (f *Fleet) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if err := ctx.Err(); err != nil {
		return nil, &fleet.UnreachableError{Op: "list", Cause: err}
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
			host.State = fleet.HostLeaving
		}
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Condition implements fleet.PoolHosts.
func (f *Fleet) Condition(_ context.Context, host string) (fleet.HostCondition, error) {
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
		Healthy:       state.up,
		BootID:        fmt.Sprintf("%s-boot-%d", host, state.boots),
		InFlight:      inFlight,
		LastOperation: state.lastOperation,
	}, nil
}

// Drain implements fleet.PoolHosts.
func (f *Fleet) Drain(_ context.Context, host, operation string) error {
	return f.act(host, VerbDrain, operation, func(state *hostState) { state.draining = true })
}

// Undrain implements fleet.PoolHosts.
func (f *Fleet) Undrain(_ context.Context, host, operation string) error {
	return f.act(host, VerbUndrain, operation, func(state *hostState) { state.draining = false })
}

// Reboot implements fleet.PoolHosts. A repeated operation has no effect.
func (f *Fleet) Reboot(_ context.Context, host, operation string) error {
	f.mu.Lock()
	state := f.hosts[host]
	repeated := state != nil && state.lastOperation == operation
	f.mu.Unlock()
	if repeated {
		return nil
	}
	err := f.act(host, VerbReboot, operation, func(state *hostState) {
		state.lastOperation = operation
		state.up = false
		state.draining = false
	})
	if err != nil {
		return err
	}
	f.notify(f.options.OnDown, host)
	if !state.neverReturns {
		time.AfterFunc(state.rebootTime, func() { f.comeBack(host) })
	}
	return nil
}

func (f *Fleet) act(host, verb, operation string, change func(*hostState)) error {
	inFlight := f.inFlight(host)
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.hosts[host]
	if state == nil {
		return &fleet.HostUnknownError{Host: host}
	}
	f.recordLocked(host, verb, operation, inFlight)
	change(state)
	return nil
}

func (f *Fleet) recordLocked(host, verb, operation string, inFlight int) {
	act := Act{Host: host, Verb: verb, Operation: operation, At: time.Now(), InFlight: inFlight}
	f.acts = append(f.acts, act)
}

func (f *Fleet) comeBack(host string) {
	f.mu.Lock()
	state := f.hosts[host]
	state.up = true
	state.boots++
	f.recordLocked(host, VerbReturn, "", 0)
	f.mu.Unlock()
	f.notify(f.options.OnUp, host)
}

// Crash takes a host down without being asked; it stays away for the given
// time, for ever when it is zero.
func (f *Fleet) Crash(host string, away time.Duration) {
	f.mu.Lock()
	state := f.hosts[host]
	state.up = false
	f.recordLocked(host, VerbCrash, "", 0)
	f.mu.Unlock()
	f.notify(f.options.OnDown, host)
	if away > 0 {
		time.AfterFunc(away, func() { f.comeBack(host) })
	}
}

// NeverReturns makes the host's next reboot its last.
func (f *Fleet) NeverReturns(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].neverReturns = true
}

// Acts returns everything that happened to the hosts, in order.
func (f *Fleet) Acts() []Act {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Act(nil), f.acts...)
}

// Up reports whether a host is up, without any lag.
func (f *Fleet) Up(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.hosts[host]
	return state != nil && state.up
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
