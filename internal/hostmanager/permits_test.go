package hostmanager

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

const (
	// maintenanceLength is how long a host of a waveScript is down.
	maintenanceLength = 2 * time.Second
	// drainKept is how long a host stays unschedulable after a request to drain it.
	drainKept = 4 * time.Second
)

// waveScript is a platform with one wave over its hosts, the holder of their pool, and the
// store with the progress of that wave. Managers take the role over from each other.
type waveScript struct {
	t      *testing.T
	store  *memstore.Store
	wave   Wave
	takers int
	// access is how the next manager reaches the store.
	access store.Transactor

	mu    sync.Mutex
	hosts []Host
	// fences holds the highest fencing token that each host has seen, maintained the hosts
	// that were.
	fences     map[string]int64
	maintained map[string]bool
	// drains holds when each worker's drain was first and last requested.
	drains map[string][2]time.Time
	// emptyAtOnce is set if nothing runs on the hosts.
	emptyAtOnce bool
	// over counts the maintenances that began beyond what the wave allows.
	over int
	// answer, if set, is given in place of carrying out a call.
	answer func(host string, fence int64) (Outcome, bool)
}

func newWaveScript(t *testing.T, hosts, maxDown int) *waveScript {
	s := &waveScript{t: t, store: memstore.New(), fences: make(map[string]int64), maintained: make(map[string]bool), drains: make(map[string][2]time.Time)}
	s.access = s.store
	s.wave = Wave{Number: 1, TimeLimit: 20 * time.Second, MaxDown: maxDown}
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		s.hosts = append(s.hosts, Host{Name: name, Pool: "p", Up: true, Worker: name + "-1"})
		s.wave.Hosts = append(s.wave.Hosts, name)
	}
	return s
}

// frozenFleet holds the calls of a manager back until it wakes.
type frozenFleet struct {
	*waveScript
	wake chan struct{}
}

func (f *frozenFleet) Maintain(ctx context.Context, host string, wave, fence int64) Outcome {
	select {
	case <-f.wake:
	case <-ctx.Done():
		return Unknown
	}
	return f.waveScript.Maintain(ctx, host, wave, fence)
}

// takeOver runs a manager that has just claimed the role, until ctx ends. Its claim is confirmed
// all the while.
func (s *waveScript) takeOver(ctx context.Context, fleet Fleet) *Manager {
	s.takers++
	fence := int64(s.takers)
	head := poolstore.Head{Fence: fence, Holder: fmt.Sprint("m", fence)}
	revision, err := s.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: poolstore.HeadKey(ClaimName), Value: head.Encode()}}})
	must.NoError(s.t, err)
	m := New(Config{
		Fleet: fleet, Pools: s, Store: s.access, Waves: func() []Wave { return []Wave{s.wave} },
		PoolNames: func() map[string]bool { return map[string]bool{"p": false} }, HasHolder: func(string) bool { return true },
		WaveStatus: func(number int64, done bool) (string, []byte) { return "status", []byte(fmt.Sprint(number, done)) },
		Metrics:    NewMetrics(nil), Log: zerolog.Nop(),
	}, fence, revision, nil)
	go m.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			m.ConfirmClaim(time.Now())
			pause.For(ctx, 200*time.Millisecond)
		}
	}()
	return m
}

func (s *waveScript) List(context.Context) ([]Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Host(nil), s.hosts...), nil
}

func (s *waveScript) Move(context.Context, string, string, int64) Outcome { return Refused }

// Maintain takes a host down, as the platform does: fencing tokens count for each host by
// itself.
func (s *waveScript) Maintain(ctx context.Context, host string, _, fence int64) Outcome {
	pause.For(ctx, 4*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		if outcome, given := s.answer(host, fence); given {
			return outcome
		}
	}
	if fence < s.fences[host] {
		return Fenced
	}
	s.fences[host] = fence
	down, at := 0, 0
	for i, h := range s.hosts {
		if h.Down {
			down++
		}
		if h.Name == host {
			at = i
		}
	}
	switch h := &s.hosts[at]; {
	case s.maintained[host]:
		return Done
	case !h.Up:
		return Busy
	default:
		h.Up, h.Down, h.Worker, s.maintained[host] = false, true, "", true
	}
	if down >= s.wave.MaxDown {
		s.over++
	}
	time.AfterFunc(maintenanceLength, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		h := &s.hosts[at]
		h.Up, h.Down, h.Worker = true, false, h.Name+"-2"
	})
	return Done
}

func (s *waveScript) Drain(_ context.Context, _ string, workers []string) ([]DrainState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]DrainState, len(workers))
	for i, worker := range workers {
		now := time.Now()
		drain, known := s.drains[worker]
		if !known || now.Sub(drain[1]) > drainKept {
			drain[0] = now
		}
		drain[1] = now
		s.drains[worker] = drain
		states[i] = DrainState{Known: true, Empty: s.emptyAtOnce || now.Sub(drain[0]) >= drainTime(worker)}
	}
	return states, true
}

// drainTime is how long what runs on a worker goes on.
func drainTime(worker string) time.Duration {
	return time.Duration(worker[2]%5) * 300 * time.Millisecond
}

// Load implements Pools. Hosts that are being drained are unschedulable, as the pool's holder
// reports them.
func (s *waveScript) Load(context.Context, string, []string) (Load, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := Load{Capacity: 1000 * len(s.hosts)}
	for _, h := range s.hosts {
		if h.Up {
			load.Hosts = append(load.Hosts, HostLoad{Worker: h.Worker, Unschedulable: time.Since(s.drains[h.Worker][1]) < drainKept})
		}
	}
	return load, true
}

// check checks that so many hosts were maintained, never more at once than allowed.
func (s *waveScript) check(maintained int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	must.EqOp(s.t, 0, s.over)
	must.EqOp(s.t, maintained, len(s.maintained))
}

// playWave plays a test with a wave in virtual time, and has all managers end.
func playWave(t *testing.T, hosts, maxDown int, play func(ctx context.Context, s *waveScript)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		play(ctx, newWaveScript(t, hosts, maxDown))
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against more hosts in maintenance than their wave allows: a manager that froze right
// before its calls makes them after another one has taken over, which has hosts of its own down
// and drains some of those that the first one may still call for.
func TestSuccessorCountsCallsThatItsPredecessorMayStillMake(t *testing.T) {
	for wakes := 3200 * time.Millisecond; wakes < 9*time.Second; wakes += 130 * time.Millisecond {
		t.Run(wakes.String(), func(t *testing.T) {
			playWave(t, 24, 6, func(ctx context.Context, s *waveScript) {
				frozen := &frozenFleet{s, make(chan struct{})}
				s.takeOver(ctx, frozen)
				time.AfterFunc(wakes, func() { close(frozen.wake) })
				time.Sleep(3 * time.Second)
				s.takeOver(ctx, s)
				time.Sleep(22 * time.Second)
				s.check(24)
			})
		})
	}
}

// Guards against a wave that stands still: its limit is taken by hosts that an earlier
// manager, which is gone, was allowed to call for.
func TestCallsThatAPredecessorNeverMadeDoNotHoldTheWaveUp(t *testing.T) {
	playWave(t, 12, 2, func(ctx context.Context, s *waveScript) {
		first, leave := context.WithCancel(ctx)
		s.takeOver(first, &frozenFleet{s, make(chan struct{})})
		time.Sleep(3 * time.Second)
		leave()
		s.takeOver(ctx, s)
		time.Sleep(20 * time.Second)
		s.check(12)
	})
}

// Guards against a wave that stands still behind a host that the platform refuses to take
// down: it may be on its way out, and its call counts against the limit until it is certain
// that it was not carried out.
func TestRefusedCallDoesNotHoldTheWaveUp(t *testing.T) {
	playWave(t, 6, 1, func(ctx context.Context, s *waveScript) {
		s.answer = func(host string, _ int64) (Outcome, bool) {
			if host != "h00" {
				return Done, false
			}
			s.hosts[0].Up = false
			return Busy, true
		}
		s.takeOver(ctx, s)
		time.Sleep(25 * time.Second)
		s.check(5)
	})
}

// lateStore carries out the first commits that it is told of later than those after them,
// which the store may do: calls overtake each other.
type lateStore struct {
	store.Transactor
	mu sync.Mutex
	// late is how long each of the next commits with a wave's progress is under way; with
	// lost set its answer is lost at once, and it is carried out all the same.
	late []time.Duration
	lost bool
}

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	s.mu.Lock()
	var late time.Duration
	if len(s.late) > 0 && txn.Puts[0].Key == waveKey(1) {
		late, s.late = s.late[0], s.late[1:]
	}
	s.mu.Unlock()
	if late > 0 && s.lost {
		time.AfterFunc(late, func() { _, _ = s.Transactor.Commit(context.WithoutCancel(ctx), txn) })
		return 0, &store.UnknownOutcomeError{Op: "commit", Cause: context.DeadlineExceeded}
	}
	pause.For(ctx, late)
	return s.Transactor.Commit(ctx, txn)
}

// Guards against more hosts in maintenance than their wave allows: several permits are stored
// at once, each with the progress as it was, and an earlier one overwrites a later one, so that
// the next manager doesn't know of all.
func TestPermitsAreNotOverwrittenByEarlierOnes(t *testing.T) {
	for name, late := range map[string]*lateStore{
		"overtaken": {late: []time.Duration{40 * time.Millisecond, 25 * time.Millisecond, 10 * time.Millisecond}},
		"lost":      {late: []time.Duration{900 * time.Millisecond}, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			playWave(t, 24, 6, func(ctx context.Context, s *waveScript) {
				late.Transactor = s.store
				s.access, s.emptyAtOnce = late, true
				frozen := &frozenFleet{s, make(chan struct{})}
				first := s.takeOver(ctx, frozen)
				time.Sleep(3 * time.Second)
				entry, err := s.store.Get(ctx, waveKey(1))
				must.NoError(t, err)
				var stored waveState
				must.NoError(t, json.Unmarshal(entry.Value, &stored))
				first.mu.Lock()
				permits := len(first.waves[1].Started)
				first.mu.Unlock()
				must.EqOp(t, 6, permits)
				must.MapLen(t, permits, stored.Started)
				s.access = s.store
				s.takeOver(ctx, s)
				time.AfterFunc(1500*time.Millisecond, func() { close(frozen.wake) })
				time.Sleep(22 * time.Second)
				s.check(24)
			})
		})
	}
}
