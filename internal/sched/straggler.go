package sched

import (
	"slices"
	"time"
)

// StragglerVerdict is why a run takes long.
type StragglerVerdict string

// The verdicts on runs that take long.
const (
	// LongTask is a task that takes as long on any host.
	LongTask StragglerVerdict = "long task"
	// SlowHost is a host on which tasks take longer than elsewhere.
	SlowHost StragglerVerdict = "slow host"
	// Hanging is a run without progress.
	Hanging StragglerVerdict = "hanging"
	// Unclear is a run about which too little is known.
	Unclear StragglerVerdict = "unclear"
)

const (
	// asExpected is the pace from which the other runs of a host show that it is not
	// slow, farBehind the one up to which they show that it is. Expectations are off
	// by a half.
	asExpected = 0.75
	farBehind  = 0.5
	// minElsewhere is the least number of runs of a step on other hosts that show how
	// long its tasks take: a single one may be long as well.
	minElsewhere = 2
	// tailQuantile is the part of a queue's tasks that take no longer than its longest
	// ordinary ones.
	tailQuantile = 0.99
	// hangPercents times the time for one percent without progress is a hang.
	hangPercents = 4
	// paceMemory is how long a run that has ended shows how fast its host is.
	paceMemory = 3 * time.Second
	// maxEndedPaces is how many ended runs a host keeps for that.
	maxEndedPaces = 8
	// minPaceTime is the least time over which a pace is measured; a report may be
	// fullReportInterval old.
	minPaceTime = 200 * time.Millisecond
)

// StragglerInputs is what a verdict rests on. A pace is the progress of a run against
// its expected progress, 1 for a run that takes as long as expected.
type StragglerInputs struct {
	// Pace is the run's own.
	Pace float64
	// OnHost is the median pace of the OnHostRuns other runs on its host, those that
	// have just ended included; OtherJobs of them are of other jobs. Elsewhere is that
	// of the ElsewhereRuns other runs of its step on other hosts.
	OnHost, Elsewhere                    float64
	OnHostRuns, OtherJobs, ElsewhereRuns int
	// TailRatio is the ratio to the expectation that the tasks of the queue hardly
	// ever exceed.
	TailRatio float64
	// Still is how long the run has shown no progress, StillLimit what is ordinary.
	Still, StillLimit time.Duration
}

// judgeStraggler tells why a run takes long. It answers queues with long tasks on
// hosts that slow down or hang: a copy of a long task takes as long and is thrown
// away, one of a task on a slow host ends sooner.
func judgeStraggler(in StragglerInputs) StragglerVerdict {
	switch {
	case in.Still > in.StillLimit:
		return Hanging
	case in.ElsewhereRuns >= minElsewhere && in.Pace*slowFactor >= in.Elsewhere:
		return LongTask
	case in.OnHostRuns > 0 && in.OnHost >= asExpected:
		return LongTask
	case in.OnHostRuns > 0 && in.OnHost > farBehind:
		return Unclear
	case in.OnHostRuns > 0 && !in.comparesJobs():
		// The declared time of the step may be wrong.
		return Unclear
	case in.OnHostRuns > 0 || in.Pace*in.TailRatio*slowFactor < 1:
		return SlowHost
	}
	return Unclear
}

// comparesJobs reports whether something other than the step's runs on the host shows
// whether the host or the step is slow.
func (in *StragglerInputs) comparesJobs() bool { return in.OtherJobs > 0 || in.ElsewhereRuns > 0 }

// stragglerInputs collects what is known about a run.
func (r *run) stragglerInputs() StragglerInputs {
	s := r.task.step
	in := StragglerInputs{StillLimit: hangTimeout}
	in.Pace, _ = r.pace()
	onHost, otherJobs := r.host.otherPaces(r)
	in.OnHost, in.OnHostRuns, in.OtherJobs = lowerMedian(onHost), len(onHost), otherJobs
	elsewhere := s.pacesElsewhere(r.host)
	in.Elsewhere, in.ElsewhereRuns = lowerMedian(elsewhere), len(elsewhere)
	in.TailRatio = s.tailRatio()
	if r.progressClock > 0 {
		in.Still = time.Duration(r.host.reportedClock-r.progressClock) * time.Millisecond
	}
	if gained := r.percent - r.firstPercent; gained > 0 {
		in.StillLimit = max(hangTimeout, hangPercents*r.progressedAt.Sub(r.startedAt)/time.Duration(gained))
	}
	return in
}

// pace returns the progress of a run against its expected progress; ok is false if it
// can't be measured.
func (r *run) pace() (pace float64, ok bool) {
	took := r.host.reportedAt.Sub(r.startedAt)
	if r.state != running || !r.comparable() || took < minPaceTime {
		return 0, false
	}
	done := float64(r.percent-r.firstPercent) / fullPercent
	return done * r.task.step.expectedRuntime().Seconds() / took.Seconds(), true
}

// comparable reports whether the run's progress shows how fast its host is. Members of
// a gang wait for each other, and a resumed run had part of its work done before.
func (r *run) comparable() bool {
	return r.speed == fullPercent && !r.resumed && !r.task.step.spec.Gang && !r.task.step.spec.LongRunning
}

// endedPace is the pace of a run that has ended.
type endedPace struct {
	at   time.Time
	job  string
	pace float64
}

// notePace keeps the pace of a run that has ended successfully.
func (h *host) notePace(r *run, now time.Time) {
	took := now.Sub(r.startedAt)
	if r.state == starting || !r.comparable() || took < minPaceTime {
		return
	}
	if len(h.endedPaces) == maxEndedPaces {
		h.endedPaces = slices.Delete(h.endedPaces, 0, 1)
	}
	done := float64(fullPercent-r.firstPercent) / fullPercent
	h.endedPaces = append(h.endedPaces, endedPace{now, r.task.name.Job, done * r.task.step.expectedRuntime().Seconds() / took.Seconds()})
}

// otherPaces returns the paces of the runs beside one on its host that go on or have
// just ended, and how many of them are of other jobs.
func (h *host) otherPaces(than *run) (paces []float64, otherJobs int) {
	add := func(job string, pace float64) {
		paces = append(paces, pace)
		if job != than.task.name.Job {
			otherJobs++
		}
	}
	for _, r := range h.runs {
		if pace, ok := r.pace(); ok && r != than {
			add(r.task.name.Job, pace)
		}
	}
	for _, ended := range h.endedPaces {
		if ended.at.After(than.startedAt) && h.reportedAt.Sub(ended.at) < paceMemory {
			add(ended.job, ended.pace)
		}
	}
	return paces, otherJobs
}

// pacesElsewhere returns the paces of the current runs of a step's tasks on other
// hosts.
func (s *step) pacesElsewhere(than *host) []float64 {
	var paces []float64
	for _, t := range s.tasks {
		if t.run == nil || t.run.host == than {
			continue
		}
		if pace, ok := t.run.pace(); ok {
			paces = append(paces, pace)
		}
	}
	return paces
}

// lowerMedian returns the lower median, 0 of none. It sorts the values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// tailRatio returns how many times its expected run time a task of the step may
// ordinarily take.
func (s *step) tailRatio() float64 {
	tail := s.occurrence.job.ratios.quantile(tailQuantile) * s.spec.Estimate.Seconds()
	return max(1, tail/max(s.expectedRuntime(), minRuntime).Seconds())
}
