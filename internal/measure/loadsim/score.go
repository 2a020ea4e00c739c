package loadsim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Figures are the results of a day. Credits are fractions of the maximum credit.
type Figures struct {
	// Whole is the credit of all jobs, WorstKind that of the worst class of jobs,
	// WorstSize the lowest among the largest tenth of each class and the fifth below
	// it, WorstWindows the mean of the two worst windows.
	Whole        float64 `json:"whole"`
	WorstKind    float64 `json:"worst_kind"`
	WorstSize    float64 `json:"worst_size"`
	WorstWindows float64 `json:"worst_windows"`
	// Owed is the credit of the jobs that are within what their organisations usually
	// submit, WorstOrganisations that of the worst tenth of organisations. Both are 1
	// and of all jobs where there are no organisations.
	Owed               float64 `json:"owed"`
	WorstOrganisations float64 `json:"worst_organisations"`
	// Worth is the weighted sum of the credits minus the costs of hosts and moves.
	Worth       float64 `json:"worth"`
	HostSeconds float64 `json:"host_seconds"`
	Moves       int     `json:"moves"`
	Starts      int     `json:"starts"`
	Stops       int     `json:"stops"`
	// ByWindow is the credit by submission time, in windows of windowLength from the
	// start of the day.
	ByWindow []float64 `json:"by_window,omitempty"`
}

const (
	// Weights of the credits in Worth.
	wholeWeight, kindWeight, windowWeight = 0.6, 0.3, 0.1
	// lateFactor times its goal is the time until which a late job earns lateShare
	// of its credit.
	lateFactor   = 3
	lateShare    = 0.07
	windowLength = 2 * time.Second
	worstWindows = 2
)

// credit returns the fraction of its worth that a job has earned.
func (h *submission) credit() float64 {
	took := h.done - h.at
	switch {
	case h.done == 0 || took > lateFactor*h.goal:
		return 0
	case took > h.goal:
		return lateShare
	}
	return 1
}

// share returns the credit of jobs, weighted by their worth.
func share(jobs []*submission) float64 {
	earned, maximum := 0.0, 0.0
	for _, h := range jobs {
		earned += h.worth * h.credit()
		maximum += h.worth
	}
	if maximum == 0 {
		return 1
	}
	return earned / maximum
}

// score computes the figures of the day from the submitted jobs.
func (w *world) score(jobs []*submission) {
	f := &w.figures
	f.Whole, f.WorstKind, f.WorstSize = share(jobs), 1, 1
	f.Owed, f.WorstOrganisations = share(within(jobs)), w.worstOrganisations(jobs)
	byKind := make(map[*JobClass][]*submission)
	windows := make([][]*submission, int(w.Length/windowLength)+1)
	for _, h := range jobs {
		byKind[h.class] = append(byKind[h.class], h)
		windows[h.at/windowLength] = append(windows[h.at/windowLength], h)
	}
	for _, of := range byKind {
		slices.SortFunc(of, func(a, b *submission) int { return cmp.Compare(b.coreSeconds, a.coreSeconds) })
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
