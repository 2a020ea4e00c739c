package policy

import (
	"maps"
	"slices"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
)

// fewest counts the moves that a run can't do without, from the hosts' fates
// and the platform's list: by numbers alone, without zones and racks, and with
// the hosts' later fates known. It shares no code with the planner. A pool that
// has lacked a host for the hold gets one, from those without a pool or from a
// pool that has had too many for as long. Moves that become due one after the
// other all count, which the bound of any single plan doesn't see. A run comes
// out below it when a move isn't made at once, as one that waits for the wave's
// drain, and the platform brings another host in the meantime.
type fewest struct {
	// pools holds where each host is in this count, absent for how long each
	// has been missing or failed.
	pools  map[string]string
	absent map[string]time.Duration
	// lacking and over hold by pool how long each host has been short or in
	// excess.
	lacking, over map[string][]time.Duration
	moves         int
}

func newFewest(pools map[string]string) *fewest {
	return &fewest{
		pools: pools, absent: make(map[string]time.Duration),
		lacking: make(map[string][]time.Duration), over: make(map[string][]time.Duration),
	}
}

// pass lets time pass in which the controllers could decide.
func (f *fewest) pass(w *world, passed time.Duration) {
	hold := mover.StabilizationWindow(w.policy)
	present := make(map[string]int)
	var free []string
	for _, h := range w.hosts {
		f.age(w, h, passed)
		switch pool := f.pools[h.Name]; {
		case pool == "" && w.listedLive(h):
			free = append(free, h.Name)
		case pool != "" && f.absent[h.Name] < hold:
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
		f.lacking[name] = older(f.lacking[name], size-present[name], passed)
		f.over[name] = older(f.over[name], present[name]-size, passed)
	}
	f.move(w, names, hold)
}

// age follows how long a host has been away. One that is out for a wave or a
// move isn't.
func (f *fewest) age(w *world, h *host, passed time.Duration) {
	failed := h.record.Phase == hostrecord.Failed
	inHand := !h.record.TakesWork() && !failed
	if !failed && (inHand || w.listedLive(h)) {
		delete(f.absent, h.Name)
		return
	}
	if before, away := f.absent[h.Name]; away {
		f.absent[h.Name] = before + passed
		return
	}
	f.absent[h.Name] = 0
}

func (f *fewest) move(w *world, names []string, hold time.Duration) {
	var takers, givers []string
	for _, name := range names {
		for _, lasted := range f.lacking[name] {
			if lasted >= hold {
				takers = append(takers, name)
			}
		}
		for _, lasted := range f.over[name] {
			if lasted >= hold {
				givers = append(givers, name)
			}
		}
	}
	for i := range min(len(takers), len(givers)) {
		if host := f.lasting(w, givers[i]); host != "" {
			f.pools[host] = takers[i]
			f.moves++
		}
	}
}

// lasting returns a host of the pool that nothing will happen to.
func (f *fewest) lasting(w *world, pool string) string {
	for _, h := range w.hosts {
		if f.pools[h.Name] == pool && !h.fate.bad && h.Rack != w.faults.rack && w.listedLive(h) {
			return h.Name
		}
	}
	return ""
}

func older(before []time.Duration, count int, passed time.Duration) []time.Duration {
	lasted := make([]time.Duration, max(0, count))
	for i := range min(len(lasted), len(before)) {
		lasted[i] = before[i] + passed
	}
	return lasted
}
