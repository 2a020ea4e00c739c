package sched

import "time"

// The platform owes a long-running task a run however its last one ended, and counts it
// as lost when it has had none for 3 s from 6 s after that. What holds a start back is
// either a limit of the platform, or a preference of the pool. Preferences follow each
// other and begin anew with each holder, so only the sum can be bounded: they end
// overdueAfter after the last run.

const (
	// overdueAfter is how long a long-running task may be without a run before no
	// preference holds it back. Its start and a lost answer must fit into the rest.
	overdueAfter = 5 * time.Second
	// takeoverAbsence is how long before a takeover the last run of a task may have
	// ended: the claim of a lost holder expires, and its pool is loaded.
	takeoverAbsence = 3 * time.Second
)

// overdue reports whether a long-running task has been without a run for so long that
// only limits of the platform may hold it back.
func (t *task) overdue(now time.Time) bool {
	return t.step.spec.LongRunning && t.run == nil && now.Sub(t.ranAt) >= overdueAfter
}

// noteRan records that a run which is over was known to go on until its host last replied.
func (t *task) noteRan(r *run) {
	for _, at := range []time.Time{r.startedAt, r.host.repliedAt} {
		if !r.startedAt.IsZero() {
			t.ranAt, t.job().ranAt = latest(t.ranAt, at), latest(t.job().ranAt, at)
		}
	}
}
