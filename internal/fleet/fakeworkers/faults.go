package fakeworkers

import (
	"context"
	"math/rand/v2"

	"auburnglade.example/glade/internal/fleet"
)

// FaultError is the cause a fake fault reports.
type FaultError struct{ Reason string }

func (e *FaultError) Error() string { return e.Reason }

var (
	errAway       = &FaultError{Reason: "the host can't be reached"}
	errAnswerLost = &FaultError{Reason: "the answer was lost"}
)

type faults struct {
	lossShare float64
	random    *rand.Rand
}

// call takes one call to a host and may lose its answer afterwards.
func (w *Workers) call(ctx context.Context, op, name string, take func(h *host) error) error {
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
		return &fleet.UnreachableError{Op: op, Host: name, Cause: errAway}
	}
	if err := take(h); err != nil {
		return err
	}
	if f := &w.faults; f.lossShare > 0 && f.random.Float64() < f.lossShare {
		return &fleet.UnreachableError{Op: op, Host: name, Sent: true, Cause: errAnswerLost}
	}
	return nil
}

// SetResponseLossRate loses a share (0 to 1) of the answers of calls, picked from seed.
func (w *Workers) SetResponseLossRate(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults{lossShare: share, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetUnreachable cuts a host off or lets it back: its tasks go on until their
// leases end.
func (w *Workers) SetUnreachable(name string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].unreachable = cut
}

// Unreachable reports whether a host is cut off.
func (w *Workers) Unreachable(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[name].unreachable
}

// SetBlackHole makes a worker fail every task it starts, or mends it.
func (w *Workers) SetBlackHole(name string, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].blackHole = broken
}

// Down ends everything on a host and forgets it, as a reboot does.
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

// Up lets a host take tasks again.
func (w *Workers) Up(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].up = true
}

// InFlight counts the tasks running on a host.
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

// Counts returns what the workers have seen so far.
func (w *Workers) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Starts returns every task that began to run, in order.
func (w *Workers) Starts() []Started {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Started(nil), w.starts...)
}

// Allocated returns what the running tasks of the jobs that pick accepts were
// given, together.
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
