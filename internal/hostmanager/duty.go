// Package hostmanager looks after the hosts themselves: it sends them to maintenance
// in waves and moves them between pools. One entry host holds the duty; its
// fence goes with every call, and every call is one that may be made again.
package hostmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Host is a pooled host as the platform lists it, over all its lives.
type Host struct {
	Name string
	Pool string
	// Up: it is neither on its way between pools nor in maintenance.
	Up bool
	// Down: it is in maintenance.
	Down bool
	Kind string
	Rack string
	Size work.Resources
	// Worker is the life that runs on it now, empty for none.
	Worker string
	// MaintenanceDue: its maintenance is still to come.
	MaintenanceDue bool
}

// Wave asks that each of its hosts goes through maintenance.
type Wave struct {
	Number int64
	Hosts  []string
	// TimeLimit is the time for all of it.
	TimeLimit time.Duration
	// MaxDown is how many may be down for it at the same time.
	MaxDown int
}

// due are the names of its hosts.
func (w Wave) due() map[string]bool {
	due := make(map[string]bool, len(w.Hosts))
	for _, name := range w.Hosts {
		due[name] = true
	}
	return due
}

// Outcome is what became of a move or a maintenance.
type Outcome int

// The outcomes of a call to the platform.
const (
	// Unknown: it may be carried out yet.
	Unknown Outcome = iota
	// Done: it was done now or before.
	Done
	// Refused: nothing was done; try again later.
	Refused
	// Busy: the host isn't up, or leaves.
	Busy
	// NotInWave: the host isn't part of the wave.
	NotInWave
	// NoSuchHost: there is no such host, or it can't belong to that pool.
	NoSuchHost
	// Fenced: another holder has used a higher fence.
	Fenced
)

var outcomeNames = [...]string{"unknown", "done", "refused", "busy", "not due", "no such host", "deposed"}

func (o Outcome) String() string { return outcomeNames[o] }

// Fleet is the platform's service for hosts.
type Fleet interface {
	List(ctx context.Context) ([]Host, error)
	// Move puts a host into another pool; what runs on it ends.
	Move(ctx context.Context, host, pool string, fence int64) Outcome
	// Maintain takes a host down for a wave; what runs on it ends.
	Maintain(ctx context.Context, host string, wave int64, fence int64) Outcome
}

// Load is how busy a pool is, in thousandths of a core.
type Load struct {
	// Capacity is of the hosts that take new work.
	Capacity int
	Used     int
	// Waiting is what tasks ask for whose turn has come.
	Waiting int
	// LongRunning is what tasks that last ask for.
	LongRunning int
	// Offered is what the jobs that are being handed in will keep busy; Due is
	// what those that are there need to be done in time. Jobs that are too late
	// to be worth anything aren't counted: they take what is free.
	Offered, DeadlineNeed int
	// RecentOffered is Arriving as the very last jobs tell it.
	RecentOffered int
	// Peak is the most that arrived during the last minutes, PeakAgo how long ago
	// there last was half as much.
	Peak    int
	PeakAgo time.Duration
	// MinHosts is how many hosts its lasting tasks, and gangs that wait, need to
	// be spread over.
	MinHosts int
	// WarmingUp: its holder took it over a moment ago, and what it says of need is
	// less than the truth.
	WarmingUp bool
	// Hosts are its hosts, with what is used of each.
	Hosts []HostLoad
}

// HostLoad is how busy one host is.
type HostLoad struct {
	Worker      string
	Used        int
	LongRunning int
	// Remaining is how long its tasks that don't last should still take.
	Remaining time.Duration
	// Unschedulable: it takes no new work, since it is to be emptied or is silent.
	Unschedulable bool
}

// idle reports whether nothing runs on the host and it takes new work.
func (h HostLoad) idle() bool {
	return h.Used == 0 && h.Remaining == 0 && h.LongRunning == 0 && !h.Unschedulable
}

// running is what tasks that don't last use.
func (l Load) running() int {
	running := l.Used
	for _, h := range l.Hosts {
		running -= h.LongRunning
	}
	return running
}

// open counts the hosts that take new work.
func (l Load) open() int {
	count := 0
	for _, h := range l.Hosts {
		if !h.Unschedulable {
			count++
		}
	}
	return count
}

// DrainState is how far a worker is emptied.
type DrainState struct {
	// Known: its pool has such a worker.
	Known bool
	// Empty: nothing runs on it, and nothing will be started there for a while.
	Empty bool
}

// Pools knows the pools' holders.
type Pools interface {
	// Drain asks for workers of a pool to be emptied, and returns how far each of
	// them is in the same order. ok is false when nobody could be asked.
	Drain(ctx context.Context, pool string, workers []string) (emptied []DrainState, ok bool)
	// Load asks how busy a pool is, and tells it which of its workers will go
	// for maintenance.
	Load(ctx context.Context, pool string, due []string) (Load, bool)
}
