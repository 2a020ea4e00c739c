package entryhost_test

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// operatorKey is the key of the emulated operator's configuration.
const operatorKey = "operator/config"

// limitAge is how old the knowledge that limits are the newest may be.
const limitAge = 2500 * time.Millisecond

// operator sets the limits of organisations.
type operator struct {
	// ignored is set when entry hosts don't know of limits.
	ignored bool
}

// limitSource is the limits as one entry host knows them.
type limitSource struct {
	current atomic.Pointer[quota.Limits]
	relay   *configrelay.Relay
}

func (s *limitSource) Limits() quota.Limits {
	if current := s.current.Load(); current != nil {
		return *current
	}
	return quota.Limits{}
}

func (s *limitSource) LimitsCurrent(now time.Time) bool { return s.relay.Current(limitAge, now) }

func (s *limitSource) ConfigKey() string { return operatorKey }

func (s *limitSource) apply(version configrelay.Version) {
	limits := quota.Limits{Revision: version.Revision}
	if err := json.Unmarshal(version.Data, &limits.ByOrganisation); err != nil {
		panic(err)
	}
	maps.DeleteFunc(limits.ByOrganisation, func(_ string, limit work.Resources) bool { return limit == work.Resources{} })
	s.current.Store(&limits)
}

// setLimits writes the limits of all organisations. It reports whether the store has
// taken them.
func (dep *deployment) setLimits(limits map[string]work.Resources) bool {
	value, err := json.Marshal(limits)
	must.NoError(dep.t, err)
	checker := dep.workers.Checker
	before := make(map[string]work.Resources)
	for name, limit := range limits {
		higher, known := checker.Limit(name)
		before[name] = higher
		if known {
			higher = emulate.HigherLimit(limit, higher)
		} else {
			higher = limit
		}
		// The store may carry the write out long before it answers.
		checker.SetLimit(name, higher)
	}
	_, err = dep.store.Commit(dep.ctx, store.Txn{Puts: []store.Put{{Key: operatorKey, Value: value}}})
	for name, limit := range limits {
		switch {
		case err == nil:
			checker.SetLimit(name, limit)
		case store.IsRefused(err):
			checker.SetLimit(name, before[name])
		}
		// Without an answer the limits may be in force or not; the higher ones count.
	}
	return err == nil
}

func cores(n int) work.Resources { return work.Resources{MilliCPU: 1000 * n, MemMB: 1000 * n} }

// limitDaysInCI is the default number of days with limits.
const limitDaysInCI = 24

// The days of large sites on which three organisations have limits that change, also far
// below what they use, while the store turns entry hosts away. No start may bring an
// organisation beyond its limit and one task more. GLADE_FIRST_LIMIT_DAY and
// GLADE_LIMIT_DAYS select others.
func TestRandomDaysWithLimits(t *testing.T) { runLimitDays(t, false) }

// The same with organisations that have no limit in some versions, or one of some resources:
// limits come into force over tasks at work.
func TestRandomDaysWithLimitsThatComeAndGo(t *testing.T) { runLimitDays(t, true) }

func runLimitDays(t *testing.T, comeAndGo bool) {
	first, days := envInt(t, "GLADE_FIRST_LIMIT_DAY", 0), envInt(t, "GLADE_LIMIT_DAYS", limitDaysInCI)
	for seed := first; seed < first+days; seed++ {
		t.Run("", func(t *testing.T) {
			runOperated(t, &operator{}, func(dep *deployment) {
				d := newDay(dep, uint64(seed))
				d.siteFaults = rand.New(rand.NewPCG(uint64(seed), 9))
				d.limits, d.limitsComeAndGo = rand.New(rand.NewPCG(uint64(seed), 11)), comeAndGo
				d.run()
			})
		})
	}
}

// runOperated is runTest with three entry hosts and limits.
func runOperated(t *testing.T, o *operator, test func(dep *deployment)) {
	runTestOf(t, 3, func(dep *deployment) { dep.operator = o }, func(dep *deployment) {
		must.True(t, dep.setLimits(map[string]work.Resources{"a": cores(8), "b": cores(20), "c": cores(60)}))
		test(dep)
	})
}

// Guards against a checker that sees no breach: without limits in the entry hosts there
// is one.
func TestCheckerFindsOrganisationsOverTheirLimit(t *testing.T) {
	runTestOf(t, 3, func(dep *deployment) { dep.operator = &operator{ignored: true} }, func(dep *deployment) {
		must.True(t, dep.setLimits(map[string]work.Resources{"a": cores(4)}))
		for _, pool := range []string{"day", "night"} {
			record := dep.record(pool, quick(5))
			record.Organisation = "a"
			dep.anyOf().Jobs.SubmitJob(dep.ctx, record)
		}
		time.Sleep(2 * time.Second)
		must.SliceContainsFunc(t, dep.workers.Checker.Violations(), emulate.RuleLimit, func(v emulate.Violation, rule emulate.Rule) bool { return v.Rule == rule })
		dep.workers.Checker.Forgive(emulate.RuleLimit)
	})
}

// An organisation uses its whole limit over two pools in turn, and a lowered limit stops
// no task but starts none until the use is below it.
func TestLimitMovesBetweenPools(t *testing.T) {
	runOperated(t, &operator{}, func(dep *deployment) {
		for _, pool := range []string{"day", "night", "day"} {
			record := dep.record(pool, quick(30))
			record.Organisation = "b"
			dep.anyOf().Jobs.SubmitJob(dep.ctx, record)
			must.GreaterEq(t, 16_000, dep.peak("b", 1200*time.Millisecond), must.Sprint(pool))
			dep.done(dep.anyOf(), pool, record.ID, 20*time.Second)
		}
		record := dep.record("night", quick(30))
		record.Organisation = "b"
		dep.anyOf().Jobs.SubmitJob(dep.ctx, record)
		time.Sleep(500 * time.Millisecond)
		before := dep.workers.Checker.RunningOf("b").MilliCPU
		dep.setLimits(map[string]work.Resources{"a": cores(8), "b": cores(4), "c": cores(60)})
		time.Sleep(300 * time.Millisecond)
		must.LessEq(t, before, dep.workers.Checker.RunningOf("b").MilliCPU)
		time.Sleep(3 * time.Second)
		must.LessEq(t, 6000, dep.peak("b", time.Second))
		dep.done(dep.anyOf(), "night", record.ID, 40*time.Second)
	})
}

// peak returns the most that an organisation's tasks use within a time, in thousandths
// of a core.
func (dep *deployment) peak(organisation string, within time.Duration) (most int) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		most = max(most, dep.workers.Checker.RunningOf(organisation).MilliCPU)
	}
	return most
}

// A task larger than its organisation's limit runs, alone.
func TestTaskLargerThanTheLimitRuns(t *testing.T) {
	runOperated(t, &operator{}, func(dep *deployment) {
		record := dep.record("day", work.Step{Count: 3, Resources: cores(12), Estimate: time.Second})
		record.Organisation = "a"
		dep.anyOf().Jobs.SubmitJob(dep.ctx, record)
		dep.done(dep.anyOf(), "day", record.ID, 20*time.Second)
	})
}

// anyOf returns an entry host that holds no pool, or else any.
func (dep *deployment) anyOf() *entry {
	for _, node := range nodes {
		if e := dep.entries[node]; e != nil {
			return e
		}
	}
	return nil
}

// changeLimits changes a limit, or turns an entry host away from the store for a while.
func (d *day) changeLimits() {
	if d.limits.IntN(3) == 0 {
		e := d.anyEntry()
		if e.gate == nil {
			return
		}
		e.gate.set(true)
		time.AfterFunc(time.Duration(500+d.limits.IntN(7000))*time.Millisecond, func() { e.gate.set(false) })
		return
	}
	limits := map[string]work.Resources{"a": cores(2 + d.limits.IntN(20)), "b": cores(2 + d.limits.IntN(40)), "c": cores(10 + d.limits.IntN(80))}
	if d.limitsComeAndGo {
		for _, name := range []string{"a", "b", "c"} {
			limits[name] = d.someOf(limits[name])
		}
	}
	d.setLimits(limits)
}

// someOf returns a limit, or none, or that of one resource.
func (d *day) someOf(limit work.Resources) work.Resources {
	switch d.limits.IntN(6) {
	case 0, 1:
		return work.Resources{}
	case 2:
		return work.Resources{MilliCPU: limit.MilliCPU}
	case 3:
		return work.Resources{MemMB: limit.MemMB}
	}
	return limit
}

// liftLimits leaves every job room to end.
func (d *day) liftLimits() {
	for !d.setLimits(map[string]work.Resources{"a": cores(200), "b": cores(200), "c": cores(200)}) {
		time.Sleep(200 * time.Millisecond)
	}
}
