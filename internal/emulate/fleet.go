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
	// migrateTime and maintainTime are how long a host is away.
	migrateTime  = 1500 * time.Millisecond
	maintainTime = 2 * time.Second
	// fleetTime is how long the service takes to answer.
	fleetTime = 5 * time.Millisecond
)

// FleetFaults is what is wrong with the service for hosts.
type FleetFaults struct {
	// Down: it refuses every call.
	Down bool
	// LoseResponses is how many of the next calls are done and not answered.
	LoseResponses int
}

// Fleet moves and maintains emulated hosts. It implements duty.Fleet.
type Fleet struct {
	workers *Workers

	mu     sync.Mutex
	names  []string
	hosts  map[string]*fleetHost
	waves  map[int64]hostmanager.Wave
	faults FleetFaults
	fences map[string]int64
	down   map[int64]int
	began  map[int64]map[string]bool
	broken []string
	moves  int
}

type fleetHost struct {
	hostmanager.Host
}

var _ hostmanager.Fleet = (*Fleet)(nil)

// NewFleet returns a service for hosts that live among workers.
func NewFleet(workers *Workers) *Fleet {
	f := &Fleet{
		workers: workers, hosts: make(map[string]*fleetHost), waves: make(map[int64]hostmanager.Wave),
		fences: make(map[string]int64), down: make(map[int64]int), began: make(map[int64]map[string]bool),
	}
	workers.reborn = f.reborn
	return f
}

// reborn takes over a host's next life after a crash.
func (f *Fleet) reborn(before, after string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.Worker == before {
			h.Worker = after
		}
	}
}

// isUp reports whether a host can be moved or maintained.
func (f *Fleet) isUp(h *fleetHost) bool { return h.Up && !f.workers.isDown(h.Worker) }

// Add puts a new host into a pool and returns its name.
func (f *Fleet) Add(pool, rack string, size work.Resources) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprintf("m-%03d", len(f.names)+1)
	f.names = append(f.names, name)
	f.hosts[name] = &fleetHost{Host: hostmanager.Host{
		Name: name, Pool: pool, Up: true, Kind: "a", Rack: rack, Size: size, Worker: f.workers.Add(pool, rack, size),
	}}
	return name
}

// AddWave makes a wave known, so that its bounds are watched.
func (f *Fleet) AddWave(wave hostmanager.Wave) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waves[wave.Number] = wave
	f.began[wave.Number] = make(map[string]bool)
}

// SetFaults changes what is wrong with the service.
func (f *Fleet) SetFaults(faults FleetFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// MaintenanceStarted counts the hosts of a wave whose maintenance has begun.
func (f *Fleet) MaintenanceStarted(wave int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.began[wave])
}

// Moves counts the moves made.
func (f *Fleet) Moves() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moves
}

// In counts the hosts of a pool.
func (f *Fleet) In(pool string) int {
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

// Violations returns what went against the rules.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// UnavailableError says that the service doesn't answer.
type UnavailableError struct{}

func (UnavailableError) Error() string { return "the service for hosts is down" }

// List implements duty.Fleet.
func (f *Fleet) List(ctx context.Context) ([]hostmanager.Host, error) {
	pause.For(ctx, fleetTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Down {
		return nil, UnavailableError{}
	}
	var list []hostmanager.Host
	for _, name := range f.names {
		h := f.hosts[name].Host
		h.Up = f.isUp(f.hosts[name])
		list = append(list, h)
	}
	return list, nil
}

// Move implements duty.Fleet.
func (f *Fleet) Move(ctx context.Context, name, pool string, fence int64) hostmanager.Outcome {
	pause.For(ctx, fleetTime)
	return f.lose(ctx, func() hostmanager.Outcome {
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
		f.goAwayLocked(h, migrateTime, func() {})
		return hostmanager.Done
	})
}

// Maintain implements duty.Fleet.
func (f *Fleet) Maintain(ctx context.Context, name string, number int64, fence int64) hostmanager.Outcome {
	pause.For(ctx, fleetTime)
	return f.lose(ctx, func() hostmanager.Outcome {
		h := f.hosts[name]
		if outcome, ok := f.checkLocked(name, fence); !ok {
			return outcome
		}
		wave, ok := f.waves[number]
		switch {
		case !ok:
			return hostmanager.NotInWave
		case f.began[number][name]:
			return hostmanager.Done
		case !f.isUp(h):
			return hostmanager.Busy
		}
		if f.down[number] >= wave.MaxDown {
			f.broken = append(f.broken, fmt.Sprintf("%s goes down while %d hosts of wave %d are", name, f.down[number], number))
		}
		if running := f.workers.Running(h.Worker); running > 0 {
			f.broken = append(f.broken, fmt.Sprintf("%s goes down with %d runs on it", name, running))
		}
		f.began[number][name] = true
		f.down[number]++
		h.Down = true
		f.goAwayLocked(h, maintainTime, func() { f.down[number]-- })
		return hostmanager.Done
	})
}

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

// goAwayLocked ends a host's life and begins its next one after a while.
func (f *Fleet) goAwayLocked(h *fleetHost, away time.Duration, back func()) {
	f.workers.Kill(h.Worker)
	h.Up, h.Worker = false, ""
	time.AfterFunc(away, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		h.Up, h.Down, h.Worker = true, false, f.workers.Add(h.Pool, h.Rack, h.Size)
		back()
	})
}

// lose carries a call out, and loses its answer when that is what is wrong.
func (f *Fleet) lose(ctx context.Context, act func() hostmanager.Outcome) hostmanager.Outcome {
	f.mu.Lock()
	if f.faults.Down {
		f.mu.Unlock()
		return hostmanager.Refused
	}
	outcome := act()
	lost := f.faults.LoseResponses > 0
	if lost {
		f.faults.LoseResponses--
	}
	f.mu.Unlock()
	if lost {
		pause.For(ctx, noAnswer)
		return hostmanager.Unknown
	}
	return outcome
}
