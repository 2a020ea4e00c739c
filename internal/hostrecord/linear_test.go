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

// move asks for the host to go to a pool, provided it is still as the mover
// read it; read is what a reader of the record sees.
type move struct {
	read bool
	from string
	to   string
}

// moved tells what came of it; pool is what a read saw.
type moved struct {
	ok, unknown bool
	pool        string
}

// ownership is a register of the pool with the identity of its last write.
var ownership = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		held, call, answer := state.(string), input.(move), output.(moved)
		switch {
		case call.read:
			if answer.unknown || answer.pool == held {
				return []any{held}
			}
			return nil
		case answer.unknown && held == call.from:
			return []any{held, call.to}
		case answer.ok && held == call.from:
			return []any{call.to}
		case answer.ok:
			return nil
		}
		return []any{held}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Movers race to put one host into a pool each, on what they read a moment ago,
// while the store loses answers of writes that took effect. Were a lost answer
// tried again blindly, a mover would undo another's move, and for a moment two
// pools would both hold the host.
func TestPoolOwnershipIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := raceForHost(seed)
				result := porcupine.CheckOperationsTimeout(ownership.ToModel(), history, time.Minute)
				must.Eq(t, porcupine.Ok, result)
			})
		})
	}
}

type raceLog struct {
	clock atomic.Int64
	mu    sync.Mutex
	all   []porcupine.Operation
}

func (l *raceLog) do(client int, call move, act func() moved) moved {
	operation := porcupine.Operation{ClientId: client, Input: call, Call: l.clock.Add(1)}
	answer := act()
	operation.Output, operation.Return = answer, l.clock.Add(1)
	if answer.unknown {
		// Its effect may come at any later time.
		operation.ClientId, operation.Return = movers+int(operation.Call), 1<<60
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, operation)
	return answer
}

func raceForHost(seed uint64) []porcupine.Operation {
	s := memstore.New()
	s.SetResponseLossRate(0.3, seed)
	var log raceLog
	var wait sync.WaitGroup
	for client := range movers {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		wait.Go(func() {
			for n := range movesPerMover {
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
				s.SetLatency(time.Duration(random.IntN(15)) * time.Millisecond)
				var entry store.Entry
				seen := log.do(client, move{read: true}, func() moved {
					var answer moved
					entry, answer = readPool(s)
					return answer
				})
				call := move{from: seen.pool, to: fmt.Sprintf("pool-%d-%d", client, n)}
				log.do(client, call, func() moved { return writePool(s, entry, call.to) })
			}
		})
	}
	wait.Wait()
	return log.all
}

func readPool(s store.Store) (store.Entry, moved) {
	entry, err := s.Get(context.Background(), storekeys.Host("h"))
	if store.IsNotFound(err) {
		return entry, moved{ok: true}
	}
	record, err := hostrecord.Parse(entry.Key, entry.Value)
	return entry, moved{ok: err == nil, unknown: err != nil, pool: record.Pool}
}

func writePool(s store.Store, entry store.Entry, pool string) moved {
	next := hostrecord.Record{Host: "h", Pool: pool, Phase: hostrecord.Serving, WriteID: pool}
	_, err := store.IdempotentCAS(context.Background(), s, store.Write{
		Key: storekeys.Host("h"), Expect: entry.ModRevision, Value: next.Encode(),
	})
	switch {
	case err == nil:
		return moved{ok: true}
	case store.IsConflict(err):
		return moved{}
	}
	return moved{unknown: true}
}
