package drainer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/storekeys"
)

// inWorld runs one story in virtual time and judges it.
func inWorld(t *testing.T, controllers int, options fakefleet.Options, story func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		options.ListLag, options.RebootTime = listLag, rebootTime
		w := newWorld(t, ctx, 1, controllers, options)
		defer w.end(cancel)
		time.Sleep(5 * time.Second)
		story(w)
		w.judge(t)
	})
}

func smallWave(hosts ...string) *record.Wave {
	return &record.Wave{
		Pools: []string{"p1"}, Hosts: hosts, DrainSeconds: int(drainTime.Seconds()), RebootSeconds: 30, MinHealthySeconds: 3,
	}
}

// within waits in virtual time and returns how long it took.
func (w *world) within(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			w.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (w *world) phase(host string) hostrecord.Phase { return w.records()[host].Phase }

func (w *world) visited(waveName, host string) func() bool {
	return func() bool {
		_, visited := w.records()[host].WaveOutcomes[waveName]
		return visited && w.phase(host) == hostrecord.Serving
	}
}

func (w *world) acts(verb string) int {
	count := 0
	for _, act := range w.fleet.Actions() {
		if act.Verb == verb {
			count++
		}
	}
	return count
}

// stopAt has a controller sleep right before its next call with the prefix.
func (c *controller) stopAt(prefix string, length time.Duration) (reached chan struct{}) {
	reached = make(chan struct{})
	c.stall.mu.Lock()
	defer c.stall.mu.Unlock()
	c.stall.before = func(call string) {
		if !strings.HasPrefix(call, prefix) {
			return
		}
		c.stall.mu.Lock()
		defer c.stall.mu.Unlock()
		if c.stall.before != nil {
			c.stall.before = nil
			c.stall.until = time.Now().Add(length)
			close(reached)
		}
	}
	return reached
}

// The gateways are behind and still send the host requests, and just then the
// platform can't say how the host is. Taken for confirmed and idle, it was
// rebooted under its requests, seconds before its drain deadline.
func TestUnknownConditionIsNotIdle(t *testing.T) {
	inWorld(t, 1, fakefleet.Options{}, func(w *world) {
		w.store.SetLatency(0)
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(20*time.Second, "h01 drains", func() bool { return w.phase("h01") == hostrecord.Draining })
		w.controllers[0].stall.blind.Store(true)
		began := time.Now()
		w.within(drainTime+20*time.Second, "h01 is told to reboot or waits", func() bool {
			return w.acts(fakefleet.VerbReboot) > 0 || time.Since(began) > drainTime/2
		})
		must.Zero(t, w.acts(fakefleet.VerbReboot))
		w.controllers[0].stall.blind.Store(false)
		w.within(time.Minute, "the wave visits h01", w.visited("w", "h01"))
	})
}

// An operator deletes the wave while a host is rebooting for it. No wave in
// force looked at the host any more: it stayed out with its grants for ever,
// and every other wave over the service had one place less.
func TestHostOfDeletedWaveComesBack(t *testing.T) {
	inWorld(t, 2, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(time.Minute, "h01 reboots", func() bool { return w.phase("h01") == hostrecord.Rebooting })
		w.remove(storekeys.Spec(record.ID{Kind: record.KindWave, Name: "w"}))
		w.within(time.Minute, "h01 serves", func() bool { return w.phase("h01") == hostrecord.Serving })
		w.within(time.Minute, "no grant is left", func() bool { return len(w.ledgers()["a"].ByHost) == 0 })
		w.within(time.Minute, "the visit is forgotten", func() bool { return len(w.records()["h01"].WaveOutcomes) == 0 })
	})
}

// A host in maintenance is to join another pool on its return, and operators
// remove that pool while it reboots. It came back into a pool that is no longer
// there: it served nobody, and its old pool had one host less until the mover
// brought it back with a second drain. With both pools gone it is in neither.
func TestHostBoundForARemovedPoolStaysWhereItWas(t *testing.T) {
	for _, removed := range [][]string{{"p9"}, {"p3", "p9"}} {
		inWorld(t, 1, fakefleet.Options{}, func(w *world) {
			w.put(record.KindPool, "p9", &record.Pool{Services: []string{"c"}, Size: 1})
			w.putHost(hostrecord.Record{Host: "h17", Pool: "p3", NextPool: "p9", Phase: hostrecord.Serving})
			w.put(record.KindWave, "w", &record.Wave{Pools: []string{"p3"}, Hosts: []string{"h17"}})
			w.within(time.Minute, "h17 reboots", func() bool { return w.phase("h17") == hostrecord.Rebooting })
			for _, pool := range removed {
				w.remove(storekeys.Spec(record.ID{Kind: record.KindPool, Name: pool}))
			}
			w.within(20*time.Minute, "h17 serves", func() bool { return w.phase("h17") == hostrecord.Serving })
			h17 := w.records()["h17"]
			must.Eq(t, "p3", h17.Pool)
			must.Eq(t, "", h17.NextPool)
			w.within(time.Minute, "no grant is left", func() bool { return len(w.ledgers()["c"].ByHost) == 0 })
		})
	}
}

// The holder is paused between writing that a host reboots and telling the
// platform. Its lease ends, another controller reboots the host and brings it
// back. Then the first one wakes inside its call: the reboot arrives a minute
// late, at a host that serves callers again.
func TestLateRebootOfPausedHolder(t *testing.T) {
	inWorld(t, 2, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(10*time.Second, "someone holds the wave", func() bool { return w.holderOf("w") != nil })
		reached := w.holderOf("w").stopAt("reboot h01", time.Minute)
		<-reached
		w.within(50*time.Second, "the other controller visits h01", w.visited("w", "h01"))
		w.put(record.KindWave, "again", smallWave("h01"))
		time.Sleep(time.Minute)
		must.Eq(t, 2, w.acts(fakefleet.VerbReboot))
		must.True(t, w.visited("again", "h01")())
	})
}

// The same on a platform that only remembers the last reboot: one of the first
// visit that arrives after the second visit's would be taken for a new one. The
// second visit begins when none of the first can arrive any more.
func TestSecondVisitWaitsForLateActs(t *testing.T) {
	inWorld(t, 1, fakefleet.Options{LastRebootOnly: true}, func(w *world) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(time.Minute, "the wave visits h01", w.visited("w", "h01"))
		ended := time.Now()
		w.put(record.KindWave, "again", smallWave("h01"))
		w.within(time.Minute, "h01 is out again", func() bool { return w.phase("h01") != hostrecord.Serving })
		must.GreaterEq(t, fleet.MaxActionDelay, time.Since(ended))
		w.within(time.Minute, "the second wave visits h01", w.visited("again", "h01"))
	})
}

// The holder is paused between the grant and the record. The sweep of another
// controller finds a grant that nothing stands for. Given back without a fence,
// it would be missing when the paused controller wakes and marks the host out.
func TestOrphanedGrantIsFencedBeforeItsRelease(t *testing.T) {
	inWorld(t, 2, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(10*time.Second, "someone holds the wave", func() bool { return w.holderOf("w") != nil })
		reached := w.holderOf("w").stopAt("swap "+storekeys.Host("h01"), 2*time.Minute)
		<-reached
		orphan := w.ledgers()["a"].ByHost["h01"].Operation
		must.NotEq(t, "", orphan)
		paused := smallWave("h01")
		paused.Paused = true
		w.put(record.KindWave, "w", paused)
		w.within(time.Minute, "the orphaned grant is gone", func() bool {
			return w.ledgers()["a"].ByHost["h01"].Operation != orphan
		})
		time.Sleep(2 * time.Minute)
		must.Eq(t, hostrecord.Serving, w.phase("h01"))
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(time.Minute, "the wave visits h01", w.visited("w", "h01"))
		must.Eq(t, 1, w.acts(fakefleet.VerbReboot))
	})
}

// The platform takes a host back to work, but the store loses the record of it
// and the host is by then no longer to be returned. The operation has ended
// where it counts, and every act under it was refused: the host drained for
// ever.
func TestVisitWhoseOperationEndedIsFinished(t *testing.T) {
	inWorld(t, 1, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(time.Minute, "h01 drains", func() bool { return w.phase("h01") == hostrecord.Draining })
		must.NoError(t, w.fleet.Undrain(w.ctx, "h01", w.records()["h01"].Operation))
		w.within(2*time.Minute, "the wave visits h01", w.visited("w", "h01"))
		w.within(time.Minute, "no grant is left", func() bool { return len(w.ledgers()["a"].ByHost) == 0 })
	})
}

// A host doesn't come back, the wave gives it up and ends. Hours later it is
// repaired. Nothing looked at a wave that was done, so that the host, well and
// wanted, stayed out with its grants.
func TestFailedHostThatReturnsServesAgain(t *testing.T) {
	inWorld(t, 2, fakefleet.Options{}, func(w *world) {
		w.fleet.FailNextReboot("h01")
		w.put(record.KindWave, "w", smallWave("h01"))
		w.within(2*time.Minute, "h01 fails", func() bool { return w.phase("h01") == hostrecord.Failed })
		time.Sleep(time.Hour)
		must.MapLen(t, 1, w.ledgers()["a"].ByHost)
		w.fleet.Repair("h01")
		w.within(time.Minute, "h01 serves", func() bool { return w.phase("h01") == hostrecord.Serving })
		w.within(time.Minute, "no grant is left", func() bool { return len(w.ledgers()["a"].ByHost) == 0 })
		must.False(t, w.fleet.Draining("h01"))
	})
}

// A rack dies, and for three seconds the platform's list still calls its hosts
// live. Counted as available, they would let further hosts out on top, and the
// service would fall below its budget by our own doing.
func TestListThatLagsFreesNoBudget(t *testing.T) {
	inWorld(t, 1, fakefleet.Options{ListLag: listLag}, func(w *world) {
		w.setBudget("a", 12, record.MarginNone)
		_, err := w.fleet.Hosts(w.ctx)
		must.NoError(t, err)
		for _, host := range []string{"h02", "h05", "h08", "h11"} {
			w.fleet.Crash(host, 20*time.Second)
		}
		hosts, err := w.fleet.Hosts(w.ctx)
		must.NoError(t, err)
		must.SliceLen(t, 3*poolSize, hosts, must.Sprint("the list doesn't lag"))
		w.put(record.KindWave, "w", smallWave("h01"))
		time.Sleep(10 * time.Second)
		must.Zero(t, w.acts(fakefleet.VerbDrain))
		w.within(time.Minute, "the wave visits h01", w.visited("w", "h01"))
	})
}

// The holder ends without a word while hosts are out; another one goes on once
// the membership lease is over. A planned stop hands over at once.
func TestFailOver(t *testing.T) {
	inWorld(t, 3, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave())
		w.within(10*time.Second, "someone holds the wave", func() bool { return w.holderOf("w") != nil })
		first := w.holderOf("w")
		first.stall.pause(time.Hour)
		crash := w.within(holdTTL+3*time.Second, "another takes over", func() bool {
			second := w.holderOf("w")
			return second != nil && second != first
		})
		second := w.holderOf("w")
		second.stop()
		second.ended.Wait()
		planned := w.within(time.Second, "the third takes over", func() bool {
			third := w.holderOf("w")
			return third != nil && third != second && third != first
		})
		t.Logf("took over after %s from a lost holder with a lease of %s, after %s from a planned stop", crash, holdTTL, planned)
	})
}

// The store is away for a minute in the middle of a wave. Nothing new may go
// out: no grant can be written. Hosts that are out stay out, counted, and the
// wave goes on by itself once the store is back.
func TestStoreOutageDisruptsNothingNew(t *testing.T) {
	inWorld(t, 3, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave())
		w.within(time.Minute, "two hosts are out or were", func() bool { return w.acts(fakefleet.VerbDrain) >= 2 })
		w.store.SetDown(true)
		out := 0
		for _, r := range w.records() {
			if !r.TakesWork() {
				out++
			}
		}
		before := w.acts(fakefleet.VerbUndrain) + out
		time.Sleep(time.Minute)
		must.LessEq(t, before, w.acts(fakefleet.VerbDrain))
		w.store.SetDown(false)
		for _, host := range []string{"h01", "h02", "h03", "h04", "h05", "h06", "h07", "h08"} {
			w.within(5*time.Minute, "the wave visits "+host, w.visited("w", host))
		}
	})
}

// Eight hosts of one service are visited by three controllers. A visit is one
// write each for the grant, four phases and the release; what else the store is
// asked is a listing of the ledgers every ten seconds, and no more for more
// controllers.
func TestStoreCallsOfAWave(t *testing.T) {
	inWorld(t, 3, fakefleet.Options{}, func(w *world) {
		w.put(record.KindWave, "w", smallWave())
		before, began := w.store.Counts(), time.Now()
		for _, host := range []string{"h01", "h02", "h03", "h04", "h05", "h06", "h07", "h08"} {
			w.within(5*time.Minute, "the wave visits "+host, w.visited("w", host))
		}
		w.within(time.Minute, "no grant is left", func() bool { return len(w.ledgers()["a"].ByHost) == 0 })
		after, took := w.store.Counts(), time.Since(began)
		const visitWrites = 6
		writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
		t.Logf("%d writes, %d reads in %s", writes, reads, took)
		must.Eq(t, visitWrites*poolSize, writes)
		must.LessEq(t, int64(took/(10*time.Second))+2, reads)
	})
}

// One host's reboot hangs for two minutes in the platform. Acted on one after
// the other, every other host of the controller would wait with it, out of
// service and counted.
func TestSlowHostHoldsUpNoOther(t *testing.T) {
	inWorld(t, 1, fakefleet.Options{}, func(w *world) {
		c := w.controllers[0]
		c.stall.mu.Lock()
		c.stall.before = func(call string) {
			if call == "reboot h01" {
				time.Sleep(2 * time.Minute)
			}
		}
		c.stall.mu.Unlock()
		w.put(record.KindWave, "slow", smallWave("h01"))
		w.within(time.Minute, "h01 is told to reboot", func() bool { return w.phase("h01") == hostrecord.Rebooting })
		w.put(record.KindWave, "w", smallWave("h02", "h03"))
		w.within(time.Minute, "the wave visits h02", w.visited("w", "h02"))
		w.within(time.Minute, "the wave visits h03", w.visited("w", "h03"))
		must.Eq(t, hostrecord.Rebooting, w.phase("h01"))
		w.within(5*time.Minute, "h01 serves", func() bool { return w.phase("h01") == hostrecord.Serving })
	})
}
