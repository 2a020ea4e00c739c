package mover

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// The seed is fixed so that every CI run checks the same cases; -rapid.seed and
// -rapid.checks select other or more cases.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

const testWindow = 5 * time.Minute

func serving(name, zone, pool string) Host {
	return Host{
		Name: name, Zone: zone, Rack: zone + "-rack", Live: true, HasRecord: pool != "",
		Record: hostrecord.Record{Host: name, Pool: pool, Phase: hostrecord.Serving, Zone: zone},
	}
}

// withAgedReasons returns the input with every reason as old as the stabilization
// window.
func withAgedReasons(input Input) Input {
	input.ReasonAges = ReasonAges{}.Advance(input, 0).Advance(input, input.StabilizationWindow)
	return input
}

func TestUnassignedHostFillsZoneWithFewestHosts(t *testing.T) {
	input := Input{
		Pools:               map[string]*record.Pool{"a": {Size: 3}},
		Hosts:               []Host{serving("h1", "z1", "a"), serving("h2", "z2", "a"), serving("h3", "z1", ""), serving("h4", "z3", "")},
		StabilizationWindow: testWindow,
	}
	plan := MakePlan(input)
	must.Eq(t, []Assignment{{Host: "h4", Pool: "a", Reason: "pool has 2 of 3 hosts"}}, plan.Assign)
}

// An operator repeatedly shrinks a pool by mistake and corrects it within the
// stabilization window. No host may move, because the reason restarts each time. If
// the ages weren't reset, the third mistake at the latest would move a host.
func TestFlappingReasonCausesNoMove(t *testing.T) {
	hosts := []Host{serving("h1", "z1", "a"), serving("h2", "z2", "a")}
	shrunk := Input{Pools: map[string]*record.Pool{"a": {Size: 1}, "b": {Size: 1}}, Hosts: hosts, StabilizationWindow: testWindow}
	correct := Input{Pools: map[string]*record.Pool{"a": {Size: 2}, "b": {Size: 1}}, Hosts: hosts, StabilizationWindow: testWindow}
	ages := ReasonAges{}
	for range 10 {
		for range 4 {
			ages = ages.Advance(shrunk, testWindow/5)
			shrunk.ReasonAges = ages
			must.SliceEmpty(t, MakePlan(shrunk).Moves)
		}
		ages = ages.Advance(correct, time.Second)
	}
	for range 6 {
		ages = ages.Advance(shrunk, testWindow/5)
	}
	shrunk.ReasonAges = ages
	must.Len(t, 1, MakePlan(shrunk).Moves)
}

// A zone is lost for half an hour: all its hosts disappear from the list at once.
// They must not be replaced from other zones, or every host would move twice. A
// single host missing for as long must be replaced.
func TestZoneLossCausesNoMoveAndSingleLostHostIsReplaced(t *testing.T) {
	build := func(missing func(i int) bool) Input {
		input := Input{Pools: map[string]*record.Pool{"a": {Size: 20}, "spare": {Size: 0}}, StabilizationWindow: testWindow}
		for i := range 20 {
			host := serving(fmt.Sprintf("h%02d", i), fmt.Sprintf("z%d", i%2), "a")
			host.Live = !missing(i)
			input.Hosts = append(input.Hosts, host)
		}
		for i := range 10 {
			input.Hosts = append(input.Hosts, serving(fmt.Sprintf("s%02d", i), fmt.Sprintf("z%d", 2+i%2), "spare"))
		}
		return input
	}
	age := func(input Input) Plan {
		for range 60 {
			input.ReasonAges = input.ReasonAges.Advance(input, 30*time.Second)
		}
		return MakePlan(input)
	}
	must.SliceEmpty(t, age(build(func(i int) bool { return i%2 == 0 })).Moves)
	must.Len(t, 1, age(build(func(i int) bool { return i == 0 })).Moves)
}

// A host reboots in a wave for longer than the stabilization window and isn't listed
// meanwhile. If it counted as lost, another host would move into its pool although
// no size has changed. Once the wave has marked it failed, it must be replaced.
func TestHostInMaintenanceIsNotLost(t *testing.T) {
	for _, phase := range []hostrecord.Phase{hostrecord.Draining, hostrecord.Rebooting, hostrecord.Verifying} {
		out := serving("h1", "z1", "a")
		out.Live = false
		out.Record.Phase, out.Record.Wave, out.Record.Operation = phase, "w", "op"
		input := Input{
			Pools:               map[string]*record.Pool{"a": {Size: 2}, "b": {Size: 1}},
			Hosts:               []Host{out, serving("h2", "z2", "a"), serving("h3", "z1", "b"), serving("h4", "z2", "b"), serving("h5", "z2", "")},
			StabilizationWindow: testWindow,
		}
		input = withAgedReasons(input)
		plan := MakePlan(input)
		must.SliceEmpty(t, plan.Moves)
		must.SliceEmpty(t, plan.Assign)
		input.Hosts[0].Record.Phase = hostrecord.Failed
		must.Len(t, 1, MakePlan(withAgedReasons(input)).Assign)
	}
}

// The record of a missing host is kept while a wave processes the host, so that its
// grant stays counted, and until LostHostTTL, so that a delayed host list or an hour
// without the region doesn't remove it.
func TestRecordOfMissingHostIsKeptUntilGoneAfter(t *testing.T) {
	missing := serving("h1", "z1", "a")
	missing.Live = false
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 1}}, Hosts: []Host{missing}, StabilizationWindow: testWindow}
	input.ReasonAges.Unavailable = map[string]time.Duration{"h1": time.Hour}
	must.SliceEmpty(t, MakePlan(input).Removals)
	input.ReasonAges.Unavailable["h1"] = LostHostTTL
	must.Len(t, 1, MakePlan(input).Removals)
	input.Hosts[0].Record.Phase = hostrecord.Rebooting
	must.SliceEmpty(t, MakePlan(input).Removals)
}

func TestMoveWaitsForDueMaintenance(t *testing.T) {
	host := serving("h1", "z1", "a")
	host.MaintenanceDue = true
	input := withAgedReasons(Input{
		Pools: map[string]*record.Pool{"a": {Size: 1}, "b": {Size: 1}},
		Hosts: []Host{host, serving("h2", "z1", "a")}, StabilizationWindow: testWindow,
	})
	plan := MakePlan(input)
	must.Len(t, 1, plan.Moves)
	must.Eq(t, "h1", plan.Moves[0].Host)
	must.True(t, plan.Moves[0].WithWave)
	input.ReasonAges = input.ReasonAges.Advance(input, MaxWaveWait)
	must.False(t, MakePlan(input).Moves[0].WithWave)
}

func TestPlannedMoveIsWithdrawnWhenItsReasonIsGone(t *testing.T) {
	planned := serving("h1", "z1", "a")
	planned.Record.NextPool = "b"
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 1}, "b": {Size: 0}}, Hosts: []Host{planned}, StabilizationWindow: testWindow}
	must.Len(t, 1, MakePlan(input).Withdraw)
	input.Pools = map[string]*record.Pool{"a": {Size: 1}}
	must.Len(t, 1, MakePlan(input).Withdraw)
	input.Pools = map[string]*record.Pool{"a": {Size: 0}, "b": {Size: 1}}
	must.SliceEmpty(t, MakePlan(input).Withdraw)
}

func TestMaxPerRackIsRespected(t *testing.T) {
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 4, MaxPerRack: 1}}, StabilizationWindow: testWindow}
	for i := range 8 {
		host := serving(fmt.Sprintf("h%d", i), "z1", "")
		host.Rack = fmt.Sprintf("rack-%d", i/4)
		input.Hosts = append(input.Hosts, host)
	}
	must.Len(t, 2, MakePlan(input).Assign)
}

// All hosts of a pool are in one zone and no pool has a deficit. After the
// stabilization window it trades one host with a pool that stays spread.
func TestSingleZonePoolTradesHost(t *testing.T) {
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 2}, "b": {Size: 3}}, StabilizationWindow: testWindow, Hosts: []Host{
		serving("a1", "z1", "a"), serving("a2", "z1", "a"),
		serving("b1", "z1", "b"), serving("b2", "z2", "b"), serving("b3", "z2", "b"),
	}}
	must.SliceEmpty(t, MakePlan(input).Moves)
	plan := MakePlan(withAgedReasons(input))
	must.Len(t, 2, plan.Moves)
	must.Eq(t, "a", plan.Moves[0].From)
	must.Eq(t, "a", plan.Moves[1].To)
	must.SliceContains(t, []string{"b2", "b3"}, plan.Moves[1].Host)

	input.Pools["b"].Size = 2
	input.Hosts = input.Hosts[:4]
	plan = MakePlan(withAgedReasons(input))
	must.SliceEmpty(t, plan.Moves, must.Sprint("b would be left in one zone"))
	must.StrContains(t, plan.Waiting["a"], "one zone")
}

// Random fleets and pool sizes: each host is in at most one action of the plan, no
// pool exceeds its size or gives away hosts below it, and zones are respected. The
// number of moves is the minimum, computed independently of the planner.
func TestPlanHasFewestMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := withAgedReasons(drawFleet(t))
		checkPlan(t, input, MakePlan(input), true)
		// Trades for spread are additional to the moves that cover deficits.
		input.ReasonAges.SingleZone = nil
		plan := MakePlan(input)
		checkPlan(t, input, plan, false)
		fewest, filled := fewestMoves(input)
		must.Eq(t, fewest, len(plan.Moves), must.Sprint("moves"))
		must.Eq(t, filled, len(plan.Moves)+len(plan.Assign), must.Sprint("hosts placed"))
	})
}

func drawFleet(t *rapid.T) Input {
	input := Input{Pools: make(map[string]*record.Pool), StabilizationWindow: testWindow}
	pools := rapid.IntRange(1, 6).Draw(t, "pools")
	for i := range pools {
		pool := &record.Pool{Size: rapid.IntRange(0, 6).Draw(t, "size")}
		if rapid.Bool().Draw(t, "restricted") {
			pool.Zones = []string{fmt.Sprintf("z%d", rapid.IntRange(0, 2).Draw(t, "zone"))}
		}
		input.Pools[fmt.Sprintf("p%d", i)] = pool
	}
	for i := range rapid.IntRange(0, 25).Draw(t, "hosts") {
		pool := ""
		if in := rapid.IntRange(-2, pools).Draw(t, "in"); in >= 0 {
			// The highest number is a pool that has been removed.
			pool = fmt.Sprintf("p%d", in)
		}
		input.Hosts = append(input.Hosts, serving(fmt.Sprintf("h%02d", i), fmt.Sprintf("z%d", rapid.IntRange(0, 2).Draw(t, "z")), pool))
	}
	return input
}

// checkPlan checks a plan. With trades, a pool over or under its size may trade
// hosts, which doesn't change its number of hosts.
func checkPlan(t *rapid.T, input Input, plan Plan, trades bool) {
	members, hosts, touched := map[string]int{}, map[string]Host{}, map[string]bool{}
	for _, host := range input.Hosts {
		hosts[host.Name] = host
		members[host.Record.Pool]++
	}
	maxSize, minSize := map[string]int{}, map[string]int{}
	for name, pool := range input.Pools {
		maxSize[name], minSize[name] = pool.Size, pool.Size
		if trades {
			maxSize[name], minSize[name] = max(pool.Size, members[name]), min(pool.Size, members[name])
		}
	}
	join := func(host, pool string) {
		must.False(t, touched[host], must.Sprint("a host in two actions"))
		touched[host] = true
		members[pool]++
		must.LessEq(t, maxSize[pool], members[pool])
		if zones := input.Pools[pool].Zones; len(zones) > 0 {
			must.Eq(t, zones[0], hosts[host].Zone)
		}
	}
	for _, a := range plan.Assign {
		join(a.Host, a.Pool)
	}
	for _, m := range plan.Moves {
		members[m.From]--
	}
	for _, m := range plan.Moves {
		join(m.Host, m.To)
		must.Eq(t, hosts[m.Host].Record.Pool, m.From)
	}
	for _, m := range plan.Moves {
		must.GreaterEq(t, minSize[m.From], members[m.From])
	}
}

// fewestMoves returns the minimum number of moves and the maximum number of hosts that
// a plan can place. It computes the minimum cut between givers and takers over every
// set of zones, while the planner computes a maximum flow: the deficits of the pools
// that take from the set plus what the givers have outside of it.
func fewestMoves(input Input) (moves, placed int) {
	members, inZone := map[string]int{}, map[string]map[string]int{}
	for _, host := range input.Hosts {
		pool := host.Record.Pool
		members[pool]++
		if inZone[pool] == nil {
			inZone[pool] = map[string]int{}
		}
		inZone[pool][host.Zone]++
	}
	placed = smallestCut(input, members, inZone, true)
	return placed - smallestCut(input, members, inZone, false), placed
}

func smallestCut(input Input, members map[string]int, inZone map[string]map[string]int, withMoves bool) int {
	smallest := len(input.Hosts)
	for set := range 8 {
		inSet := func(zone string) bool { return set>>(zone[1]-'0')&1 == 1 }
		cut := 0
		for name, pool := range input.Pools {
			takes := set != 0
			if len(pool.Zones) > 0 {
				takes = inSet(pool.Zones[0])
			}
			if takes {
				cut += max(0, pool.Size-members[name])
			}
		}
		for group, zones := range inZone {
			gives := members[group]
			if spec := input.Pools[group]; spec != nil {
				gives = max(0, members[group]-spec.Size)
			}
			if group != "" && !withMoves {
				continue
			}
			outside := 0
			for zone, count := range zones {
				if !inSet(zone) {
					outside += count
				}
			}
			cut += min(gives, outside)
		}
		smallest = min(smallest, cut)
	}
	return smallest
}
