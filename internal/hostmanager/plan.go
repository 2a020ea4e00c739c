package hostmanager

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxOutTime is the longest that a host is out for maintenance in a run without
	// faults: it drains, is down, and rejoins its pool. initialOutTime is the
	// estimate for most hosts before any was maintained.
	maxOutTime     = 6500 * time.Millisecond
	initialOutTime = 4 * time.Second
	// minOutTime is the minimum estimate: a host is down for two seconds, and
	// rejoins its pool within one more.
	minOutTime = 3500 * time.Millisecond
	// deviationFactor times the mean deviation is added to the mean: hosts with
	// long-running tasks take longest, and their delay would extend the wave.
	deviationFactor = 2
	// outTimeWeight is the weight of each host in the mean and the deviation, and
	// initialDeviation the deviation before any host was out.
	outTimeWeight    = 0.125
	initialDeviation = 600 * time.Millisecond
	// busyLoad is the load above which a pool has no hosts to spare for a wave.
	busyLoad = 0.5
	// waveMargin is reserved at the end of a wave for hosts that take longer.
	waveMargin = 8 * time.Second
)

// WaveView is the progress of a wave and the state of the pools.
type WaveView struct {
	Wave
	// Pending are the wave's hosts that are neither maintained nor on their way.
	Pending []Host
	// Out is how many hosts are draining or down for the wave, Held how many others may go
	// down at any moment or are down by a call of an earlier holder.
	Out, Held int
	// Permitted are the pending hosts that Held counts.
	Permitted map[string]bool
	// Remaining is the time left for the wave.
	Remaining time.Duration
	// Loads is the load of each pool, from 0 to more than 1.
	Loads map[string]float64
	// OutByPool is how many hosts of each pool are out, SizeByPool how many it has.
	OutByPool, SizeByPool map[string]int
	// SlowToDrain are the workers that long-running tasks have to leave first,
	// SlowDraining how many such hosts of each pool are draining.
	SlowToDrain  map[string]bool
	SlowDraining map[string]int
	// Occupied are the workers on which something runs or that are unschedulable.
	Occupied map[string]bool
	// OutTime is the estimate of how long a host is out, zero for none yet.
	OutTime time.Duration
	// BurstLikelihood is how likely each pool has the next demand burst.
	BurstLikelihood map[string]float64
}

// SetLoads sets the loads of pools and the states of their hosts.
func (v *WaveView) SetLoads(loads map[string]Load) {
	for pool, load := range loads {
		v.Loads[pool] = float64(load.Used+load.Waiting) / float64(max(1, load.Capacity))
		for _, h := range load.Hosts {
			v.SlowToDrain[h.Worker] = h.LongRunning > 0
			v.Occupied[h.Worker] = !h.idle()
		}
	}
}

// MaintenanceTimes estimates how long hosts are out for maintenance from recent
// ones. A wave that used the maximum instead would have more hosts out at once than
// necessary, also at the worst moment of a demand burst: 10 of 48 instead of 6.
type MaintenanceTimes struct{ mean, deviation time.Duration }

// NewMaintenanceTimes returns the estimate before any host was out.
func NewMaintenanceTimes() MaintenanceTimes {
	return MaintenanceTimes{initialOutTime, initialDeviation}
}

// Add adds the time that one host was out.
func (t *MaintenanceTimes) Add(out time.Duration) {
	t.deviation += time.Duration(outTimeWeight * float64((out-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(outTimeWeight * float64(out-t.mean))
}

// OutTime is the time to plan with for each host.
func (t *MaintenanceTimes) OutTime() time.Duration {
	return min(maxOutTime, max(minOutTime, t.mean+deviationFactor*t.deviation))
}

// maxSlowDraining is how many hosts with long-running tasks are drained at once in a
// pool. A step allows one or two of its tasks to be unavailable at a time, so that
// more hosts would only wait, unschedulable for all other work: up to 14 s with a
// quarter of a pool.
const maxSlowDraining = 5

// NextToDrain returns the hosts to start draining now for a wave. It uses the lowest
// parallelism that meets the time limit, so that as few hosts as possible are out
// at once. Hosts with long-running tasks take longest and can't be sped up at the
// end, so a few of each pool come first, also of busy pools. Of the others, those of
// pools with a low load come first, among these the ones of pools least likely to
// have the next demand burst, and idle hosts before others. Hosts with a permit of an
// earlier holder come before all others and need no room: only a call for them frees it.
func NextToDrain(v WaveView) []Host {
	free := v.parallelism() - v.Out - v.Held
	if free <= 0 && v.Held == 0 {
		return nil
	}
	hosts := slices.Clone(v.Pending)
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return cmp.Or(trueFirst(v.Permitted[a.Name], v.Permitted[b.Name]), trueFirst(v.SlowToDrain[a.Worker], v.SlowToDrain[b.Worker]),
			trueFirst(v.Loads[b.Pool] > busyLoad, v.Loads[a.Pool] > busyLoad),
			cmp.Compare(v.BurstLikelihood[a.Pool], v.BurstLikelihood[b.Pool]), trueFirst(v.Occupied[b.Worker], v.Occupied[a.Worker]),
			cmp.Compare(v.Loads[a.Pool], v.Loads[b.Pool]), cmp.Compare(v.outShare(a.Pool), v.outShare(b.Pool)))
	})
	var chosen []Host
	out, slow := make(map[string]int), make(map[string]int)
	for _, h := range hosts {
		if !v.Permitted[h.Name] && free <= 0 {
			break
		}
		if v.OutByPool[h.Pool]+out[h.Pool] >= v.poolLimit(h.Pool) {
			continue
		}
		if v.SlowToDrain[h.Worker] {
			if v.SlowDraining[h.Pool]+slow[h.Pool] >= maxSlowDraining && !v.timeShort() {
				continue
			}
			slow[h.Pool]++
		}
		out[h.Pool]++
		if !v.Permitted[h.Name] {
			free--
		}
		chosen = append(chosen, h)
	}
	return chosen
}

// parallelism is how many hosts have to be out at once to meet the time limit.
func (v *WaveView) parallelism() int {
	hosts := len(v.Pending) + v.Out
	available := v.Remaining - waveMargin
	if available <= v.outTime() {
		return v.MaxDown
	}
	rounds := int(available / v.outTime())
	return min(v.MaxDown, (hosts+rounds-1)/rounds)
}

func (v *WaveView) outShare(pool string) float64 {
	return float64(v.OutByPool[pool]) / float64(max(1, v.SizeByPool[pool]))
}

// poolLimit is how many hosts of a pool may be out at once: a quarter, or half if
// time is short.
func (v *WaveView) poolLimit(pool string) int {
	part := 4
	if v.timeShort() {
		part = 2
	}
	return max(1, v.SizeByPool[pool]/part)
}

// timeShort reports whether the time left is just enough for one more host.
func (v *WaveView) timeShort() bool { return v.Remaining < waveMargin+v.outTime() }

// outTime is the time that a host is expected to be out.
func (v *WaveView) outTime() time.Duration {
	if v.OutTime == 0 {
		return maxOutTime
	}
	return v.OutTime
}

// trueFirst compares booleans, ordering true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
