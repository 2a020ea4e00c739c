package poolmanager

import (
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
)

// committed takes over what became of one attempt of a batch.
func (k *Manager) committed(b *batch, revision store.Revision, err error, took time.Duration) {
	b.open--
	if b.lane.batch != b {
		// Another attempt has settled it.
		return
	}
	b.lane.nextTry = time.Now().Add(b.pause())
	conflict, conflicted := err.(*store.TxnConflictError)
	switch {
	case err == nil:
		k.Metrics.commits.WithLabelValues("done").Inc()
		k.commitTook = (3*k.commitTook + took) / 4
		k.apply(b, revision)
	case conflicted:
		k.Metrics.commits.WithLabelValues("conflict").Inc()
		k.conflicted(b, conflict)
	case store.IsRefused(err):
		k.Metrics.commits.WithLabelValues("refused").Inc()
		k.refused(b)
	case store.IsLeaseExpired(err):
		// The claim can't be renewed under this lease; the process will get a
		// new one and ask again.
		k.reclaim = false
		k.refused(b)
	default:
		k.Metrics.commits.WithLabelValues("unknown").Inc()
		k.Log.Warn().Err(err).Msg("A commit was not answered.")
		b.uncertain = true
		k.turnAway(b)
		k.resend(b)
	}
}

// turnAway refuses the jobs that wait behind a batch which the store leaves
// without an outcome: no commit contains them. Held until their time was up,
// they had none left for another way or another try.
func (k *Manager) turnAway(b *batch) {
	if time.Since(b.begun) < refuseAfter {
		return
	}
	k.refuseWaiting()
}

// refuseWaiting refuses the jobs that no commit can have stored.
func (k *Manager) refuseWaiting() {
	for id, s := range k.submits {
		if s.carrier == nil && !s.exposed && !s.left {
			delete(k.submits, id)
			s.tell(Refused)
		}
	}
}

// refused takes a batch apart that the store certainly didn't take, unless an
// earlier attempt may have happened.
func (k *Manager) refused(b *batch) {
	if b.uncertain || b.open > 0 {
		k.turnAway(b)
		k.resend(b)
		return
	}
	k.land(b)
	if b.lane.isHead() {
		k.pool.RosterStored(rosterOf(k.head))
	}
	b.lane.nextTry = time.Now().Add(commitRetry)
	for _, s := range b.submissions {
		s.exposed = false
		if !s.left && (s.withdrawn || time.Since(s.since) > refuseAfter) {
			delete(k.submits, s.record.ID)
			s.tell(Refused)
		}
	}
}

// resend sends a batch again after a pause, when no attempt is under way.
func (k *Manager) resend(b *batch) {
	if b.open > 0 {
		return
	}
	time.AfterFunc(commitRetry, func() {
		k.doPart(k.ctx, partCommits, func() { k.repeat(b) })
	})
}

// conflicted tells apart an earlier attempt of the same batch from a change
// that someone else made.
func (k *Manager) conflicted(b *batch, conflict *store.TxnConflictError) {
	entry := conflict.Find(b.lane.key(k.Pool))
	record, err := poolstore.DecodeHead(entry)
	ours := err == nil && record.Holder == k.Holder && record.Fence == k.head.Fence
	switch {
	case ours && record.Sequence == b.change:
		k.apply(b, entry.ModRevision)
	case ours && entry.ModRevision == b.lane.revision && b.reclaims:
		// Only the claim was in the way: it is there already.
		k.reclaim = false
		k.refused(b)
	default:
		k.Log.Warn().Str("holder", record.Holder).Int64("fence", record.Fence).Int("lane", b.lane.index).
			Msg("The pool was changed by another process.")
		k.pool.SetFenced()
	}
}

// apply takes over that a batch is stored.
func (k *Manager) apply(b *batch, revision store.Revision) {
	now, wall := time.Now(), k.WallClock()
	k.Metrics.entries.Add(float64(b.txn.OpCount()))
	k.land(b)
	b.lane.revision, b.lane.change = revision, b.change
	k.confirmed = now
	if b.lane.isHead() {
		k.head, k.stored = b.head, now
		k.pool.RosterStored(rosterOf(b.head))
		k.forget = k.forget[b.forgotten:]
	}
	for _, key := range b.inboxDone {
		delete(k.inboxDone, key)
	}
	if b.reclaims {
		k.reclaim = false
	}
	for _, s := range b.submissions {
		delete(k.submits, s.record.ID)
		if k.pool.Accept(s.record, now, wall) {
			k.Log.Info().Str("job", s.record.ID).Str("queue", s.record.Queue.Name).Int64("revision", int64(revision)).Msg("Accepted a job.")
		}
		s.tell(Stored)
		if k.cancels[s.record.ID] != nil {
			k.pool.Cancel(s.record.ID, now, wall)
		}
	}
	k.progressStored(b.changes, revision)
}

// progressStored takes over that the progress of jobs is stored.
func (k *Manager) progressStored(changes []sched.Change, revision store.Revision) {
	k.pool.ChangesStored(changes)
	for _, change := range changes {
		if state := change.Progress.State; state != "" {
			story := change.Summary
			k.Log.Info().Str("job", change.Job).Str("queue", story.Queue).Str("state", string(state)).
				Dur("age_ms", story.Age).Dur("goal_ms", story.Goal).Dur("waited_ms", story.Waited).
				Int("starts", story.Starts).Str("failure", story.Failure).Int64("revision", int64(revision)).Msg("A job has ended.")
			k.Metrics.ended(string(state), story.Age, story.Waited)
		}
		if c := k.cancels[change.Job]; c != nil && k.pool.Stored(change.Job) {
			delete(k.cancels, change.Job)
			c.tell(Stored)
		}
	}
}
