package hostmanager

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/pause"
)

// drainBatchDelay is how long drain requests are collected into one call. Some
// hundred hosts are drained at once when a pool's demand burst starts; with one
// call for each, the calls waited for each other.
const drainBatchDelay = 10 * time.Millisecond

// drainBatcher batches the drain requests of concurrent goroutines into one call
// per pool.
type drainBatcher struct {
	pools Pools

	mu sync.Mutex
	// pending are the requests that aren't sent yet, by pool.
	pending map[string][]drainRequest
}

type drainRequest struct {
	worker string
	reply  chan drainReply
}

type drainReply struct {
	DrainState
	ok bool
}

func newDrainBatcher(pools Pools) *drainBatcher {
	return &drainBatcher{pools: pools, pending: make(map[string][]drainRequest)}
}

// drain requests that a worker is drained, and returns its state. ok is false if
// the pool's holder could not be reached.
func (b *drainBatcher) drain(ctx context.Context, pool, worker string) (state DrainState, ok bool) {
	request := drainRequest{worker, make(chan drainReply, 1)}
	b.mu.Lock()
	b.pending[pool] = append(b.pending[pool], request)
	first := len(b.pending[pool]) == 1
	b.mu.Unlock()
	if first {
		go b.flush(ctx, pool)
	}
	select {
	case reply := <-request.reply:
		return reply.DrainState, reply.ok
	case <-ctx.Done():
		return DrainState{}, false
	}
}

// flush sends the pending requests of a pool.
func (b *drainBatcher) flush(ctx context.Context, pool string) {
	pause.For(ctx, drainBatchDelay)
	b.mu.Lock()
	all := b.pending[pool]
	delete(b.pending, pool)
	b.mu.Unlock()
	workers := make([]string, len(all))
	for i, request := range all {
		workers[i] = request.worker
	}
	states, ok := b.pools.Drain(ctx, pool, workers)
	for i, request := range all {
		if ok && i < len(states) {
			request.reply <- drainReply{states[i], true}
		} else {
			request.reply <- drainReply{}
		}
	}
}
