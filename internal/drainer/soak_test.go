package drainer_test

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	soakRuns  = 10
	soakSteps = 80
	firstSeed = 1
)

// TestSoak runs controllers under random operator changes, host failures, store
// faults and pauses longer than every lease, and checks the actions recorded by the
// fakes. GLADE_SOAK_RUNS sets the number of seeds, GLADE_SOAK_SEED the first seed.
func TestSoak(t *testing.T) {
	runs, seed := fromEnv("GLADE_SOAK_RUNS", soakRuns), fromEnv("GLADE_SOAK_SEED", firstSeed)
	for i := range runs {
		t.Run(fmt.Sprintf("seed-%d", seed+i), func(t *testing.T) {
			defer exitWhenStuck().Stop()
			synctest.Test(t, func(t *testing.T) { soak(t, uint64(seed+i)) })
		})
	}
}

// stuckTimeout is the real time after which a seed is certainly stuck. A seed takes
// about a second.
const stuckTimeout = 3 * time.Minute

// exitWhenStuck exits the process when a seed is stuck: virtual time waits forever for
// a goroutine that is blocked on anything but time and channels. It prints only the
// goroutines that virtual time can be waiting for, because those of a whole run take
// thousands of lines.
func exitWhenStuck() *time.Timer {
	return time.AfterFunc(stuckTimeout, func() {
		var stacks strings.Builder
		if err := pprof.Lookup("goroutine").WriteTo(&stacks, 2); err != nil {
			fmt.Fprintln(os.Stderr, "no stacks:", err)
		}
		for stack := range strings.SplitSeq(stacks.String(), "\n\n") {
			header, _, _ := strings.Cut(stack, "\n")
			if strings.Contains(header, "synctest bubble") && !strings.Contains(header, "(durable)") {
				fmt.Fprintf(os.Stderr, "%s\n\n", stack)
			}
		}
		fmt.Fprintln(os.Stderr, "The seed stands still; above is what virtual time waits for.")
		os.Exit(1)
	})
}

func fromEnv(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

func soak(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	w := newTestCluster(t, ctx, seed, 2+int(seed%3), fakefleet.Options{
		ListLag: listLag, RebootTime: rebootTime, LastRebootOnly: seed%4 == 0,
	})
	defer w.end(cancel)
	s := &soakRun{testCluster: w, lost: make(map[string]bool), waves: make(map[string]*record.Wave)}
	s.newWave()
	for range soakSteps {
		time.Sleep(time.Duration(w.random.IntN(4000)+200) * time.Millisecond)
		s.step()
	}
	s.endAllFaults()
	const maxSettleTime = 30 * time.Minute
	for started := time.Now(); time.Since(started) < maxSettleTime && !s.settled(); {
		time.Sleep(5 * time.Second)
	}
	w.check(t)
	w.checkEndState(t, s.lost)
	s.checkWaves(t)
}

// soakRun applies random operator changes and faults.
type soakRun struct {
	*testCluster
	waves     map[string]*record.Wave
	waveCount int
	lost      map[string]bool
}

func (s *soakRun) step() {
	actions := []func(){
		s.newWave, s.changeWave, s.changeWave, s.changeWave, s.deleteWave, s.changeBudget,
		s.crashHost, s.crashHost, s.crashRack, s.failReboot, s.makeUnhealthy, s.repair, s.repair,
		s.storeOutage, s.throttle, s.loseStoreResponses, s.platformOutage, s.loseActionResponses,
		s.pauseController, s.pauseController, s.pauseBeforeAction, s.pauseBeforeAction, s.replaceController, s.endFaults, s.endFaults,
	}
	actions[s.random.IntN(len(actions))]()
}

func (s *soakRun) newWave() {
	const atOnce = 3
	if len(s.waves) >= atOnce {
		return
	}
	s.waveCount++
	spec := &record.Wave{
		Pools: s.randomPools(), DrainSeconds: int(drainTime.Seconds()), RebootSeconds: 30, MinHealthySeconds: 3,
		MaxFailedHosts: s.random.IntN(5), MaxParallel: s.random.IntN(6),
	}
	s.putWave(fmt.Sprintf("wave-%d", s.waveCount), spec)
}

func (s *soakRun) putWave(name string, spec *record.Wave) {
	s.waves[name] = spec
	s.put(record.KindWave, name, spec)
}

func (s *soakRun) randomPools() []string {
	all := []string{"p1", "p2", "p3"}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+s.random.IntN(len(all))]
}

func (s *soakRun) randomWave() string {
	for i := s.waveCount; i > 0; i-- {
		name := fmt.Sprintf("wave-%d", 1+s.random.IntN(s.waveCount))
		if s.waves[name] != nil {
			return name
		}
	}
	return ""
}

func (s *soakRun) changeWave() {
	name := s.randomWave()
	if name == "" {
		return
	}
	spec := *s.waves[name]
	switch s.random.IntN(5) {
	case 0:
		spec.Paused = !spec.Paused
	case 1:
		spec.MaxParallel = s.random.IntN(8)
	case 2:
		spec.Pools = s.randomPools()
	case 3:
		spec.ResumeGeneration++
		spec.MaxFailedHosts += 2
	case 4:
		spec.Cancelled = s.random.IntN(3) == 0
	}
	s.putWave(name, &spec)
}

func (s *soakRun) deleteWave() {
	if name := s.randomWave(); name != "" {
		delete(s.waves, name)
		s.remove(storekeys.Spec(record.ID{Kind: record.KindWave, Name: name}))
	}
}

func (s *soakRun) changeBudget() {
	switch s.random.IntN(3) {
	case 0:
		s.setBudget("a", 11+s.random.IntN(3), record.MarginHost)
	case 1:
		s.setBudget("b", 4+s.random.IntN(3), record.MarginNone)
	case 2:
		s.setBudget("c", 4+s.random.IntN(3), record.MarginHost)
	}
}

func (s *soakRun) randomHost() string { return clusterHosts()[s.random.IntN(3*poolSize)].Name }

func (s *soakRun) crashHost() {
	s.fleet.Crash(s.randomHost(), time.Duration(1+s.random.IntN(60))*time.Second)
}

func (s *soakRun) crashRack() {
	rack := clusterHosts()[s.random.IntN(3*poolSize)].Rack
	for _, host := range clusterHosts() {
		if host.Rack == rack {
			s.fleet.Crash(host.Name, time.Duration(5+s.random.IntN(40))*time.Second)
		}
	}
}

func (s *soakRun) failReboot() { s.fleet.FailNextReboot(s.randomHost()) }

func (s *soakRun) makeUnhealthy() { s.fleet.SetUnhealthy(s.randomHost(), true) }

func (s *soakRun) repair() {
	for range 4 {
		host := s.randomHost()
		s.fleet.SetUnhealthy(host, false)
		s.fleet.Repair(host)
	}
}

func (s *soakRun) storeOutage() {
	s.store.SetDown(true)
	time.AfterFunc(time.Duration(2+s.random.IntN(40))*time.Second, func() { s.store.SetDown(false) })
}

func (s *soakRun) throttle() {
	s.store.SetThrottled(true)
	time.AfterFunc(time.Duration(1+s.random.IntN(10))*time.Second, func() { s.store.SetThrottled(false) })
}

func (s *soakRun) loseStoreResponses() {
	s.store.SetResponseLossRate(0.3*s.random.Float64(), s.random.Uint64())
}

func (s *soakRun) loseActionResponses() {
	s.fleet.SetResponseLossRate(0.5*s.random.Float64(), s.random.Uint64())
}

func (s *soakRun) platformOutage() {
	s.fleet.SetUnavailable(true)
	time.AfterFunc(time.Duration(2+s.random.IntN(30))*time.Second, func() { s.fleet.SetUnavailable(false) })
}

func (s *soakRun) randomController() *controller {
	return s.controllers[s.random.IntN(len(s.controllers))]
}

func (s *soakRun) pauseController() {
	s.randomController().calls.pause(time.Duration(1+s.random.IntN(90)) * time.Second)
}

// pauseBeforeAction pauses a controller between its ownership check and one of its
// next actions.
func (s *soakRun) pauseBeforeAction() {
	c := s.randomController()
	var after atomic.Int64
	after.Store(int64(s.random.IntN(12)))
	length := time.Duration(5+s.random.IntN(60)) * time.Second
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	c.calls.before = func(call string) {
		if isActionOrSwap(call) && after.Add(-1) < 0 {
			c.calls.mu.Lock()
			c.calls.before = nil
			c.calls.mu.Unlock()
			c.calls.pause(length)
		}
	}
}

func isActionOrSwap(call string) bool {
	for _, prefix := range []string{"drain ", "undrain ", "reboot ", "swap ", "done swap "} {
		if len(call) > len(prefix) && call[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// replaceController stops one controller gracefully and starts another.
func (s *soakRun) replaceController() {
	s.randomController().stop()
	s.startController()
}

func (s *soakRun) endFaults() {
	s.store.SetDown(false)
	s.store.SetThrottled(false)
	s.store.SetResponseLossRate(0, 0)
	s.fleet.SetResponseLossRate(0, 0)
	s.fleet.SetUnavailable(false)
}

// endAllFaults ends every fault, except that up to two hosts fail for good, and
// updates the records so that every wave can continue.
func (s *soakRun) endAllFaults() {
	time.Sleep(time.Minute)
	s.endFaults()
	for range s.random.IntN(3) {
		host := s.randomHost()
		s.lost[host] = true
		s.fleet.Crash(host, 0)
		s.fleet.FailNextReboot(host)
	}
	for _, host := range clusterHosts() {
		s.fleet.SetUnhealthy(host.Name, false)
		if !s.lost[host.Name] {
			s.fleet.Repair(host.Name)
		}
	}
	for name, spec := range s.waves {
		next := *spec
		next.Paused, next.MaxFailedHosts = false, 3*poolSize
		next.ResumeGeneration++
		s.putWave(name, &next)
	}
	s.setBudget("a", 11, record.MarginNone)
	s.setBudget("b", 4, record.MarginNone)
	s.setBudget("c", 4, record.MarginNone)
}

// settled reports whether no work is left.
func (s *soakRun) settled() bool {
	for host, r := range s.records() {
		out := r.Operation != "" || !r.Schedulable()
		if out && !(s.lost[host] && r.Phase == hostrecord.Failed) {
			return false
		}
	}
	for _, grantSet := range s.grantSets() {
		for host := range grantSet.ByHost {
			if !s.lost[host] {
				return false
			}
		}
	}
	return len(s.unvisited()) == 0
}

// unvisited returns the hosts that active waves have not visited yet.
func (s *soakRun) unvisited() []string {
	var unvisited []string
	for name, spec := range s.waves {
		if spec.Cancelled {
			continue
		}
		for host, r := range s.records() {
			for _, pool := range spec.Pools {
				if _, visited := r.WaveOutcomes[name]; r.Pool == pool && !visited && !s.lost[host] {
					unvisited = append(unvisited, name+" never visited "+host)
				}
			}
		}
	}
	return unvisited
}

func (s *soakRun) checkWaves(t *testing.T) {
	t.Helper()
	for _, unvisited := range s.unvisited() {
		t.Error(unvisited)
	}
	if t.Failed() {
		for _, c := range s.controllers {
			c.logStatuses(t)
		}
	}
}
