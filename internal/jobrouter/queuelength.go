package jobrouter

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/work"
)

const (
	// countTTL is how long a count of waiting jobs is served from the cache, and
	// maxCountAge how old a cached count may be when no holder responds. A client
	// may get a count that is up to 2 s old.
	countTTL    = 300 * time.Millisecond
	maxCountAge = 1500 * time.Millisecond
	// queuePoolsTTL is how long the record of a queue's pools is used without another
	// look into the store.
	queuePoolsTTL = 1500 * time.Millisecond
)

type cachedCount struct {
	value int
	at    time.Time
}

type cachedPools struct {
	poolstore.QueuePools
	at time.Time
}

// QueueLength returns the number of waiting jobs of a queue for a client, also in pools
// that the queue had before. ok is false if no sufficiently recent count is available: what
// a pool without a holder has is not known, and left out it would count as none.
func (r *Router) QueueLength(ctx context.Context, queue work.Queue) (value int, ok bool) {
	key := queue.Pool + "\x00" + queue.Name
	r.mu.Lock()
	last := r.queueLengths[key]
	r.mu.Unlock()
	if time.Since(last.at) < countTTL {
		return last.value, true
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	for _, pool := range append([]string{queue.Pool}, r.formerPoolsOf(ctx, queue)...) {
		count, ok := r.waitingIn(ctx, pool, queue.Name)
		if !ok {
			return last.value, time.Since(last.at) < maxCountAge
		}
		value += count
	}
	r.mu.Lock()
	r.queueLengths[key] = cachedCount{value, began}
	r.mu.Unlock()
	return value, true
}

// waitingIn returns the number of waiting jobs of a queue in one pool.
func (r *Router) waitingIn(ctx context.Context, pool, queue string) (int, bool) {
	if count, ok := r.Waiting(ctx, pool, queue); ok {
		return count, true
	}
	address, usable := r.remote(pool)
	if !usable {
		return 0, false
	}
	count, held, err := r.Peers.Waiting(ctx, address, pool, queue)
	return count, held && err == nil
}

// formerPoolsOf returns the pools besides its own that may have jobs of a queue. Only the
// first call for a queue waits for the store: its outage must not hold up counts.
func (r *Router) formerPoolsOf(ctx context.Context, queue work.Queue) []string {
	r.mu.Lock()
	last, known := r.pools[queue.Path]
	due := time.Since(last.at) >= queuePoolsTTL
	if due {
		r.pools[queue.Path] = cachedPools{last.QueuePools, time.Now()}
	}
	r.mu.Unlock()
	switch {
	case !due:
	case known:
		go r.refreshPools(context.WithoutCancel(ctx), queue)
	default:
		r.refreshPools(ctx, queue)
		r.mu.Lock()
		last = r.pools[queue.Path]
		r.mu.Unlock()
	}
	return last.Others(queue.Pool)
}

// refreshPools reads the record of a queue's pools. If the store does not answer, the pools
// known last stay.
func (r *Router) refreshPools(ctx context.Context, queue work.Queue) {
	began := time.Now()
	pools, err := r.queuePools(ctx, queue.Path)
	if err != nil {
		r.Log.Info().Err(err).Str("queue", queue.Name).Msg("Failed to read the pools of a queue; counting in those known last.")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools[queue.Path] = cachedPools{pools, began}
}
