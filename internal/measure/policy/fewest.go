package policy

import (
	"maps"
	"slices"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
)

// moveBound computes a lower bound on the number of moves of a run, from the drawn
// behavior of the hosts and the platform's list. It considers only the number of
// hosts, not zones and racks, and uses the future behavior of hosts. It shares no
// code with the planner. A pool that has lacked a host for the stabilization window
// gets one, from the hosts without a pool or from a pool that has had too many for
// as long. Unlike the bound of a single plan, it counts moves that become due one
// after the other. A run can have fewer moves than this if a move is delayed, as one
// that waits for the wave's drain, and the platform adds another host in the
// meantime.
type moveBound struct {
	// pools is the pool of each host in this computation, absent how long each host
	// has been missing or failed.
	pools  map[string]string
	absent map[string]time.Duration
	// deficits and surpluses are, by pool, how long each missing host has been
	// missing and each excess host in excess.
	deficits, surpluses map[string][]time.Duration
	moves               int
}

func newMoveBound(pools map[string]string) *moveBound {
	return &moveBound{
		pools: pools, absent: make(map[string]time.Duration),
		deficits: make(map[string][]time.Duration), surpluses: make(map[string][]time.Duration),
	}
}

// advance advances the computation by an interval in which the controllers were
// running.
func (f *moveBound) advance(w *world, passed time.Duration) {
	window := mover.StabilizationWindow(w.policy)
	present := make(map[string]int)
	var free []string
	for _, h := range w.hosts {
		f.updateAbsence(w, h, passed)
		switch pool := f.pools[h.Name]; {
		case pool == "" && w.listedLive(h):
			free = append(free, h.Name)
		case pool != "" && f.absent[h.Name] < window:
			present[pool]++
		}
	}
	names := slices.Sorted(maps.Keys(w.pools))
	for _, name := range names {
		size := w.pools[name].Size
		for len(free) > 0 && present[name] < size {
			f.pools[free[0]], free = name, free[1:]
			present[name]++
		}
		f.deficits[name] = advanceAges(f.deficits[name], size-present[name], passed)
		f.surpluses[name] = advanceAges(f.surpluses[name], present[name]-size, passed)
	}
	f.move(w, names, window)
}

// updateAbsence updates how long a host has been absent. A host that is out for a
// wave or a move isn't absent.
func (f *moveBound) updateAbsence(w *world, h *host, passed time.Duration) {
	failed := h.record.Phase == hostrecord.Failed
	inOperation := !h.record.Schedulable() && !failed
	if !failed && (inOperation || w.listedLive(h)) {
		delete(f.absent, h.Name)
		return
	}
	if before, absent := f.absent[h.Name]; absent {
		f.absent[h.Name] = before + passed
		return
	}
	f.absent[h.Name] = 0
}

func (f *moveBound) move(w *world, names []string, window time.Duration) {
	var receivers, donors []string
	for _, name := range names {
		for _, age := range f.deficits[name] {
			if age >= window {
				receivers = append(receivers, name)
			}
		}
		for _, age := range f.surpluses[name] {
			if age >= window {
				donors = append(donors, name)
			}
		}
	}
	for i := range min(len(receivers), len(donors)) {
		if host := f.stableHost(w, donors[i]); host != "" {
			f.pools[host] = receivers[i]
			f.moves++
		}
	}
}

// stableHost returns a host of the pool that won't fail, or "" if there is none.
func (f *moveBound) stableHost(w *world, pool string) string {
	for _, h := range w.hosts {
		if f.pools[h.Name] == pool && !h.behavior.neverReturns && h.Rack != w.faults.rack && w.listedLive(h) {
			return h.Name
		}
	}
	return ""
}

// advanceAges returns count ages: those in before plus passed, and zero for new ones.
func advanceAges(before []time.Duration, count int, passed time.Duration) []time.Duration {
	ages := make([]time.Duration, max(0, count))
	for i := range min(len(ages), len(before)) {
		ages[i] = before[i] + passed
	}
	return ages
}
