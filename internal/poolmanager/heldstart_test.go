package poolmanager_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// heldStarts is a client whose process stands still when it is to send the first run of
// tasks: it sends these starts, which get no answer, when send is called.
type heldStarts struct {
	worker.Client

	mu   sync.Mutex
	host string
	held []func()
}

func (h *heldStarts) Start(ctx context.Context, to worker.Target, o worker.Start) worker.Outcome {
	if o.Run > 1 {
		return h.Client.Start(ctx, to, o)
	}
	h.mu.Lock()
	h.host = to.ID
	h.held = append(h.held, func() { h.Client.Start(context.WithoutCancel(ctx), to, o) })
	h.mu.Unlock()
	pause.For(ctx, worker.OrderTimeout)
	return worker.Unknown
}

// target returns the host of the held starts.
func (h *heldStarts) target() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.host
}

func (h *heldStarts) send() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, start := range h.held {
		go start()
	}
	h.held = nil
}

// playHeldStart gives up a start on a host, has its task run elsewhere, and has the host
// crash. The start is sent that long after the host has restarted under its ID.
func playHeldStart(t *testing.T, after time.Duration) {
	config := emulate.WorkersConfig{Seed: 1, KeepsID: func(string) bool { return true }}
	runEnv(t, config, 2, func(e *env) {
		calls := &heldStarts{Client: e.workers}
		e.calls = calls
		m := e.takeOver(true)
		const length = 20 * time.Second
		id := e.submit(m, work.Step{Count: 1, Resources: work.Resources{MilliCPU: 1000, MemMB: 1000}, Estimate: length})
		time.Sleep(300 * time.Millisecond)
		// The task's next run goes elsewhere.
		host := calls.target()
		e.drain(m, host)
		time.Sleep(4 * time.Second)
		must.EqOp(t, 1, e.workers.Checker.Starts())
		must.EqOp(t, 0, e.workers.Running(host))
		e.workers.Crash(host)
		for !e.workers.Up(host) {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(after)
		calls.send()
		e.waitForState(m, id, work.Done, 2*length)
	})
}

// Guards against a task that runs twice: a start that was given up is sent to a host that
// has restarted under its ID and has been called since.
func TestGivenUpStartIsRefusedOnceTheNextIncarnationWasCalled(t *testing.T) {
	playHeldStart(t, 2*time.Second)
}

// Guards against the same before the holder has called the next incarnation.
func TestGivenUpStartIsRefusedBeforeTheNextIncarnationWasCalled(t *testing.T) {
	playHeldStart(t, 0)
}
