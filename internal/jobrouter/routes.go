package jobrouter

import (
	"context"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/store"
)

// combine merges the results a and b of two routes for the same request: Stored takes
// precedence, then Conflict, Elsewhere and JobNotFound, and a refusal does not override an unknown
// outcome.
func combine(a, b poolmanager.Result) poolmanager.Result {
	switch {
	case a == poolmanager.Stored || b == poolmanager.Stored:
		return poolmanager.Stored
	case a == poolmanager.Conflict || b == poolmanager.Conflict:
		return poolmanager.Conflict
	case a == poolmanager.Elsewhere || b == poolmanager.Elsewhere:
		return poolmanager.Elsewhere
	case a == poolmanager.JobNotFound || b == poolmanager.JobNotFound:
		return poolmanager.JobNotFound
	case a == poolmanager.ResultUnknown || b == poolmanager.ResultUnknown:
		return poolmanager.ResultUnknown
	}
	return b
}

type localCall func(ctx context.Context, manager *poolmanager.Manager) poolmanager.Result

type remoteCall func(ctx context.Context, address string, relay bool) (poolmanager.Result, bool, error)

// everyRoute tries the pool's holder, then the pool's inbox in the store, then other
// entry hosts. JobNotFound is final only if the store reports it, a refusal for want of
// room only if the holder does. refusals counts the other entry hosts that refused.
func (r *Router) everyRoute(
	ctx context.Context, pool string, local localCall, writeToStore func() poolmanager.Result, remote remoteCall,
) (result poolmanager.Result, refusals int) {
	result = r.viaHolder(ctx, pool, local, remote)
	if result == poolmanager.Stored || result == poolmanager.Conflict || result == poolmanager.Elsewhere || result.ForRoom() {
		return result, 0
	}
	written := writeToStore()
	if written == poolmanager.JobNotFound || written == poolmanager.Conflict || written == poolmanager.Elsewhere {
		return written, 0
	}
	if result = combine(result, written); result == poolmanager.Stored {
		return result, 0
	}
	return r.viaRelays(ctx, result, remote)
}

// viaHolder sends the request to the pool's holder.
func (r *Router) viaHolder(ctx context.Context, pool string, local localCall, remote remoteCall) poolmanager.Result {
	ctx, cancel := context.WithTimeout(ctx, holderCommitTimeout)
	defer cancel()
	if manager := r.Local.PoolManager(pool); manager != nil {
		return local(ctx, manager)
	}
	address, ok := r.remote(pool)
	if !ok {
		return poolmanager.Refused
	}
	result, _, err := remote(ctx, address, false)
	if err != nil {
		r.avoidPeer(address, err)
	}
	return result
}

// viaRelays sends the request to other entry hosts, which may reach the store when
// this one cannot. combined merges result with their results.
func (r *Router) viaRelays(ctx context.Context, result poolmanager.Result, remote remoteCall) (combined poolmanager.Result, refusals int) {
	for _, address := range r.relays() {
		if ctx.Err() != nil {
			break
		}
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		reply, _, err := remote(attempt, address, true)
		cancel()
		switch {
		case err != nil:
			r.avoidPeer(address, err)
		case reply == poolmanager.Refused:
			refusals++
		}
		result = combine(result, reply)
		if result == poolmanager.Stored {
			break
		}
	}
	return result, refusals
}

// writeInbox writes a value to a pool's inbox unless the key exists, together with txn.
// conflict is set if a condition did not hold; the result is Stored if the key exists and
// Refused if another condition failed, since nothing was written then.
func (r *Router) writeInbox(ctx context.Context, key string, value []byte, txn store.Txn) (result poolmanager.Result, conflict *store.TxnConflictError) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	txn.Conditions = append(txn.Conditions, store.Condition{Key: key})
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	_, err := r.Store.Commit(ctx, txn)
	conflict, failed := err.(*store.TxnConflictError)
	switch {
	case err == nil:
		return poolmanager.Stored, nil
	case failed && conflict.Find(key).ModRevision != 0:
		return poolmanager.Stored, conflict
	case failed || store.IsRefused(err):
		return poolmanager.Refused, conflict
	}
	return poolmanager.ResultUnknown, nil
}
