package hostmanager

import (
	"cmp"
	"slices"
	"time"
)

const (
	// perHost is how long a host is out for maintenance at most in a good run: it
	// empties, is down, and joins its pool again. usualOut is how long most are
	// believed to be before any was.
	perHost  = 6500 * time.Millisecond
	usualOut = 4 * time.Second
	// leastPerHost is what it is believed to be at the least: it is down for two
	// seconds, and joins within one more.
	leastPerHost = 3500 * time.Millisecond
	// outSpread times what hosts differ from the mean is reckoned with on top of
	// it: those with lasting tasks take longest, and come last if anything does.
	outSpread = 2
	// outWeight is what each host counts in the mean and in how hosts differ, and
	// usualSpread how they are believed to differ before any was out.
	outWeight   = 0.125
	usualSpread = 600 * time.Millisecond
	// busyAt is how full a pool is that has no hosts to spare for a wave.
	busyAt = 0.5
	// waveMargin is kept at a wave's end for hosts that take longer.
	waveMargin = 8 * time.Second
)

// WaveView is a wave and how far it has come.
type WaveView struct {
	Wave
	// Pending are its hosts that are not maintained and not on the way to it.
	Pending []Host
	// Out is how many are being emptied or are down for it.
	Out int
	// Remaining is the time left.
	Remaining time.Duration
	// Loads is how full each pool is, from 0 to more than 1.
	Loads map[string]float64
	// OutByPool is how many hosts of each pool are out, and SizeOf how many it has.
	OutByPool, SizeByPool map[string]int
	// SlowToDrain are the workers that lasting tasks have to leave first, SlowOut how
	// many such hosts of each pool are being emptied.
	SlowToDrain  map[string]bool
	SlowDraining map[string]int
	// Occupied are the workers on which something runs.
	Occupied map[string]bool
	// PerHost is how long hosts are out, zero where none was yet.
	PerHost time.Duration
	// BurstLikelihood is how likely each pool's turn of demand is next.
	BurstLikelihood map[string]float64
}

// SetLoads takes over how busy the pools and their hosts are.
func (v *WaveView) SetLoads(loads map[string]Load) {
	for pool, load := range loads {
		v.Loads[pool] = float64(load.Used+load.Waiting) / float64(max(1, load.Capacity))
		for _, h := range load.Hosts {
			v.SlowToDrain[h.Worker] = h.LongRunning > 0
			v.Occupied[h.Worker] = !h.idle()
		}
	}
}

// MaintenanceTimes is how long hosts were out for maintenance, lately. A wave that goes
// by the most that one may take has more hosts out at once than it must, at the
// worst moment of a turn too: 10 of 48 instead of 6.
type MaintenanceTimes struct{ mean, spread time.Duration }

// NewMaintenanceTimes returns what is believed before any host was out.
func NewMaintenanceTimes() MaintenanceTimes { return MaintenanceTimes{usualOut, usualSpread} }

// Add takes one host over.
func (o *MaintenanceTimes) Add(out time.Duration) {
	o.spread += time.Duration(outWeight * float64((out-o.mean).Abs()-o.spread))
	o.mean += time.Duration(outWeight * float64(out-o.mean))
}

// PerHost is what to reckon with.
func (o *MaintenanceTimes) PerHost() time.Duration {
	return min(perHost, max(leastPerHost, o.mean+outSpread*o.spread))
}

// slowAtOnce is how many hosts with lasting tasks are emptied at once in a
// pool. A step lets one or two of its tasks miss at a time, so that more of them
// only wait, closed to all other work: up to 14 s with a quarter of a pool.
const slowAtOnce = 5

// NextToDrain picks the hosts that should be emptied now for a wave. It goes no
// faster than it must, so that as few hosts as possible are missing at once.
// Hosts with lasting tasks take longest: a few of each pool come first, also
// where the pool has much to do, since they can't be hurried at the end. Of the
// others, those of pools with little to do come first, of these the ones whose
// turn of demand is least expected, and idle hosts before others.
func NextToDrain(v WaveView) []Host {
	room := v.pace() - v.Out
	if room <= 0 {
		return nil
	}
	hosts := slices.Clone(v.Pending)
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return cmp.Or(compareTrue(v.SlowToDrain[a.Worker], v.SlowToDrain[b.Worker]),
			compareTrue(v.Loads[b.Pool] > busyAt, v.Loads[a.Pool] > busyAt),
			cmp.Compare(v.BurstLikelihood[a.Pool], v.BurstLikelihood[b.Pool]), compareTrue(v.Occupied[b.Worker], v.Occupied[a.Worker]),
			cmp.Compare(v.Loads[a.Pool], v.Loads[b.Pool]), cmp.Compare(v.share(a.Pool), v.share(b.Pool)))
	})
	var chosen []Host
	outOf, slowOut := make(map[string]int), make(map[string]int)
	for _, h := range hosts {
		if len(chosen) == room {
			break
		}
		if v.OutByPool[h.Pool]+outOf[h.Pool] >= v.poolLimit(h.Pool) {
			continue
		}
		if v.SlowToDrain[h.Worker] {
			if v.SlowDraining[h.Pool]+slowOut[h.Pool] >= slowAtOnce && !v.short() {
				continue
			}
			slowOut[h.Pool]++
		}
		outOf[h.Pool]++
		chosen = append(chosen, h)
	}
	return chosen
}

// pace is how many hosts have to be out at once to be done in time.
func (v *WaveView) pace() int {
	left := len(v.Pending) + v.Out
	time := v.Remaining - waveMargin
	if time <= v.each() {
		return v.MaxDown
	}
	rounds := int(time / v.each())
	return min(v.MaxDown, (left+rounds-1)/rounds)
}

func (v *WaveView) share(pool string) float64 {
	return float64(v.OutByPool[pool]) / float64(max(1, v.SizeByPool[pool]))
}

// poolLimit is how many hosts of a pool may be out at once: a quarter, or half
// when time is short.
func (v *WaveView) poolLimit(pool string) int {
	part := 4
	if v.short() {
		part = 2
	}
	return max(1, v.SizeByPool[pool]/part)
}

// short reports whether little time is left.
func (v *WaveView) short() bool { return v.Remaining < waveMargin+v.each() }

// each is how long a host is out.
func (v *WaveView) each() time.Duration {
	if v.PerHost == 0 {
		return perHost
	}
	return v.PerHost
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
