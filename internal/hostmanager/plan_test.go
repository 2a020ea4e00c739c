package hostmanager

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

var hostSize = work.Resources{MilliCPU: 64_000, MemMB: 256_000}

func hosts(pool string, count int) []Host {
	var list []Host
	for i := range count {
		name := fmt.Sprintf("%s-%02d", pool, i)
		list = append(list, Host{Name: name, Pool: pool, Up: true, Kind: "a", Size: hostSize, Worker: "w-" + name})
	}
	return list
}

func waveView(left []Host, remaining time.Duration, atOnce int) WaveView {
	v := WaveView{
		Wave: Wave{Number: 1, MaxDown: atOnce}, Pending: left, Remaining: remaining,
		Loads: map[string]float64{}, OutByPool: map[string]int{}, SizeByPool: map[string]int{},
	}
	for _, h := range left {
		v.SizeByPool[h.Pool]++
	}
	return v
}

// With time to spare few hosts are out at once; when it runs out, as many as
// may be.
func TestWaveGoesNoFasterThanItMust(t *testing.T) {
	left := append(hosts("p", 16), hosts("q", 16)...)
	must.Len(t, 2, NextToDrain(waveView(left, waveMargin+16*perHost, 9)))
	must.Len(t, 8, NextToDrain(waveView(left, waveMargin+4*perHost, 9)))
	must.Len(t, 9, NextToDrain(waveView(left, time.Second, 9)))
	v := waveView(left, time.Second, 9)
	v.Out = 9
	must.Len(t, 0, NextToDrain(v))
}

func TestWaveTakesPoolsWithLittleToDoFirst(t *testing.T) {
	v := waveView(append(hosts("busy", 8), hosts("idle", 8)...), waveMargin+8*perHost, 9)
	v.Loads["busy"], v.Loads["idle"] = 0.9, 0.1
	for _, h := range NextToDrain(v) {
		must.EqOp(t, "idle", h.Pool)
	}
}

// A wave must not take more than a part of one pool out, however little the
// pool has to do at the moment.
func TestWaveLeavesMostOfAPool(t *testing.T) {
	v := waveView(hosts("p", 12), waveMargin+perHost+time.Millisecond, 12)
	must.Len(t, 3, NextToDrain(v))
	v.OutByPool["p"] = 2
	v.Out = 2
	must.Len(t, 1, NextToDrain(v))
}

// Hosts with lasting tasks empty slowly, as a step misses few tasks at a time:
// they begin first, but no more of them than can make use of it.
func TestWaveBeginsWithSlowHostsAFewAtATime(t *testing.T) {
	v := waveView(hosts("p", 40), waveMargin+perHost+time.Second, 20)
	v.SlowToDrain, v.SlowDraining = make(map[string]bool), map[string]int{"p": 2}
	for _, h := range v.Pending[20:] {
		v.SlowToDrain[h.Worker] = true
	}
	chosen := NextToDrain(v)
	must.Len(t, 10, chosen)
	for i, h := range chosen {
		must.EqOp(t, i < slowAtOnce-2, v.SlowToDrain[h.Worker])
	}
	v.Remaining = time.Second
	for _, h := range NextToDrain(v) {
		must.True(t, v.SlowToDrain[h.Worker], must.Sprint("with little time left all of them go"))
	}
}

// Three hosts of a wave are late: the pool with most to do came last, and its
// lasting tasks, which move two at a time, needed longer than was left. A few
// of its slow hosts come along from the start.
func TestWaveBeginsWithSlowHostsOfBusyPoolsToo(t *testing.T) {
	v := waveView(append(hosts("idle", 40), hosts("busy", 40)...), waveMargin+2*perHost, 15)
	v.Loads["busy"], v.Loads["idle"] = 1.2, 0.1
	v.SlowToDrain = make(map[string]bool)
	for _, h := range v.Pending[60:] {
		v.SlowToDrain[h.Worker] = true
	}
	taken := make(map[string]int)
	for _, h := range NextToDrain(v) {
		taken[h.Pool]++
		must.EqOp(t, h.Pool == "busy", v.SlowToDrain[h.Worker])
	}
	must.EqOp(t, slowAtOnce, taken["busy"])
	must.EqOp(t, 10, taken["idle"], must.Sprint("as many as a pool may miss"))
}

// Ten of 48 hosts were out at once for a wave that had time for six at a time,
// since a host was reckoned to be out for as long as it may be. How long hosts
// really were out sets the pace.
func TestAWaveGoesByHowLongHostsWereOut(t *testing.T) {
	v := waveView(append(hosts("p", 12), hosts("q", 12)...), waveMargin+18*time.Second, 10)
	must.Len(t, 6, NextToDrain(v), must.Sprint("a quarter of each pool at most"))
	times := NewMaintenanceTimes()
	must.Between(t, leastPerHost, times.PerHost(), perHost)
	for range 40 {
		times.Add(3 * time.Second)
	}
	v.PerHost = times.PerHost()
	must.Len(t, 5, NextToDrain(v))
	v.SizeByPool["p"], v.SizeByPool["q"] = 40, 40
	must.Len(t, 5, NextToDrain(v))
	v.PerHost = perHost
	must.Len(t, 10, NextToDrain(v))
}

// Some hosts of a wave take twice as long as others: lasting tasks leave them a
// few at a time. The wave reckons with these, and is in time.
func TestAWaveReckonsWithItsSlowHosts(t *testing.T) {
	times := NewMaintenanceTimes()
	for i := range 80 {
		times.Add(time.Duration(3+3*(i%2)) * time.Second)
	}
	must.EqOp(t, perHost, times.PerHost())
}

// A wave takes hosts of the pool whose turn of demand comes next, and the jobs at
// its start wait for others. Of pools with as little to do, those whose turn is
// least expected go first, and idle hosts before those that something runs on.
func TestAWaveSparesThePoolWhoseTurnIsNext(t *testing.T) {
	v := waveView(append(hosts("next", 8), hosts("past", 8)...), waveMargin+8*perHost, 9)
	v.BurstLikelihood = map[string]float64{"next": 0.8, "past": 0.2}
	v.Loads["past"], v.Loads["next"] = 0.1, 0.05
	v.Occupied = map[string]bool{v.Pending[8].Worker: true}
	for _, h := range NextToDrain(v) {
		must.EqOp(t, "past", h.Pool)
		must.NotEqOp(t, v.Pending[8].Name, h.Name)
	}
}

// pool has work of tasks of one second, due within 1.8 s; what doesn't run waits.
func pool(name string, count, used, work int) PoolView {
	p := PoolView{Name: name, Known: true, Hosts: hosts(name, count)}
	p.Load = Load{Capacity: count * hostSize.MilliCPU, Used: used, DeadlineNeed: due(work, max(work, used)), Waiting: max(0, work-used)}
	for i, h := range p.Hosts {
		one := HostLoad{Worker: h.Worker}
		if i*hostSize.MilliCPU < used {
			one.Used = hostSize.MilliCPU
		}
		p.Load.Hosts = append(p.Load.Hosts, one)
	}
	return p
}

// due is what work needs that has to be done within 1.8 s by no more tasks than
// run or wait.
func due(work, tasks int) int { return min(work*10/18, tasks) }

// closeHosts takes the first hosts of a pool out of use.
func (p *PoolView) closeHosts(count int) {
	p.Load.Capacity = (len(p.Load.Hosts) - count) * hostSize.MilliCPU
	for i := range p.Load.Hosts {
		p.Load.Hosts[i].Unschedulable = i < count
	}
}

func spare(count int) PoolView {
	return PoolView{Name: "spare", Spare: true, Hosts: hosts("spare", count)}
}

func anywhere(Host, string) bool { return true }

func TestNobodyMovesWithoutNeed(t *testing.T) {
	must.Len(t, 0, PlanMoves([]PoolView{pool("p", 4, 100_000, 200_000), pool("q", 4, 0, 0), spare(3)}, anywhere))
}

// Spare hosts come first, then idle ones of a pool with little to do. What the
// giving pool needs itself, and one host more, stays.
func TestNeedIsMetFromSparesThenFromIdlePools(t *testing.T) {
	needy := pool("needy", 4, 256_000, 1_600_000)
	giver := pool("giver", 8, 64_000, 100_000)
	moves := PlanMoves([]PoolView{needy, giver, spare(2)}, anywhere)
	must.Len(t, 8, moves)
	for i, m := range moves {
		must.EqOp(t, "needy", m.To)
		want := "giver"
		if i < 2 {
			want = "spare"
		}
		must.EqOp(t, want, m.Host.Pool)
		must.NotEqOp(t, "giver-00", m.Host.Name, must.Sprint("it has work"))
	}
}

// Hosts on their way count: asked again a moment later, nobody else moves.
// A pool's turn begins while half of the hosts that stand idle elsewhere are due
// for maintenance. It gets the others: the due ones would soon have to be emptied
// in the middle of the turn.
func TestHostsDueForMaintenanceMoveLast(t *testing.T) {
	idle, off := pool("idle", 12, 0, 0), spare(4)
	for _, p := range []*PoolView{&idle, &off} {
		for i := range p.Hosts {
			p.Hosts[i].MaintenanceDue = i%2 == 0
		}
	}
	moves := PlanMoves([]PoolView{off, idle, pool("busy", 4, 4, 8)}, anywhere)
	must.SliceNotEmpty(t, moves)
	sawDue := map[string]bool{}
	for _, move := range moves {
		must.True(t, move.Host.MaintenanceDue || !sawDue[move.Host.Pool])
		sawDue[move.Host.Pool] = sawDue[move.Host.Pool] || move.Host.MaintenanceDue
	}
	must.False(t, moves[0].Host.MaintenanceDue)
}

func TestHostsOnTheirWayCount(t *testing.T) {
	needy := pool("needy", 4, 256_000, 1_600_000)
	needy.Incoming = 10
	must.Len(t, 0, PlanMoves([]PoolView{needy, pool("giver", 6, 0, 0), spare(2)}, anywhere))
}

// Lasting tasks may not share a host, and a wave closes some: with too few open
// hosts they could never leave the closed ones. Hosts come although the pool
// has little work, and such a pool gives none away.
func TestLastingTasksGetHostsToSpreadOver(t *testing.T) {
	p := pool("p", 6, 0, 0)
	p.Load.MinHosts = 5
	p.closeHosts(3)
	must.Len(t, 3, PlanMoves([]PoolView{p, spare(4)}, anywhere))
	p.closeHosts(0)
	must.Len(t, 0, PlanMoves([]PoolView{pool("needy", 2, 128_000, 1_600_000), p}, anywhere))
}

// A pool taken over a moment ago doesn't know its need yet.
func TestAPoolJustTakenOverKeepsHalfOfItsHosts(t *testing.T) {
	giver := pool("giver", 8, 0, 0)
	giver.Load.WarmingUp = true
	must.Len(t, 4, PlanMoves([]PoolView{pool("needy", 2, 128_000, 1_600_000), giver}, anywhere))
	giver.Load.WarmingUp = false
	must.Len(t, 6, PlanMoves([]PoolView{pool("needy", 2, 128_000, 1_600_000), giver}, anywhere))
}

// Callers get nothing served, though other pools have hosts to spare: the last
// host of a pool was lost, and a pool without hosts was never given any.
func TestAPoolWithoutHostsGetsSome(t *testing.T) {
	empty := PoolView{Name: "empty", Known: true}
	must.Len(t, 1, PlanMoves([]PoolView{empty, spare(4)}, anywhere), must.Sprint("so that work can start at all"))
	empty.Load.DeadlineNeed, empty.Load.Waiting = 5*hostSize.MilliCPU*10/18, 5*hostSize.MilliCPU
	must.True(t, empty.lacks())
	must.Len(t, 9, PlanMoves([]PoolView{empty, spare(12)}, anywhere))
	empty.Incoming = 9
	must.Len(t, 0, PlanMoves([]PoolView{empty, spare(12)}, anywhere))
	empty.Incoming, empty.Hosts = 0, hosts("empty", 3)
	must.Len(t, 0, PlanMoves([]PoolView{empty, spare(4)}, anywhere), must.Sprint("they have yet to register"))
}

// Hosts of lasting tasks aren't moved: that would take the tasks away.
func TestHostsOfLastingTasksStay(t *testing.T) {
	giver := pool("giver", 6, 0, 0)
	for i := range giver.Load.Hosts {
		giver.Load.Hosts[i].LongRunning = 1000
	}
	must.Len(t, 0, PlanMoves([]PoolView{pool("needy", 2, 128_000, 1_600_000), giver}, anywhere))
}

func TestHostsGoOnlyWhereTheyMay(t *testing.T) {
	needy := pool("needy", 2, 128_000, 1_600_000)
	must.Len(t, 0, PlanMoves([]PoolView{needy, spare(4)}, func(Host, string) bool { return false }))
}

// A turn of demand is over: nothing is handed in any more, and what is left
// runs already. All that stands idle goes to the pool whose turn has begun; a
// quarter more than the need kept back had it wait two seconds longer.
func TestAPoolPastItsTurnGivesAllThatStandsIdle(t *testing.T) {
	past := pool("past", 20, 10*hostSize.MilliCPU, 30*hostSize.MilliCPU)
	past.Load.Waiting, past.Load.DeadlineNeed = 0, past.Load.Used
	next := pool("next", 2, 128_000, 1_600_000)
	must.Len(t, 9, PlanMoves([]PoolView{past, next}, anywhere), must.Sprint("all but the reserve"))
}

// What is left of large jobs counts by the tasks that can run: with all of them
// running, hosts for the later steps would stand idle.
func TestWorkThatCannotRunYetNeedsNoHosts(t *testing.T) {
	p := pool("p", 4, 128_000, 3_200_000)
	p.Load.Waiting, p.Load.DeadlineNeed = 0, p.Load.Used
	must.Len(t, 0, PlanMoves([]PoolView{p, spare(4)}, anywhere))
}

// Nobody knows which pool has its turn next: what one has to spare is spread,
// so that each has some when its turn begins.
func TestFreeHostsAreSpreadOverThePools(t *testing.T) {
	counts := map[string]int{}
	for _, m := range PlanMoves([]PoolView{pool("a", 30, 0, 0), pool("b", 6, 0, 0), pool("c", 6, 0, 0)}, anywhere) {
		must.EqOp(t, "a", m.Host.Pool)
		counts[m.To]++
	}
	must.Between(t, 5, counts["b"], 8)
	must.Between(t, 5, counts["c"], 8)
	must.Len(t, 0, PlanMoves([]PoolView{pool("a", 16, 0, 0), pool("b", 12, 0, 0), pool("c", 14, 0, 0)}, anywhere),
		must.Sprint("a small difference isn't worth a move"))
}

// Two pools lack hosts and there are few: the one that is worse off for its
// need gets the first ones, however much more the other asks for.
func TestScarceHostsGoWhereTheNeedIsLeastMet(t *testing.T) {
	large, small := pool("large", 10, 640_000, 3_200_000), pool("small", 1, 64_000, 640_000)
	moves := PlanMoves([]PoolView{large, small, spare(1)}, anywhere)
	must.Len(t, 1, moves)
	must.EqOp(t, "small", moves[0].To)
}

// A rack went dark: its hosts look idle, but can't be emptied. They aren't
// moved, and the pool that lost them asks for others.
func TestSilentHostsAreNoCapacity(t *testing.T) {
	p := pool("p", 8, 0, 0)
	p.closeHosts(6)
	p.Load.Offered = 3 * hostSize.MilliCPU
	must.Positive(t, len(PlanMoves([]PoolView{p, spare(4)}, anywhere)))
	for _, m := range PlanMoves([]PoolView{p, pool("needy", 2, 128_000, 1_600_000)}, anywhere) {
		must.NotEqOp(t, "p", m.Host.Pool)
	}
}
