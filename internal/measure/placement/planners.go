package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

// Parameters of the synthetic fleet. Workers have the size of Klarlund's, which have
// 1.8 accelerators on average.
const (
	workerCPU           = 64_000
	workerMemory        = 256 << 10
	accelerators        = 2
	tasksPerWorker      = 5
	pendingPerPool      = 12
	teams               = 33
	zoneCount           = 5
	hostsPerRack        = 4
	stabilizationWindow = 5 * time.Minute
	disturbedPerTen     = 1
	freeHostEvery       = 50
)

func (c *Cmd) measurePlanners(r *Result) {
	inputs := poolInputs(c.Hosts, c.Pools, c.Seed)
	larger := poolInputs(c.Hosts*growthFactor, c.Pools*growthFactor, c.Seed)
	r.Target.Hosts, r.Target.Pools = c.Hosts, c.Pools
	for _, input := range inputs {
		r.Target.RunningTasks += len(input.Tasks)
		for _, job := range input.Jobs {
			r.Target.PendingTasks += len(job.Pending)
		}
	}
	r.Planner.PlacementMs = timed(func() { planAll(inputs) })
	r.Planner.PlacementGrowth = exponent(r.Planner.PlacementMs, timed(func() { planAll(larger) }))
	one, many := onePool(inputs), onePool(larger)
	r.Planner.OnePoolMs = timed(func() { placement.MakePlan(one) })
	r.Planner.OnePoolGrowth = exponent(r.Planner.OnePoolMs, timed(func() { placement.MakePlan(many) }))
	moves, more := moveInput(c.Hosts, c.Pools, c.Seed), moveInput(c.Hosts*growthFactor, c.Pools*growthFactor, c.Seed)
	r.Planner.MovesMs = timed(func() { mover.MakePlan(moves) })
	r.Planner.MovesGrowth = exponent(r.Planner.MovesMs, timed(func() { mover.MakePlan(more) }))
}

func planAll(inputs []placement.Input) {
	for _, input := range inputs {
		placement.MakePlan(input)
	}
}

// poolInputs draws pools with running and pending work.
func poolInputs(hosts, pools int, seed uint64) []placement.Input {
	random := rand.New(rand.NewPCG(seed, seed))
	inputs := make([]placement.Input, pools)
	for i := range hosts {
		input := &inputs[i%pools]
		name := fmt.Sprintf("host-%05d", i)
		input.Workers = append(input.Workers, placement.Worker{
			Name: name, Ready: true, DrainSoon: random.IntN(10) == 0,
			Capacity: record.Resources{MilliCPU: workerCPU, MemoryMB: workerMemory, Accelerators: accelerators},
		})
		for j := range tasksPerWorker {
			input.Tasks = append(input.Tasks, placement.Task{
				ID: fmt.Sprintf("%s/%d", name, j), Job: fmt.Sprintf("running-%d", j), Host: name,
				Team: team(random), Resources: size(random), RanFor: time.Minute,
			})
		}
	}
	for i := range inputs {
		inputs[i].Quotas = quotas()
		for j := range pendingPerPool {
			inputs[i].Jobs = append(inputs[i].Jobs, pendingJob(random, fmt.Sprintf("job-%d-%d", i, j)))
		}
	}
	return inputs
}

func team(random *rand.Rand) string { return fmt.Sprintf("team-%02d", random.IntN(teams)) }

func quotas() map[string]record.Resources {
	all := make(map[string]record.Resources, teams)
	for i := range teams {
		all[fmt.Sprintf("team-%02d", i)] = record.Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30, Accelerators: 1 << 20}
	}
	return all
}

func size(random *rand.Rand) record.Resources {
	return record.Resources{MilliCPU: 1000 + random.IntN(12_000), MemoryMB: 1024 + random.IntN(48<<10)}
}

func pendingJob(random *rand.Rand, name string) placement.Job {
	priorities := []record.Priority{"", "", "", record.PriorityLow, record.PriorityUrgent}
	job := placement.Job{
		Name: name, Pending: []int{0}, Resources: size(random), RunTime: time.Duration(random.IntN(3600)) * time.Second,
		Spec: &record.Job{Team: team(random), Priority: priorities[random.IntN(len(priorities))]},
	}
	job.MinResources = job.Resources
	return job
}

// onePool merges all pools into one.
func onePool(inputs []placement.Input) placement.Input {
	all := placement.Input{Quotas: quotas()}
	for _, input := range inputs {
		all.Workers = append(all.Workers, input.Workers...)
		all.Jobs = append(all.Jobs, input.Jobs...)
		all.Tasks = append(all.Tasks, input.Tasks...)
	}
	return all
}

// moveInput draws a fleet in which a tenth of the pools lack one or two hosts, as many
// have one or two in excess, some pools are restricted to two zones, and a few hosts
// belong to no pool. All reasons for moves are older than the stabilization window.
func moveInput(hosts, pools int, seed uint64) mover.Input {
	random := rand.New(rand.NewPCG(seed, seed+1))
	input := mover.Input{Pools: make(map[string]*record.Pool, pools), StabilizationWindow: stabilizationWindow}
	members := make(map[string]int, pools)
	for i := range hosts {
		host := mover.Host{Name: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("zone-%d", i%zoneCount), Live: true}
		host.Rack = fmt.Sprintf("%s-rack-%d", host.Zone, i/zoneCount/hostsPerRack)
		if random.IntN(freeHostEvery) > 0 {
			pool := fmt.Sprintf("pool-%04d", i%pools)
			members[pool]++
			host.HasRecord = true
			host.Record = hostrecord.Record{Host: host.Name, Pool: pool, Phase: hostrecord.Serving, Zone: host.Zone, Rack: host.Rack}
		}
		input.Hosts = append(input.Hosts, host)
	}
	for i := range pools {
		name := fmt.Sprintf("pool-%04d", i)
		pool := &record.Pool{Size: members[name]}
		switch random.IntN(10 / disturbedPerTen) {
		case 0:
			pool.Size += 1 + random.IntN(2)
		case 1:
			pool.Size = max(0, pool.Size-1-random.IntN(2))
		case 2:
			pool.Zones = []string{"zone-0", "zone-1"}
			pool.Size++
		}
		input.Pools[name] = pool
	}
	input.ReasonAges = mover.ReasonAges{}.Advance(input, 0).Advance(input, input.StabilizationWindow)
	return input
}

// measureMoves compares the planned moves with the minimum number, over several seeds.
func (c *Cmd) measureMoves(r *Result) {
	for run := range c.Runs {
		input := moveInput(c.Hosts, c.Pools, c.Seed+uint64(run))
		plan := mover.MakePlan(input)
		r.Moves.Planned += len(plan.Moves)
		r.Moves.Assigned += len(plan.Assign)
		r.Moves.LowerBound += fewestMoves(input)
	}
}

// fewestMoves returns the minimum number of moves: the deficits that hosts without a
// pool can't fill, given the zones of the pools. It is the minimum cut over all sets of
// zones with all donors, minus the minimum cut with only the hosts without a pool. It
// shares no code with the planner.
func fewestMoves(input mover.Input) int {
	members, inZone := map[string]int{}, map[string]map[string]int{}
	for _, host := range input.Hosts {
		pool := host.Record.Pool
		members[pool]++
		if inZone[pool] == nil {
			inZone[pool] = map[string]int{}
		}
		inZone[pool][host.Zone]++
	}
	all, free := len(input.Hosts), len(input.Hosts)
	for set := range 1 << zoneCount {
		inSet := func(zone string) bool { return set>>(zone[len(zone)-1]-'0')&1 == 1 }
		needed := 0
		for name, pool := range input.Pools {
			if acceptsAny(pool, inSet, set) {
				needed += max(0, pool.Size-members[name])
			}
		}
		donated := 0
		for group, zones := range inZone {
			if group == "" {
				continue
			}
			donated += min(max(0, members[group]-input.Pools[group].Size), countOutside(zones, inSet))
		}
		fromFree := countOutside(inZone[""], inSet)
		all, free = min(all, needed+donated+fromFree), min(free, needed+fromFree)
	}
	return all - free
}

func acceptsAny(pool *record.Pool, inSet func(string) bool, set int) bool {
	if len(pool.Zones) == 0 {
		return set != 0
	}
	for _, zone := range pool.Zones {
		if inSet(zone) {
			return true
		}
	}
	return false
}

func countOutside(zones map[string]int, inSet func(string) bool) int {
	total := 0
	for zone, count := range zones {
		if !inSet(zone) {
			total += count
		}
	}
	return total
}
