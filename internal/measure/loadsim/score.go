package loadsim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Figures are what a day came to; credits are shares of what could be earned.
type Figures struct {
	// Whole is over the whole day, Kind the worst kind of job, Large the worst
	// among the largest tenth of each kind and the fifth below it, Windows the
	// mean of the two worst windows.
	Whole        float64 `json:"whole"`
	WorstKind    float64 `json:"worst_kind"`
	WorstSize    float64 `json:"worst_size"`
	WorstWindows float64 `json:"worst_windows"`
	// Worth joins them, less the prices of hosts and moves.
	Worth       float64 `json:"worth"`
	HostSeconds float64 `json:"host_seconds"`
	Moves       int     `json:"moves"`
	Starts      int     `json:"starts"`
	Stops       int     `json:"stops"`
	// ByWindow is the credit by window of windowLength from the day's start.
	ByWindow []float64 `json:"by_window,omitempty"`
}

const (
	// Weights of the figures in Worth.
	wholeWeight, kindWeight, windowWeight = 0.6, 0.3, 0.1
	// lateFactor times its goal is until when a late job earns lateShare.
	lateFactor   = 3
	lateShare    = 0.07
	windowLength = 2 * time.Second
	worstWindows = 2
)

func (h *handIn) credit() float64 {
	took := h.done - h.at
	switch {
	case h.done == 0 || took > lateFactor*h.goal:
		return 0
	case took > h.goal:
		return lateShare
	}
	return 1
}

// share is the credit of some jobs, by their worth.
func share(jobs []*handIn) float64 {
	earned, owed := 0.0, 0.0
	for _, h := range jobs {
		earned += h.worth * h.credit()
		owed += h.worth
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

func (w *world) score(jobs []*handIn) {
	f := &w.figures
	f.Whole, f.WorstKind, f.WorstSize = share(jobs), 1, 1
	byKind := make(map[*JobClass][]*handIn)
	windows := make([][]*handIn, int(w.Length/windowLength)+1)
	for _, h := range jobs {
		byKind[h.kind] = append(byKind[h.kind], h)
		windows[h.at/windowLength] = append(windows[h.at/windowLength], h)
	}
	for _, of := range byKind {
		slices.SortFunc(of, func(a, b *handIn) int { return cmp.Compare(b.cores, a.cores) })
		tenth, fifth := (len(of)+9)/10, (len(of)+4)/5
		f.WorstKind = min(f.WorstKind, share(of))
		f.WorstSize = min(f.WorstSize, share(of[:tenth]), share(of[tenth:min(len(of), tenth+fifth)]))
	}
	for _, of := range windows {
		f.ByWindow = append(f.ByWindow, math.Round(1000*share(of))/1000)
	}
	sorted := slices.Sorted(slices.Values(f.ByWindow))
	for _, credit := range sorted[:worstWindows] {
		f.WorstWindows += credit / worstWindows
	}
	f.Worth = wholeWeight*f.Whole + kindWeight*min(f.WorstKind, f.WorstSize) + windowWeight*f.WorstWindows -
		w.HostSecondCost*f.HostSeconds - w.MoveCost*float64(f.Moves)
}
