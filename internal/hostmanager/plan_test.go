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
		list = append(list, Host{Name: name, Pool: pool, Up: true, Kind: "a", Resources: hostSize, Worker: "w-" + name})
	}
	return list
}

func waveView(pending []Host, remaining time.Duration, maxDown int) WaveView {
	v := WaveView{
		Wave: Wave{Number: 1, MaxDown: maxDown}, Pending: pending, Remaining: remaining,
		Loads: map[string]float64{}, OutByPool: map[string]int{}, SizeByPool: map[string]int{},
	}
	for _, h := range pending {
		v.SizeByPool[h.Pool]++
	}
	return v
}

// A wave with time to spare has few hosts out at once, and as many as allowed when
// little time is left.
func TestWaveUsesMinimumParallelism(t *testing.T) {
	pending := append(hosts("p", 16), hosts("q", 16)...)
	must.Len(t, 2, NextToDrain(waveView(pending, waveMargin+16*maxOutTime, 9)))
	must.Len(t, 8, NextToDrain(waveView(pending, waveMargin+4*maxOutTime, 9)))
	must.Len(t, 9, NextToDrain(waveView(pending, time.Second, 9)))
	v := waveView(pending, time.Second, 9)
	v.Out = 9
	must.Len(t, 0, NextToDrain(v))
}

func TestWaveStartsWithLeastLoadedPools(t *testing.T) {
	v := waveView(append(hosts("busy", 8), hosts("idle", 8)...), waveMargin+8*maxOutTime, 9)
	v.Loads["busy"], v.Loads["idle"] = 0.9, 0.1
	for _, h := range NextToDrain(v) {
		must.EqOp(t, "idle", h.Pool)
	}
}

// A wave must not take out more than a part of one pool, however low its load.
func TestWaveLimitsHostsOutPerPool(t *testing.T) {
	v := waveView(hosts("p", 12), waveMargin+maxOutTime+time.Millisecond, 12)
	must.Len(t, 3, NextToDrain(v))
	v.OutByPool["p"] = 2
	v.Out = 2
	must.Len(t, 1, NextToDrain(v))
}

// Hosts with long-running tasks drain slowly, as a step allows few unavailable tasks
// at a time. They have to start first, but not more of them than can make progress.
func TestWaveStartsWithSlowHostsAFewAtATime(t *testing.T) {
	v := waveView(hosts("p", 40), waveMargin+maxOutTime+time.Second, 20)
	v.SlowToDrain, v.SlowDraining = make(map[string]bool), map[string]int{"p": 2}
	for _, h := range v.Pending[20:] {
		v.SlowToDrain[h.Worker] = true
	}
	chosen := NextToDrain(v)
	must.Len(t, 10, chosen)
	for i, h := range chosen {
		must.EqOp(t, i < maxSlowDraining-2, v.SlowToDrain[h.Worker])
	}
	v.Remaining = time.Second
	for _, h := range NextToDrain(v) {
		must.True(t, v.SlowToDrain[h.Worker], must.Sprint("slow hosts all drain when little time is left"))
	}
}

// Three hosts of a wave were late: the pool with the highest load came last, and its
// long-running tasks, which move two at a time, needed longer than the time left. A
// few of its slow hosts have to start at the beginning.
func TestWaveStartsWithSlowHostsOfBusyPoolsToo(t *testing.T) {
	v := waveView(append(hosts("idle", 40), hosts("busy", 40)...), waveMargin+2*maxOutTime, 15)
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
	must.EqOp(t, maxSlowDraining, taken["busy"])
	must.EqOp(t, 10, taken["idle"], must.Sprint("limit of hosts out per pool"))
}

// A wave that had time for six hosts at once took out ten of 48, since it planned with
// the maximum time that a host may be out. It has to plan with measured times.
func TestWaveUsesMeasuredMaintenanceTimes(t *testing.T) {
	v := waveView(append(hosts("p", 12), hosts("q", 12)...), waveMargin+18*time.Second, 10)
	must.Len(t, 6, NextToDrain(v), must.Sprint("a quarter of each pool at most"))
	times := NewMaintenanceTimes()
	must.Between(t, minOutTime, times.OutTime(), maxOutTime)
	for range 40 {
		times.Add(3 * time.Second)
	}
	v.OutTime = times.OutTime()
	must.Len(t, 5, NextToDrain(v))
	v.SizeByPool["p"], v.SizeByPool["q"] = 40, 40
	must.Len(t, 5, NextToDrain(v))
	v.OutTime = maxOutTime
	must.Len(t, 10, NextToDrain(v))
}

// Some hosts of a wave take twice as long as others, since long-running tasks leave
// them a few at a time. The estimate has to cover these for the wave to be in time.
func TestMaintenanceTimesCoverSlowHosts(t *testing.T) {
	times := NewMaintenanceTimes()
	for i := range 80 {
		times.Add(time.Duration(3+3*(i%2)) * time.Second)
	}
	must.EqOp(t, maxOutTime, times.OutTime())
}

// A wave takes hosts of the pool with the next demand burst, and the jobs at its start
// wait for others. Of pools with a similar load, those least likely to have the next
// burst have to come first, and idle hosts before occupied ones.
func TestWaveSparesPoolWithLikelyNextBurst(t *testing.T) {
	v := waveView(append(hosts("next", 8), hosts("past", 8)...), waveMargin+8*maxOutTime, 9)
	v.BurstLikelihood = map[string]float64{"next": 0.8, "past": 0.2}
	v.Loads["past"], v.Loads["next"] = 0.1, 0.05
	v.Occupied = map[string]bool{v.Pending[8].Worker: true}
	for _, h := range NextToDrain(v) {
		must.EqOp(t, "past", h.Pool)
		must.NotEqOp(t, v.Pending[8].Name, h.Name)
	}
}

// poolView returns a pool whose tasks take one second and are due within 1.8 s. What
// doesn't run waits.
func poolView(name string, count, used, work int) PoolView {
	p := PoolView{Name: name, Known: true, Hosts: hosts(name, count)}
	p.Load = Load{Capacity: count * hostSize.MilliCPU, Used: used, DeadlineNeed: deadlineNeed(work, max(work, used)), Waiting: max(0, work-used)}
	for i, h := range p.Hosts {
		load := HostLoad{Worker: h.Worker}
		if i*hostSize.MilliCPU < used {
			load.Used = hostSize.MilliCPU
		}
		p.Load.Hosts = append(p.Load.Hosts, load)
	}
	return p
}

// deadlineNeed is what work needs that is due within 1.8 s, limited by the tasks that
// run or wait.
func deadlineNeed(work, tasks int) int { return min(work*10/18, tasks) }

// markUnschedulable makes the first hosts of a pool unschedulable and all others
// schedulable.
func (p *PoolView) markUnschedulable(count int) {
	p.Load.Capacity = (len(p.Load.Hosts) - count) * hostSize.MilliCPU
	for i := range p.Load.Hosts {
		p.Load.Hosts[i].Unschedulable = i < count
	}
}

func sparePool(count int) PoolView {
	return PoolView{Name: "spare", Spare: true, Hosts: hosts("spare", count)}
}

func anywhere(Host, string) bool { return true }

func TestNoMovesWithoutNeed(t *testing.T) {
	must.Len(t, 0, PlanMoves([]PoolView{poolView("p", 4, 100_000, 200_000), poolView("q", 4, 0, 0), sparePool(3)}, anywhere))
}

// Spare hosts move first, then idle ones of a pool with a low load. That pool keeps
// what it needs itself, and one host more.
func TestNeedIsMetFromSparePoolThenIdlePools(t *testing.T) {
	needy := poolView("needy", 4, 256_000, 1_600_000)
	giver := poolView("giver", 8, 64_000, 100_000)
	moves := PlanMoves([]PoolView{needy, giver, sparePool(2)}, anywhere)
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

// A pool's demand burst starts while half of the idle hosts elsewhere are due for
// maintenance. The others have to move first: the due ones would soon have to be
// drained in the middle of the burst.
func TestHostsDueForMaintenanceMoveLast(t *testing.T) {
	idle, off := poolView("idle", 12, 0, 0), sparePool(4)
	for _, p := range []*PoolView{&idle, &off} {
		for i := range p.Hosts {
			p.Hosts[i].MaintenanceDue = i%2 == 0
		}
	}
	moves := PlanMoves([]PoolView{off, idle, poolView("busy", 4, 4, 8)}, anywhere)
	must.SliceNotEmpty(t, moves)
	sawDue := map[string]bool{}
	for _, move := range moves {
		must.True(t, move.Host.MaintenanceDue || !sawDue[move.Host.Pool])
		sawDue[move.Host.Pool] = sawDue[move.Host.Pool] || move.Host.MaintenanceDue
	}
	must.False(t, moves[0].Host.MaintenanceDue)
}

// Incoming hosts count as capacity, so that planning again a moment later moves no more
// hosts.
func TestIncomingHostsCount(t *testing.T) {
	needy := poolView("needy", 4, 256_000, 1_600_000)
	needy.Incoming = 10
	must.Len(t, 0, PlanMoves([]PoolView{needy, poolView("giver", 6, 0, 0), sparePool(2)}, anywhere))
}

// Long-running tasks may not share a host, and a wave makes some hosts unschedulable.
// With too few schedulable hosts, the tasks could never leave the others. Hosts have to
// come although the pool's load is low, and such a pool gives none away.
func TestLongRunningTasksGetHostsToSpreadOver(t *testing.T) {
	p := poolView("p", 6, 0, 0)
	p.Load.MinHosts = 5
	p.markUnschedulable(3)
	must.Len(t, 3, PlanMoves([]PoolView{p, sparePool(4)}, anywhere))
	p.markUnschedulable(0)
	must.Len(t, 0, PlanMoves([]PoolView{poolView("needy", 2, 128_000, 1_600_000), p}, anywhere))
}

// A pool that was just taken over doesn't report its full need yet.
func TestWarmingUpPoolKeepsHalfOfItsHosts(t *testing.T) {
	giver := poolView("giver", 8, 0, 0)
	giver.Load.WarmingUp = true
	must.Len(t, 4, PlanMoves([]PoolView{poolView("needy", 2, 128_000, 1_600_000), giver}, anywhere))
	giver.Load.WarmingUp = false
	must.Len(t, 6, PlanMoves([]PoolView{poolView("needy", 2, 128_000, 1_600_000), giver}, anywhere))
}

// A pool that lost its last host was never given another one, although other pools had
// hosts to spare, and its callers were not served.
func TestPoolWithoutHostsGetsSome(t *testing.T) {
	empty := PoolView{Name: "empty", Known: true}
	must.Len(t, 1, PlanMoves([]PoolView{empty, sparePool(4)}, anywhere), must.Sprint("work could not start otherwise"))
	empty.Load.DeadlineNeed, empty.Load.Waiting = 5*hostSize.MilliCPU*10/18, 5*hostSize.MilliCPU
	must.True(t, empty.needsHosts())
	must.Len(t, 9, PlanMoves([]PoolView{empty, sparePool(12)}, anywhere))
	empty.Incoming = 9
	must.Len(t, 0, PlanMoves([]PoolView{empty, sparePool(12)}, anywhere))
	empty.Incoming, empty.Hosts = 0, hosts("empty", 3)
	must.Len(t, 0, PlanMoves([]PoolView{empty, sparePool(4)}, anywhere), must.Sprint("the hosts haven't registered yet"))
}

// Moving a host of long-running tasks would end these tasks.
func TestHostsOfLongRunningTasksDoNotMove(t *testing.T) {
	giver := poolView("giver", 6, 0, 0)
	for i := range giver.Load.Hosts {
		giver.Load.Hosts[i].LongRunning = 1000
	}
	must.Len(t, 0, PlanMoves([]PoolView{poolView("needy", 2, 128_000, 1_600_000), giver}, anywhere))
}

func TestHostsMoveOnlyToAllowedPools(t *testing.T) {
	needy := poolView("needy", 2, 128_000, 1_600_000)
	must.Len(t, 0, PlanMoves([]PoolView{needy, sparePool(4)}, func(Host, string) bool { return false }))
}

// At the end of a demand burst no jobs are submitted any more, and the remaining tasks
// are running. All idle hosts have to move to the pool whose burst has started: with a
// quarter more than the need kept back, that pool waited two seconds longer.
func TestPoolPastItsBurstGivesAllIdleHosts(t *testing.T) {
	past := poolView("past", 20, 10*hostSize.MilliCPU, 30*hostSize.MilliCPU)
	past.Load.Waiting, past.Load.DeadlineNeed = 0, past.Load.Used
	next := poolView("next", 2, 128_000, 1_600_000)
	must.Len(t, 9, PlanMoves([]PoolView{past, next}, anywhere), must.Sprint("all but the reserve"))
}

// The remaining work of large jobs counts only by the tasks that are ready. If all of
// them are running, hosts for later steps would be idle.
func TestWorkNotReadyToRunNeedsNoHosts(t *testing.T) {
	p := poolView("p", 4, 128_000, 3_200_000)
	p.Load.Waiting, p.Load.DeadlineNeed = 0, p.Load.Used
	must.Len(t, 0, PlanMoves([]PoolView{p, sparePool(4)}, anywhere))
}

// It is unknown which pool has the next demand burst, so free hosts are levelled and
// each pool has some when its burst starts.
func TestFreeHostsAreLevelled(t *testing.T) {
	counts := map[string]int{}
	for _, m := range PlanMoves([]PoolView{poolView("a", 30, 0, 0), poolView("b", 6, 0, 0), poolView("c", 6, 0, 0)}, anywhere) {
		must.EqOp(t, "a", m.Host.Pool)
		counts[m.To]++
	}
	must.Between(t, 5, counts["b"], 8)
	must.Between(t, 5, counts["c"], 8)
	must.Len(t, 0, PlanMoves([]PoolView{poolView("a", 16, 0, 0), poolView("b", 12, 0, 0), poolView("c", 14, 0, 0)}, anywhere),
		must.Sprint("a small difference isn't worth a move"))
}

// Two pools need hosts and few are available. The pool with the least capacity for its
// need has to get the first ones, even if the other requests more.
func TestScarceHostsGoToPoolWithLeastCapacityForItsNeed(t *testing.T) {
	large, small := poolView("large", 10, 640_000, 3_200_000), poolView("small", 1, 64_000, 640_000)
	moves := PlanMoves([]PoolView{large, small, sparePool(1)}, anywhere)
	must.Len(t, 1, moves)
	must.EqOp(t, "small", moves[0].To)
}

// A rack is unresponsive: its hosts appear idle, but can't be drained. They must not be
// moved, and their pool has to request others.
func TestUnresponsiveHostsAreNotCapacity(t *testing.T) {
	p := poolView("p", 8, 0, 0)
	p.markUnschedulable(6)
	p.Load.Offered = 3 * hostSize.MilliCPU
	must.Positive(t, len(PlanMoves([]PoolView{p, sparePool(4)}, anywhere)))
	for _, m := range PlanMoves([]PoolView{p, poolView("needy", 2, 128_000, 1_600_000)}, anywhere) {
		must.NotEqOp(t, "p", m.Host.Pool)
	}
}
