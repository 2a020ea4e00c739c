package sched

import (
	"slices"
	"time"
)

const (
	// maxArrivals bounds the jobs of a queue over which the arrival rate is taken:
	// for a queue with two hundred jobs a second they cover minRateSpan.
	maxArrivals = 64
	// minRateJobs and minRateSpan are the least number of jobs and the least time
	// over which the rate is taken. They are short enough to show a demand burst
	// and do not judge a queue of few large jobs by one of them. Jobs arrive in the
	// batches in which they are stored: over six jobs alone, all of one batch, a
	// queue of 120 a second can look like one of 50, and its pool loses hosts.
	minRateJobs = 6
	minRateSpan = 300 * time.Millisecond
	// recentJobs and recentSpan are the same for the recent rate, which shows that a
	// demand burst starts or ends.
	recentJobs = 3
	recentSpan = 100 * time.Millisecond
	// gapFactor times the mean gap between jobs may pass before the rate falls; a
	// longer gap occurs by chance once in twelve.
	gapFactor = 2.5
	// workDecay is the weight of the earlier jobs in the mean work of a queue, with
	// each new job.
	workDecay = 1 - 1.0/24
)

// arrivals tracks the arrival rate of a queue's jobs and the work that they bring.
type arrivals struct {
	// countedSince is the time from which jobs are counted.
	countedSince time.Time
	// latest holds the times of the latest jobs, newest first.
	latest []time.Time
	// work is the mean work of a job in core-seconds.
	work float64
}

// note records a job and its work in core-seconds. After a takeover jobs are
// recorded in any order.
func (a *arrivals) note(at time.Time, work float64) {
	if len(a.latest) == 0 {
		a.work = work
	}
	a.work = a.work*workDecay + work*(1-workDecay)
	place := 0
	for place < len(a.latest) && a.latest[place].After(at) {
		place++
	}
	a.latest = slices.Insert(a.latest, place, at)
	a.latest = a.latest[:min(len(a.latest), maxArrivals)]
}

// cores returns the cores that arriving jobs keep busy. The time since the last job
// bounds the rate, so that it falls when no more jobs arrive.
func (a *arrivals) cores(now time.Time) float64 {
	rate := a.rateOver(now, minRateJobs, minRateSpan)
	if len(a.latest) > 0 {
		if gap := now.Sub(a.latest[0]); gap > minRateSpan {
			rate = min(rate, a.work*gapFactor/gap.Seconds())
		}
	}
	return rate
}

// recentCores is like cores, from the most recent jobs alone.
func (a *arrivals) recentCores(now time.Time) float64 { return a.rateOver(now, recentJobs, recentSpan) }

// rateOver returns the cores that arriving jobs keep busy, taken over the latest
// jobs, at least that many and over at least span. With fewer jobs the rate is taken
// over all the time since counting began; otherwise the first two large jobs, one
// after the other, would look like a demand burst.
func (a *arrivals) rateOver(now time.Time, jobs int, span time.Duration) float64 {
	if len(a.latest) == 0 {
		return 0
	}
	if len(a.latest) < jobs {
		began := a.countedSince
		if oldest := a.latest[len(a.latest)-1]; oldest.Before(began) {
			began = oldest
		}
		return a.work * float64(len(a.latest)) / max(now.Sub(began), recentSpan).Seconds()
	}
	for jobs < len(a.latest) && now.Sub(a.latest[jobs-1]) < span {
		jobs++
	}
	return a.work * float64(jobs-1) / max(now.Sub(a.latest[jobs-1]), recentSpan).Seconds()
}
