package storeaccess

import (
	"context"
	"slices"
	"time"

	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

const (
	// throttledFor is how long the store must have refused all calls for its rate limit
	// before another entry host makes them. A store that is busy refuses some calls of
	// all, and each refused call would be made several times.
	throttledFor = 300 * time.Millisecond
	// relayBackoff is the pause after all entry hosts that were asked were refused too:
	// the store is then unavailable to all.
	relayBackoff = time.Second
	// relayTimeout bounds the waits of one call through other entry hosts, and of a list by
	// a relay. listThroughTimeout is that of a list, which an entry host reads itself before
	// it sends the first of it.
	relayTimeout       = 700 * time.Millisecond
	listThroughTimeout = followTimeout
)

// throughPeers makes a call to the store, and makes it through other entry hosts if the
// store refuses this one and may serve others. A holder that the store alone turns away
// would otherwise store nothing until its claim expires and another one has taken over.
// Only a call that certainly wasn't carried out is made again. timeout bounds each wait of
// all tries through others for more of an answer.
func throughPeers[T any](ctx context.Context, a *Access, timeout time.Duration, direct func() (T, error), via func(ctx context.Context, address string) (T, error)) (T, error) {
	result, err := direct()
	if !a.refused(err) {
		return result, err
	}
	peers := a.peersToTry(err)
	if len(peers) == 0 {
		return result, err
	}
	ctx, cancel := progress.WithTimeout(ctx, timeout)
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
