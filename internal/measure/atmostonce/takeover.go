package atmostonce

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// Takeover is the cost for a gateway of taking over a shard that another one filled.
type Takeover struct {
	Claims       int     `json:"claims"`
	StoredValues int     `json:"stored_values"`
	StoredBytes  int     `json:"stored_bytes"`
	LargestValue int     `json:"largest_value_bytes"`
	FirstClaimMs float64 `json:"first_claim_ms"`
	HeapPerClaim float64 `json:"heap_bytes_per_claim"`
}

const fillWorkers = 200

// measureTakeover fills a store with answered claims through one gateway and measures
// the first claim through another.
func (c *Cmd) measureTakeover() (Takeover, error) {
	s := memstore.New()
	b := &bench{cmd: c, store: s, runs: make(map[int]int)}
	first, stopFirst := startDeduplicator(s)
	var wait sync.WaitGroup
	for filler := range fillWorkers {
		wait.Go(func() {
			for n := filler; n < c.TakeoverClaims; n += fillWorkers {
				if granted, _, err := first.Begin(context.Background(), b.claim(n)); err == nil && granted != nil {
					granted.Settle(atmostonce.ResultAnswered, c.response())
				}
			}
		})
	}
	wait.Wait()
	stopFirst()
	t := Takeover{Claims: c.TakeoverClaims}
	listing, err := s.List(context.Background(), storekeys.IdempotencyPrefix)
	if err != nil {
		return t, err
	}
	for _, entry := range listing.Entries {
		t.StoredValues++
		t.StoredBytes += len(entry.Value)
		t.LargestValue = max(t.LargestValue, len(entry.Value))
	}
	before := heapBytes()
	second, stopSecond := startDeduplicator(s)
	defer stopSecond()
	began := time.Now()
	if _, _, err := second.Begin(context.Background(), b.claim(c.TakeoverClaims)); err != nil {
		return t, err
	}
	t.FirstClaimMs = milliseconds(time.Since(began))
	t.HeapPerClaim = float64(heapBytes()-before) / float64(max(c.TakeoverClaims, 1))
	runtime.KeepAlive(second)
	return t, nil
}

func startDeduplicator(s *memstore.Store) (deduplicator *atmostonce.Deduplicator, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	deduplicator = atmostonce.New(atmostonce.Config{
		ClaimStore: atmostonce.NewBatchedStore(atmostonce.BatchedConfig{Store: s, Self: "only"}), Log: zerolog.Nop(),
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Returns after ctx has ended and the remaining claims are settled.
		_ = deduplicator.Serve(ctx)
	}()
	return deduplicator, func() { cancel(); <-ended }
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
