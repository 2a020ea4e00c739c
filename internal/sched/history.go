package sched

import "time"

const (
	// historyWindow is how far back arriving work is recorded: no longer than the
	// store keeps ended jobs, so that a new holder has the same data.
	historyWindow = 2 * time.Minute
	// historySlot is its resolution, and peakSlots the number of slots that a peak
	// is averaged over, so that one large job does not count as a demand burst.
	historySlot = time.Second
	peakSlots   = 4
	// peakShare times the peak is the rate from which a demand burst counts as
	// under way.
	peakShare = 0.5
)

// history is the work that arrived, by second. The process that manages the hosts
// reads it when it starts; otherwise the times and sizes of past demand bursts
// would be lost whenever another process takes over managing the hosts.
type history struct {
	origin time.Time
	// work is in core-seconds by slot since origin; slots before it are negative.
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

// note adds a job's work.
func (h *history) note(at time.Time, work float64) { h.work[h.slot(at)] += work }

// forget drops slots older than historyWindow.
func (h *history) forget(now time.Time) {
	oldest := h.slot(now.Add(-historyWindow))
	for slot := range h.work {
		if slot < oldest {
			delete(h.work, slot)
		}
	}
}

// peak returns the largest number of cores that arriving work kept busy over
// peakSlots slots, and how long ago the rate last was at least half of that.
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
