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

func newBudget(s store.Store, ceiling, fleet, members int) *storelimit.Store {
	return storelimit.New(s, storelimit.Config{
		MaxRate: ceiling, FleetRate: fleet, Members: func() int { return members }, Log: zerolog.Nop(),
	})
}

// asked counts what reached the store, also what it refused.
func asked(s *memstore.Store) int64 {
	c := s.Counts()
	return c.Reads + c.Writes + c.LeaseCalls + c.WatchCalls + c.Refused
}

// A hundred processes with five parts each try again ten times a second all
// through an outage. During it the store sees less than a probe a second from
// each; on its return the calls rise slowly from the rate that the fleet
// shares. Without the budget it would see 5,000 calls a second throughout, the
// second in which it comes back included.
func TestRecoveryIsNoStampede(t *testing.T) {
	const processes, parts, fleetRate = 100, 5, 600
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		for process := range processes {
			b := newBudget(s, 400, fleetRate, processes)
			for part := range parts {
				wait.Go(func() {
					for ctx.Err() == nil {
						_, _ = b.Get(ctx, storekeys.GrantSet(fmt.Sprint(process, "-", part)))
						pause.For(ctx, pause.Jitter(100*time.Millisecond))
					}
				})
			}
		}
		time.Sleep(5 * time.Second)
		s.SetDown(true)
		time.Sleep(20 * time.Second)
		must.Less(t, processes, mostPerSecond(s, 30*time.Second))
		s.SetDown(false)
		must.Less(t, fleetRate+processes, mostPerSecond(s, time.Second))
		must.LessEq(t, 2*fleetRate, mostPerSecond(s, 4*time.Second))
	})
}

// mostPerSecond returns the most calls that reached the store within a second
// during d.
func mostPerSecond(s *memstore.Store, d time.Duration) int64 {
	var most int64
	for range int(d / time.Second) {
		before := asked(s)
		time.Sleep(time.Second)
		most = max(most, asked(s)-before)
	}
	return most
}

// A flood of status reads spends all there is. The lease is still renewed at
// once: a process that loses it stops deciding for the sake of its own talk.
func TestLeaseGoesBeforeStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		b := newBudget(s, 20, 20, 1)
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

// The store throttles. The process halves its calls again and again, down to
// its part of what the fleet may make, and takes more once it may.
func TestThrottledStoreIsAskedLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		b := newBudget(s, 400, 100, 10)
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
		must.GreaterEq(t, 390, mostPerSecond(s, 2*time.Second))
		s.SetThrottled(true)
		time.Sleep(2 * time.Second)
		must.LessEq(t, 20, mostPerSecond(s, 10*time.Second))
		s.SetThrottled(false)
		time.Sleep(30 * time.Second)
		must.GreaterEq(t, 390, mostPerSecond(s, 2*time.Second))
	})
}

// The store is away: callers have their answer at once instead of waiting for
// a timeout, and the first call after its return that is due as a probe ends
// that.
func TestAwayStoreIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetLatency(time.Second)
		s.SetDown(true)
		b := newBudget(s, 400, 600, 1)
		for !b.CircuitOpen() {
			_, err := b.Get(t.Context(), "k")
			must.Error(t, err)
		}
		began := time.Now()
		_, err := b.Get(t.Context(), "k")
		var away *storelimit.CircuitOpenError
		must.True(t, errors.As(err, &away))
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

// Ten values of a status are put within a second: the store gets the first
// and the last. Each write is one the operators' changes don't wait behind.
func TestStatusIsCoalesced(t *testing.T) {
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
