package emulate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/work"
)

const (
	// migrateTime and maintainTime are how long a host is unavailable while it
	// is moved and maintained.
	migrateTime  = 1500 * time.Millisecond
	maintainTime = 2 * time.Second
	// fleetLatency is the latency of a call to the host service.
	fleetLatency = 5 * time.Millisecond
)

// FleetFaults are the faults to inject into the host service.
type FleetFaults struct {
	// Down makes the service refuse every call.
	Down bool
	// LoseResponses is the number of upcoming calls that are executed but whose
	// response is lost.
	LoseResponses int
	// Silent is what the list says of hosts that answer nobody.
	Silent SilentListing
	// Lag is how old the list is. It stands still for as long when a lag begins.
	Lag time.Duration
}

// Fleet moves and maintains emulated hosts. It implements hostmanager.Fleet and
// records violations of the wave limits.
type Fleet struct {
	workers *Workers

	mu         sync.Mutex
	names      []string
	hosts      map[string]*fleetHost
	waves      map[int64]hostmanager.Wave
	faults     FleetFaults
	past       []pastListing
	fences     map[string]int64
	down       map[int64]int
	maintained map[int64]map[string]bool
	violations []string
	moves      int
}

type fleetHost struct {
	hostmanager.Host
}

var _ hostmanager.Fleet = (*Fleet)(nil)

// NewFleet returns a host service whose hosts are registered with workers.
func NewFleet(workers *Workers) *Fleet {
	f := &Fleet{
		workers: workers, hosts: make(map[string]*fleetHost), waves: make(map[int64]hostmanager.Wave),
		fences: make(map[string]int64), down: make(map[int64]int), maintained: make(map[int64]map[string]bool),
	}
	workers.onRestart, workers.onTick = f.hostRestarted, f.noteList
	return f
}

// hostRestarted replaces the worker ID of a host that came back after a crash.
func (f *Fleet) hostRestarted(before, after string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.Worker == before {
			h.Worker = after
		}
	}
}

// isUp reports whether a host is up and can be moved or maintained.
func (f *Fleet) isUp(h *fleetHost) bool { return h.Up && !f.workers.isDown(h.Worker) }

// Add adds a new host to a pool and returns its name.
func (f *Fleet) Add(pool, rack string, size work.Resources) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprintf("m-%03d", len(f.names)+1)
	f.names = append(f.names, name)
	f.hosts[name] = &fleetHost{Host: hostmanager.Host{
		Name: name, Pool: pool, Up: true, Kind: "a", Rack: rack, Resources: size, Worker: f.workers.Add(pool, rack, size),
	}}
	return name
}

// AddWave registers a maintenance wave. Fleet records a violation when more than
// wave.MaxDown of its hosts are down at a time.
func (f *Fleet) AddWave(wave hostmanager.Wave) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waves[wave.Number] = wave
	f.maintained[wave.Number] = make(map[string]bool)
}

// SetFaults replaces the injected faults.
func (f *Fleet) SetFaults(faults FleetFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.noteListLocked()
}

// MaintenanceStarted returns the number of hosts of a wave whose maintenance has
// started.
func (f *Fleet) MaintenanceStarted(wave int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.maintained[wave])
}

// Moves returns the number of moves made so far.
func (f *Fleet) Moves() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moves
}

// HostCount returns the number of hosts in a pool.
func (f *Fleet) HostCount(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, h := range f.hosts {
		if h.Pool == pool {
			count++
		}
	}
	return count
}

// Violations returns the violations recorded so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// UnavailableError reports that the host service is down.
type UnavailableError struct{}

func (UnavailableError) Error() string { return "the host service is down" }

// List implements hostmanager.Fleet.
func (f *Fleet) List(ctx context.Context) ([]hostmanager.Host, error) {
	pause.For(ctx, fleetLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Down {
		return nil, UnavailableError{}
	}
	return f.listedLocked(), nil
}

// Move implements hostmanager.Fleet.
func (f *Fleet) Move(ctx context.Context, name, pool string, fence int64) hostmanager.Outcome {
	pause.For(ctx, fleetLatency)
	return f.execute(ctx, func() hostmanager.Outcome {
		h := f.hosts[name]
		if outcome, ok := f.checkLocked(name, fence); !ok {
			return outcome
		}
		if h.Pool == pool {
			return hostmanager.Done
		}
		if !f.isUp(h) {
			return hostmanager.Busy
		}
		f.moves++
		h.Pool = pool
		f.restartLocked(h, migrateTime, func() {})
		return hostmanager.Done
	})
}

// Maintain implements hostmanager.Fleet.
func (f *Fleet) Maintain(ctx context.Context, name string, number int64, fence int64) hostmanager.Outcome {
	pause.For(ctx, fleetLatency)
	return f.execute(ctx, func() hostmanager.Outcome {
		h := f.hosts[name]
		if outcome, ok := f.checkLocked(name, fence); !ok {
			return outcome
		}
		wave, ok := f.waves[number]
		switch {
		case !ok:
			return hostmanager.NotInWave
		case f.maintained[number][name]:
			return hostmanager.Done
		case !f.isUp(h):
			return hostmanager.Busy
		}
		if f.down[number] >= wave.MaxDown {
			f.violations = append(f.violations, fmt.Sprintf("%s goes down while %d hosts of wave %d are", name, f.down[number], number))
		}
		if running := f.workers.Running(h.Worker); running > 0 {
			f.violations = append(f.violations, fmt.Sprintf("%s goes down with %d runs on it", name, running))
		}
		f.maintained[number][name] = true
		f.down[number]++
		h.Down = true
		f.restartLocked(h, maintainTime, func() { f.down[number]-- })
		return hostmanager.Done
	})
}

// checkLocked reports whether the host exists and the fencing token isn't
// older than the last one seen for it; otherwise it returns the outcome.
func (f *Fleet) checkLocked(name string, fence int64) (hostmanager.Outcome, bool) {
	switch {
	case f.hosts[name] == nil:
		return hostmanager.NoSuchHost, false
	case fence < f.fences[name]:
		return hostmanager.Fenced, false
	}
	f.fences[name] = fence
	return hostmanager.Done, true
}

// restartLocked stops a host and starts its next incarnation after away, then
// calls restarted.
func (f *Fleet) restartLocked(h *fleetHost, away time.Duration, restarted func()) {
	f.workers.Kill(h.Worker)
	h.Up, h.Worker = false, ""
	time.AfterFunc(away, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		h.Up, h.Down, h.Worker = true, false, f.workers.Add(h.Pool, h.Rack, h.Resources)
		restarted()
	})
}

// execute executes a call, unless the service is down, and drops the response if
// the faults require it.
func (f *Fleet) execute(ctx context.Context, call func() hostmanager.Outcome) hostmanager.Outcome {
	f.mu.Lock()
	if f.faults.Down {
		f.mu.Unlock()
		return hostmanager.Refused
	}
	outcome := call()
	lost := f.faults.LoseResponses > 0
	if lost {
		f.faults.LoseResponses--
	}
	f.mu.Unlock()
	if lost {
		pause.For(ctx, callTimeout)
		return hostmanager.Unknown
	}
	return outcome
}
