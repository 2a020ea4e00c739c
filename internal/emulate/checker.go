package emulate

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Rule names an invariant of the scheduler.
type Rule string

// The rules that a Checker verifies.
const (
	// RuleDuplicateRun is violated by two concurrent runs of a task, or a run that
	// starts after a success that was acknowledged then or later.
	RuleDuplicateRun Rule = "task runs twice"
	// RuleCapacity is violated by more runs on a host than its capacity allows.
	RuleCapacity Rule = "host over its capacity"
	// RuleStepOrder is violated by a task that starts before the steps that its
	// step depends on are done.
	RuleStepOrder Rule = "step out of order"
	// RuleUnrequested is violated by a task of an unknown or cancelled job, or one
	// with a different payload.
	RuleUnrequested Rule = "task that nobody asked for"
	// RuleAttempts is violated by a task that starts after its maximum of failed
	// attempts.
	RuleAttempts Rule = "too many attempts"
	// RuleCrashes is violated when a task that has crashed three hosts is started
	// three more times. A long-running one is owed a run all the same: it violates the
	// rule when it is started within minCrashSpacing of its last start.
	RuleCrashes Rule = "too many hosts crashed"
	// RuleUnavailable is violated by stopping a long-running task while MaxUnavailable
	// other tasks of its step are unavailable.
	RuleUnavailable Rule = "too many tasks missing"
	// RulePlacement is violated by more than MaxPerHost tasks of a step on a host, or
	// a task on a host without the required label.
	RulePlacement Rule = "host not allowed"
	// RuleLimit is violated by a start that brings an organisation over its limit and
	// one task more.
	RuleLimit Rule = "organisation over its limit"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule
	At   time.Time
	Text string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Text) }

// cancelGrace is how long tasks may still start after a cancellation was
// acknowledged.
const cancelGrace = 3 * time.Second

const (
	// crashLimit is the number of host crashes after which a task counts as
	// crashing its hosts. maxStartsAfterCrashes further starts violate RuleCrashes.
	crashLimit            = 3
	maxStartsAfterCrashes = 3
	// minCrashSpacing is the least time between two starts of a long-running task after
	// crashLimit crashes, so that it has one host down at a time, as a rule.
	minCrashSpacing = 2 * time.Second
)

// crashDetectionDelay is the time after a host crash during which its long-running
// tasks don't count as unavailable: the pool manager has to detect the crash first.
const crashDetectionDelay = 4500 * time.Millisecond

// speculativeGrace is how long a speculative run may still be requested after a
// success was acknowledged. A delayed start of a run requested earlier is no
// violation.
const speculativeGrace = time.Second

// Checker records what clients submitted and which calls the hosts executed, and
// checks them against the rules.
type Checker struct {
	mu         sync.Mutex
	jobs       map[string]*jobState
	tasks      map[work.TaskName]*taskState
	used       map[string]work.Resources
	onHost     map[string]map[work.TaskName]bool
	violations []Violation
	starts     int
	limits     limits
}

type jobState struct {
	record    *work.JobRecord
	cancelled time.Time
}

type taskState struct {
	// running maps the hosts on which the task is running to the run numbers.
	running map[string]int
	done    bool
	// ackedAt is the time when a success was acknowledged.
	ackedAt time.Time
	// successes holds the runs that ended as done whose ends aren't acknowledged.
	successes []*success
	failed    map[int]bool
	seen      map[int]bool
	// crashes is the number of hosts that the task has crashed, startsAfterCrashes
	// the number of its starts after crashLimit crashes.
	crashes, startsAfterCrashes int
	// crashStartAt is when it was last started after crashLimit crashes.
	crashStartAt time.Time
	// lostAt is the time when a host crash last ended a run of the task,
	// lostByCrash the number of such crashes.
	lostAt      time.Time
	lostByCrash int
	// awaySince is when the last run ended, zero while the task runs or before its first
	// start; longestAway is the longest time between two runs.
	awaySince   time.Time
	longestAway time.Duration
}

// NewChecker returns a Checker without recorded jobs.
func NewChecker() *Checker {
	return &Checker{
		jobs: make(map[string]*jobState), tasks: make(map[work.TaskName]*taskState),
		used: make(map[string]work.Resources), onHost: make(map[string]map[work.TaskName]bool), limits: newLimits(),
	}
}

// Submitted records a job that a client submits.
func (c *Checker) Submitted(record *work.JobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[record.ID] == nil {
		c.jobs[record.ID] = &jobState{record: record}
	}
}

// Cancelled records that the cancellation of a job was acknowledged.
func (c *Checker) Cancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job != nil && job.cancelled.IsZero() {
		job.cancelled = time.Now()
	}
}

// Violations returns the violations recorded so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Forgive drops the violations of a rule, for tests that bring them about.
func (c *Checker) Forgive(rule Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = slices.DeleteFunc(c.violations, func(v Violation) bool { return v.Rule == rule })
}

// Starts returns the number of runs that hosts have started.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Finished reports whether every task of a job has succeeded.
func (c *Checker) Finished(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		return false
	}
	for step := range job.record.Spec.Steps {
		if !c.stepDone(id, 0, step) {
			return false
		}
	}
	return true
}

// Running returns the number of current runs of a job.
func (c *Checker) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for name, t := range c.tasks {
		if name.Job == id {
			count += len(t.running)
		}
	}
	return count
}

// step returns the step of a task, or nil if the job is unknown.
func (c *Checker) step(name work.TaskName) *work.Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stepLocked(name)
}

// stepLocked is step for callers that hold the lock.
func (c *Checker) stepLocked(name work.TaskName) *work.Step {
	job := c.jobs[name.Job]
	if job == nil || name.Step >= len(job.record.Spec.Steps) {
		return nil
	}
	return &job.record.Spec.Steps[name.Step]
}

func (c *Checker) addViolation(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, time.Now(), fmt.Sprintf(format, args...)})
}

func (c *Checker) task(name work.TaskName) *taskState {
	t := c.tasks[name]
	if t == nil {
		t = &taskState{running: make(map[string]int), failed: make(map[int]bool), seen: make(map[int]bool)}
		c.tasks[name] = t
	}
	return t
}

// started checks a run that a host starts. sent is when the start call was sent.
// The caller holds the lock of the hosts.
func (c *Checker) started(h *host, o worker.Start, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, s := c.jobs[o.Task.Job], c.stepLocked(o.Task)
	t := c.task(o.Task)
	defer func() {
		t.endAway()
		t.running[h.ID] = o.Run
		if c.onHost[h.ID] == nil {
			c.onHost[h.ID] = make(map[work.TaskName]bool)
		}
		c.onHost[h.ID][o.Task] = true
	}()
	if s == nil {
		c.addViolation(RuleUnrequested, "%s on %s", o.Task, h.ID)
		return
	}
	if o.Payload != job.record.Spec.Payload {
		c.addViolation(RuleUnrequested, "%s on %s with another payload", o.Task, h.ID)
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > cancelGrace {
		c.addViolation(RuleUnrequested, "%s on %s after its job was cancelled", o.Task, h.ID)
	}
	for other, number := range t.running {
		if !s.Speculative {
			c.addViolation(RuleDuplicateRun, "%s run %d on %s while run %d is on %s", o.Task, o.Run, h.ID, number, other)
		}
	}
	if t.done && !t.ackedAt.IsZero() && (!s.Speculative || sent.Sub(t.ackedAt) > speculativeGrace) {
		c.addViolation(RuleDuplicateRun, "%s run %d on %s after a success that was acknowledged", o.Task, o.Run, h.ID)
	}
	if !s.Speculative {
		t.startedAfterSuccess(fmt.Sprintf("%s run %d on %s", o.Task, o.Run, h.ID))
	}
	if !s.LongRunning && len(t.failed) >= job.record.Queue.MaxAttempts {
		c.addViolation(RuleAttempts, "%s run %d on %s after %d failures", o.Task, o.Run, h.ID, len(t.failed))
	}
	if t.startedAfterCrashes(s.LongRunning) {
		c.addViolation(RuleCrashes, "%s run %d on %s after %d crashes", o.Task, o.Run, h.ID, t.crashes)
	}
	for _, before := range s.After {
		if !c.stepDone(o.Task.Job, o.Task.Occurrence, before) {
			c.addViolation(RuleStepOrder, "%s before step %d is done", o.Task, before)
		}
	}
	c.checkPlacement(h, o.Task, s)
	if breach := c.limits.started(job.record.Organisation, s.Resources); breach != "" {
		c.addViolation(RuleLimit, "%s on %s: %s", o.Task, h.ID, breach)
	}
	c.used[h.ID] = c.used[h.ID].Plus(s.Reserved())
	if capacity := h.allowedCapacity(); !c.used[h.ID].Fits(capacity) {
		c.addViolation(RuleCapacity, "%s on %s: %+v of %+v", o.Task, h.ID, c.used[h.ID], capacity)
	}
}

// startedAfterCrashes counts a start of a task that crashes its hosts and reports whether
// it violates RuleCrashes.
func (t *taskState) startedAfterCrashes(longRunning bool) bool {
	if t.crashes < crashLimit {
		return false
	}
	t.startsAfterCrashes++
	since := time.Since(t.crashStartAt)
	t.crashStartAt = time.Now()
	if longRunning {
		return since < minCrashSpacing
	}
	return t.startsAfterCrashes == maxStartsAfterCrashes
}

func (c *Checker) checkPlacement(h *host, name work.TaskName, s *work.Step) {
	if s.Requires != "" && !h.Has(s.Requires) {
		c.addViolation(RulePlacement, "%s on %s without %s", name, h.ID, s.Requires)
	}
	same := 1
	for other := range c.onHost[h.ID] {
		if other.SameStep(name) {
			same++
		}
	}
	if s.MaxPerHost > 0 && same > s.MaxPerHost {
		c.addViolation(RulePlacement, "%s is number %d on %s", name, same, h.ID)
	}
}

func (c *Checker) stepDone(job string, occurrence, step int) bool {
	s := c.stepLocked(work.TaskName{Job: job, Step: step})
	for index := range s.Count {
		t := c.tasks[work.TaskName{Job: job, Occurrence: occurrence, Step: step, Index: index}]
		if t == nil || !t.done {
			return false
		}
	}
	return true
}

// ended records the end of a run. The caller holds the lock of the hosts.
func (c *Checker) ended(host string, name work.TaskName, number int, reason work.EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(name)
	delete(t.running, host)
	delete(c.onHost[host], name)
	if len(t.running) == 0 {
		t.awaySince = time.Now()
	}
	if s := c.stepLocked(name); s != nil {
		c.used[host] = c.used[host].Minus(s.Reserved())
		c.limits.ended(c.jobs[name.Job].record.Organisation, s.Resources)
	}
	switch reason {
	case work.EndDone:
		t.done = true
		t.succeeded(host, number)
	case work.EndFailed:
		t.failed[number] = true
	}
}

// taskCrashedHost records that a task crashed its host.
func (c *Checker) taskCrashedHost(by work.TaskName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(by).crashes++
}

// hostCrashed records which runs were lost with a host. The caller holds the lock of
// the hosts.
func (c *Checker) hostCrashed(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range h.runs {
		t := c.task(name)
		t.lostAt = time.Now()
		t.lostByCrash++
	}
}

// minCrashesToFail is the number of host crashes that must have ended runs of a
// task before its job may be marked failed.
const minCrashesToFail = 2

// MayMarkFailed reports whether a job may be marked failed because hosts crashed while
// one of its tasks ran on them.
func (c *Checker) MayMarkFailed(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.tasks {
		if name.Job == job && t.lostByCrash >= minCrashesToFail {
			return true
		}
	}
	return false
}

// Crashes returns the number of hosts that a job's tasks have crashed.
func (c *Checker) Crashes(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for name, t := range c.tasks {
		if name.Job == job {
			count += t.crashes
		}
	}
	return count
}

// acknowledged records that the system has acknowledged the end of a run.
func (c *Checker) acknowledged(host string, end worker.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.Reason != work.EndDone {
		return
	}
	t := c.task(end.Task)
	c.checkSuccess(t, host, end)
	if t.ackedAt.IsZero() {
		t.ackedAt = time.Now()
	}
}

// stopping checks the stop of a long-running task that is serving. The map serving
// contains, by task index, which tasks of its step are serving.
func (c *Checker) stopping(host string, name work.TaskName, serving map[int]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, job := c.stepLocked(name), c.jobs[name.Job]
	if s == nil || !s.LongRunning || s.MaxUnavailable == 0 || !job.cancelled.IsZero() {
		return
	}
	unavailable := 0
	for index := range s.Count {
		other := c.task(work.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: name.Step, Index: index})
		if index != name.Index && !serving[index] && time.Since(other.lostAt) > crashDetectionDelay {
			unavailable++
		}
	}
	if unavailable >= s.MaxUnavailable {
		c.addViolation(RuleUnavailable, "%s is stopped on %s while %d others are unavailable", name, host, unavailable)
	}
}

// endAway ends the time without a run.
func (t *taskState) endAway() {
	if !t.awaySince.IsZero() {
		t.longestAway = max(t.longestAway, time.Since(t.awaySince))
		t.awaySince = time.Time{}
	}
}

// LongestAway returns the longest time that a task of a job was without a run between or
// after its runs.
func (c *Checker) LongestAway(job string) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.tasks {
		if name.Job != job {
			continue
		}
		longest = max(longest, t.longestAway)
		if !t.awaySince.IsZero() {
			longest = max(longest, time.Since(t.awaySince))
		}
	}
	return longest
}

// RunsOn returns the number of runs of a job on a host.
func (c *Checker) RunsOn(host, job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for name := range c.onHost[host] {
		if name.Job == job {
			count++
		}
	}
	return count
}
