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

// CI draws the same cases each time; -rapid.seed and -rapid.checks ask for
// others and more.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

const testHold = 5 * time.Minute

func serving(name, zone, pool string) Host {
	return Host{
		Name: name, Zone: zone, Rack: zone + "-rack", Live: true, HasRecord: pool != "",
		Record: hostrecord.Record{Host: name, Pool: pool, Phase: hostrecord.Serving, Zone: zone},
	}
}

// settled returns the input with every reason older than the hold.
func settled(input Input) Input {
	input.ReasonAges = ReasonAges{}.Advance(input, 0).Advance(input, input.StabilizationWindow)
	return input
}

func TestHostWithoutPoolGoesToTheZoneThatThePoolLacks(t *testing.T) {
	input := Input{
		Pools:               map[string]*record.Pool{"a": {Size: 3}},
		Hosts:               []Host{serving("h1", "z1", "a"), serving("h2", "z2", "a"), serving("h3", "z1", ""), serving("h4", "z3", "")},
		StabilizationWindow: testHold,
	}
	plan := MakePlan(input)
	must.Eq(t, []Assignment{{Host: "h4", Pool: "a", Reason: "pool has 2 of 3 hosts"}}, plan.Assign)
}

// An operator shrinks a pool by mistake and mends it within the hold, again
// and again. No host may move, because each time the reason starts anew. If
// the ages weren't reset, the third slip would move a host.
func TestReasonThatFlapsMovesNothing(t *testing.T) {
	hosts := []Host{serving("h1", "z1", "a"), serving("h2", "z2", "a")}
	slip := Input{Pools: map[string]*record.Pool{"a": {Size: 1}, "b": {Size: 1}}, Hosts: hosts, StabilizationWindow: testHold}
	whole := Input{Pools: map[string]*record.Pool{"a": {Size: 2}, "b": {Size: 1}}, Hosts: hosts, StabilizationWindow: testHold}
	lasted := ReasonAges{}
	for range 10 {
		for range 4 {
			lasted = lasted.Advance(slip, testHold/5)
			slip.ReasonAges = lasted
			must.SliceEmpty(t, MakePlan(slip).Moves)
		}
		lasted = lasted.Advance(whole, time.Second)
	}
	for range 6 {
		lasted = lasted.Advance(slip, testHold/5)
	}
	slip.ReasonAges = lasted
	must.Len(t, 1, MakePlan(slip).Moves)
}

// A zone is lost for half an hour: all its hosts vanish from the list at once.
// Their pools must not be refilled from elsewhere, or everything would move
// twice. A single host that vanishes for as long is replaced.
func TestLostZoneMovesNothingAndLostHostIsReplaced(t *testing.T) {
	build := func(gone func(i int) bool) Input {
		input := Input{Pools: map[string]*record.Pool{"a": {Size: 20}, "spare": {Size: 0}}, StabilizationWindow: testHold}
		for i := range 20 {
			host := serving(fmt.Sprintf("h%02d", i), fmt.Sprintf("z%d", i%2), "a")
			host.Live = !gone(i)
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

// What operators see: a wave moves hosts between pools whose sizes nobody has
// changed. A host takes longer to reboot than the hold, and the platform doesn't
// list it meanwhile; counted as lost, its pool lacked it and was given another.
// Once the wave has given it up, the pool does lack it.
func TestHostInMaintenanceIsNotLost(t *testing.T) {
	for _, phase := range []hostrecord.Phase{hostrecord.Draining, hostrecord.Rebooting, hostrecord.Verifying} {
		out := serving("h1", "z1", "a")
		out.Live = false
		out.Record.Phase, out.Record.Wave, out.Record.Operation = phase, "w", "op"
		input := Input{
			Pools:               map[string]*record.Pool{"a": {Size: 2}, "b": {Size: 1}},
			Hosts:               []Host{out, serving("h2", "z2", "a"), serving("h3", "z1", "b"), serving("h4", "z2", "b"), serving("h5", "z2", "")},
			StabilizationWindow: testHold,
		}
		input = settled(input)
		plan := MakePlan(input)
		must.SliceEmpty(t, plan.Moves)
		must.SliceEmpty(t, plan.Assign)
		input.Hosts[0].Record.Phase = hostrecord.Failed
		must.Len(t, 1, MakePlan(settled(input)).Assign)
	}
}

// The record of a host that is gone is kept while a wave still has it in hand,
// so that its grant stays counted, and for long enough that a late host list
// or an hour without the region never drops it.
func TestRecordOfVanishedHostIsKeptUntilItIsGoneForGood(t *testing.T) {
	gone := serving("h1", "z1", "a")
	gone.Live = false
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 1}}, Hosts: []Host{gone}, StabilizationWindow: testHold}
	input.ReasonAges.Unavailable = map[string]time.Duration{"h1": time.Hour}
	must.SliceEmpty(t, MakePlan(input).Forget)
	input.ReasonAges.Unavailable["h1"] = GoneAfter
	must.Len(t, 1, MakePlan(input).Forget)
	input.Hosts[0].Record.Phase = hostrecord.Rebooting
	must.SliceEmpty(t, MakePlan(input).Forget)
}

func TestMoveWaitsForTheWaveThatDrainsTheHostAnyway(t *testing.T) {
	coming := serving("h1", "z1", "a")
	coming.MaintenanceDue = true
	input := settled(Input{
		Pools: map[string]*record.Pool{"a": {Size: 1}, "b": {Size: 1}},
		Hosts: []Host{coming, serving("h2", "z1", "a")}, StabilizationWindow: testHold,
	})
	plan := MakePlan(input)
	must.Len(t, 1, plan.Moves)
	must.Eq(t, "h1", plan.Moves[0].Host)
	must.True(t, plan.Moves[0].WithWave)
	input.ReasonAges = input.ReasonAges.Advance(input, WaveWait)
	must.False(t, MakePlan(input).Moves[0].WithWave)
}

func TestPlannedMoveIsWithdrawnWhenItsReasonIsGone(t *testing.T) {
	planned := serving("h1", "z1", "a")
	planned.Record.NextPool = "b"
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 1}, "b": {Size: 0}}, Hosts: []Host{planned}, StabilizationWindow: testHold}
	must.Len(t, 1, MakePlan(input).Withdraw)
	input.Pools = map[string]*record.Pool{"a": {Size: 1}}
	must.Len(t, 1, MakePlan(input).Withdraw)
	input.Pools = map[string]*record.Pool{"a": {Size: 0}, "b": {Size: 1}}
	must.SliceEmpty(t, MakePlan(input).Withdraw)
}

func TestNoMoreHostsPerRackThanThePoolAllows(t *testing.T) {
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 4, MaxPerRack: 1}}, StabilizationWindow: testHold}
	for i := range 8 {
		host := serving(fmt.Sprintf("h%d", i), "z1", "")
		host.Rack = fmt.Sprintf("rack-%d", i/4)
		input.Hosts = append(input.Hosts, host)
	}
	must.Len(t, 2, MakePlan(input).Assign)
}

// By shrinking and growing a pool has ended up in one zone, and no size is
// amiss. After the hold it trades one host with a pool that stays spread.
func TestPoolInOneZoneTradesAHost(t *testing.T) {
	input := Input{Pools: map[string]*record.Pool{"a": {Size: 2}, "b": {Size: 3}}, StabilizationWindow: testHold, Hosts: []Host{
		serving("a1", "z1", "a"), serving("a2", "z1", "a"),
		serving("b1", "z1", "b"), serving("b2", "z2", "b"), serving("b3", "z2", "b"),
	}}
	must.SliceEmpty(t, MakePlan(input).Moves)
	plan := MakePlan(settled(input))
	must.Len(t, 2, plan.Moves)
	must.Eq(t, "a", plan.Moves[0].From)
	must.Eq(t, "a", plan.Moves[1].To)
	must.SliceContains(t, []string{"b2", "b3"}, plan.Moves[1].Host)

	input.Pools["b"].Size = 2
	input.Hosts = input.Hosts[:4]
	plan = MakePlan(settled(input))
	must.SliceEmpty(t, plan.Moves, must.Sprint("b would be left in one zone"))
	must.StrContains(t, plan.Waiting["a"], "one zone")
}

// Random fleets and pool sizes. Each host is in at most one act of the plan,
// no pool goes over its size or gives below it, zones are kept, and the number
// of moves is the fewest that any plan could do with, by a matching that knows
// nothing of the planner.
func TestMovesAreTheFewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := settled(drawFleet(t))
		checkPlan(t, input, MakePlan(input), true)
		// Trades for spread come on top of what fills pools.
		input.ReasonAges.SingleZone = nil
		plan := MakePlan(input)
		checkPlan(t, input, plan, false)
		fewest, filled := fewestMoves(input)
		must.Eq(t, fewest, len(plan.Moves), must.Sprint("moves"))
		must.Eq(t, filled, len(plan.Moves)+len(plan.Assign), must.Sprint("hosts placed"))
	})
}

func drawFleet(t *rapid.T) Input {
	input := Input{Pools: make(map[string]*record.Pool), StabilizationWindow: testHold}
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

// checkPlan checks a plan; with trades a pool that was over or under its
// size may trade, which leaves it as large as it was.
func checkPlan(t *rapid.T, input Input, plan Plan, trades bool) {
	members, hosts, touched := map[string]int{}, map[string]Host{}, map[string]bool{}
	for _, host := range input.Hosts {
		hosts[host.Name] = host
		members[host.Record.Pool]++
	}
	most, least := map[string]int{}, map[string]int{}
	for name, pool := range input.Pools {
		most[name], least[name] = pool.Size, pool.Size
		if trades {
			most[name], least[name] = max(pool.Size, members[name]), min(pool.Size, members[name])
		}
	}
	join := func(host, pool string) {
		must.False(t, touched[host], must.Sprint("a host in two acts"))
		touched[host] = true
		members[pool]++
		must.LessEq(t, most[pool], members[pool])
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
		must.GreaterEq(t, least[m.From], members[m.From])
	}
}

// fewestMoves returns the fewest moves and the most hosts that any plan could
// place. It is the smallest cut between givers and takers, over every set of
// zones (the planner pushes flow and never looks at cuts): the pools that take
// from the set, and what the givers have outside of it.
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
