package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

// RuntimeRecord is what was predicted for a run that succeeded and what it took.
type RuntimeRecord struct {
	Queue            string
	Predicted, Taken time.Duration
}

// CopyReason is why a task was started elsewhere beside an earlier run.
type CopyReason string

// The reasons for copies.
const (
	CopySilentHost CopyReason = "silent host"
	CopyStopping   CopyReason = "stopping"
	CopySlowHost   CopyReason = "slow host"
	CopyHanging    CopyReason = "hanging"
)

// CopyOutcome is how the earlier run ended.
type CopyOutcome string

// The outcomes of copies.
const (
	// EarlierRunWon: the earlier run succeeded first, and the copy was of no use.
	EarlierRunWon CopyOutcome = "earlier run first"
	// CopyWon: a later run had succeeded before the earlier one ended.
	CopyWon CopyOutcome = "copy first"
	// EarlierRunLost: the earlier run ended without success while the task went on, or
	// its job ended.
	EarlierRunLost CopyOutcome = "earlier run lost"
)

// CopyRecord is how the earlier run of a copied task ended.
type CopyRecord struct {
	Reason  CopyReason
	Outcome CopyOutcome
}

// records holds what was measured since the last plan.
type records struct {
	runtimes []RuntimeRecord
	copies   []CopyRecord
}

// take returns the records and forgets them.
func (r *records) take() records {
	taken := *r
	*r = records{}
	return taken
}

// recordPrediction records what a run that succeeded took, before that is learned.
func (p *Pool) recordPrediction(r *run, took time.Duration) {
	s := r.task.step
	if s.spec.LongRunning || s.occurrence.job.runtimes == nil {
		return
	}
	p.records.runtimes = append(p.records.runtimes, RuntimeRecord{s.occurrence.job.record.Queue.Name, s.expectedRuntime(), took})
}

// recordCopy records the end of a run beside which its task was started again.
func (p *Pool) recordCopy(r *run, reason work.EndReason) {
	p.records.copies = append(p.records.copies, CopyRecord{r.copyReason, copyOutcome(r.task.done, reason)})
}

// copyOutcome returns the outcome for a run that ended for that reason, done telling
// whether its task had succeeded before.
func copyOutcome(done bool, reason work.EndReason) CopyOutcome {
	switch {
	case done:
		return CopyWon
	case reason == work.EndDone:
		return EarlierRunWon
	}
	return EarlierRunLost
}
