package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

type job struct {
	record *work.Record
	// adopted: an earlier holder may have started tasks of it.
	adopted bool
	arrived time.Time
	fit     *runtimeModel
	state   work.State
	endedAt time.Time
	endedMs int64
	begun   bool
	// firstStart and starts, failure are for the log: when a task of it was
	// first ordered, how many were, and which failed last and where.
	firstStart  time.Time
	starts      int
	failure     string
	occurrences []*occurrence
	doneSet     map[int]bool
	// nextTime is the first occurrence that has yet to come due.
	nextTime int
	// version counts changes that have to be stored; saved is the newest one
	// that is. shown is the state of the saved one.
	version, saved uint64
	shown          work.State
	restored       map[taskKey]work.TaskProgress
}

type taskKey struct{ time, step, index int }

// occurrence is one time that a job's steps run.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	// left is what remaining found last, until a task of it is done.
	left *remainder
	// admitted: it can be done in time with all others that are.
	admitted bool
}

type step struct {
	spec  *work.Step
	of    *occurrence
	index int
	tasks []*task
	done  int
	// waiting are the tasks that have nowhere to run yet.
	waiting int
	// crashes counts those of all its tasks.
	crashes int
	// onHost counts its runs by host, kept as runs come and go: a plan asks for
	// every host and task.
	onHost map[*host]int
	// since is when its tasks' turn came.
	since  time.Time
	advice *advice
	// took is how long its tasks that ended well ran in all, measured how many
	// did.
	took     time.Duration
	measured int
	// unknown: it stands in for one whose size isn't known.
	unknown bool
}

type task struct {
	name work.TaskName
	step *step
	run  *run
	// copies are earlier runs that may go on beside run, for a step that
	// allows copies: on a host that is silent, or slow.
	copies []*run
	done   bool
	// failed are the runs that ended as failed, crashed those under which their
	// host was lost.
	failed, crashed []int
	// trial is the next run of a suspect, which is stored as a crash before it
	// starts, as of trialVersion of its job.
	trial        int
	trialVersion uint64
	// crashedAlone: it was alone on one of the hosts that were lost under it, when it
	// was suspected already.
	crashedAlone bool
	// lastRun is the highest run number used.
	lastRun int
	saved   string
	// notBefore delays the next try after a refusal.
	notBefore time.Time
	// placed counts its runs that may be on some host.
	placed int
	// promised is until when room is being made for it.
	promised time.Time
	// away is when a lasting task was last seen to be not at work.
	away time.Time
}

func (t *task) job() *job { return t.step.of.job }

type runState int

const (
	// starting: the order is out and unanswered.
	starting runState = iota
	running
	// stopping: its end is wanted or its start has to be settled.
	stopping
)

// run is one run of a task that may be on a host.
type run struct {
	task   *task
	number int
	host   *host
	state  runState
	// asked is when the start was ordered, begun when it was known to run.
	asked, begun time.Time
	percent      int
	// moved is when percent last grew, movedClock the host's clock at the report
	// that told so, zero before the first one.
	moved      time.Time
	movedClock int64
	load       int
	// pace is the share of its speed that it was last told to work at; paced
	// is when that was.
	pace  int
	paced time.Time
	// unanswered is when its start was given up without an answer, zero for one
	// that wasn't.
	unanswered time.Time
	// stopSent is when the last stop was ordered, stopTaken when one was
	// answered.
	stopSent, stopTaken time.Time
	// reason is why it is to be stopped.
	reason string
	// suspect: its task may crash hosts, by what was known when it was started or
	// when its host fell silent. guarded: nothing else starts beside it for a
	// while.
	suspect, guarded bool
}
