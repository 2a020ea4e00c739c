package poolmanager

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/worker"
)

// drainConfirmTimeout is how long a host may take to confirm that it is empty.
// Hosts are asked in parallel, and the others do not wait longer for one that is
// unresponsive; it is asked again with the next call.
const drainConfirmTimeout = 250 * time.Millisecond

// Drain marks hosts as unschedulable and returns, in the same order, which of
// them are empty. ok is false when the manager has stopped or ctx ends first.
func (m *Manager) Drain(ctx context.Context, hosts []string) (drained []hostmanager.DrainState, ok bool) {
	drained, ok = query(ctx, m, func() []hostmanager.DrainState {
		now := time.Now()
		states := make([]hostmanager.DrainState, len(hosts))
		for i, id := range hosts {
			states[i].Empty, states[i].Known = m.pool.Drain(id, now)
		}
		return states
	})
	if !ok {
		return nil, false
	}
	var confirming sync.WaitGroup
	for i, state := range drained {
		if state.Empty {
			confirming.Go(func() { drained[i] = m.confirmEmpty(hosts[i]) })
		}
	}
	confirming.Wait()
	return drained, true
}

// confirmEmpty asks a host once more whether it is empty: this process may have
// lost the pool without having noticed, and the next holder may already have
// started tasks on the host.
func (m *Manager) confirmEmpty(host string) hostmanager.DrainState {
	next, ok := m.nextHeartbeat(host, 0)
	if !ok {
		return hostmanager.DrainState{}
	}
	next.heartbeat.OmitRunning = false
	reply, outcome := m.sendHeartbeat(next.target, next.heartbeat, drainConfirmTimeout)
	return hostmanager.DrainState{Known: true, Empty: outcome == worker.Accepted && len(reply.Running) == 0}
}
