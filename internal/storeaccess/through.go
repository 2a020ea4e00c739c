package storeaccess

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/store"
)

// throughPeers makes a call to the store, and makes it through other entry hosts if the
// store refuses this one and may serve others. A holder that the store alone turns away
// would otherwise store nothing until its claim expires and another one has taken over.
// Only a call that certainly wasn't carried out is made again. timeout bounds all tries
// through others.
func throughPeers[T any](ctx context.Context, a *Access, timeout time.Duration, direct func() (T, error), via func(ctx context.Context, address string) (T, error)) (T, error) {
	result, err := direct()
	if !a.refused(err) {
		return result, err
	}
	peers := a.peersToTry(err)
	if len(peers) == 0 {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range peers {
		relayed, relayErr := via(ctx, address)
		if !store.IsRefused(relayErr) {
			a.Metrics.relayed(true)
			return relayed, relayErr
		}
		a.Metrics.relayed(false)
		a.Log.Debug().Err(relayErr).Str("address", address).Msg("A refused call was not made through another entry host.")
	}
	a.allRefused()
	return result, err
}

// refused records the outcome of a call to the store, and reports whether it refused it.
func (a *Access) refused(err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !store.IsRefused(err) {
		if err == nil {
			a.refusedSince = time.Time{}
		}
		return false
	}
	if a.refusedSince.IsZero() {
		a.refusedSince = time.Now()
	}
	return true
}

// peersToTry returns the entry hosts through which a refused call may be made.
func (a *Access) peersToTry(cause error) []string {
	route := a.Route()
	if !route.HoldsClaims {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if _, throttled := cause.(*store.ThrottledError); throttled && now.Sub(a.refusedSince) < throttledFor || now.Before(a.relayAfter) {
		return nil
	}
	return slices.Concat(route.Relays, route.Fallbacks)
}

// allRefused records that the store refused all entry hosts that were asked.
func (a *Access) allRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relayAfter = time.Now().Add(spread(relayBackoff))
}

// Get implements store.Store.
func (a *Access) Get(ctx context.Context, key string) (store.Entry, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Entry, error) { return a.Direct.Get(ctx, key) },
		func(ctx context.Context, address string) (store.Entry, error) { return a.Peers.Get(ctx, address, key) })
}

// Commit implements store.Transactor.
func (a *Access) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Revision, error) { return a.Direct.Commit(ctx, txn) },
		func(ctx context.Context, address string) (store.Revision, error) {
			return a.Peers.Commit(ctx, address, txn)
		})
}

// Grant implements store.Store.
func (a *Access) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Lease, error) { return a.Direct.Grant(ctx, ttl) },
		func(ctx context.Context, address string) (store.Lease, error) {
			return a.Peers.Grant(ctx, address, ttl)
		})
}

// KeepAlive implements store.Store.
func (a *Access) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Lease, error) { return a.Direct.KeepAlive(ctx, id) },
		func(ctx context.Context, address string) (store.Lease, error) {
			return a.Peers.KeepAlive(ctx, address, id)
		})
}

// CompareAndSwap implements store.Store.
func (a *Access) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	return a.Direct.CompareAndSwap(ctx, write)
}

// Revoke implements store.Store.
func (a *Access) Revoke(ctx context.Context, id store.LeaseID) error { return a.Direct.Revoke(ctx, id) }
