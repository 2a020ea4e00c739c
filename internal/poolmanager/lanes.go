package poolmanager

import (
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

const (
	// sideLaneCount is the number of side lanes. With store responses of 250 ms
	// and 29 operations a commit they store 800 operations per second, where the
	// first lane alone stores 110; a pool needs about 500 at its peak.
	sideLaneCount = 8
	// slowCommit is the commit latency, and the age of the first lane's commit in
	// flight, from which side lanes are used. The store usually responds within 4
	// ms, and every call has a cost.
	slowCommit = 50 * time.Millisecond
	// slowStoreLogInterval is how long no side lane must have been used before a
	// slow store is logged again.
	slowStoreLogInterval = 5 * time.Second
	// stuckCommitFactor times the commit latency is the age from which the first
	// lane's commit counts as stuck and side lanes are not used: a store that has
	// stopped responding would leave the outcome of their commits open too, and
	// jobs that could be refused would have an unknown result.
	stuckCommitFactor = 5
)

// lane is a chain of commits, each conditional on its predecessor being the last
// one. The first lane writes the pool's head; the side lanes are also conditional
// on no takeover having happened since. A job is in one commit at a time, so its
// stored progress never goes back, whichever lanes store it in turn.
//
// A single chain limits a pool with a slow store to 30 operations per response,
// while five times as many jobs are submitted and end.
type lane struct {
	index int
	// revision is that of the lane's key, sequence the number of the lane's last
	// commit.
	revision store.Revision
	sequence int64
	batch    *batch
	// notBefore is the earliest time of the lane's next commit.
	notBefore time.Time
}

func newLanes(head store.Revision) []*lane {
	lanes := []*lane{{revision: head}}
	for i := range sideLaneCount {
		lanes = append(lanes, &lane{index: i + 1})
	}
	return lanes
}

// isHead reports whether the lane is the first one, which writes the pool's head.
func (l *lane) isHead() bool { return l.index == 0 }

func (l *lane) key(pool string) string {
	if l.isHead() {
		return poolstore.HeadKey(pool)
	}
	return poolstore.LaneKey(pool, l.index)
}

// idle reports whether no commit is in flight.
func (m *Manager) idle() bool {
	for _, l := range m.lanes {
		if l.batch != nil {
			return false
		}
	}
	return true
}

// commitOnSideLane sends a commit on a side lane while the first lane's commit is
// in flight and the store is slow.
func (m *Manager) commitOnSideLane(now time.Time) {
	age := now.Sub(m.lanes[0].batch.sentAt)
	slow := m.commitLatency >= slowCommit && age >= slowCommit && age < stuckCommitFactor*m.commitLatency
	if !slow || m.releaseDone != nil || !m.sideCommitFull && now.Sub(m.sideCommitAt) < commitMinInterval {
		return
	}
	for _, l := range m.lanes[1:] {
		if l.batch != nil || now.Before(l.notBefore) {
			continue
		}
		if b := m.newSideBatch(l); b != nil {
			if now.Sub(m.sideCommitAt) > slowStoreLogInterval {
				m.Log.Warn().Dur("commit_ms", m.commitLatency).Msg("The store is slow; committing on several lanes in parallel.")
			}
			m.sideCommitAt, m.sideCommitFull = now, b.full()
			m.Metrics.sideCommits.Inc()
			m.launch(l, b, now)
		}
		return
	}
}

// full reports whether the batch fills its transaction.
func (b *batch) full() bool { return b.txn.OpCount() >= store.MaxTxnOps }

// newSideBatch collects a commit for a side lane: submitted jobs and job
// progress, without the head or other state of the pool as a whole. It returns
// nil when there is nothing to store.
func (m *Manager) newSideBatch(l *lane) *batch {
	b := &batch{lane: l, sequence: l.sequence + 1}
	b.txn.Conditions = []store.Condition{
		{Key: poolstore.FenceKey(m.Pool), Expect: m.takeover.Revision}, {Key: l.key(m.Pool), Expect: l.revision},
	}
	m.addJobs(b, store.MaxTxnOps-len(b.txn.Conditions)-1)
	if len(b.txn.Puts) == 0 {
		return nil
	}
	record := poolstore.Head{Fence: m.head.Fence, Holder: m.Holder, Sequence: b.sequence}
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: l.key(m.Pool), Value: record.Encode()})
	return b
}
