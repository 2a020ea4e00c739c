package poolstore

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// queuePrefix is the prefix of the records that name, for each queue, the pools that
// have jobs of it. A job stays in the pool that accepted it, while later versions of the
// configuration may send its queue to other pools or remove it.
//
// Every commit that accepts jobs of a queue requires that the queue's record is as the
// pool knows it, with the pool in it; where the record names further pools, also that
// none of them has the job. Of two pools that accept the same job, one fails.
const queuePrefix = "glade/queue/"

// QueueKey is the key of the record of a queue's pools. path is where clients reach the
// queue. Queues whose paths have one hash share a record, which costs them conditions only.
func QueueKey(path string) string {
	return queuePrefix + strconv.FormatUint(xxhash.Sum64String(path), 16)
}

// QueuePools is the record of the pools that have jobs of a queue.
type QueuePools struct {
	Pools []string `json:"p"`
	// Revision is the record's, zero if it is absent.
	Revision store.Revision `json:"-"`
}

// Encode returns the stored form.
func (q QueuePools) Encode() []byte {
	data, err := json.Marshal(q)
	if err != nil {
		// Not reached: the field is a slice of strings.
		panic(err)
	}
	return data
}

// Has reports whether the record names a pool.
func (q QueuePools) Has(pool string) bool { return slices.Contains(q.Pools, pool) }

// Others returns the pools in the record without one.
func (q QueuePools) Others(pool string) []string {
	return slices.DeleteFunc(slices.Clone(q.Pools), func(other string) bool { return other == pool })
}

// With returns the record with a pool added.
func (q QueuePools) With(pool string) QueuePools {
	return QueuePools{Pools: append(slices.Clone(q.Pools), pool)}
}

// Registration returns what a transaction needs that accepts a job of the queue in a pool:
// that the record is unchanged, and the pool in it.
func (q QueuePools) Registration(key, pool string) (txn store.Txn) {
	txn.Conditions = []store.Condition{{Key: key, Expect: q.Revision}}
	if !q.Has(pool) {
		txn.Puts = []store.Put{{Key: key, Value: q.With(pool).Encode()}}
	}
	return txn
}

// DecodeQueuePools decodes a record or returns *work.CorruptError. That of an absent entry
// names no pools.
func DecodeQueuePools(entry store.Entry) (QueuePools, error) {
	q := QueuePools{Revision: entry.ModRevision}
	if entry.ModRevision == 0 {
		return q, nil
	}
	if err := json.Unmarshal(entry.Value, &q); err != nil {
		return q, &work.CorruptError{What: "pools of a queue", Cause: err}
	}
	return q, nil
}

// ReadQueuePools reads the record of a queue.
func ReadQueuePools(ctx context.Context, s store.Store, path string) (QueuePools, error) {
	entry, err := s.Get(ctx, QueueKey(path))
	if err != nil && !store.IsNotFound(err) {
		return QueuePools{}, err
	}
	return DecodeQueuePools(entry)
}

// ListQueuePools reads the records of all queues, by key. Those that can't be decoded are
// returned as errors and left out.
func ListQueuePools(ctx context.Context, s store.Store) (queues map[string]QueuePools, faults []error, err error) {
	listing, err := s.List(ctx, queuePrefix)
	if err != nil {
		return nil, nil, err
	}
	queues = make(map[string]QueuePools)
	for _, entry := range listing.Entries {
		q, err := DecodeQueuePools(entry)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		queues[entry.Key] = q
	}
	return queues, faults, nil
}

// JobAbsent returns the conditions for a pool to have no job with an ID, neither accepted
// nor in its inbox.
func JobAbsent(pool, id string) []store.Condition {
	return []store.Condition{{Key: JobKey(pool, id)}, {Key: InboxJobKey(pool, id)}}
}

// HasJob reports whether a failed transaction with the conditions of JobAbsent has found
// the job in a pool.
func HasJob(conflict *store.TxnConflictError, pool, id string) bool {
	return slices.ContainsFunc(JobAbsent(pool, id), func(c store.Condition) bool { return conflict.Find(c.Key).ModRevision != 0 })
}
