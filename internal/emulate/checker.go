package emulate

import (
	"fmt"
	"sync"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Rule names what a system may never do.
type Rule string

// The rules that a Judge checks.
const (
	// RuleDuplicateRun: two runs of a task at a time, or one after a noted success.
	RuleDuplicateRun Rule = "task runs twice"
	// RuleCapacity: a host is given more than it has.
	RuleCapacity Rule = "host over its capacity"
	// RuleStepOrder: a task starts before the steps that it comes after.
	RuleStepOrder Rule = "step out of order"
	// RuleUnrequested: a task of no job, of a cancelled one, or with another text.
	RuleUnrequested Rule = "task that nobody asked for"
	// RuleAttempts: a task starts after it has failed as often as it may.
	RuleAttempts Rule = "too many attempts"
	// RuleCrashes: a task that has crashed three hosts is started three times more.
	RuleCrashes Rule = "too many hosts crashed"
	// RuleUnavailable: an order takes a lasting task away while as many others of
	// its step are away as may be.
	RuleUnavailable Rule = "too many tasks missing"
	// RulePlacement: more of a step's tasks on a host than it allows, or one on a
	// host without the label it requires.
	RulePlacement Rule = "host not allowed"
)

// Violation is one broken rule.
type Violation struct {
	Rule Rule
	At   time.Time
	Text string
}

func (b Violation) String() string { return fmt.Sprintf("%s: %s", b.Rule, b.Text) }

// cancelGrace is how long after a cancel's acknowledgement tasks may start.
const cancelGrace = 3 * time.Second

const (
	// crashesAtMost hosts may crash under a task before it counts as one that
	// crashes them, and startsAfterThat are too many then.
	crashesAtMost   = 3
	startsAfterThat = 3
)

// noticeFor is how long a lasting task may be away, other than by an order, before
// it counts as missing.
const noticeFor = 4500 * time.Millisecond

// copyGrace is how long after a success was noted a copy may be ordered. One
// that its host starts late is no fault.
const copyGrace = time.Second

// Checker knows what clients asked for and sees what hosts were told.
type Checker struct {
	mu     sync.Mutex
	jobs   map[string]*judgedJob
	tasks  map[work.TaskName]*judgedTask
	used   map[string]work.Resources
	onHost map[string]map[work.TaskName]bool
	broken []Violation
	starts int
}

type judgedJob struct {
	record    *work.Record
	cancelled time.Time
}

type judgedTask struct {
	// live are the hosts where a run of it is.
	live map[string]int
	done bool
	// noted is when a success was taken note of.
	noted  time.Time
	failed map[int]bool
	seen   map[int]bool
	// crashes are the hosts that it crashed, again how often it was started after
	// too many of them.
	crashes, again int
	// lost is when a crash last took it along, under how many did.
	lost  time.Time
	under int
}

// NewChecker returns a judge that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		jobs: make(map[string]*judgedJob), tasks: make(map[work.TaskName]*judgedTask),
		used: make(map[string]work.Resources), onHost: make(map[string]map[work.TaskName]bool),
	}
}

// Submitted tells the judge what a client hands in.
func (j *Checker) Submitted(record *work.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs[record.ID] == nil {
		j.jobs[record.ID] = &judgedJob{record: record}
	}
}

// Cancelled tells the judge that a client's cancel was acknowledged.
func (j *Checker) Cancelled(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if job := j.jobs[id]; job != nil && job.cancelled.IsZero() {
		job.cancelled = time.Now()
	}
}

// Violations returns the broken rules so far.
func (j *Checker) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Violation(nil), j.broken...)
}

// Starts counts the runs that hosts began.
func (j *Checker) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

// Finished reports whether every task of a job has ended well.
func (j *Checker) Finished(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	if job == nil {
		return false
	}
	for step := range job.record.Spec.Steps {
		if !j.stepDone(id, 0, step) {
			return false
		}
	}
	return true
}

// Running counts the runs of a job that are on hosts.
func (j *Checker) Running(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name, t := range j.tasks {
		if name.Job == id {
			count += len(t.live)
		}
	}
	return count
}

func (j *Checker) step(name work.TaskName) *work.Step {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stepOf(name)
}

func (j *Checker) stepOf(name work.TaskName) *work.Step {
	job := j.jobs[name.Job]
	if job == nil || name.Step >= len(job.record.Spec.Steps) {
		return nil
	}
	return &job.record.Spec.Steps[name.Step]
}

func (j *Checker) breach(rule Rule, format string, parts ...any) {
	j.broken = append(j.broken, Violation{rule, time.Now(), fmt.Sprintf(format, parts...)})
}

func (j *Checker) task(name work.TaskName) *judgedTask {
	t := j.tasks[name]
	if t == nil {
		t = &judgedTask{live: make(map[string]int), failed: make(map[int]bool), seen: make(map[int]bool)}
		j.tasks[name] = t
	}
	return t
}

// started judges a run that a host begins, on an order that was sent at sent; the
// host's lock is held.
func (j *Checker) started(h *host, o worker.Start, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	job, s := j.jobs[o.Task.Job], j.stepOf(o.Task)
	t := j.task(o.Task)
	defer func() {
		t.live[h.ID] = o.Run
		if j.onHost[h.ID] == nil {
			j.onHost[h.ID] = make(map[work.TaskName]bool)
		}
		j.onHost[h.ID][o.Task] = true
	}()
	if s == nil {
		j.breach(RuleUnrequested, "%s on %s", o.Task, h.ID)
		return
	}
	if o.Payload != job.record.Spec.Payload {
		j.breach(RuleUnrequested, "%s on %s with another text", o.Task, h.ID)
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > cancelGrace {
		j.breach(RuleUnrequested, "%s on %s after its job was cancelled", o.Task, h.ID)
	}
	for other, number := range t.live {
		if !s.Speculative {
			j.breach(RuleDuplicateRun, "%s run %d on %s while run %d is on %s", o.Task, o.Run, h.ID, number, other)
		}
	}
	if t.done && !t.noted.IsZero() && (!s.Speculative || sent.Sub(t.noted) > copyGrace) {
		j.breach(RuleDuplicateRun, "%s run %d on %s after a success that was noted", o.Task, o.Run, h.ID)
	}
	if !s.LongRunning && len(t.failed) >= job.record.Queue.MaxAttempts {
		j.breach(RuleAttempts, "%s run %d on %s after %d failures", o.Task, o.Run, h.ID, len(t.failed))
	}
	if t.crashes >= crashesAtMost {
		if t.again++; t.again == startsAfterThat {
			j.breach(RuleCrashes, "%s run %d on %s after %d crashes", o.Task, o.Run, h.ID, t.crashes)
		}
	}
	for _, before := range s.After {
		if !j.stepDone(o.Task.Job, o.Task.Occurrence, before) {
			j.breach(RuleStepOrder, "%s before step %d is done", o.Task, before)
		}
	}
	j.judgePlace(h, o.Task, s)
	j.used[h.ID] = j.used[h.ID].Plus(s.Reserved())
	if room := h.room(); !j.used[h.ID].Fits(room) {
		j.breach(RuleCapacity, "%s on %s: %+v of %+v", o.Task, h.ID, j.used[h.ID], room)
	}
}

func (j *Checker) judgePlace(h *host, name work.TaskName, s *work.Step) {
	if s.Requires != "" && !h.Has(s.Requires) {
		j.breach(RulePlacement, "%s on %s without %s", name, h.ID, s.Requires)
	}
	same := 1
	for other := range j.onHost[h.ID] {
		if other.SameStep(name) {
			same++
		}
	}
	if s.MaxPerHost > 0 && same > s.MaxPerHost {
		j.breach(RulePlacement, "%s is number %d on %s", name, same, h.ID)
	}
}

func (j *Checker) stepDone(job string, time, step int) bool {
	s := j.stepOf(work.TaskName{Job: job, Step: step})
	for index := range s.Count {
		t := j.tasks[work.TaskName{Job: job, Occurrence: time, Step: step, Index: index}]
		if t == nil || !t.done {
			return false
		}
	}
	return true
}

// ended takes note of a run's end; the host's lock is held.
func (j *Checker) ended(host string, name work.TaskName, number int, how work.EndReason) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(name)
	delete(t.live, host)
	delete(j.onHost[host], name)
	if s := j.stepOf(name); s != nil {
		j.used[host] = j.used[host].Minus(s.Reserved())
	}
	switch how {
	case work.EndDone:
		t.done = true
	case work.EndFailed:
		t.failed[number] = true
	}
}

// crashed takes note that a task crashed its host, and what it took along; the
// host's lock is held.
func (j *Checker) crashed(by work.TaskName, h *host) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.task(by).crashes++
	for name := range h.runs {
		t := j.task(name)
		t.lost = time.Now()
		t.under++
	}
}

// givenUpFrom is from how many crashes under a task on its job may be given up.
const givenUpFrom = 2

// MayGiveUp reports whether a job may be shown as failed for the hosts that crashed
// under one of its tasks.
func (j *Checker) MayGiveUp(job string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, t := range j.tasks {
		if name.Job == job && t.under >= givenUpFrom {
			return true
		}
	}
	return false
}

// Crashes counts the hosts that a job's tasks crashed.
func (j *Checker) Crashes(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name, t := range j.tasks {
		if name.Job == job {
			count += t.crashes
		}
	}
	return count
}

// noted takes note that the system has seen an end.
func (j *Checker) noted(_ string, end worker.RunEnd) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.task(end.Task); end.Reason == work.EndDone && t.noted.IsZero() {
		t.noted = time.Now()
	}
}

// stopping judges an order that takes a lasting task that is at work away. atWork
// tells for the others of its step whether they are.
func (j *Checker) stopping(host string, name work.TaskName, atWork map[int]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, job := j.stepOf(name), j.jobs[name.Job]
	if s == nil || !s.LongRunning || s.MaxUnavailable == 0 || !job.cancelled.IsZero() {
		return
	}
	away := 0
	for index := range s.Count {
		other := j.task(work.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: name.Step, Index: index})
		if index != name.Index && !atWork[index] && time.Since(other.lost) > noticeFor {
			away++
		}
	}
	if away >= s.MaxUnavailable {
		j.breach(RuleUnavailable, "%s is stopped on %s while %d others are away", name, host, away)
	}
}

// RunsOn counts the runs of a job on a host.
func (j *Checker) RunsOn(host, job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name := range j.onHost[host] {
		if name.Job == job {
			count++
		}
	}
	return count
}
