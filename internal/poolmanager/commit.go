package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// batch is one commit in flight. It is sent until its outcome is known: its
// lane's key tells whether it was applied, since no other writer uses the same
// sequence number.
type batch struct {
	lane *lane
	txn  store.Txn
	// sequence is the batch's number in its lane; head is the pool's head that a
	// batch of the first lane writes.
	sequence    int64
	head        poolstore.Head
	submissions []*submission
	// queues are the keys of the queues' records that it depends on.
	queues    []string
	changes   []sched.Change
	inboxKeys []string
	// expiredJobs counts the expired jobs that this batch deletes.
	expiredJobs int
	// restoresClaim is set when the batch writes the claim again.
	restoresClaim bool
	// sentAt is when the batch was first sent.
	sentAt time.Time
	// inFlight counts the attempts without an outcome. maybeApplied is set once
	// an attempt ended without a response.
	inFlight     int
	maybeApplied bool
}

// minInterval returns the least time until the next commit of the same lane.
func (b *batch) minInterval() time.Duration {
	if b.full() {
		return fullCommitMinInterval
	}
	return commitMinInterval
}

// commit sends pending changes: one batch at a time on the first lane, and more
// on the side lanes while the store is slow.
func (m *Manager) commit(now time.Time) {
	if m.releaseDone != nil {
		m.finishRelease()
		return
	}
	l := m.lanes[0]
	if l.batch != nil {
		m.commitOnSideLane(now)
		return
	}
	if now.Before(l.notBefore) {
		return
	}
	b := m.newBatch(l, now)
	if b == nil {
		return
	}
	m.pool.RosterSent(rosterOf(b.head))
	m.launch(l, b, now)
}

// launch sends a batch for the first time.
func (m *Manager) launch(l *lane, b *batch, now time.Time) {
	l.batch, b.sentAt = b, now
	for _, change := range b.changes {
		m.committing[change.Job] = true
	}
	m.send(b)
}

// newBatch collects as many changes as one transaction takes. It returns nil when
// there is nothing to store.
func (m *Manager) newBatch(l *lane, now time.Time) *batch {
	headKey := l.key(m.Pool)
	b := &batch{lane: l, head: m.head}
	b.head.Sequence++
	b.sequence = b.head.Sequence
	roster := m.pool.Roster(now)
	b.head.LeaseMs = m.Sched.LeaseTTL.Milliseconds()
	b.head.HostsInUse, b.head.Unresponsive = roster.InUse, roster.Unresponsive
	b.txn.Conditions = []store.Condition{{Key: headKey, Expect: l.revision}}
	room := store.MaxTxnOps - len(b.txn.Conditions) - 1
	if m.claimMissing {
		key := poolstore.ClaimKey(m.Pool)
		b.restoresClaim = true
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: key})
		b.txn.Puts = append(b.txn.Puts, store.Put{Key: key, Value: m.takeover.Claim, Lease: m.takeover.Lease})
		room -= 2
	}
	room = m.addJobs(b, room)
	m.addRetirements(b, m.addDeletes(b, room), now)
	if len(b.txn.Puts)+len(b.txn.Deletes) == 0 && !m.rosterStale(roster) {
		return nil
	}
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: headKey, Value: b.head.Encode()})
	return b
}

// addJobs adds submitted jobs and job progress that no other batch in flight
// contains, up to room operations, and returns the room left.
func (m *Manager) addJobs(b *batch, room int) int {
	for _, s := range m.submissions {
		if room > 0 && s.batch == nil {
			room = m.addSubmission(b, s, room)
		}
	}
	return m.addProgress(b, room)
}

// addProgress adds job progress that no other batch in flight contains, up to
// room operations, and returns the room left.
func (m *Manager) addProgress(b *batch, room int) int {
	b.changes = m.pool.Changes(room, m.committing)
	for _, change := range b.changes {
		b.txn.Puts = append(b.txn.Puts, store.Put{
			Key: poolstore.ProgressKey(m.Pool, change.Job), Value: work.EncodeProgress(change.Progress),
		})
	}
	return room - len(b.changes)
}

// detach removes a batch whose outcome is known from its lane.
func (m *Manager) detach(b *batch) {
	b.lane.batch = nil
	for _, s := range b.submissions {
		s.batch = nil
	}
	m.releaseQueues(b)
	for _, change := range b.changes {
		delete(m.committing, change.Job)
	}
}

// addDeletes adds the deletion of applied inbox entries and of expired jobs, up
// to room operations, and returns the room left.
func (m *Manager) addDeletes(b *batch, room int) int {
	for key := range m.inboxApplied {
		if room > 0 && m.inboxEntryStored(b, key) {
			b.inboxKeys = append(b.inboxKeys, key)
			b.txn.Deletes = append(b.txn.Deletes, key)
			room--
		}
	}
	for i := 0; i < len(m.expiredJobs) && room >= 2; i++ {
		id := m.expiredJobs[i]
		b.expiredJobs++
		b.txn.Deletes = append(b.txn.Deletes, poolstore.JobKey(m.Pool, id), poolstore.ProgressKey(m.Pool, id))
		room -= 2
	}
	return room
}

// inboxEntryStored reports whether the request in an inbox entry is stored or
// will be by this batch. An entry deleted earlier would be lost if this process
// failed.
func (m *Manager) inboxEntryStored(b *batch, key string) bool {
	id, cancel := poolstore.ParseInboxKey(m.Pool, key)
	if cancel {
		return m.submissions[id] == nil && (!m.pool.Has(id) || m.pool.Stored(id))
	}
	if m.pool.Has(id) {
		return true
	}
	for _, s := range b.submissions {
		if s.record.ID == id {
			return true
		}
	}
	return false
}

// rosterStale reports whether the roster alone justifies a commit. A successor
// does not wait for a host in use that is missing from the stored roster, and
// waits seconds in vain for one that is listed there and no longer in use.
func (m *Manager) rosterStale(roster sched.Roster) bool {
	if m.pool.AwaitsRoster() {
		return true
	}
	stored := make(map[string]bool, len(m.head.HostsInUse))
	for _, id := range m.head.HostsInUse {
		stored[id] = true
	}
	kept, newlyUnresponsive := 0, false
	for _, id := range roster.InUse {
		_, unresponsive := roster.Unresponsive[id]
		_, storedUnresponsive := m.head.Unresponsive[id]
		if !stored[id] || storedUnresponsive && !unresponsive {
			return true
		}
		kept++
		newlyUnresponsive = newlyUnresponsive || unresponsive && !storedUnresponsive
	}
	if kept < len(stored) && m.pool.HasDrainedInRoster() {
		return true
	}
	return (kept < len(stored) || newlyUnresponsive) && time.Since(m.committedAt) > rosterShrinkInterval
}

func rosterOf(head poolstore.Head) sched.Roster {
	return sched.Roster{InUse: head.HostsInUse, Unresponsive: head.Unresponsive}
}

// rosterShrinkInterval is the least time between two commits that only remove
// hosts from the roster or mark them as unresponsive.
const rosterShrinkInterval = 700 * time.Millisecond

const (
	// commitTimeout bounds one attempt of a commit; a slow store takes a few
	// hundred milliseconds.
	commitTimeout = 1500 * time.Millisecond
	// commitHedgeMinDelay is how long a commit waits for a response before it is
	// sent again while the first attempt is still in flight. Only one of the
	// attempts can apply: the other one finds the head changed. With a single
	// attempt at a time, one lost response delays everything that clients wait
	// for until the timeout.
	commitHedgeMinDelay = 120 * time.Millisecond
	// commitHedgeFactor times the commit latency is the least delay before a
	// commit is sent again, so that a slow store does not receive every commit
	// several times.
	commitHedgeFactor = 3
	// maxCommitAttempts bounds the attempts of one batch in flight at the same
	// time.
	maxCommitAttempts = 4
)

// send makes one attempt to commit a batch and schedules the next one.
func (m *Manager) send(b *batch) {
	b.inFlight++
	go func() {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(m.ctx, commitTimeout)
		revision, err := m.Store.Commit(ctx, b.txn)
		cancel()
		took := time.Since(sent)
		m.Metrics.commitSeconds.Observe(took.Seconds())
		m.enqueuePart(m.ctx, partCommits, func() { m.handleCommitResult(b, revision, err, sent, took) })
	}()
	time.AfterFunc(max(commitHedgeMinDelay, commitHedgeFactor*m.commitLatency), func() {
		m.enqueuePart(m.ctx, partCommits, func() { m.sendAgain(b) })
	})
}

// sendAgain makes another attempt for a batch that has no outcome yet.
func (m *Manager) sendAgain(b *batch) {
	if b.lane.batch != b || b.inFlight >= maxCommitAttempts {
		return
	}
	m.Metrics.commits.WithLabelValues("repeated").Inc()
	m.send(b)
}

// resolveWaiters ends all waiting Submit and Cancel calls when the manager stops.
func (m *Manager) resolveWaiters() {
	for _, s := range m.submissions {
		if s.maybeStored {
			s.resolve(ResultUnknown)
		} else {
			s.resolve(Refused)
		}
	}
	for _, c := range m.cancellations {
		c.resolve(ResultUnknown)
	}
}

// RestoreClaim requests that the claim be written again under lease: it has
// vanished, and no other process has taken over the pool.
func (m *Manager) RestoreClaim(lease store.LeaseID) {
	m.enqueue(context.Background(), func() {
		if m.releaseDone == nil {
			m.takeover.Lease, m.claimMissing = lease, true
		}
	})
}

// Release releases the pool's claim. It returns when that is done, when the
// manager has stopped, or when ctx ends.
func (m *Manager) Release(ctx context.Context) {
	done := make(chan struct{})
	m.enqueue(ctx, func() {
		m.releaseDone = done
		m.refuseUncommitted()
	})
	select {
	case <-done:
	case <-m.stopped:
	case <-ctx.Done():
	}
}

// finishRelease deletes the claim with the last commit, as soon as no other
// commit is in flight. Progress that does not fit into that commit reaches the
// next holder from the hosts, which report again the run ends that were not
// acknowledged. Waiting until nothing is left to store would never release a pool
// during a demand burst: the process would be killed while it holds the pool, and
// the pool would stand still until the lease expires.
func (m *Manager) finishRelease() {
	if m.released || !m.idle() {
		return
	}
	m.released = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(m.ctx), releaseTimeout)
	defer cancel()
	b := m.newReleaseBatch()
	revision, err := m.Store.Commit(ctx, b.txn)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Failed to release the claim; it will expire with its lease.")
	} else {
		m.Log.Info().Int64("fence", m.takeover.Head.Fence).Int("jobs_stored", len(b.changes)).Msg("Released the pool.")
		m.progressStored(b.changes, revision)
	}
	close(m.releaseDone)
}

// releaseTimeout bounds the last commit; it is a small part of the grace period
// in which a process has to shut down.
const releaseTimeout = time.Second

// newReleaseBatch collects the last commit: as much progress as fits, the head
// marked as released, and the deletion of the claim.
func (m *Manager) newReleaseBatch() *batch {
	l := m.lanes[0]
	b := &batch{lane: l, head: m.head}
	b.head.Sequence++
	b.head.Released = true
	b.txn.Conditions = []store.Condition{{Key: l.key(m.Pool), Expect: l.revision}}
	b.txn.Deletes = []string{poolstore.ClaimKey(m.Pool)}
	m.addProgress(b, store.MaxTxnOps-b.txn.OpCount()-1)
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: l.key(m.Pool), Value: b.head.Encode()})
	return b
}
