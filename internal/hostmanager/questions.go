package hostmanager

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/pause"
)

// askPause lets questions that are asked together be asked in one call. Some
// hundred hosts are emptied at once when a pool's turn begins; with a call for
// each, they waited for each other's.
const askPause = 10 * time.Millisecond

// questions asks pools' holders whether workers are empty, for all goroutines
// that wait for some of one pool at once.
type questions struct {
	pools Pools

	mu sync.Mutex
	// waiting are the questions by pool that are yet to be asked.
	waiting map[string][]question
}

type question struct {
	worker string
	answer chan emptyAnswer
}

type emptyAnswer struct {
	DrainState
	ok bool
}

func newQuestions(pools Pools) *questions {
	return &questions{pools: pools, waiting: make(map[string][]question)}
}

// ask asks for a worker to be emptied, and how far it is. ok is false when
// nobody could be asked.
func (q *questions) ask(ctx context.Context, pool, worker string) (emptied DrainState, ok bool) {
	one := question{worker, make(chan emptyAnswer, 1)}
	q.mu.Lock()
	q.waiting[pool] = append(q.waiting[pool], one)
	first := len(q.waiting[pool]) == 1
	q.mu.Unlock()
	if first {
		go q.askAll(ctx, pool)
	}
	select {
	case a := <-one.answer:
		return a.DrainState, a.ok
	case <-ctx.Done():
		return DrainState{}, false
	}
}

// askAll asks what has come together for a pool.
func (q *questions) askAll(ctx context.Context, pool string) {
	pause.For(ctx, askPause)
	q.mu.Lock()
	all := q.waiting[pool]
	delete(q.waiting, pool)
	q.mu.Unlock()
	workers := make([]string, len(all))
	for i, one := range all {
		workers[i] = one.worker
	}
	emptied, ok := q.pools.Drain(ctx, pool, workers)
	for i, one := range all {
		if ok && i < len(emptied) {
			one.answer <- emptyAnswer{emptied[i], true}
		} else {
			one.answer <- emptyAnswer{}
		}
	}
}
