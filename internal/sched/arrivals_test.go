package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a demand burst that is seen in one job: the first job of a queue is
// many times larger than usual and comes soon after a takeover. It has no rate, and
// the jobs after it must not be taken for as large.
func TestFirstLargeJobIsNoDemandBurst(t *testing.T) {
	now := time.Now()
	a := &arrivals{countedSince: now.Add(-3 * time.Second)}
	a.note(now, 3000)
	must.EqOp(t, 0, a.cores(now))
	must.EqOp(t, 0, a.recentCores(now))
	for range 9 {
		now = now.Add(time.Second)
		a.note(now, 30)
	}
	must.Between(t, 300, a.work, 330)
	must.Less(t, 400, a.cores(now))
}

// Guards against a peak that is one large job: the next host manager would take it for
// what the pool's demand bursts need, and see none of the real ones.
func TestFewJobsAreNoPeak(t *testing.T) {
	origin := time.Now()
	h := newHistory(origin)
	for range peakJobs - 1 {
		h.note(origin, 3000)
	}
	cores, _ := h.peak(origin.Add(time.Second))
	must.EqOp(t, 0, cores)
	h.note(origin.Add(time.Second), 1000)
	cores, _ = h.peak(origin.Add(time.Second))
	must.EqOp(t, 2500, cores)
}
