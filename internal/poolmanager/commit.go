package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// batch is one commit on its way. It is sent until its outcome is known:
// whether it happened is seen from its lane's key, since nobody else writes the
// same change number.
type batch struct {
	lane *lane
	txn  store.Txn
	// change is its number in its lane; head is what a batch of the head's lane
	// writes.
	change      int64
	head        poolstore.Head
	submissions []*submission
	changes     []sched.Change
	inboxDone   []string
	forgotten   int
	reclaims    bool
	// begun is when it was first sent.
	begun time.Time
	// open counts the attempts without an outcome; uncertain: one ended without
	// an answer.
	open      int
	uncertain bool
}

// pause is the least time until the next commit of its lane.
func (b *batch) pause() time.Duration {
	if b.full() {
		return fullPause
	}
	return commitPause
}

// commit sends what is to be stored, one batch at a time, and more of them
// beside it while the store is slow.
func (k *Manager) commit(now time.Time) {
	if k.closing != nil {
		k.finishRelease()
		return
	}
	l := k.lanes[0]
	if l.batch != nil {
		k.commitAside(now)
		return
	}
	if now.Before(l.nextTry) {
		return
	}
	b := k.newBatch(l, now)
	if b == nil {
		return
	}
	k.pool.RosterSent(rosterOf(b.head))
	k.launch(l, b, now)
}

// launch sends a batch for the first time.
func (k *Manager) launch(l *lane, b *batch, now time.Time) {
	l.batch, b.begun = b, now
	for _, change := range b.changes {
		k.storing[change.Job] = true
	}
	k.send(b)
}

// newBatch collects as much as one transaction takes, or returns nil when
// there is nothing to store.
func (k *Manager) newBatch(l *lane, now time.Time) *batch {
	headKey := l.key(k.Pool)
	b := &batch{lane: l, head: k.head}
	b.head.Sequence++
	b.change = b.head.Sequence
	roster := k.pool.Roster(now)
	b.head.HostsInUse, b.head.Unresponsive = roster.InUse, roster.Unresponsive
	b.txn.Conditions = []store.Condition{{Key: headKey, Expect: l.revision}}
	room := store.MaxTxnOps - len(b.txn.Conditions) - 1
	if k.reclaim {
		key := poolstore.ClaimKey(k.Pool)
		b.reclaims = true
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: key})
		b.txn.Puts = append(b.txn.Puts, store.Put{Key: key, Value: k.grant.Claim, Lease: k.grant.Lease})
		room -= 2
	}
	room = k.addJobs(b, room)
	k.addDeletes(b, room)
	if len(b.txn.Puts)+len(b.txn.Deletes) == 0 && !k.rosterStale(roster) {
		return nil
	}
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: headKey, Value: b.head.Encode()})
	return b
}

// addJobs adds jobs handed in and progress that no other batch on its way
// contains, as far as there is room, and returns what room is left.
func (k *Manager) addJobs(b *batch, room int) int {
	for _, s := range k.submits {
		if room > 0 && s.carrier == nil {
			b.submissions = append(b.submissions, s)
			b.txn.Puts = append(b.txn.Puts, store.Put{Key: poolstore.JobKey(k.Pool, s.record.ID), Value: work.EncodeRecord(s.record)})
			s.exposed, s.carrier = true, b
			room--
		}
	}
	return k.addProgress(b, room)
}

// addProgress adds progress that no other batch on its way contains, and returns
// what room is left.
func (k *Manager) addProgress(b *batch, room int) int {
	b.changes = k.pool.Changes(room, k.storing)
	for _, change := range b.changes {
		b.txn.Puts = append(b.txn.Puts, store.Put{
			Key: poolstore.ProgressKey(k.Pool, change.Job), Value: work.EncodeProgress(change.Progress),
		})
	}
	return room - len(b.changes)
}

// land takes a batch whose outcome is known off its lane.
func (k *Manager) land(b *batch) {
	b.lane.batch = nil
	for _, s := range b.submissions {
		s.carrier = nil
	}
	for _, change := range b.changes {
		delete(k.storing, change.Job)
	}
}

// addDeletes adds what is not needed any more, as far as there is room.
func (k *Manager) addDeletes(b *batch, room int) {
	for key := range k.inboxDone {
		if room > 0 && k.takenOver(b, key) {
			b.inboxDone = append(b.inboxDone, key)
			b.txn.Deletes = append(b.txn.Deletes, key)
			room--
		}
	}
	for i := 0; i < len(k.forget) && room >= 2; i++ {
		id := k.forget[i]
		b.forgotten++
		b.txn.Deletes = append(b.txn.Deletes, poolstore.JobKey(k.Pool, id), poolstore.ProgressKey(k.Pool, id))
		room -= 2
	}
}

// takenOver reports whether what a key of the inbox asks for is stored, or
// will be by this batch. Deleted sooner, it would be lost with this process.
func (k *Manager) takenOver(b *batch, key string) bool {
	id, cancel := poolstore.ParseInboxKey(k.Pool, key)
	if cancel {
		return k.submits[id] == nil && (!k.pool.Has(id) || k.pool.Stored(id))
	}
	if k.pool.Has(id) {
		return true
	}
	for _, s := range b.submissions {
		if s.record.ID == id {
			return true
		}
	}
	return false
}

// rosterStale reports whether the roster has to be stored for its own sake. A
// host in use that the store doesn't name would not be waited for by a
// successor; one that it names in vain would be, for seconds.
func (k *Manager) rosterStale(roster sched.Roster) bool {
	stored := make(map[string]bool, len(k.head.HostsInUse))
	for _, id := range k.head.HostsInUse {
		stored[id] = true
	}
	kept, fallenSilent := 0, false
	for _, id := range roster.InUse {
		_, silent := roster.Unresponsive[id]
		_, known := k.head.Unresponsive[id]
		if !stored[id] || known && !silent {
			return true
		}
		kept++
		fallenSilent = fallenSilent || silent && !known
	}
	if kept < len(stored) && k.pool.HasDrainedInRoster() {
		return true
	}
	return (kept < len(stored) || fallenSilent) && time.Since(k.stored) > shrinkPause
}

func rosterOf(head poolstore.Head) sched.Roster {
	return sched.Roster{InUse: head.HostsInUse, Unresponsive: head.Unresponsive}
}

// shrinkPause is the least time between two commits that only take hosts off
// the roster.
const shrinkPause = 700 * time.Millisecond

const (
	// commitTimeout bounds one attempt of a commit; a slow store takes some
	// hundred milliseconds.
	commitTimeout = 1500 * time.Millisecond
	// repeatLeast is how long a commit is without an answer before it is sent
	// again beside the first attempt: whichever happens, the other finds the
	// pool's head changed. With one attempt at a time, a lost answer held up
	// all that clients wait for until its time-out.
	repeatLeast = 120 * time.Millisecond
	// repeatFactor times the usual time of a commit is waited at least, so
	// that a slow store isn't asked several times for everything.
	repeatFactor = 3
	// mostAttempts bounds the attempts under way.
	mostAttempts = 4
)

// send makes one attempt and sees to the next one.
func (k *Manager) send(b *batch) {
	b.open++
	go func() {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(k.ctx, commitTimeout)
		revision, err := k.Store.Commit(ctx, b.txn)
		cancel()
		took := time.Since(sent)
		k.Metrics.commitSec.Observe(took.Seconds())
		k.doPart(k.ctx, partCommits, func() { k.committed(b, revision, err, took) })
	}()
	time.AfterFunc(max(repeatLeast, repeatFactor*k.commitTook), func() {
		k.doPart(k.ctx, partCommits, func() { k.repeat(b) })
	})
}

// repeat sends a batch again that has no outcome yet.
func (k *Manager) repeat(b *batch) {
	if b.lane.batch != b || b.open >= mostAttempts {
		return
	}
	k.Metrics.commits.WithLabelValues("repeated").Inc()
	k.send(b)
}

// abandon tells everyone who still waits.
func (k *Manager) abandon() {
	for _, s := range k.submits {
		if s.exposed {
			s.tell(ResultUnknown)
		} else {
			s.tell(Refused)
		}
	}
	for _, c := range k.cancels {
		c.tell(ResultUnknown)
	}
}

// RestoreClaim asks for the claim to be written again under a lease: it vanished,
// and nobody else took the pool over.
func (k *Manager) RestoreClaim(lease store.LeaseID) {
	k.do(context.Background(), func() {
		if k.closing == nil {
			k.grant.Lease, k.reclaim = lease, true
		}
	})
}

// Release gives the pool up. It returns when that is done or ctx ends.
func (k *Manager) Release(ctx context.Context) {
	closed := make(chan struct{})
	k.do(ctx, func() {
		k.closing = closed
		k.refuseWaiting()
	})
	select {
	case <-closed:
	case <-k.ended:
	case <-ctx.Done():
	}
}

// finishRelease deletes the claim with the last commit, as soon as none is on its
// way. What doesn't fit into that one is told again to the next holder, by hosts
// whose ends weren't taken note of. Waiting until nothing was left to store, a
// pool in its turn of demand was never given up: its holder was killed with it,
// and it stood still until the lease ran out.
func (k *Manager) finishRelease() {
	if k.released || !k.idle() {
		return
	}
	k.released = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(k.ctx), releaseTimeout)
	defer cancel()
	b := k.newRelease()
	revision, err := k.Store.Commit(ctx, b.txn)
	if err != nil {
		k.Log.Warn().Err(err).Msg("The claim could not be given up and will lapse.")
	} else {
		k.Log.Info().Int64("fence", k.grant.Head.Fence).Int("jobs_stored", len(b.changes)).Msg("Gave the pool up.")
		k.progressStored(b.changes, revision)
	}
	close(k.closing)
}

// releaseTimeout bounds the last commit; it is a small part of the grace that a
// process has to leave.
const releaseTimeout = time.Second

// newRelease collects the last commit: the progress that fits, the head, and the
// end of the claim.
func (k *Manager) newRelease() *batch {
	l := k.lanes[0]
	b := &batch{lane: l, head: k.head}
	b.head.Sequence++
	b.head.Released = true
	b.txn.Conditions = []store.Condition{{Key: l.key(k.Pool), Expect: l.revision}}
	b.txn.Deletes = []string{poolstore.ClaimKey(k.Pool)}
	k.addProgress(b, store.MaxTxnOps-b.txn.OpCount()-1)
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: l.key(k.Pool), Value: b.head.Encode()})
	return b
}
