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

// runScenario runs a scenario on a test cluster in virtual time and checks the
// cluster's invariants at its end.
func runScenario(t *testing.T, controllers int, options fakefleet.Options, scenario func(w *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		options.ListLag, options.RebootTime = listLag, rebootTime
		w := newTestCluster(t, ctx, 1, controllers, options)
		defer w.end(cancel)
		time.Sleep(5 * time.Second)
		scenario(w)
		w.check(t)
	})
}

func smallWave(hosts ...string) *record.Wave {
	return &record.Wave{
		Pools: []string{"p1"}, Hosts: hosts, DrainSeconds: int(drainTime.Seconds()), RebootSeconds: 30, MinHealthySeconds: 3,
	}
}

// waitFor waits in virtual time until the condition holds, and returns how long that
// took. It fails the test after limit.
func (w *testCluster) waitFor(limit time.Duration, description string, condition func() bool) time.Duration {
	w.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			w.t.Fatalf("not within %s: %s", limit, description)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(started)
}

func (w *testCluster) phase(host string) hostrecord.Phase { return w.records()[host].Phase }

func (w *testCluster) visited(waveName, host string) func() bool {
	return func() bool {
		_, visited := w.records()[host].WaveOutcomes[waveName]
		return visited && w.phase(host) == hostrecord.Serving
	}
}

func (w *testCluster) actionCount(verb string) int {
	count := 0
	for _, action := range w.fleet.Actions() {
		if action.Verb == verb {
			count++
		}
	}
	return count
}

// pauseAt makes a controller sleep right before its next call with the prefix. The
// returned channel is closed when it does.
func (c *controller) pauseAt(prefix string, length time.Duration) (reached chan struct{}) {
	reached = make(chan struct{})
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	c.calls.before = func(call string) {
		if !strings.HasPrefix(call, prefix) {
			return
		}
		c.calls.mu.Lock()
		defer c.calls.mu.Unlock()
		if c.calls.before != nil {
			c.calls.before = nil
			c.calls.pausedUntil = time.Now().Add(length)
			close(reached)
		}
	}
	return reached
}

// The gateways lag and still send requests to the host, and the platform fails to
// report the host's condition. If the host counted as confirmed and idle, it would
// be rebooted with requests in flight before its drain deadline.
func TestUnknownConditionIsNotIdle(t *testing.T) {
	runScenario(t, 1, fakefleet.Options{}, func(w *testCluster) {
		w.store.SetLatency(0)
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(20*time.Second, "h01 drains", func() bool { return w.phase("h01") == hostrecord.Draining })
		w.controllers[0].calls.conditionFails.Store(true)
		started := time.Now()
		w.waitFor(drainTime+20*time.Second, "h01 is rebooted or keeps waiting", func() bool {
			return w.actionCount(fakefleet.VerbReboot) > 0 || time.Since(started) > drainTime/2
		})
		must.Zero(t, w.actionCount(fakefleet.VerbReboot))
		w.controllers[0].calls.conditionFails.Store(false)
		w.waitFor(time.Minute, "the wave visits h01", w.visited("w", "h01"))
	})
}

// An operator deletes the wave while a host is rebooting for it. If no other wave
// handled the host, it would stay out and keep its grants forever, which reduces
// the headroom of every other wave over the service.
func TestHostOfDeletedWaveReturnsToService(t *testing.T) {
	runScenario(t, 2, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(time.Minute, "h01 reboots", func() bool { return w.phase("h01") == hostrecord.Rebooting })
		w.remove(storekeys.Spec(record.ID{Kind: record.KindWave, Name: "w"}))
		w.waitFor(time.Minute, "h01 serves", func() bool { return w.phase("h01") == hostrecord.Serving })
		w.waitFor(time.Minute, "no grant is left", func() bool { return len(w.grantSets()["a"].ByHost) == 0 })
		w.waitFor(time.Minute, "the wave outcome of h01 is pruned", func() bool { return len(w.records()["h01"].WaveOutcomes) == 0 })
	})
}

// Operators remove the pool that a host in maintenance is to join while the host
// reboots. In the removed pool it would serve nobody, and its old pool would lack a
// host until the mover moves it back with a second drain. The host must stay in its
// old pool, even if that pool was removed too.
func TestHostMovingToRemovedPoolStaysInItsPool(t *testing.T) {
	for _, removed := range [][]string{{"p9"}, {"p3", "p9"}} {
		runScenario(t, 1, fakefleet.Options{}, func(w *testCluster) {
			w.put(record.KindPool, "p9", &record.Pool{Services: []string{"c"}, Size: 1})
			w.putHost(hostrecord.Record{Host: "h17", Pool: "p3", NextPool: "p9", Phase: hostrecord.Serving})
			w.put(record.KindWave, "w", &record.Wave{Pools: []string{"p3"}, Hosts: []string{"h17"}})
			w.waitFor(time.Minute, "h17 reboots", func() bool { return w.phase("h17") == hostrecord.Rebooting })
			for _, pool := range removed {
				w.remove(storekeys.Spec(record.ID{Kind: record.KindPool, Name: pool}))
			}
			w.waitFor(20*time.Minute, "h17 serves", func() bool { return w.phase("h17") == hostrecord.Serving })
			h17 := w.records()["h17"]
			must.Eq(t, "p3", h17.Pool)
			must.Eq(t, "", h17.NextPool)
			w.waitFor(time.Minute, "no grant is left", func() bool { return len(w.grantSets()["c"].ByHost) == 0 })
		})
	}
}

// The owner is paused after it recorded a reboot and before it requests it. Its lease
// expires, and another controller reboots the host and returns it to service. The
// first controller then resumes, and its reboot request arrives a minute late at a
// serving host.
func TestPausedControllerSendsLateReboot(t *testing.T) {
	runScenario(t, 2, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(10*time.Second, "a controller owns the wave", func() bool { return w.ownerOf("w") != nil })
		reached := w.ownerOf("w").pauseAt("reboot h01", time.Minute)
		<-reached
		w.waitFor(50*time.Second, "the other controller visits h01", w.visited("w", "h01"))
		w.put(record.KindWave, "again", smallWave("h01"))
		time.Sleep(time.Minute)
		must.Eq(t, 2, w.actionCount(fakefleet.VerbReboot))
		must.True(t, w.visited("again", "h01")())
	})
}

// On a platform that only stores the last reboot, a delayed request of the first
// visit that arrives after the second visit's would be accepted as a new one. The
// second visit must not start while a request of the first may still arrive.
func TestSecondVisitWaitsForDelayedReboot(t *testing.T) {
	runScenario(t, 1, fakefleet.Options{LastRebootOnly: true}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(time.Minute, "the wave visits h01", w.visited("w", "h01"))
		ended := time.Now()
		w.put(record.KindWave, "again", smallWave("h01"))
		w.waitFor(time.Minute, "h01 is out again", func() bool { return w.phase("h01") != hostrecord.Serving })
		must.GreaterEq(t, fleet.MaxActionDelay, time.Since(ended))
		w.waitFor(time.Minute, "the second wave visits h01", w.visited("again", "h01"))
	})
}

// The owner is paused between acquiring a grant and writing the host record, and the
// sweep of another controller finds the grant orphaned. If it were released without
// a fence, the owner would resume and mark the host out without a grant.
func TestOrphanedGrantIsFencedBeforeItsRelease(t *testing.T) {
	runScenario(t, 2, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(10*time.Second, "a controller owns the wave", func() bool { return w.ownerOf("w") != nil })
		reached := w.ownerOf("w").pauseAt("swap "+storekeys.Host("h01"), 2*time.Minute)
		<-reached
		orphan := w.grantSets()["a"].ByHost["h01"].Operation
		must.NotEq(t, "", orphan)
		pausedWave := smallWave("h01")
		pausedWave.Paused = true
		w.put(record.KindWave, "w", pausedWave)
		w.waitFor(time.Minute, "the orphaned grant is gone", func() bool {
			return w.grantSets()["a"].ByHost["h01"].Operation != orphan
		})
		time.Sleep(2 * time.Minute)
		must.Eq(t, hostrecord.Serving, w.phase("h01"))
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(time.Minute, "the wave visits h01", w.visited("w", "h01"))
		must.Eq(t, 1, w.actionCount(fakefleet.VerbReboot))
	})
}

// The platform undrains a host, but its record is not written and the return is not
// planned again. The operation has then ended on the platform, which rejects every
// request under it, and the host would stay draining forever.
func TestVisitWithEndedOperationIsCompleted(t *testing.T) {
	runScenario(t, 1, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(time.Minute, "h01 drains", func() bool { return w.phase("h01") == hostrecord.Draining })
		must.NoError(t, w.fleet.Undrain(w.ctx, "h01", w.records()["h01"].Operation))
		w.waitFor(2*time.Minute, "the wave visits h01", w.visited("w", "h01"))
		w.waitFor(time.Minute, "no grant is left", func() bool { return len(w.grantSets()["a"].ByHost) == 0 })
	})
}

// A host fails in a wave, which then finishes, and is repaired an hour later. If no
// controller reconciled finished waves with hosts out, the healthy host would stay
// out and keep its grants.
func TestFailedHostReturnsToServiceAfterRepair(t *testing.T) {
	runScenario(t, 2, fakefleet.Options{}, func(w *testCluster) {
		w.fleet.FailNextReboot("h01")
		w.put(record.KindWave, "w", smallWave("h01"))
		w.waitFor(2*time.Minute, "h01 fails", func() bool { return w.phase("h01") == hostrecord.Failed })
		time.Sleep(time.Hour)
		must.MapLen(t, 1, w.grantSets()["a"].ByHost)
		w.fleet.Repair("h01")
		w.waitFor(time.Minute, "h01 serves", func() bool { return w.phase("h01") == hostrecord.Serving })
		w.waitFor(time.Minute, "no grant is left", func() bool { return len(w.grantSets()["a"].ByHost) == 0 })
		must.False(t, w.fleet.Draining("h01"))
	})
}

// A rack fails, and for three seconds the platform still lists its hosts as live. If
// they counted as available, another host would be taken out in addition, and the
// service would fall below its budget.
func TestLaggingHostListFreesNoBudget(t *testing.T) {
	runScenario(t, 1, fakefleet.Options{ListLag: listLag}, func(w *testCluster) {
		w.setBudget("a", 12, record.MarginNone)
		_, err := w.fleet.Hosts(w.ctx)
		must.NoError(t, err)
		for _, host := range []string{"h02", "h05", "h08", "h11"} {
			w.fleet.Crash(host, 20*time.Second)
		}
		hosts, err := w.fleet.Hosts(w.ctx)
		must.NoError(t, err)
		must.SliceLen(t, 3*poolSize, hosts, must.Sprint("the host list does not lag"))
		w.put(record.KindWave, "w", smallWave("h01"))
		time.Sleep(10 * time.Second)
		must.Zero(t, w.actionCount(fakefleet.VerbDrain))
		w.waitFor(time.Minute, "the wave visits h01", w.visited("w", "h01"))
	})
}

// The owner crashes while hosts are out; another controller takes over when the
// membership lease expires. After a planned stop, another one takes over within a
// second.
func TestFailOver(t *testing.T) {
	runScenario(t, 3, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave())
		w.waitFor(10*time.Second, "a controller owns the wave", func() bool { return w.ownerOf("w") != nil })
		first := w.ownerOf("w")
		first.calls.pause(time.Hour)
		crash := w.waitFor(leaseTTL+3*time.Second, "another takes over", func() bool {
			second := w.ownerOf("w")
			return second != nil && second != first
		})
		second := w.ownerOf("w")
		second.stop()
		second.ended.Wait()
		planned := w.waitFor(time.Second, "the third takes over", func() bool {
			third := w.ownerOf("w")
			return third != nil && third != second && third != first
		})
		t.Logf("another controller took over %s after a crash with a lease of %s, and %s after a planned stop", crash, leaseTTL, planned)
	})
}

// The store is unavailable for a minute during a wave. No further host may be taken
// out, since no grant can be written. Hosts that are out stay out and counted, and
// the wave resumes on its own once the store is available.
func TestStoreOutageDisruptsNothingNew(t *testing.T) {
	runScenario(t, 3, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave())
		w.waitFor(time.Minute, "two hosts are out or were", func() bool { return w.actionCount(fakefleet.VerbDrain) >= 2 })
		w.store.SetDown(true)
		out := 0
		for _, r := range w.records() {
			if !r.Schedulable() {
				out++
			}
		}
		before := w.actionCount(fakefleet.VerbUndrain) + out
		time.Sleep(time.Minute)
		must.LessEq(t, before, w.actionCount(fakefleet.VerbDrain))
		w.store.SetDown(false)
		for _, host := range []string{"h01", "h02", "h03", "h04", "h05", "h06", "h07", "h08"} {
			w.waitFor(5*time.Minute, "the wave visits "+host, w.visited("w", host))
		}
	})
}

// Three controllers maintain eight hosts of one service. A visit costs one write each
// for the grant, four phases and the release. The only other calls are one listing
// of the grant sets every ten seconds, regardless of the number of controllers.
func TestStoreCallsOfAWave(t *testing.T) {
	runScenario(t, 3, fakefleet.Options{}, func(w *testCluster) {
		w.put(record.KindWave, "w", smallWave())
		before, started := w.store.Counts(), time.Now()
		for _, host := range []string{"h01", "h02", "h03", "h04", "h05", "h06", "h07", "h08"} {
			w.waitFor(5*time.Minute, "the wave visits "+host, w.visited("w", host))
		}
		w.waitFor(time.Minute, "no grant is left", func() bool { return len(w.grantSets()["a"].ByHost) == 0 })
		after, took := w.store.Counts(), time.Since(started)
		const visitWrites = 6
		writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
		t.Logf("%d writes, %d reads in %s", writes, reads, took)
		must.Eq(t, visitWrites*poolSize, writes)
		must.LessEq(t, int64(took/(10*time.Second))+2, reads)
	})
}

// The reboot request of one host takes two minutes in the platform. If steps were
// applied sequentially, all other hosts of the controller would wait, out of service
// and counted against the budget.
func TestSlowHostDoesNotDelayOthers(t *testing.T) {
	runScenario(t, 1, fakefleet.Options{}, func(w *testCluster) {
		c := w.controllers[0]
		c.calls.mu.Lock()
		c.calls.before = func(call string) {
			if call == "reboot h01" {
				time.Sleep(2 * time.Minute)
			}
		}
		c.calls.mu.Unlock()
		w.put(record.KindWave, "slow", smallWave("h01"))
		w.waitFor(time.Minute, "h01 is told to reboot", func() bool { return w.phase("h01") == hostrecord.Rebooting })
		w.put(record.KindWave, "w", smallWave("h02", "h03"))
		w.waitFor(time.Minute, "the wave visits h02", w.visited("w", "h02"))
		w.waitFor(time.Minute, "the wave visits h03", w.visited("w", "h03"))
		must.Eq(t, hostrecord.Rebooting, w.phase("h01"))
		w.waitFor(5*time.Minute, "h01 serves", func() bool { return w.phase("h01") == hostrecord.Serving })
	})
}
