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

// TestSoak races controllers against operators, dying hosts, an unreliable
// store and pauses beyond every lease, and judges from the fakes' own record.
// GLADE_SOAK_RUNS runs more seeds, GLADE_SOAK_SEED starts from another one.
func TestSoak(t *testing.T) {
	runs, seed := fromEnv("GLADE_SOAK_RUNS", soakRuns), fromEnv("GLADE_SOAK_SEED", firstSeed)
	for i := range runs {
		t.Run(fmt.Sprintf("seed-%d", seed+i), func(t *testing.T) {
			defer watchStandstill().Stop()
			synctest.Test(t, func(t *testing.T) { soak(t, uint64(seed+i)) })
		})
	}
}

// standstill is the real time after which a seed, which takes about a second,
// has certainly got stuck.
const standstill = 3 * time.Minute

// watchStandstill ends the process when a seed stands still: virtual time waits
// for ever for a goroutine that is blocked on anything but time and channels.
// It prints only the goroutines that virtual time can be waiting for, since
// those of a whole run are thousands of lines.
func watchStandstill() *time.Timer {
	return time.AfterFunc(standstill, func() {
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
	w := newWorld(t, ctx, seed, 2+int(seed%3), fakefleet.Options{
		ListLag: listLag, RebootTime: rebootTime, LastRebootOnly: seed%4 == 0,
	})
	defer w.end(cancel)
	s := &soaker{world: w, dead: make(map[string]bool), waves: make(map[string]*record.Wave)}
	s.newWave()
	for range soakSteps {
		time.Sleep(time.Duration(w.random.IntN(4000)+200) * time.Millisecond)
		s.step()
	}
	s.calm()
	const longestEnd = 30 * time.Minute
	for began := time.Now(); time.Since(began) < longestEnd && !s.settled(); {
		time.Sleep(5 * time.Second)
	}
	w.judge(t)
	w.judgeEnd(t, s.dead)
	s.judgeWaves(t)
}

// soaker plays the operators and the bad luck.
type soaker struct {
	*world
	waves map[string]*record.Wave
	named int
	dead  map[string]bool
}

func (s *soaker) step() {
	actions := []func(){
		s.newWave, s.amendWave, s.amendWave, s.amendWave, s.deleteWave, s.amendBudget,
		s.crashHost, s.crashHost, s.crashRack, s.loseHost, s.sicken, s.repair, s.repair,
		s.storeOutage, s.throttle, s.loseStoreAnswers, s.platformOutage, s.loseActAnswers,
		s.pauseController, s.pauseController, s.pauseAtAct, s.pauseAtAct, s.replaceController, s.endFaults, s.endFaults,
	}
	actions[s.random.IntN(len(actions))]()
}

func (s *soaker) newWave() {
	const atOnce = 3
	if len(s.waves) >= atOnce {
		return
	}
	s.named++
	spec := &record.Wave{
		Pools: s.somePools(), DrainSeconds: int(drainTime.Seconds()), RebootSeconds: 30, MinHealthySeconds: 3,
		MaxFailedHosts: s.random.IntN(5), MaxParallel: s.random.IntN(6),
	}
	s.putWave(fmt.Sprintf("wave-%d", s.named), spec)
}

func (s *soaker) putWave(name string, spec *record.Wave) {
	s.waves[name] = spec
	s.put(record.KindWave, name, spec)
}

func (s *soaker) somePools() []string {
	all := []string{"p1", "p2", "p3"}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+s.random.IntN(len(all))]
}

func (s *soaker) someWave() string {
	for i := s.named; i > 0; i-- {
		name := fmt.Sprintf("wave-%d", 1+s.random.IntN(s.named))
		if s.waves[name] != nil {
			return name
		}
	}
	return ""
}

func (s *soaker) amendWave() {
	name := s.someWave()
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
		spec.Pools = s.somePools()
	case 3:
		spec.ResumeGeneration++
		spec.MaxFailedHosts += 2
	case 4:
		spec.Cancelled = s.random.IntN(3) == 0
	}
	s.putWave(name, &spec)
}

func (s *soaker) deleteWave() {
	if name := s.someWave(); name != "" {
		delete(s.waves, name)
		s.remove(storekeys.Spec(record.ID{Kind: record.KindWave, Name: name}))
	}
}

func (s *soaker) amendBudget() {
	switch s.random.IntN(3) {
	case 0:
		s.setBudget("a", 11+s.random.IntN(3), record.MarginHost)
	case 1:
		s.setBudget("b", 4+s.random.IntN(3), record.MarginNone)
	case 2:
		s.setBudget("c", 4+s.random.IntN(3), record.MarginHost)
	}
}

func (s *soaker) someHost() string { return worldHosts()[s.random.IntN(3*poolSize)].Name }

func (s *soaker) crashHost() {
	s.fleet.Crash(s.someHost(), time.Duration(1+s.random.IntN(60))*time.Second)
}

func (s *soaker) crashRack() {
	rack := worldHosts()[s.random.IntN(3*poolSize)].Rack
	for _, host := range worldHosts() {
		if host.Rack == rack {
			s.fleet.Crash(host.Name, time.Duration(5+s.random.IntN(40))*time.Second)
		}
	}
}

func (s *soaker) loseHost() { s.fleet.FailNextReboot(s.someHost()) }

func (s *soaker) sicken() { s.fleet.SetUnhealthy(s.someHost(), true) }

func (s *soaker) repair() {
	for range 4 {
		host := s.someHost()
		s.fleet.SetUnhealthy(host, false)
		s.fleet.Repair(host)
	}
}

func (s *soaker) storeOutage() {
	s.store.SetDown(true)
	time.AfterFunc(time.Duration(2+s.random.IntN(40))*time.Second, func() { s.store.SetDown(false) })
}

func (s *soaker) throttle() {
	s.store.SetThrottled(true)
	time.AfterFunc(time.Duration(1+s.random.IntN(10))*time.Second, func() { s.store.SetThrottled(false) })
}

func (s *soaker) loseStoreAnswers() {
	s.store.SetResponseLossRate(0.3*s.random.Float64(), s.random.Uint64())
}

func (s *soaker) loseActAnswers() {
	s.fleet.SetResponseLossRate(0.5*s.random.Float64(), s.random.Uint64())
}

func (s *soaker) platformOutage() {
	s.fleet.SetUnavailable(true)
	time.AfterFunc(time.Duration(2+s.random.IntN(30))*time.Second, func() { s.fleet.SetUnavailable(false) })
}

func (s *soaker) someController() *controller {
	return s.controllers[s.random.IntN(len(s.controllers))]
}

func (s *soaker) pauseController() {
	s.someController().stall.pause(time.Duration(1+s.random.IntN(90)) * time.Second)
}

// pauseAtAct pauses a controller between the check of its right to act and
// one of its next acts.
func (s *soaker) pauseAtAct() {
	c := s.someController()
	var after atomic.Int64
	after.Store(int64(s.random.IntN(12)))
	length := time.Duration(5+s.random.IntN(60)) * time.Second
	c.stall.mu.Lock()
	defer c.stall.mu.Unlock()
	c.stall.before = func(call string) {
		if actOrSwap(call) && after.Add(-1) < 0 {
			c.stall.mu.Lock()
			c.stall.before = nil
			c.stall.mu.Unlock()
			c.stall.pause(length)
		}
	}
}

func actOrSwap(call string) bool {
	for _, prefix := range []string{"drain ", "undrain ", "reboot ", "swap ", "done swap "} {
		if len(call) > len(prefix) && call[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// replaceController ends one controller, as planned, and starts another.
func (s *soaker) replaceController() {
	s.someController().stop()
	s.startController()
}

func (s *soaker) endFaults() {
	s.store.SetDown(false)
	s.store.SetThrottled(false)
	s.store.SetResponseLossRate(0, 0)
	s.fleet.SetResponseLossRate(0, 0)
	s.fleet.SetUnavailable(false)
}

// calm ends every fault, but for up to two hosts that stay away for ever, and
// has the operators let every wave go on.
func (s *soaker) calm() {
	time.Sleep(time.Minute)
	s.endFaults()
	for range s.random.IntN(3) {
		host := s.someHost()
		s.dead[host] = true
		s.fleet.Crash(host, 0)
		s.fleet.FailNextReboot(host)
	}
	for _, host := range worldHosts() {
		s.fleet.SetUnhealthy(host.Name, false)
		if !s.dead[host.Name] {
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

// settled reports whether nothing is left to do.
func (s *soaker) settled() bool {
	for host, r := range s.records() {
		out := r.Operation != "" || !r.TakesWork()
		if out && !(s.dead[host] && r.Phase == hostrecord.Failed) {
			return false
		}
	}
	for _, ledger := range s.ledgers() {
		for host := range ledger.ByHost {
			if !s.dead[host] {
				return false
			}
		}
	}
	return len(s.unvisited()) == 0
}

// unvisited lists the hosts that a wave in force has still to visit.
func (s *soaker) unvisited() []string {
	var missing []string
	for name, spec := range s.waves {
		if spec.Cancelled {
			continue
		}
		for host, r := range s.records() {
			for _, pool := range spec.Pools {
				if _, visited := r.WaveOutcomes[name]; r.Pool == pool && !visited && !s.dead[host] {
					missing = append(missing, name+" never visited "+host)
				}
			}
		}
	}
	return missing
}

func (s *soaker) judgeWaves(t *testing.T) {
	t.Helper()
	for _, missing := range s.unvisited() {
		t.Error(missing)
	}
	if t.Failed() {
		for _, c := range s.controllers {
			c.logStatuses(t)
		}
	}
}
