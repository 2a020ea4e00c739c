package jobrouter

import (
	"context"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// A job stays in the pool that accepted it. The configuration says which pool new jobs of
// a queue go to, so a job that this pool does not have may live in another one that the
// queue had before. The record of the queue's pools names them; it is read only for jobs
// that are not where the configuration says.

// queuePools returns the pools that may have jobs of the queue at a path. A process of a
// version that knows no paths asks without one.
func (r *Router) queuePools(ctx context.Context, path string) (poolstore.QueuePools, error) {
	if path == "" {
		return poolstore.QueuePools{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return poolstore.ReadQueuePools(ctx, r.Store, path)
}

// stateElsewhere returns the state of a job that its queue's present pool does not have.
// known is false only if none of the queue's pools has it.
func (r *Router) stateElsewhere(ctx context.Context, job work.JobRef) (state work.State, known bool, err error) {
	queue, err := r.queuePools(ctx, job.Queue)
	if err != nil {
		return "", false, err
	}
	for _, pool := range queue.Others(job.Pool) {
		job.Pool = pool
		if state, known, ok := r.stateFromHolder(ctx, job); ok && known {
			return state, true, nil
		}
		if state, known, err = r.stateFromStore(ctx, job); err != nil || known {
			return state, known, err
		}
	}
	return "", false, nil
}

// cancelAnywhere cancels a job in whichever of its queue's pools has it.
func (r *Router) cancelAnywhere(ctx context.Context, job work.JobRef) poolmanager.Result {
	result := r.cancel(ctx, job)
	if result != poolmanager.JobNotFound {
		return result
	}
	queue, err := r.queuePools(ctx, job.Queue)
	if err != nil {
		return poolmanager.Refused
	}
	for _, pool := range queue.Others(job.Pool) {
		job.Pool = pool
		if result = r.cancel(ctx, job); result != poolmanager.JobNotFound {
			return result
		}
	}
	return poolmanager.JobNotFound
}

// acceptedElsewhere returns the result for a submitted job whose ID another pool of its
// queue has accepted: it is one job, unless it belongs to another organisation.
func (r *Router) acceptedElsewhere(ctx context.Context, record *work.JobRecord) poolmanager.Result {
	job := work.JobRef{Pool: record.Queue.Pool, ID: record.ID, Queue: record.Queue.Path, Organisation: record.Organisation}
	_, known, ok := r.state(ctx, job, true)
	switch {
	case !ok:
		return poolmanager.ResultUnknown
	case known:
		return poolmanager.Stored
	}
	return poolmanager.Conflict
}

// inboxTxn returns what the entry of a job in its pool's inbox depends on: that the pool is
// recorded among those of its queue, and that none of the others has the job.
func (r *Router) inboxTxn(ctx context.Context, record *work.JobRecord) (txn store.Txn, others []string, err error) {
	path := record.Queue.Path
	queue, err := r.queuePools(ctx, path)
	if err != nil || path == "" {
		return txn, nil, err
	}
	txn, others = queue.Registration(poolstore.QueueKey(path), record.Queue.Pool), queue.Others(record.Queue.Pool)
	for _, other := range others {
		txn.Conditions = append(txn.Conditions, poolstore.JobAbsent(other, record.ID)...)
	}
	return txn, others, nil
}
