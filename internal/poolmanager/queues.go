package poolmanager

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// queueState is what is known of the record of a queue's pools.
type queueState struct {
	poolstore.QueuePools
	// changing is the batch in flight that writes the record, or nil.
	changing *batch
}

// queueStates holds the records of queues by key. They may be out of date: every commit
// depends on those that it uses.
type queueStates map[string]*queueState

func (q queueStates) get(key string) *queueState {
	state := q[key]
	if state == nil {
		state = &queueState{}
		q[key] = state
	}
	return state
}

// loadQueues reads the records of all queues, so that the first commit for a queue does
// not find its record changed. Without them that commit is repeated.
func (m *Manager) loadQueues(ctx context.Context) {
	queues, faults, err := poolstore.ListQueuePools(ctx, m.Store)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Failed to read the pools of queues; they are learned with the first jobs.")
	}
	for _, fault := range faults {
		m.Log.Error().Err(fault).Msg("Cannot decode the pools of a queue.")
	}
	for key, pools := range queues {
		m.queues[key] = &queueState{QueuePools: pools}
	}
}

// addSubmission adds a submitted job to a batch, if that takes at most room operations. It
// returns the room left.
func (m *Manager) addSubmission(b *batch, s *submission, room int) int {
	needs, others, ok := m.submissionTxn(b, s)
	if !ok || needs.OpCount() > room {
		return room
	}
	s.absentFrom = others
	b.txn.Conditions = append(b.txn.Conditions, needs.Conditions...)
	b.txn.Puts = append(b.txn.Puts, needs.Puts...)
	b.submissions = append(b.submissions, s)
	s.maybeStored, s.batch = true, b
	if path := s.record.Queue.Path; path != "" {
		key := poolstore.QueueKey(path)
		b.addQueue(key)
		if q := m.queues.get(key); !q.Has(m.Pool) {
			q.changing = b
		}
	}
	return room - needs.OpCount()
}

// submissionTxn returns what a submitted job adds to a batch, and the pools that must not
// have it. ok is false while another batch writes the record of its queue's pools.
func (m *Manager) submissionTxn(b *batch, s *submission) (txn store.Txn, others []string, ok bool) {
	if path := s.record.Queue.Path; path != "" {
		key := poolstore.QueueKey(path)
		q := m.queues.get(key)
		if q.changing != nil && q.changing != b {
			return txn, nil, false
		}
		if !slices.Contains(b.queues, key) {
			txn = q.Registration(key, m.Pool)
		}
		if !s.inInbox {
			// Accepted in the inbox, a job was absent elsewhere then.
			others = q.Others(m.Pool)
			for _, other := range others {
				txn.Conditions = append(txn.Conditions, poolstore.JobAbsent(other, s.record.ID)...)
			}
		}
	}
	txn.Puts = append(txn.Puts, store.Put{Key: poolstore.JobKey(m.Pool, s.record.ID), Value: work.EncodeRecord(s.record)})
	return txn, others, true
}

// retireInterval is how often queues are looked for of which the pool has no job any more.
const retireInterval = 10 * time.Second

// addRetirements removes the pool from the records of the queues of which it has no job
// any more, up to room operations. Calls for jobs of such a queue then skip the pool, and
// a pool without any needs no holder.
func (m *Manager) addRetirements(b *batch, room int, now time.Time) {
	if now.Sub(m.retiredAt) < retireInterval || b.expiredJobs < len(m.expiredJobs) {
		return
	}
	m.retiredAt = now
	used := make(map[string]bool)
	for path := range m.pool.QueuePaths() {
		used[poolstore.QueueKey(path)] = true
	}
	for _, s := range m.submissions {
		used[poolstore.QueueKey(s.record.Queue.Path)] = true
	}
	for key, q := range m.queues {
		if used[key] || !q.Has(m.Pool) || q.changing != nil || room < retireOps {
			continue
		}
		room -= retireOps
		b.addQueue(key)
		q.changing = b
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: key, Expect: q.Revision})
		if others := q.Others(m.Pool); len(others) > 0 {
			b.txn.Puts = append(b.txn.Puts, store.Put{Key: key, Value: poolstore.QueuePools{Pools: others}.Encode()})
		} else {
			b.txn.Deletes = append(b.txn.Deletes, key)
		}
	}
}

// retireOps is the number of operations of one retirement.
const retireOps = 2

// addQueue records that the batch depends on the record under a key.
func (b *batch) addQueue(key string) {
	if !slices.Contains(b.queues, key) {
		b.queues = append(b.queues, key)
	}
}

// queuesStored updates the records that a batch has written at a revision. What it wrote
// counts, not what is known now: late answers of other attempts may have come since.
func (m *Manager) queuesStored(b *batch, revision store.Revision) {
	for _, key := range b.queues {
		q := m.queues.get(key)
		if q.changing != b || q.Revision > revision {
			continue
		}
		q.QueuePools = b.writtenQueue(key, revision)
		m.Log.Info().Str("queue_key", key).Strs("pools", q.Pools).Int64("revision", int64(revision)).Msg("The pools of a queue have changed.")
	}
}

// writtenQueue returns the record that a batch has written at a revision, the zero record
// if it has deleted it.
func (b *batch) writtenQueue(key string, revision store.Revision) poolstore.QueuePools {
	for _, put := range b.txn.Puts {
		if put.Key == key {
			written, err := poolstore.DecodeQueuePools(store.Entry{Key: key, Value: put.Value, ModRevision: revision})
			if err != nil {
				// The value was encoded here.
				panic(err)
			}
			return written
		}
	}
	return poolstore.QueuePools{}
}

// releaseQueues ends the changes of records by a batch whose outcome is known.
func (m *Manager) releaseQueues(b *batch) {
	for _, key := range b.queues {
		if q := m.queues.get(key); q.changing == b {
			q.changing = nil
		}
	}
}

// queueConflicts reports whether a batch failed because the record of a queue's pools has
// changed or another pool has one of its jobs. It learns the records, and ends the
// submissions of those jobs: they live where they were accepted.
func (m *Manager) queueConflicts(b *batch, conflict *store.TxnConflictError) (found bool) {
	for _, key := range b.queues {
		if entry := conflict.Find(key); entry.ModRevision != b.expected(key) {
			found = true
			m.learnQueue(key, entry)
		}
	}
	for _, s := range b.submissions {
		if other := s.livesIn(conflict); other != "" {
			found = true
			m.Log.Info().Str("job", s.record.ID).Str("queue", s.record.Queue.Name).Str("lives_in", other).Msg("Another pool has accepted a job before.")
			m.dropSubmission(s.record.ID)
			s.resolve(Elsewhere)
		}
	}
	return found
}

// learnQueue updates the record of a queue's pools from a failed commit, unless another one
// has shown a newer record.
func (m *Manager) learnQueue(key string, entry store.Entry) {
	q := m.queues.get(key)
	if entry.ModRevision != 0 && entry.ModRevision <= q.Revision {
		return
	}
	pools, err := poolstore.DecodeQueuePools(entry)
	if err != nil {
		m.Log.Error().Err(err).Str("queue_key", key).Msg("Cannot decode the pools of a queue; they are written anew.")
	}
	q.QueuePools = pools
}

// expected returns the revision that a batch requires of a key.
func (b *batch) expected(key string) store.Revision {
	for _, c := range b.txn.Conditions {
		if c.Key == key {
			return c.Expect
		}
	}
	return 0
}

// livesIn returns the pool that has accepted a submitted job before, as the failed commit of
// its batch shows, or an empty string.
func (s *submission) livesIn(conflict *store.TxnConflictError) string {
	for _, other := range s.absentFrom {
		if poolstore.HasJob(conflict, other, s.record.ID) {
			return other
		}
	}
	return ""
}

// dissolve gives up a batch that can't be applied any more: a record that it depends on
// has changed, or a job exists that must be absent. Its number is not used again, as
// attempts of it may still be under way.
func (m *Manager) dissolve(b *batch) {
	m.detach(b)
	if b.lane.isHead() {
		m.head.Sequence = b.sequence
		m.pool.RosterNotStored(rosterOf(m.head))
	} else {
		b.lane.sequence = b.sequence
	}
	b.lane.notBefore = time.Now()
	for _, s := range b.submissions {
		if m.submissions[s.record.ID] != s {
			continue
		}
		s.maybeStored = false
		if s.withdrawn {
			m.dropSubmission(s.record.ID)
			s.resolve(Refused)
		}
	}
}
