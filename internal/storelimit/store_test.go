package storelimit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/storelimit"
)

func newLimited(s store.Store, maxRate, fleetRate, members int) *storelimit.Store {
	return storelimit.New(s, storelimit.Config{
		MaxRate: maxRate, FleetRate: fleetRate, Members: func() int { return members }, Log: zerolog.Nop(),
	})
}

// callsReceived counts the calls that reached the store, including those that it
// throttled.
func callsReceived(s *memstore.Store) int64 {
	c := s.Counts()
	return c.Reads + c.Writes + c.LeaseCalls + c.WatchCalls + c.Refused
}

// 100 processes with five components each retry ten times a second throughout an
// outage. Without the limit the store would receive 5,000 calls a second, also in
// the second of its recovery. With it, each process sends less than one probe a
// second during the outage, and after recovery the calls rise slowly from the
// rate that the fleet shares.
func TestRecoveryCausesNoThunderingHerd(t *testing.T) {
	const processes, components, fleetRate = 100, 5, 600
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		for process := range processes {
			b := newLimited(s, 400, fleetRate, processes)
			for component := range components {
				wait.Go(func() {
					for ctx.Err() == nil {
						_, _ = b.Get(ctx, storekeys.GrantSet(fmt.Sprint(process, "-", component)))
						pause.For(ctx, pause.Jitter(100*time.Millisecond))
					}
				})
			}
		}
		time.Sleep(5 * time.Second)
		s.SetDown(true)
		time.Sleep(20 * time.Second)
		must.Less(t, processes, maxCallsPerSecond(s, 30*time.Second))
		s.SetDown(false)
		must.Less(t, fleetRate+processes, maxCallsPerSecond(s, time.Second))
		must.LessEq(t, 2*fleetRate, maxCallsPerSecond(s, 4*time.Second))
	})
}

// maxCallsPerSecond returns the largest number of calls that reached the store
// within one second during d.
func maxCallsPerSecond(s *memstore.Store, d time.Duration) int64 {
	var highest int64
	for range int(d / time.Second) {
		before := callsReceived(s)
		time.Sleep(time.Second)
		highest = max(highest, callsReceived(s)-before)
	}
	return highest
}

// Status reads use up the whole rate. Lease renewals must still be served at
// once: a process that lost its lease because of its own status traffic would
// stop making decisions.
func TestLeaseRenewalPrecedesStatusReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		b := newLimited(s, 20, 20, 1)
		lease, err := b.Grant(t.Context(), 10*time.Second)
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		id := record.ID{Kind: record.KindWave, Name: "w"}
		for range 100 {
			wait.Go(func() {
				for ctx.Err() == nil {
					_, _ = b.Get(ctx, storekeys.Status(id))
				}
			})
		}
		time.Sleep(5 * time.Second)
		for range 10 {
			began := time.Now()
			_, err := b.KeepAlive(t.Context(), lease.ID)
			must.NoError(t, err)
			must.LessEq(t, 50*time.Millisecond, time.Since(began))
			time.Sleep(time.Second)
		}
	})
}

// While the store throttles, the process halves its rate repeatedly, down to its
// share of the fleet's rate, and raises it again afterwards.
func TestRateFallsWhileStoreThrottles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		b := newLimited(s, 400, 100, 10)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		for range 100 {
			wait.Go(func() {
				for ctx.Err() == nil {
					_, _ = b.Get(ctx, storekeys.GrantSet("s"))
					pause.For(ctx, 10*time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		must.GreaterEq(t, 390, maxCallsPerSecond(s, 2*time.Second))
		s.SetThrottled(true)
		time.Sleep(2 * time.Second)
		must.LessEq(t, 20, maxCallsPerSecond(s, 10*time.Second))
		s.SetThrottled(false)
		time.Sleep(30 * time.Second)
		must.GreaterEq(t, 390, maxCallsPerSecond(s, 2*time.Second))
	})
}

// While the store is unavailable, callers get an error at once instead of waiting
// for a timeout. The first probe that succeeds after recovery closes the circuit.
func TestUnavailableStoreFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetLatency(time.Second)
		s.SetDown(true)
		b := newLimited(s, 400, 600, 1)
		for !b.CircuitOpen() {
			_, err := b.Get(t.Context(), "k")
			must.Error(t, err)
		}
		began := time.Now()
		_, err := b.Get(t.Context(), "k")
		var circuitOpen *storelimit.CircuitOpenError
		must.True(t, errors.As(err, &circuitOpen))
		must.Eq(t, 0, time.Since(began))
		s.SetDown(false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if _, err = b.Get(t.Context(), "k"); store.IsNotFound(err) {
				break
			}
		}
		must.True(t, store.IsNotFound(err))
		must.False(t, b.CircuitOpen())
	})
}

// Ten values of a status are put within a second: only the first and the last are
// written, so that status traffic does not delay changes by operators.
func TestStatusWritesAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		w := storelimit.NewStatusWriter(s, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		wait.Go(func() { _ = w.Serve(ctx) })
		key := storekeys.Status(record.ID{Kind: record.KindWave, Name: "w"})
		for i := range 10 {
			w.Put(key, []byte(fmt.Sprint(i)))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		entry, err := s.Get(t.Context(), key)
		must.NoError(t, err)
		must.Eq(t, "9", string(entry.Value))
		must.Eq(t, 2, s.Counts().Writes)
	})
}

// Guards against a status that stays at a value which was put between two others and
// replaced while its write was under way.
func TestStatusPutBackDuringAWriteIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		w := storelimit.NewStatusWriter(s, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		wait.Go(func() { _ = w.Serve(ctx) })
		key := storekeys.Status(record.ID{Kind: record.KindWave, Name: "w"})
		w.Put(key, []byte("a"))
		time.Sleep(3 * time.Second)
		s.SetLatency(time.Second)
		w.Put(key, []byte("b"))
		time.Sleep(500 * time.Millisecond)
		w.Put(key, []byte("a"))
		time.Sleep(6 * time.Second)
		entry, err := s.Get(t.Context(), key)
		must.NoError(t, err)
		must.Eq(t, "a", string(entry.Value))
	})
}
