package poolmanager

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/worker"
)

// confirmWithin is how long a host that is to be called empty may take to
// confirm it. It is asked with others, which don't wait longer for one that has
// gone silent; it is asked again.
const confirmWithin = 250 * time.Millisecond

// vacated is how far a host is emptied, and where it is asked.
type vacated struct {
	hostmanager.DrainState
	address string
}

// Drain closes hosts to new work and tells which of them are empty, in the same
// order. ok is false when the pool isn't held here any more.
func (k *Manager) Drain(ctx context.Context, hosts []string) (emptied []hostmanager.DrainState, ok bool) {
	states, ok := query(ctx, k, func() []vacated {
		now := time.Now()
		states := make([]vacated, len(hosts))
		for i, id := range hosts {
			states[i].Empty, states[i].Known, states[i].address = k.pool.Drain(id, now)
		}
		return states
	})
	if !ok {
		return nil, false
	}
	emptied = make([]hostmanager.DrainState, len(hosts))
	var confirming sync.WaitGroup
	for i, state := range states {
		emptied[i] = state.DrainState
		if state.Empty {
			confirming.Go(func() { emptied[i] = k.confirmEmpty(worker.Target{ID: hosts[i], Address: state.address}) })
		}
	}
	confirming.Wait()
	return emptied, true
}

// confirmEmpty asks a host once more whether it is empty: this process may have
// been deposed and not know yet, while the next holder has begun to use the host.
func (k *Manager) confirmEmpty(target worker.Target) hostmanager.DrainState {
	hold, ok := k.nextHold(target.ID, 0)
	if !ok {
		return hostmanager.DrainState{}
	}
	hold.OmitRunning = false
	found, outcome := k.hold(target, hold, confirmWithin)
	return hostmanager.DrainState{Known: true, Empty: outcome == worker.Accepted && len(found.Running) == 0}
}
