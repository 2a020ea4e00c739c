package sched

import (
	"time"

	"auburnglade.example/glade/internal/fairshare"
	"auburnglade.example/glade/internal/work"
)

type job struct {
	record *work.JobRecord
	// adopted is set when an earlier holder may have started tasks of the job.
	adopted bool
	arrived time.Time
	// usage is what the job's organisation uses, nil without one.
	usage *usage
	// account is that of its organisation among the shares of the pool.
	account  *fairshare.Account
	runtimes *runtimeModel
	ratios   *ratioSketch
	state    work.State
	endedAt  time.Time
	endedMs  int64
	// started is set once a start was ordered, begun once a task is known to have begun.
	started, begun bool
	// liveRuns counts its runs that may be on a host, ranAt is when one that is over was last
	// known to go on.
	liveRuns int
	ranAt    time.Time
	// firstStart, starts, failure and failureCrashes are for the log: when its first
	// task was ordered to start, how many starts were ordered, which task failed last
	// and where, and the crashes for which it failed.
	firstStart      time.Time
	starts          int
	failure         string
	failureCrashes  []Crash
	occurrences     []*occurrence
	doneOccurrences map[int]bool
	// nextOccurrence is the first occurrence that is not due yet.
	nextOccurrence int
	// version counts the changes that have to be stored, storedVersion is the
	// newest stored one, and storedState is the state that was stored with it.
	version, storedVersion uint64
	storedState            work.State
	restored               map[taskKey]work.TaskProgress
}

type taskKey struct{ occurrence, step, index int }

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	// cachedRemaining caches the result of remaining until a task is done.
	cachedRemaining *remainingWork
	// admitted is set when it can be done in time together with all other admitted
	// ones.
	admitted bool
	// postponed is set when it is late, will soon be worth nothing, and is beyond its
	// organisation's share.
	postponed bool
	// startTag is its start tag; tagged is set while it has one, which is when it is
	// admitted and others are not.
	startTag float64
	tagged   bool
}

type step struct {
	spec       *work.Step
	occurrence *occurrence
	index      int
	tasks      []*task
	done       int
	// waiting counts the tasks that have no run.
	waiting int
	// crashes counts the crashes of all its tasks.
	crashes int
	// onHost counts its runs by host. It is updated as runs are added and removed,
	// since a plan reads it for every host and task.
	onHost map[*host]int
	// readySince is when its tasks became ready to run.
	readySince time.Time
	advice     *advice
	// totalRuntime is the total run time of the runtimeSamples tasks that ended
	// successfully.
	totalRuntime   time.Duration
	runtimeSamples int
	// unknownResources is set for a placeholder of a step whose resources are not
	// known.
	unknownResources bool
}

type task struct {
	name work.TaskName
	step *step
	run  *run
	// copies holds earlier runs that may execute beside run, on an unresponsive or
	// slow host, for a step that allows speculative execution.
	copies []*run
	done   bool
	// failed holds the runs that failed, crashes those whose host was lost.
	failed  []int
	crashes []Crash
	// givenUp holds the last runs that were given up, oldest first.
	givenUp []givenUpRun
	// chargedRun is the next run of a suspect task, which is stored as a crash
	// before it starts, at version chargedVersion of its job.
	chargedRun     int
	chargedVersion uint64
	// crashedAt is when a crash was last counted, or restored at a takeover.
	crashedAt time.Time
	// lastRun is the highest run number used.
	lastRun    int
	checkpoint string
	// notBefore is the earliest time of the next start after a refusal.
	notBefore time.Time
	// liveRuns counts its runs that may be on a host.
	liveRuns int
	// roomReservedUntil is the time until which room is being made for it.
	roomReservedUntil time.Time
	// ranAt is when its last run was last known to go on; before its first one, when it
	// became known.
	ranAt time.Time
	// servedAt is when a long-running task was last known to be in service, zero if it
	// was not since the takeover; servedRun and servedOn are its run and host then.
	servedAt  time.Time
	servedRun int
	servedOn  string
	// absence is set while a long-running task is out of service.
	absence *absence
}

func (t *task) job() *job { return t.step.occurrence.job }

type runState int

const (
	// starting: the order was sent and has no answer.
	starting runState = iota
	running
	// stopping: the run is to end, or whether it started is unknown.
	stopping
)

// run is one run of a task that may be on a host.
type run struct {
	task   *task
	number int
	host   *host
	state  runState
	// orderedAt is when the start was ordered, startedAt when the run was first
	// known to execute.
	orderedAt, startedAt time.Time
	percent              int
	// firstPercent is the percent at startedAt, above zero for an adopted run.
	firstPercent int
	// copyReason is why its task was started elsewhere.
	copyReason CopyReason
	// resumed is set for a run that was started from a checkpoint.
	resumed bool
	// verdict is the first one on why it takes long, empty before.
	verdict StragglerVerdict
	// progressedAt is when percent last changed, progressClock the host's clock at
	// the report that showed it, zero before the first one.
	progressedAt  time.Time
	progressClock int64
	load          int
	// speed is the percentage of full speed that was last ordered, speedOrderedAt
	// when that was.
	speed          int
	speedOrderedAt time.Time
	// unansweredAt is when its start ended without an answer, zero if it did not.
	unansweredAt time.Time
	// attemptOpen is set while one of the attempts to start it has no answer.
	attemptOpen bool
	// stopSentAt is when the last stop was ordered, stopAnsweredAt when one was
	// answered.
	stopSentAt, stopAnsweredAt time.Time
	// stopsInDoubt counts the stops that are not known to have missed the host,
	// doubtedStopAt is when the first of them was ordered.
	stopsInDoubt  int
	doubtedStopAt time.Time
	// reason is why it is to be stopped.
	reason string
	// suspect is set when its task may crash hosts, judged when it was started or
	// when its host stopped responding. While isolated is set nothing else starts
	// beside it for isolationPeriod.
	suspect, isolated bool
	// adopted is set for a run that an earlier holder started.
	adopted bool
}
