package desk

import (
	"context"

	"auburnglade.example/glade/internal/keeper"
	"auburnglade.example/glade/internal/store"
)

// worse joins the results of two ways to the same end: one that stored it
// stands, and one that may have done so taints a refusal.
func worse(a, b keeper.Result) keeper.Result {
	switch {
	case a == keeper.Stored || b == keeper.Stored:
		return keeper.Stored
	case a == keeper.JobNotFound || b == keeper.JobNotFound:
		return keeper.JobNotFound
	case a == keeper.ResultUnknown || b == keeper.ResultUnknown:
		return keeper.ResultUnknown
	}
	return b
}

type localCall func(ctx context.Context, k *keeper.Manager) keeper.Result

type remoteCall func(ctx context.Context, address string, relay bool) (keeper.Result, bool, error)

// everyWay tries the pool's holder, then to leave the call in the store, then
// other entry hosts. That there is no such job is only believed of the store.
// refusals is how many other entry hosts have refused.
func (d *Router) everyWay(ctx context.Context, pool string, local localCall, leave func() keeper.Result, remote remoteCall) (result keeper.Result, refusals int) {
	result = d.viaHolder(ctx, pool, local, remote)
	if result == keeper.Stored {
		return result, 0
	}
	left := leave()
	if left == keeper.JobNotFound {
		return left, 0
	}
	if result = worse(result, left); result == keeper.Stored {
		return result, 0
	}
	return d.viaRelays(ctx, result, remote)
}

// viaHolder tries the pool's holder.
func (d *Router) viaHolder(ctx context.Context, pool string, local localCall, remote remoteCall) keeper.Result {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	if k := d.Local.PoolManager(pool); k != nil {
		return local(ctx, k)
	}
	address, ok := d.remote(pool)
	if !ok {
		return keeper.Refused
	}
	result, _, err := remote(ctx, address, false)
	if err != nil {
		d.shun(address, err)
	}
	return result
}

// viaRelays asks other entry hosts, which may have the store that we lack.
func (d *Router) viaRelays(ctx context.Context, result keeper.Result, remote remoteCall) (joined keeper.Result, refusals int) {
	for _, address := range d.relays() {
		if ctx.Err() != nil {
			break
		}
		attempt, cancel := context.WithTimeout(ctx, storeWithin)
		answer, _, err := remote(attempt, address, true)
		cancel()
		switch {
		case err != nil:
			d.shun(address, err)
		case answer == keeper.Refused:
			refusals++
		}
		result = worse(result, answer)
		if result == keeper.Stored {
			break
		}
	}
	return result, refusals
}

// leave writes a value into a pool's inbox unless it is there.
func (d *Router) leave(ctx context.Context, key string, value []byte) keeper.Result {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	_, err := d.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	switch {
	case err == nil || store.IsTxnConflict(err):
		return keeper.Stored
	case store.IsRefused(err):
		return keeper.Refused
	}
	return keeper.ResultUnknown
}
