package sched

import "time"

const (
	// historyWindow is how far back a pool knows what arrived: as long as the store
	// keeps ended jobs at the least, so that a new holder knows as much.
	historyWindow = 2 * time.Minute
	// historySlot is the step of it, and peakSlots over how many steps a peak is
	// taken: one large job makes no turn of demand.
	historySlot = time.Second
	peakSlots   = 4
	// peakShare of the most that arrived tells when a pool was last in demand.
	peakShare = 0.5
)

// history is the work that arrived, by second. The duty's holder asks for it when
// it begins: whose turns have passed, and what they needed, would be forgotten
// with each entry host that looks after the hosts.
type history struct {
	origin time.Time
	// work is in core-seconds by slot since origin, also before it.
	work map[int]float64
}

func newHistory(origin time.Time) history {
	return history{origin, make(map[int]float64)}
}

func (h *history) slot(at time.Time) int {
	slots := at.Sub(h.origin) / historySlot
	if at.Before(h.origin) {
		slots--
	}
	return int(slots)
}

// note takes a job's work over.
func (h *history) note(at time.Time, work float64) { h.work[h.slot(at)] += work }

// forget drops what is too old.
func (h *history) forget(now time.Time) {
	oldest := h.slot(now.Add(-historyWindow))
	for slot := range h.work {
		if slot < oldest {
			delete(h.work, slot)
		}
	}
}

// peak is the most cores that arriving work kept busy over some seconds, and how
// long ago there last was as much as half of that.
func (h *history) peak(now time.Time) (cores float64, ago time.Duration) {
	first, last := h.slot(now.Add(-historyWindow)), h.slot(now)
	means := make([]float64, last-first+1)
	for i := range means {
		for slot := first + i - peakSlots + 1; slot <= first+i; slot++ {
			means[i] += h.work[slot] / (peakSlots * historySlot.Seconds())
		}
		cores = max(cores, means[i])
	}
	if cores == 0 {
		return 0, 0
	}
	for i := len(means) - 1; i >= 0; i-- {
		if means[i] >= peakShare*cores {
			return cores, time.Duration(last-first-i) * historySlot
		}
	}
	return cores, historyWindow
}
