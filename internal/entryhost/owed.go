package entryhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

const (
	// owedInterval is the mean interval between two reads of the pools that have jobs. A
	// process reads them when it starts and sees itself which queues go away later.
	owedInterval = 30 * time.Second
	// owedRetry is the mean pause after a read that failed.
	owedRetry = 500 * time.Millisecond
	// owedKeep is how long a pool that a queue went to last is kept without a read that
	// names it: jobs may still be accepted there by an entry host that has not learned
	// of a newer configuration.
	owedKeep = 2 * owedInterval
)

// owedPools knows the pools that have accepted jobs, whether or not the configuration
// still sends a queue to them. Such a pool needs a holder until its jobs have ended: tasks
// that last would never be started again.
type owedPools struct {
	store store.Store
	log   zerolog.Logger

	mu sync.Mutex
	// stored are the pools named by the last read, routed those that queues went to,
	// with when they were last seen.
	stored map[string]bool
	routed map[string]time.Time
}

func newOwedPools(s store.Store, log zerolog.Logger) *owedPools {
	return &owedPools{store: s, log: log, stored: make(map[string]bool), routed: make(map[string]time.Time)}
}

// run reads the pools until ctx ends.
func (o *owedPools) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := owedInterval
		if !o.read(ctx) {
			wait = owedRetry
		}
		pause.For(ctx, pause.Jitter(wait))
	}
}

func (o *owedPools) read(ctx context.Context) bool {
	queues, faults, err := poolstore.ListQueuePools(ctx, o.store)
	if err != nil {
		o.log.Warn().Err(err).Msg("Failed to read which pools have jobs; retrying.")
		return false
	}
	for _, fault := range faults {
		o.log.Error().Err(fault).Msg("Cannot decode the pools of a queue.")
	}
	stored := make(map[string]bool)
	for _, queue := range queues {
		for _, pool := range queue.Pools {
			stored[pool] = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !maps.Equal(stored, o.stored) {
		o.log.Info().Strs("pools", slices.Sorted(maps.Keys(stored))).Msg("The pools that have jobs have changed.")
	}
	o.stored = stored
	return true
}

// with returns the sorted names of the pools that need a holder: those that queues go to
// now, and those that have accepted jobs.
func (o *owedPools) with(routed []string, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, pool := range routed {
		o.routed[pool] = now
	}
	needed := maps.Clone(o.stored)
	for pool, seen := range o.routed {
		if now.Sub(seen) > owedKeep {
			delete(o.routed, pool)
			continue
		}
		needed[pool] = true
	}
	return slices.Sorted(maps.Keys(needed))
}
