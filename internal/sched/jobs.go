package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// takeoverRunGap is added to the highest known run number of a task when a
// pool is taken over. The earlier holder may have started runs that no host we
// reach shows, each after an end that it could not store; a host refuses a run
// that isn't higher than one that ended there.
const takeoverRunGap = 8

// Restore adds a job from the store at a takeover. progress is nil when none is
// stored.
func (p *Pool) Restore(record *work.Record, progress *work.Progress, now, wall time.Time) {
	j := p.add(record, now, wall)
	j.adopted = true
	if !record.Spec.LongRunning() {
		p.arrived(record, j.arrived)
	}
	if progress == nil {
		return
	}
	for _, number := range progress.OccurrencesDone {
		j.doneSet[number] = true
	}
	for _, t := range progress.Tasks {
		j.restored[taskKey{t.Occurrence, t.Step, t.Index}] = t
	}
	j.begun = len(progress.Tasks) > 0 || len(progress.OccurrencesDone) > 0
	if progress.State != "" {
		j.state, j.shown = progress.State, progress.State
		j.endedMs = progress.EndedMs
		j.endedAt = now.Add(-wall.Sub(time.UnixMilli(progress.EndedMs)))
		p.retire(j)
	}
}

// Accept adds a job that was just stored. It reports false when the job is
// there already.
func (p *Pool) Accept(record *work.Record, now, wall time.Time) bool {
	if p.jobs[record.ID] != nil {
		return false
	}
	p.NoteSubmitted(record, now)
	delete(p.offered, record.ID)
	p.add(record, now, wall)
	return true
}

// offeredFor is how long a job that was handed in and isn't stored is remembered,
// so that it counts once. Its client gives up sooner.
const offeredFor = 20 * time.Second

// NoteSubmitted notes that a job was handed in, which may be some time before it is
// stored: a pause in what the store takes, or in what a busy process can send it,
// was taken for the end of a turn of demand.
func (p *Pool) NoteSubmitted(record *work.Record, now time.Time) {
	if _, known := p.offered[record.ID]; known || record.Spec.LongRunning() {
		return
	}
	p.offered[record.ID] = now
	p.arrived(record, now)
}

// forgetOffers drops those that were never stored.
func (p *Pool) forgetOffers(now time.Time) {
	for id, at := range p.offered {
		if now.Sub(at) > offeredFor {
			delete(p.offered, id)
		}
	}
}

// arrived notes when a job was handed in and how much work it brings.
func (p *Pool) arrived(record *work.Record, at time.Time) {
	a := p.arrivals[record.Queue.Name]
	if a == nil {
		a = &arrivals{began: p.started}
		p.arrivals[record.Queue.Name] = a
	}
	work, fit := 0.0, p.fitOf(record.Queue.Name)
	for i := range record.Spec.Steps {
		s := &record.Spec.Steps[i]
		work += float64(s.Count*s.Resources.MilliCPU) / milli * fit.estimate(s.Estimate).Seconds()
	}
	a.note(at, work)
	p.history.note(at, work)
}

func (p *Pool) add(record *work.Record, now, wall time.Time) *job {
	j := &job{
		record: record, doneSet: make(map[int]bool), restored: make(map[taskKey]work.TaskProgress),
		arrived: now.Add(-max(0, wall.Sub(time.UnixMilli(record.ArrivedMs)))),
	}
	j.fit = p.fitOf(record.Queue.Name)
	p.jobs[record.ID] = j
	p.active = append(p.active, j)
	return j
}

// Has reports whether the job is known.
func (p *Pool) Has(id string) bool { return p.jobs[id] != nil }

// VisibleState is the state that a client may be told: a final one only once it is
// stored, so that no takeover can take it back.
func (p *Pool) VisibleState(id string) (work.State, bool) {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.shown != "":
		return j.shown, true
	case j.begun:
		return work.Running, true
	}
	return work.Queued, true
}

// WaitingJobs counts the accepted jobs of a queue for which no task has started.
func (p *Pool) WaitingJobs(queue string) int {
	count := 0
	for _, j := range p.active {
		if !j.begun && j.state == "" && j.record.Queue.Name == queue {
			count++
		}
	}
	return count
}

// Cancel ends a job for its client. It reports whether the job is known.
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
	return j != nil && j.saved == j.version
}

// finish makes a job final and stops what still runs of it.
func (p *Pool) finish(j *job, state work.State, now, wall time.Time) {
	j.state, j.endedAt, j.endedMs = state, now, wall.UnixMilli()
	j.version++
	p.retire(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				p.stopRuns(t, "its job is "+string(state))
			}
		}
	}
}

func (p *Pool) retire(j *job) {
	p.active = slices.DeleteFunc(p.active, func(other *job) bool { return other == j })
	p.ended = append(p.ended, j)
}

// stop wants the end of a run.
func (p *Pool) stop(r *run, reason string) {
	if r.state != stopping {
		r.state, r.reason = stopping, reason
		p.stops++
	}
}

// addDueOccurrences makes the occurrences that have come due.
func (p *Pool) addDueOccurrences(j *job, now, wall time.Time) {
	spec := &j.record.Spec
	for j.nextTime < spec.Occurrences() {
		due := j.arrived
		if spec.Repeats > 0 {
			dueWall := time.UnixMilli(spec.FirstMs).Add(time.Duration(j.nextTime) * spec.Interval)
			if wall.Before(dueWall) {
				return
			}
			due = now.Add(-wall.Sub(dueWall))
		}
		if !j.doneSet[j.nextTime] {
			j.occurrences = append(j.occurrences, newOccurrence(j, j.nextTime, due, now))
		}
		j.nextTime++
	}
}

// newOccurrence builds the tasks of one occurrence, as far as they had come
// when the pool was taken over.
func newOccurrence(j *job, number int, due, now time.Time) *occurrence {
	o := &occurrence{job: j, number: number, due: due}
	for i := range j.record.Spec.Steps {
		s := &step{spec: &j.record.Spec.Steps[i], of: o, index: i, onHost: make(map[*host]int)}
		for index := range s.spec.Count {
			t := &task{step: s, name: work.TaskName{Job: j.record.ID, Occurrence: number, Step: i, Index: index}, away: now}
			if j.adopted {
				t.lastRun = takeoverRunGap
			}
			if past, ok := j.restored[taskKey{number, i, index}]; ok {
				t.done, t.failed, t.crashed, t.saved = past.Done, past.Failed, past.Crashed, past.Checkpoint
				t.lastRun = past.Run + takeoverRunGap
				s.crashes += len(t.crashed)
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

// ready reports whether the turn of a step's tasks has come.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if b := s.of.steps[before]; b.done < len(b.tasks) {
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

// taskDone notes a task's success and what follows from it.
func (p *Pool) taskDone(t *task, now, wall time.Time) {
	if t.done {
		return
	}
	t.done, t.saved = true, ""
	t.step.done++
	t.step.of.left = nil
	j := t.job()
	j.version++
	for _, s := range t.step.of.steps {
		if s.done < len(s.tasks) {
			return
		}
	}
	j.doneSet[t.step.of.number] = true
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o == t.step.of })
	if len(j.doneSet) == j.record.Spec.Occurrences() && j.state == "" {
		p.finish(j, work.Done, now, wall)
	}
}

// progress is what has to be stored of a job.
func (j *job) progress() *work.Progress {
	progress := &work.Progress{State: j.state, EndedMs: j.endedMs}
	if j.state != "" {
		return progress
	}
	for number := range j.doneSet {
		progress.OccurrencesDone = append(progress.OccurrencesDone, number)
	}
	slices.Sort(progress.OccurrencesDone)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				charges := t.charges()
				if t.done || len(t.failed) > 0 || len(charges) > 0 || t.saved != "" || t.lastRun > 1 {
					progress.Tasks = append(progress.Tasks, work.TaskProgress{
						Occurrence: o.number, Step: s.index, Index: t.name.Index,
						Done: t.done, Failed: t.failed, Crashed: charges, Run: t.lastRun, Checkpoint: t.saved,
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
	version  uint64
}

// Summary is how an ended job went, for the log.
type Summary struct {
	Queue string
	// Age is the time from its arrival to its end, Goal what it should have
	// been, Waited the part before its first task was ordered.
	Age, Goal, Waited time.Duration
	// Starts is how many runs were ordered by this holder.
	Starts int
	// Failure is the task that failed last and its host, empty for none.
	Failure string
}

func (j *job) story() Summary {
	queue := &j.record.Queue
	goal := time.Duration(queue.Stretch*float64(j.record.Spec.CriticalPath())) + queue.Slack
	s := Summary{Queue: queue.Name, Goal: goal, Starts: j.starts, Failure: j.failure}
	if !j.endedAt.IsZero() {
		s.Age = j.endedAt.Sub(j.arrived)
	}
	if !j.firstStart.IsZero() {
		s.Waited = j.firstStart.Sub(j.arrived)
	}
	return s
}

// Changes returns the progress of up to limit jobs whose state isn't stored,
// leaving out those that are being stored. Final states come first, since
// clients wait for them.
func (p *Pool) Changes(limit int, storing map[string]bool) []Change {
	var changes []Change
	collect := func(jobs []*job) {
		for _, j := range jobs {
			if len(changes) < limit && j.version != j.saved && !storing[j.record.ID] {
				changes = append(changes, Change{j.record.ID, j.progress(), j.story(), j.version})
			}
		}
	}
	collect(p.ended)
	collect(p.active)
	return changes
}

// ChangesStored notes that changes are in the store. The ends behind them may now be
// forgotten by their hosts.
func (p *Pool) ChangesStored(changes []Change) {
	for _, c := range changes {
		j := p.jobs[c.Job]
		if j == nil {
			continue
		}
		j.saved = max(j.saved, c.version)
		if c.Progress.State != "" {
			j.shown = c.Progress.State
		}
	}
	p.advanceSeen()
}

func (p *Pool) advanceSeen() {
	for _, h := range p.hosts {
		h.advanceSeen()
	}
}

// advanceSeen moves the seen end up to the first one whose job isn't stored as
// far.
func (h *host) advanceSeen() {
	for len(h.marks) > 0 {
		mark := h.marks[0]
		if mark.job != nil && mark.job.saved < mark.version {
			return
		}
		h.seen = mark.number
		h.marks = h.marks[1:]
	}
}
