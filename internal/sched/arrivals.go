package sched

import (
	"slices"
	"time"
)

const (
	// arrivalsKept bounds the jobs of a queue over which the rate of arrivals is
	// taken: a queue of two hundred a second is seen over usualSpan.
	arrivalsKept = 64
	// usualJobs and usualSpan are over how many jobs and how long the rate is
	// taken at the least. A turn of demand shows within that, and a queue of few
	// large jobs isn't judged by one of them. Jobs come in the bunches in which
	// they are stored: over six jobs alone, all of one bunch, a queue of 120 a
	// second was taken for one of 50, and its pool had its hosts taken away.
	usualJobs = 6
	usualSpan = 300 * time.Millisecond
	// onsetJobs and onsetSpan are what shows that a turn begins or is over.
	onsetJobs = 3
	onsetSpan = 100 * time.Millisecond
	// gapFactor times as long as between two jobs may pass until the rate falls:
	// a longer gap comes by chance once in twelve.
	gapFactor = 2.5
	// workKeeps is what is kept of the mean work of a queue's jobs with each new
	// one.
	workKeeps = 1 - 1.0/24
)

// arrivals is how often a queue's jobs come and how much work they bring.
type arrivals struct {
	// began is since when jobs are counted.
	began time.Time
	// last are the times of the last jobs, the newest first.
	last []time.Time
	// work is the mean of the core-seconds that a job brings.
	work float64
}

// note takes a job over that brings some core-seconds. After a takeover jobs come
// in any order.
func (a *arrivals) note(at time.Time, work float64) {
	if len(a.last) == 0 {
		a.work = work
	}
	a.work = a.work*workKeeps + work*(1-workKeeps)
	place := 0
	for place < len(a.last) && a.last[place].After(at) {
		place++
	}
	a.last = slices.Insert(a.last, place, at)
	a.last = a.last[:min(len(a.last), arrivalsKept)]
}

// cores is how many cores are kept busy by what arrives. A long time since the
// last job bounds it, so that it falls when none come any more.
func (a *arrivals) cores(now time.Time) float64 {
	rate := a.over(now, usualJobs, usualSpan)
	if len(a.last) > 0 {
		if gap := now.Sub(a.last[0]); gap > usualSpan {
			rate = min(rate, a.work*gapFactor/gap.Seconds())
		}
	}
	return rate
}

// recentCores is what cores would be if the last jobs alone told it.
func (a *arrivals) recentCores(now time.Time) float64 { return a.over(now, onsetJobs, onsetSpan) }

// over takes the rate over the last jobs, so many and over so long at the least.
// While there were fewer, it is taken over all the time: two large jobs that came
// one after the other, the first of the day, were taken for a turn of demand.
func (a *arrivals) over(now time.Time, jobs int, span time.Duration) float64 {
	if len(a.last) == 0 {
		return 0
	}
	if len(a.last) < jobs {
		began := a.began
		if oldest := a.last[len(a.last)-1]; oldest.Before(began) {
			began = oldest
		}
		return a.work * float64(len(a.last)) / max(now.Sub(began), onsetSpan).Seconds()
	}
	for jobs < len(a.last) && now.Sub(a.last[jobs-1]) < span {
		jobs++
	}
	return a.work * float64(jobs-1) / max(now.Sub(a.last[jobs-1]), onsetSpan).Seconds()
}
