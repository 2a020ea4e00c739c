// Package hostmanager manages the hosts themselves: it sends them to maintenance
// in waves and moves them between pools. One entry host at a time holds the claim
// for this. Its fencing token is sent with every call to the platform, and every
// call is idempotent.
package hostmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Host is a pooled host as the platform lists it, across its instances.
type Host struct {
	Name string
	Pool string
	// Up is set if the host is neither moving between pools nor in maintenance.
	Up bool
	// Down is set while the host is in maintenance.
	Down bool
	// Moving is set while the host moves to Pool.
	Moving    bool
	Kind      string
	Rack      string
	Resources work.Resources
	// Worker is the host's current instance, empty for none.
	Worker string
	// MaintenanceDue is set if the host's maintenance is still to come.
	MaintenanceDue bool
	// Settling is set if the host was moved to its pool less than SettlingTime ago.
	Settling bool
}

// Wave requests maintenance of each of its hosts.
type Wave struct {
	Number int64
	Hosts  []string
	// TimeLimit is the time for the whole wave.
	TimeLimit time.Duration
	// MaxDown is how many hosts may be down for the wave at the same time.
	MaxDown int
}

// hostSet returns the names of the wave's hosts.
func (w Wave) hostSet() map[string]bool {
	names := make(map[string]bool, len(w.Hosts))
	for _, name := range w.Hosts {
		names[name] = true
	}
	return names
}

// Outcome is the result of a call to move or maintain a host.
type Outcome int

// Outcomes of a call to the platform.
const (
	// Unknown means that the call may still be carried out.
	Unknown Outcome = iota
	// Done means that the call was carried out, now or before.
	Done
	// Refused means that nothing was done; the call can be retried later.
	Refused
	// Busy means that the host isn't up or is draining.
	Busy
	// NotInWave means that the host isn't part of the wave.
	NotInWave
	// NoSuchHost means that the host doesn't exist or can't belong to the pool.
	NoSuchHost
	// Fenced means that another holder has used a higher fencing token.
	Fenced
)

var outcomeNames = [...]string{"unknown", "done", "refused", "busy", "not due", "no such host", "deposed"}

func (o Outcome) String() string { return outcomeNames[o] }

// nothingDone reports whether the call was not carried out and will not be.
func (o Outcome) nothingDone() bool {
	return o == Refused || o == Busy || o == NotInWave || o == NoSuchHost
}

// Fleet is the platform's service for hosts.
type Fleet interface {
	List(ctx context.Context) ([]Host, error)
	// Move moves a host to another pool; everything that runs on it ends.
	Move(ctx context.Context, host, pool string, fence int64) Outcome
	// Maintain takes a host down for a wave; everything that runs on it ends.
	Maintain(ctx context.Context, host string, wave int64, fence int64) Outcome
}

// Load is the load of a pool, in millicores.
type Load struct {
	// Capacity is the capacity of the hosts that accept new tasks.
	Capacity int
	Used     int
	// Waiting is what tasks that are ready to run request.
	Waiting int
	// LongRunning is what long-running tasks request.
	LongRunning int
	// Offered is the offered load of the jobs being submitted: the capacity that they
	// will keep busy. DeadlineNeed is what accepted jobs need to meet their deadlines. Jobs
	// that are too late to be worth anything aren't counted: they use what is free.
	Offered, DeadlineNeed int
	// RecentOffered is Offered, estimated from the most recent jobs only.
	RecentOffered int
	// Peak is the highest offered load of the last minutes, SincePeak how long ago
	// the offered load last was half of it.
	Peak      int
	SincePeak time.Duration
	// MinHosts is how many hosts the pool's long-running tasks and waiting gangs
	// have to be spread over.
	MinHosts int
	// WarmingUp is set shortly after a holder took the pool over, when the need it
	// reports is lower than the actual need.
	WarmingUp bool
	// ReceivedAt is when the host manager received the report.
	ReceivedAt time.Time
	// Demand is what more cores would do, without long-running tasks, highest value
	// first. Holders of an earlier version report none.
	Demand []DemandTier
	// Hosts are the loads of the pool's hosts.
	Hosts []HostLoad
}

// HostLoad is the load of one host, in millicores.
type HostLoad struct {
	Worker      string
	Used        int
	LongRunning int
	// Remaining is the expected remaining run time of the tasks that aren't
	// long-running.
	Remaining time.Duration
	// WorkValue is the value of its tasks that aren't long-running, in millicores of
	// work that can be in time.
	WorkValue int
	// Unschedulable is set if the host accepts no new tasks, because it is to be
	// drained or is unresponsive.
	Unschedulable bool
}

// idle reports whether nothing runs on the host and it accepts new tasks.
func (h HostLoad) idle() bool {
	return h.Used == 0 && h.Remaining == 0 && h.LongRunning == 0 && !h.Unschedulable
}

// finiteUsed is what tasks that aren't long-running use.
func (l Load) finiteUsed() int {
	used := l.Used
	for _, h := range l.Hosts {
		used -= h.LongRunning
	}
	return used
}

// schedulable counts the hosts that accept new tasks.
func (l Load) schedulable() int {
	count := 0
	for _, h := range l.Hosts {
		if !h.Unschedulable {
			count++
		}
	}
	return count
}

// DrainState is the progress of draining a worker.
type DrainState struct {
	// Known is set if the worker belongs to the pool.
	Known bool
	// Empty is set if nothing runs on the worker and nothing will be started
	// there for a while.
	Empty bool
}

// Pools calls the holders of pools.
type Pools interface {
	// Drain requests that workers of a pool are drained, and returns their states
	// in the same order. ok is false if no holder could be reached.
	Drain(ctx context.Context, pool string, workers []string) (states []DrainState, ok bool)
	// Load returns the load of a pool, and reports to its holder which of its
	// workers are due for maintenance.
	Load(ctx context.Context, pool string, due []string) (Load, bool)
}
