package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// takeoverRunGap is added to the highest known run number of a task at a takeover.
// The earlier holder may have started runs that no reachable host reports, each
// after an end that it could not store, and a host refuses a run that is not higher
// than one that ended there.
const takeoverRunGap = 8

// Restore adds a job from the store at a takeover. progress is nil when none is
// stored.
func (p *Pool) Restore(record *work.JobRecord, progress *work.Progress, now, wall time.Time) {
	j := p.add(record, now, wall)
	j.adopted = true
	if !record.Spec.LongRunning() {
		p.recordArrival(record, j.arrived)
	}
	if progress == nil {
		return
	}
	for _, number := range progress.OccurrencesDone {
		j.doneOccurrences[number] = true
	}
	for _, t := range progress.Tasks {
		j.restored[taskKey{t.Occurrence, t.Step, t.Index}] = t
	}
	for _, t := range progress.Tasks {
		p.addOccurrencesTo(j, t.Occurrence, now, wall)
	}
	j.started = len(progress.Tasks) > 0 || len(progress.OccurrencesDone) > 0
	j.begun = len(progress.OccurrencesDone) > 0 || slices.ContainsFunc(progress.Tasks, func(t work.TaskProgress) bool { return t.Begun() })
	if progress.State != "" {
		j.state, j.storedState = progress.State, progress.State
		j.endedMs = progress.EndedMs
		j.endedAt = now.Add(-wall.Sub(time.UnixMilli(progress.EndedMs)))
		p.markEnded(j)
	}
}

// Accept adds a job that was just stored. It returns false when the pool has the
// job already.
func (p *Pool) Accept(record *work.JobRecord, now, wall time.Time) bool {
	if p.jobs[record.ID] != nil {
		return false
	}
	p.NoteSubmitted(record, now)
	delete(p.submitted, record.ID)
	p.add(record, now, wall)
	return true
}

// submittedRetention is how long a submitted job that is not stored is kept, so
// that it counts once. Its client times out sooner.
const submittedRetention = 20 * time.Second

// submittedJob is a job that is not stored yet: when it was submitted, its work in
// core-seconds, its organisation and its queue's priority.
type submittedJob struct {
	at           time.Time
	work         float64
	organisation string
	priority     int
	// dropped is set when it will not be stored.
	dropped bool
}

// NoteSubmitted records that a job was submitted, which may be some time before it
// is stored. If jobs were counted only when stored, a pause of the store or of a
// busy process would look like the end of a demand burst.
func (p *Pool) NoteSubmitted(record *work.JobRecord, now time.Time) {
	if s, known := p.submitted[record.ID]; known {
		p.noteSubmittedAgain(record.ID, s)
		return
	}
	if record.Spec.LongRunning() {
		return
	}
	s := submittedJob{at: now, work: p.recordArrival(record, now), organisation: record.Organisation, priority: record.Queue.Priority}
	p.submitted[record.ID] = s
	p.backlog.add(s, s.work)
}

// noteSubmittedAgain records that a client has returned with a job.
func (p *Pool) noteSubmittedAgain(id string, s submittedJob) {
	if !s.dropped {
		return
	}
	s.dropped = false
	p.submitted[id] = s
	p.backlog.add(s, s.work)
}

// NoteNotStored records that a submitted job will not be stored. It stays known, so that
// it counts once as an arrival, but is no work to be done.
func (p *Pool) NoteNotStored(id string) {
	s, known := p.submitted[id]
	if !known || s.dropped {
		return
	}
	s.dropped = true
	p.submitted[id] = s
	p.backlog.add(s, -s.work)
}

// forgetSubmitted drops submitted jobs that were not stored in time.
func (p *Pool) forgetSubmitted(now time.Time) {
	for id, s := range p.submitted {
		if now.Sub(s.at) > submittedRetention {
			delete(p.submitted, id)
		}
	}
}

// recordArrival records when a job was submitted and returns how much work it brings, in
// core-seconds.
func (p *Pool) recordArrival(record *work.JobRecord, at time.Time) float64 {
	a := p.arrivals[record.Queue.Name]
	if a == nil {
		a = &arrivals{countedSince: p.started}
		p.arrivals[record.Queue.Name] = a
	}
	work, model := 0.0, p.runtimesOf(record.Queue.Name)
	for i := range record.Spec.Steps {
		s := &record.Spec.Steps[i]
		work += float64(s.Count*s.Resources.MilliCPU) / milli * model.estimate(s.Estimate).Seconds()
	}
	a.note(at, work)
	p.history.note(at, work)
	return work
}

func (p *Pool) add(record *work.JobRecord, now, wall time.Time) *job {
	j := &job{
		record: record, doneOccurrences: make(map[int]bool), restored: make(map[taskKey]work.TaskProgress),
		arrived: now.Add(-max(0, wall.Sub(time.UnixMilli(record.ArrivedMs)))),
	}
	j.runtimes, j.ratios, j.usage = p.runtimesOf(record.Queue.Name), p.ratiosOf(record.Queue.Name), p.usageOf(record.Organisation)
	j.account = p.shares.Account(record.Organisation)
	p.jobs[record.ID] = j
	p.largeBytes += record.Spec.LargeBytes()
	p.active = append(p.active, j)
	return j
}

// LargeBytes returns the size of the texts of the pool's large jobs, in bytes.
func (p *Pool) LargeBytes() int64 { return p.largeBytes }

// Has reports whether the pool has the job.
func (p *Pool) Has(id string) bool { return p.jobs[id] != nil }

// Owned reports whether the pool has the job and it belongs to an organisation.
func (p *Pool) Owned(id, organisation string) bool {
	j := p.jobs[id]
	return j != nil && j.record.BelongsTo(organisation)
}

// VisibleState returns the state that clients may see. A final state is visible
// only once it is stored, so that no takeover can revert it.
func (p *Pool) VisibleState(id string) (work.State, bool) {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.storedState != "":
		return j.storedState, true
	case j.started:
		return work.Running, true
	}
	return work.Queued, true
}

// WaitingJobs counts the accepted jobs of a queue of which no task is known to have begun.
func (p *Pool) WaitingJobs(queue string) int {
	count := 0
	for _, j := range p.active {
		if !j.begun && j.state == "" && j.record.Queue.Name == queue {
			count++
		}
	}
	return count
}

// Cancel cancels a job for its client. It reports whether the pool has the job.
func (p *Pool) Cancel(id string, now, wall time.Time) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	if j.state == "" {
		p.finish(j, work.Cancelled, now, wall)
	}
	return true
}

// Stored reports whether the newest state of a job is in the store.
func (p *Pool) Stored(id string) bool {
	j := p.jobs[id]
	return j != nil && j.storedVersion == j.version
}

// finish makes a job final and stops its runs.
func (p *Pool) finish(j *job, state work.State, now, wall time.Time) {
	j.state, j.endedAt, j.endedMs = state, now, wall.UnixMilli()
	j.version++
	p.markEnded(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				p.stopRuns(t, "its job is "+string(state))
			}
		}
	}
}

func (p *Pool) markEnded(j *job) {
	p.active = slices.DeleteFunc(p.active, func(other *job) bool { return other == j })
	p.ended = append(p.ended, j)
}

// stop marks a run to be stopped.
func (p *Pool) stop(r *run, reason string) {
	if r.state != stopping {
		r.state, r.reason = stopping, reason
		p.stops++
	}
}

// addDueOccurrences creates the occurrences that have come due.
func (p *Pool) addDueOccurrences(j *job, now, wall time.Time) {
	for j.nextOccurrence < j.record.Spec.Occurrences() {
		due := j.nextDue(now, wall)
		if j.record.Spec.Repeats > 0 && due.After(now) {
			return
		}
		p.addOccurrence(j, due, now)
	}
}

// addOccurrencesTo creates the occurrences up to a number that an earlier holder has begun.
// Its time of day may have been ahead: without them, what its hosts report and what it
// stored of them would be dropped. They start when they are due here.
func (p *Pool) addOccurrencesTo(j *job, number int, now, wall time.Time) {
	for j.nextOccurrence <= min(number, j.record.Spec.Occurrences()-1) {
		p.addOccurrence(j, j.nextDue(now, wall), now)
	}
}

// nextDue returns when the next occurrence is due.
func (j *job) nextDue(now, wall time.Time) time.Time {
	spec := &j.record.Spec
	if spec.Repeats == 0 {
		return j.arrived
	}
	return now.Add(time.UnixMilli(spec.FirstMs).Add(time.Duration(j.nextOccurrence) * spec.Interval).Sub(wall))
}

func (p *Pool) addOccurrence(j *job, due, now time.Time) {
	if !j.doneOccurrences[j.nextOccurrence] {
		o := newOccurrence(j, j.nextOccurrence, due, now)
		j.occurrences = append(j.occurrences, o)
		p.watchPresumed(o, now)
	}
	j.nextOccurrence++
}

// begun reports whether an occurrence is due.
func (o *occurrence) begun(now time.Time) bool {
	return o.job.record.Spec.Repeats == 0 || !o.due.After(now)
}

// newOccurrence creates the tasks of one occurrence, with the progress that was
// restored at the takeover.
func newOccurrence(j *job, number int, due, now time.Time) *occurrence {
	o := &occurrence{job: j, number: number, due: due}
	for i := range j.record.Spec.Steps {
		s := &step{spec: &j.record.Spec.Steps[i], occurrence: o, index: i, onHost: make(map[*host]int)}
		for index := range s.spec.Count {
			t := &task{step: s, name: work.TaskName{Job: j.record.ID, Occurrence: number, Step: i, Index: index}, ranAt: now}
			if j.adopted {
				t.lastRun, t.ranAt = takeoverRunGap, now.Add(-takeoverAbsence)
			}
			if restored, ok := j.restored[taskKey{number, i, index}]; ok {
				t.done, t.failed, t.checkpoint = restored.Done, restored.Failed, restored.Checkpoint
				t.restoreCrashes(restored, now)
				t.lastRun = restored.Run + takeoverRunGap
			}
			if t.done {
				s.done++
			} else {
				s.waiting++
			}
			s.tasks = append(s.tasks, t)
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// ready reports whether all steps that have to be done before this one are.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if b := s.occurrence.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

func (j *job) find(name work.TaskName) *task {
	for _, o := range j.occurrences {
		if o.number != name.Occurrence {
			continue
		}
		if name.Step < len(o.steps) && name.Index < len(o.steps[name.Step].tasks) {
			return o.steps[name.Step].tasks[name.Index]
		}
	}
	return nil
}

// markDone records a task's success and completes its occurrence and its job when
// it was the last one.
func (p *Pool) markDone(t *task, now, wall time.Time) {
	if t.done {
		return
	}
	t.done, t.checkpoint = true, ""
	t.step.done++
	t.step.occurrence.cachedRemaining = nil
	j := t.job()
	j.version++
	for _, s := range t.step.occurrence.steps {
		if s.done < len(s.tasks) {
			return
		}
	}
	j.doneOccurrences[t.step.occurrence.number] = true
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o == t.step.occurrence })
	if len(j.doneOccurrences) == j.record.Spec.Occurrences() && j.state == "" {
		p.finish(j, work.Done, now, wall)
	}
}

// progress returns the progress of a job to store.
func (j *job) progress() *work.Progress {
	progress := &work.Progress{State: j.state, EndedMs: j.endedMs}
	if j.state != "" {
		return progress
	}
	for number := range j.doneOccurrences {
		progress.OccurrencesDone = append(progress.OccurrencesDone, number)
	}
	slices.Sort(progress.OccurrencesDone)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				crashed := t.crashedRuns()
				var proven, decisive []int
				var presumed []work.PresumedCrash
				if len(crashed) > 0 {
					proven, decisive, presumed = t.crashNumbers(Proven, Decisive), t.crashNumbers(Decisive), t.presumedCrashes()
				}
				if t.done || len(t.failed) > 0 || len(crashed) > 0 || t.checkpoint != "" || t.lastRun > 1 {
					progress.Tasks = append(progress.Tasks, work.TaskProgress{
						Occurrence: o.number, Step: s.index, Index: t.name.Index,
						Done: t.done, Failed: t.failed, Crashed: crashed, Run: t.lastRun, Checkpoint: t.checkpoint,
						CrashesProven: proven, CrashesDecisive: decisive, CrashesPresumed: presumed,
					})
				}
			}
		}
	}
	return progress
}

// Change is one job's progress to store.
type Change struct {
	Job      string
	Progress *work.Progress
	Summary  Summary
	// Ends is set when the job is final and its final state was not stored before.
	// What its hosts report later may have it stored again.
	Ends    bool
	version uint64
}

// Summary describes an ended job for the log.
type Summary struct {
	Queue, Organisation string
	// Age is the time from its arrival to its end, Goal what that should have been,
	// Waited the part before its first task was ordered to start.
	Age, Goal, Waited time.Duration
	// Starts counts the runs that this holder ordered.
	Starts int
	// Failure is the task that failed last and its host, empty for none.
	Failure string
	// FailureCrashes are the crashes for which the job was failed, nil for none.
	FailureCrashes []Crash
}

func (j *job) summary() Summary {
	queue := &j.record.Queue
	goal := time.Duration(queue.Stretch*float64(j.record.Spec.CriticalPath())) + queue.Slack
	s := Summary{Queue: queue.Name, Organisation: j.record.Organisation, Goal: goal, Starts: j.starts, Failure: j.failure, FailureCrashes: j.failureCrashes}
	if !j.endedAt.IsZero() {
		s.Age = j.endedAt.Sub(j.arrived)
	}
	if !j.firstStart.IsZero() {
		s.Waited = j.firstStart.Sub(j.arrived)
	}
	return s
}

// Changes returns the progress of up to limit jobs whose state is not stored,
// without those in storing. Final states come first, since clients wait for them.
func (p *Pool) Changes(limit int, storing map[string]bool) []Change {
	var changes []Change
	collect := func(jobs []*job) {
		for _, j := range jobs {
			if len(changes) < limit && j.version != j.storedVersion && !storing[j.record.ID] {
				changes = append(changes, Change{
					Job: j.record.ID, Progress: j.progress(), Summary: j.summary(), Ends: j.state != "" && j.storedState == "", version: j.version,
				})
			}
		}
	}
	collect(p.ended)
	collect(p.active)
	return changes
}

// ChangesStored records that changes are in the store. Hosts may now forget the
// ends behind them.
func (p *Pool) ChangesStored(changes []Change) {
	for _, c := range changes {
		j := p.jobs[c.Job]
		if j == nil {
			continue
		}
		j.storedVersion = max(j.storedVersion, c.version)
		if c.Progress.State != "" {
			j.storedState = c.Progress.State
		}
	}
	p.advanceStoredEnds()
}

func (p *Pool) advanceStoredEnds() {
	for _, h := range p.hosts {
		h.advanceStoredEnd()
	}
}

// advanceStoredEnd moves storedEnd up to the first end whose job is not stored that
// far.
func (h *host) advanceStoredEnd() {
	for len(h.unstoredEnds) > 0 {
		next := h.unstoredEnds[0]
		if next.job != nil && next.job.storedVersion < next.version {
			return
		}
		h.storedEnd = next.number
		h.unstoredEnds = h.unstoredEnds[1:]
	}
}

// QueuePaths returns the paths of the queues of which the pool has jobs.
func (p *Pool) QueuePaths() map[string]bool {
	paths := make(map[string]bool)
	for _, j := range p.jobs {
		paths[j.record.Queue.Path] = true
	}
	return paths
}
