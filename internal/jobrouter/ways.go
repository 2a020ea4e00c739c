package jobrouter

import (
	"context"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/store"
)

// worse joins the results of two ways to the same end: one that stored it
// stands, and one that may have done so taints a refusal.
func worse(a, b poolmanager.Result) poolmanager.Result {
	switch {
	case a == poolmanager.Stored || b == poolmanager.Stored:
		return poolmanager.Stored
	case a == poolmanager.JobNotFound || b == poolmanager.JobNotFound:
		return poolmanager.JobNotFound
	case a == poolmanager.ResultUnknown || b == poolmanager.ResultUnknown:
		return poolmanager.ResultUnknown
	}
	return b
}

type localCall func(ctx context.Context, k *poolmanager.Manager) poolmanager.Result

type remoteCall func(ctx context.Context, address string, relay bool) (poolmanager.Result, bool, error)

// everyWay tries the pool's holder, then to leave the call in the store, then
// other entry hosts. That there is no such job is only believed of the store.
// refusals is how many other entry hosts have refused.
func (d *Router) everyWay(ctx context.Context, pool string, local localCall, leave func() poolmanager.Result, remote remoteCall) (result poolmanager.Result, refusals int) {
	result = d.viaHolder(ctx, pool, local, remote)
	if result == poolmanager.Stored {
		return result, 0
	}
	left := leave()
	if left == poolmanager.JobNotFound {
		return left, 0
	}
	if result = worse(result, left); result == poolmanager.Stored {
		return result, 0
	}
	return d.viaRelays(ctx, result, remote)
}

// viaHolder tries the pool's holder.
func (d *Router) viaHolder(ctx context.Context, pool string, local localCall, remote remoteCall) poolmanager.Result {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	if k := d.Local.PoolManager(pool); k != nil {
		return local(ctx, k)
	}
	address, ok := d.remote(pool)
	if !ok {
		return poolmanager.Refused
	}
	result, _, err := remote(ctx, address, false)
	if err != nil {
		d.shun(address, err)
	}
	return result
}

// viaRelays asks other entry hosts, which may have the store that we lack.
func (d *Router) viaRelays(ctx context.Context, result poolmanager.Result, remote remoteCall) (joined poolmanager.Result, refusals int) {
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
		case answer == poolmanager.Refused:
			refusals++
		}
		result = worse(result, answer)
		if result == poolmanager.Stored {
			break
		}
	}
	return result, refusals
}

// leave writes a value into a pool's inbox unless it is there.
func (d *Router) leave(ctx context.Context, key string, value []byte) poolmanager.Result {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	_, err := d.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	switch {
	case err == nil || store.IsTxnConflict(err):
		return poolmanager.Stored
	case store.IsRefused(err):
		return poolmanager.Refused
	}
	return poolmanager.ResultUnknown
}
