package poolmanager

import (
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// handleCommitResult handles the result of one attempt to commit a batch, made at sent.
func (m *Manager) handleCommitResult(b *batch, revision store.Revision, err error, sent time.Time, took time.Duration) {
	b.inFlight--
	if err == nil {
		m.confirmed(sent)
	}
	if b.lane.batch != b {
		// Another attempt has determined the outcome.
		return
	}
	b.lane.notBefore = time.Now().Add(b.minInterval())
	conflict, conflicted := err.(*store.TxnConflictError)
	switch {
	case err == nil:
		m.Metrics.commits.WithLabelValues("done").Inc()
		m.commitLatency = (3*m.commitLatency + took) / 4
		m.applyCommit(b, revision)
	case conflicted:
		m.Metrics.commits.WithLabelValues("conflict").Inc()
		m.handleConflict(b, conflict)
	case store.IsRefused(err):
		m.Metrics.commits.WithLabelValues("refused").Inc()
		m.handleRefusal(b)
	case store.IsLeaseExpired(err):
		// The claim cannot be written under this lease. RestoreClaim is called
		// again once the process has a new one.
		m.claimMissing = false
		m.handleRefusal(b)
	default:
		m.Metrics.commits.WithLabelValues("unknown").Inc()
		m.Log.Warn().Err(err).Msg("The store did not respond to a commit; the outcome is unknown.")
		b.maybeApplied = true
		m.refuseBehind(b)
		m.retryLater(b)
	}
}

// refuseBehind refuses the submitted jobs that no commit contains while the given
// batch has no outcome from the store. If they waited until their deadlines,
// their clients would have no time left for another entry host or another
// attempt.
func (m *Manager) refuseBehind(b *batch) {
	if time.Since(b.sentAt) < refuseMinAge {
		return
	}
	m.refuseUncommitted()
}

// refuseUncommitted refuses the submitted jobs that no commit can have stored.
func (m *Manager) refuseUncommitted() {
	for id, s := range m.submissions {
		if s.batch == nil && !s.maybeStored && !s.inInbox {
			m.dropSubmission(id)
			s.resolve(Refused)
		}
	}
}

// handleRefusal dissolves a batch that the store has certainly not applied. The
// batch is retried instead while an earlier attempt may have been applied.
func (m *Manager) handleRefusal(b *batch) {
	if b.maybeApplied || b.inFlight > 0 {
		m.refuseBehind(b)
		m.retryLater(b)
		return
	}
	m.detach(b)
	if b.lane.isHead() {
		m.pool.RosterNotStored(rosterOf(m.head))
	}
	b.lane.notBefore = time.Now().Add(commitRetryDelay)
	for _, s := range b.submissions {
		s.maybeStored = false
		if !s.inInbox && (s.withdrawn || time.Since(s.submittedAt) > refuseMinAge) {
			m.dropSubmission(s.record.ID)
			s.resolve(Refused)
		}
	}
}

// retryLater sends a batch again after commitRetryDelay, unless an attempt is in
// flight.
func (m *Manager) retryLater(b *batch) {
	if b.inFlight > 0 {
		return
	}
	time.AfterFunc(commitRetryDelay, func() {
		m.enqueuePart(m.ctx, partCommits, func() { m.sendAgain(b) })
	})
}

// handleConflict distinguishes an earlier attempt of the same batch from a change
// made by another process.
func (m *Manager) handleConflict(b *batch, conflict *store.TxnConflictError) {
	entry := conflict.Find(b.lane.key(m.Pool))
	record, err := poolstore.DecodeHead(entry)
	ours := err == nil && record.Holder == m.Holder && record.Fence == m.head.Fence
	// A lane that this holder has not used yet has no record, or that of an earlier one.
	unchanged := entry.ModRevision == b.lane.revision && m.stillFenced(b, conflict)
	switch {
	case ours && record.Sequence == b.sequence:
		m.applyCommit(b, entry.ModRevision)
	case unchanged && m.queueConflicts(b, conflict):
		m.dissolve(b)
	case unchanged && b.restoresClaim:
		// Only the condition on the claim failed: the claim exists already.
		m.claimMissing = false
		m.handleRefusal(b)
	default:
		m.Log.Warn().Str("holder", record.Holder).Int64("fence", record.Fence).Int("lane", b.lane.index).
			Msg("The pool was changed by another process.")
		m.pool.SetFenced()
	}
}

// stillFenced reports whether no takeover is the reason why a batch failed. The head
// shows that by itself.
func (m *Manager) stillFenced(b *batch, conflict *store.TxnConflictError) bool {
	return b.lane.isHead() || conflict.Find(poolstore.FenceKey(m.Pool)).ModRevision == m.takeover.Revision
}

// applyCommit updates the state for a batch that is stored.
func (m *Manager) applyCommit(b *batch, revision store.Revision) {
	now, wall := time.Now(), m.WallClock()
	m.Metrics.entries.Add(float64(b.txn.OpCount()))
	m.queuesStored(b, revision)
	m.detach(b)
	b.lane.revision, b.lane.sequence = revision, b.sequence
	if b.lane.isHead() {
		m.head, m.committedAt = b.head, now
		m.pool.RosterStored(rosterOf(b.head))
		m.expiredJobs = m.expiredJobs[b.expiredJobs:]
	}
	for _, key := range b.inboxKeys {
		delete(m.inboxApplied, key)
	}
	if b.restoresClaim {
		m.claimMissing = false
	}
	for _, s := range b.submissions {
		delete(m.submissions, s.record.ID)
		if m.pool.Accept(s.record, now, wall) {
			m.Log.Info().Str("job", s.record.ID).Str("queue", s.record.Queue.Name).Str("organisation", s.record.Organisation).Int64("revision", int64(revision)).Msg("Accepted a job.")
		}
		s.resolve(Stored)
		if m.cancellations[s.record.ID] != nil {
			m.pool.Cancel(s.record.ID, now, wall)
		}
	}
	m.progressStored(b.changes, revision)
}

// progressStored updates the state for job progress that is stored, and logs jobs
// that have ended.
func (m *Manager) progressStored(changes []sched.Change, revision store.Revision) {
	m.pool.ChangesStored(changes)
	for _, change := range changes {
		if change.Ends {
			state, summary := change.Progress.State, change.Summary
			m.logEnd(change.Job, state, summary, revision)
			m.Metrics.jobEnded(string(state), summary.Age, summary.Waited)
			m.Metrics.organisations.jobs.WithLabelValues(m.Pool, m.Metrics.organisations.labels.label(summary.Organisation), jobResult(state, summary)).Inc()
		}
		if c := m.cancellations[change.Job]; c != nil && m.pool.Stored(change.Job) {
			delete(m.cancellations, change.Job)
			c.resolve(Stored)
		}
	}
}

// logEnd logs the end of a job. A failure is a warning: its line must not be dropped
// among those of all other jobs.
func (m *Manager) logEnd(id string, state work.State, s sched.Summary, revision store.Revision) {
	level := zerolog.InfoLevel
	if state == work.Failed {
		level = zerolog.WarnLevel
	}
	line := m.Log.WithLevel(level).Str("job", id).Str("queue", s.Queue).Str("organisation", s.Organisation).Str("state", string(state)).
		Dur("age_ms", s.Age).Dur("goal_ms", s.Goal).Dur("waited_ms", s.Waited).
		Int("starts", s.Starts).Str("failure", s.Failure)
	if len(s.FailureCrashes) > 0 {
		line = line.Array("crashes", crashes(s.FailureCrashes))
	}
	line.Int64("revision", int64(revision)).Msg("A job has ended.")
}
