package hostrecord_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	movers        = 4
	movesPerMover = 12
)

// move is the input of an operation: a read of the host's pool if read is set,
// else a compare-and-swap of the pool from one value to another.
type move struct {
	read bool
	from string
	to   string
}

// moveResult is the output of an operation; pool is the result of a read.
type moveResult struct {
	ok, unknown bool
	pool        string
}

// ownership models the host's pool as a register with compare-and-swap. A write
// whose outcome is unknown may or may not have taken effect.
var ownership = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		pool, call, result := state.(string), input.(move), output.(moveResult)
		switch {
		case call.read:
			if result.unknown || result.pool == pool {
				return []any{pool}
			}
			return nil
		case result.unknown && pool == call.from:
			return []any{pool, call.to}
		case result.ok && pool == call.from:
			return []any{call.to}
		case result.ok:
			return nil
		}
		return []any{pool}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Concurrent movers each assign one host to a different pool, based on an earlier
// read, while the store loses responses of writes that took effect. Blind retries
// after a lost response would undo another mover's write, and for a time two pools
// would both own the host.
func TestPoolOwnershipIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := runConcurrentMoves(seed)
				result := porcupine.CheckOperationsTimeout(ownership.ToModel(), history, time.Minute)
				must.Eq(t, porcupine.Ok, result)
			})
		})
	}
}

type operationLog struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (l *operationLog) record(client int, call move, act func() moveResult) moveResult {
	operation := porcupine.Operation{ClientId: client, Input: call, Call: l.clock.Add(1)}
	result := act()
	operation.Output, operation.Return = result, l.clock.Add(1)
	if result.unknown {
		// The write may take effect at any later time.
		operation.ClientId, operation.Return = movers+int(operation.Call), 1<<60
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, operation)
	return result
}

func runConcurrentMoves(seed uint64) []porcupine.Operation {
	s := memstore.New()
	s.SetResponseLossRate(0.3, seed)
	var log operationLog
	var wait sync.WaitGroup
	for client := range movers {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		wait.Go(func() {
			for n := range movesPerMover {
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
				s.SetLatency(time.Duration(random.IntN(15)) * time.Millisecond)
				var entry store.Entry
				current := log.record(client, move{read: true}, func() moveResult {
					var result moveResult
					entry, result = readPool(s)
					return result
				})
				call := move{from: current.pool, to: fmt.Sprintf("pool-%d-%d", client, n)}
				log.record(client, call, func() moveResult { return writePool(s, entry, call.to) })
			}
		})
	}
	wait.Wait()
	return log.operations
}

func readPool(s store.Store) (store.Entry, moveResult) {
	entry, err := s.Get(context.Background(), storekeys.Host("h"))
	if store.IsNotFound(err) {
		return entry, moveResult{ok: true}
	}
	record, err := hostrecord.Parse(entry.Key, entry.Value)
	return entry, moveResult{ok: err == nil, unknown: err != nil, pool: record.Pool}
}

func writePool(s store.Store, entry store.Entry, pool string) moveResult {
	next := hostrecord.Record{Host: "h", Pool: pool, Phase: hostrecord.Serving, WriteID: pool}
	_, err := store.IdempotentCAS(context.Background(), s, store.SwapRequest{
		Key: storekeys.Host("h"), Expect: entry.ModRevision, Value: next.Encode(),
	})
	switch {
	case err == nil:
		return moveResult{ok: true}
	case store.IsConflict(err):
		return moveResult{}
	}
	return moveResult{unknown: true}
}
