package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

// Forecast estimates what would become of a job that is submitted now. It answers
// callers who submit more to a pool than it can do.
type Forecast struct {
	// Known is false while the pool knows too little to judge: shortly after a
	// takeover, and for jobs without an objective or with one that they can't come near
	// even on an empty pool.
	Known bool
	// InTime reports whether the job can be done within its objective, Worthwhile
	// whether it can be done before it is worth nothing.
	InTime, Worthwhile bool
	// Own is the job's work and Ahead the work that goes before it, in core-seconds.
	Own, Ahead float64
	// Cores is the capacity for jobs of the hosts that are listed.
	Cores float64
	// RoomIn is how long the pool needs for the work that is too much, at least.
	RoomIn time.Duration
	// OrganisationWork is the unfinished work of the job's organisation, TotalWork
	// that of all organisations, in core-seconds.
	OrganisationWork, TotalWork float64
	// Age is how old the estimate of the unfinished work is.
	Age time.Duration
}

// forecastMargin times what the hosts can do in the time left is how much work may go
// before a job, itself included, for it still to count as possible: run times may be
// half of what is expected, or as many hosts again on their way.
const forecastMargin = 2

// Forecast estimates what would become of a job that its client first submitted at
// arrived.
func (p *Pool) Forecast(record *work.JobRecord, arrived, now time.Time) Forecast {
	if record.Spec.LongRunning() || record.Spec.Repeats > 0 || now.Sub(p.started) < warmupPeriod {
		return Forecast{}
	}
	needs := p.needsOf(record)
	if worthlessFactor*needs.goal < needs.chain {
		return Forecast{}
	}
	b := p.currentBacklog(now)
	waited := now.Sub(arrived)
	f := Forecast{
		Known: true, Own: needs.coreSeconds, Cores: b.cores, Age: now.Sub(b.at),
		OrganisationWork: b.byOrganisation[record.Organisation], TotalWork: b.total,
	}
	slack := needs.goal - reportingMargin - needs.chain - waited
	before := b.inTime.upTo(f.Own) + b.addedUpTo(f.Own) + b.atRisk
	f.InTime = slack >= 0 && before+f.Own <= b.capacityWithin(slack+needs.chain/2)
	f.Ahead = b.ahead(f.Own, record.Queue.Priority)
	left := worthlessFactor*needs.goal - needs.chain - waited
	room := left + needs.chain/2
	f.Worthwhile = f.InTime || left >= 0 && (f.Ahead+f.Own <= b.capacityWithin(room) || b.fitsIdle(f.Own, room))
	if excess := f.Ahead + f.Own - b.capacityWithin(room); excess > 0 && b.cores > 0 {
		f.RoomIn = seconds(excess / b.cores)
	}
	return f
}

// answerTime is how long after a host was first seen it counts as room although it has not
// answered: it has just been moved to the pool, or, after a takeover of a large pool on a thin
// link, not been reached yet.
const answerTime = 10 * time.Second

// mayAnswer reports whether a host has answered or may be about to. An entry may describe a host
// that doesn't exist; counted as room, it would keep others from its pool and let work in.
func (h *host) mayAnswer(now time.Time) bool {
	return h.reached || now.Sub(h.firstSeen) < answerTime
}

// listedCores returns the cores for jobs of all hosts that are listed, stay and may answer.
func (p *Pool) listedCores(now time.Time) float64 {
	millis := 0
	for _, h := range p.hosts {
		if h.listed && !h.Draining && !h.unschedulable && h.mayAnswer(now) {
			millis += max(0, h.Capacity.MilliCPU-h.longRunningUsed.MilliCPU)
		}
	}
	return float64(millis) / milli
}

// idleCores returns the cores that are free on the hosts that take work, of each host no
// greater a part than of its memory.
func (p *Pool) idleCores(now time.Time) float64 {
	idle := 0.0
	for _, h := range p.hosts {
		if p.unusable(h, now) != "" {
			continue
		}
		free := h.free()
		part := float64(free.MilliCPU) / float64(max(1, h.Capacity.MilliCPU))
		if h.Capacity.MemMB > 0 {
			part = min(part, float64(free.MemMB)/float64(h.Capacity.MemMB))
		}
		idle += max(0, part) * float64(h.Capacity.MilliCPU)
	}
	return idle / milli
}

// needsOf returns the expected work of a job that has not started.
func (p *Pool) needsOf(record *work.JobRecord) remainingWork {
	var needs remainingWork
	model := p.runtimesOf(record.Queue.Name)
	ends := make([]time.Duration, len(record.Spec.Steps))
	for i := range record.Spec.Steps {
		s := &record.Spec.Steps[i]
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		each := model.estimate(s.Estimate)
		ends[i] += each
		needs.coreSeconds += float64(s.Count*s.Resources.MilliCPU) / milli * each.Seconds()
		needs.chain = max(needs.chain, ends[i])
	}
	needs.goal = time.Duration(record.Queue.Stretch*float64(needs.chain)) + record.Queue.Slack
	return needs
}
