package fakeworkers

import (
	"context"
	"math/rand/v2"

	"auburnglade.example/glade/internal/fleet"
)

// FaultError is the cause of errors returned by injected faults.
type FaultError struct{ Reason string }

func (e *FaultError) Error() string { return e.Reason }

var (
	errUnreachable  = &FaultError{Reason: "the host can't be reached"}
	errResponseLost = &FaultError{Reason: "the answer was lost"}
)

type faults struct {
	responseLossRate float64
	random           *rand.Rand
}

// call handles one call to a host and may lose its response afterwards.
func (w *Workers) call(ctx context.Context, op, name string, handle func(h *host) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Calls++
	h := w.hosts[name]
	switch {
	case h == nil:
		return &fleet.HostUnknownError{Host: name}
	case ctx.Err() != nil:
		return &fleet.UnreachableError{Op: op, Host: name, Cause: ctx.Err()}
	case !h.up || h.unreachable:
		return &fleet.UnreachableError{Op: op, Host: name, Cause: errUnreachable}
	}
	if err := handle(h); err != nil {
		return err
	}
	if f := &w.faults; f.responseLossRate > 0 && f.random.Float64() < f.responseLossRate {
		return &fleet.UnreachableError{Op: op, Host: name, MaybeSent: true, Cause: errResponseLost}
	}
	return nil
}

// SetResponseLossRate sets the fraction (0 to 1) of calls whose responses are
// lost, selected at random from seed.
func (w *Workers) SetResponseLossRate(rate float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults{responseLossRate: rate, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetUnreachable makes a host unreachable or reachable again. Its tasks continue
// to run until their leases expire.
func (w *Workers) SetUnreachable(name string, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].unreachable = unreachable
}

// Unreachable reports whether a host is unreachable.
func (w *Workers) Unreachable(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[name].unreachable
}

// SetBlackHole makes a worker fail every task it starts, or work normally again.
func (w *Workers) SetBlackHole(name string, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].blackHole = broken
}

// Down ends and discards all tasks on a host, as a reboot does.
func (w *Workers) Down(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[name]
	for _, t := range h.tasks {
		w.endLocked(t, fleet.TaskStopped, "host went down")
	}
	h.up = false
	h.tasks = make(map[string]*task)
	h.reports = nil
}

// Up makes a host accept tasks again.
func (w *Workers) Up(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].up = true
}

// InFlight returns the number of tasks running on a host.
func (w *Workers) InFlight(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for _, t := range w.hosts[name].tasks {
		if t.state == fleet.TaskRunning {
			running++
		}
	}
	return running
}

// Counts returns the counts so far.
func (w *Workers) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Starts returns all starts of tasks, in order.
func (w *Workers) Starts() []Started {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Started(nil), w.starts...)
}

// Allocated returns the total resources allocated to the running tasks of the
// jobs that pick accepts.
func (w *Workers) Allocated(pick func(job string) bool) (milliCPU, memoryMB int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		for _, t := range h.tasks {
			if t.state == fleet.TaskRunning && pick(t.Job) {
				milliCPU += t.Allocated.MilliCPU
				memoryMB += t.Allocated.MemoryMB
			}
		}
	}
	return milliCPU, memoryMB
}
