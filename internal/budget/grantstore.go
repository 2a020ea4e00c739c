package budget

import (
	"context"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// maxSwapAttempts limits the compare-and-swap attempts per call when other
// controllers write the same grant set.
const maxSwapAttempts = 5

// RefusedError reports that the budget does not currently allow a disruption.
type RefusedError struct {
	Service string
	Host    string
	Reason  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("availability budget of service %s does not allow disrupting host %s: %s", e.Service, e.Host, e.Reason)
}

// ContendedError reports that a grant set could not be written or locked because
// of concurrent changes.
type ContendedError struct{ Service string }

func (e *ContendedError) Error() string {
	return fmt.Sprintf("grant set of service %s is contended", e.Service)
}

// GrantStore grants disruptions; every disruption must pass through it. It is safe
// for concurrent use by any number of controllers, because the compare-and-swap on
// the grant set decides. It caches grant sets, so that a grant costs one write and
// no read as long as no other controller writes the same grant set.
type GrantStore struct {
	store store.Store
	cache grantCache
}

// NewGrantStore returns a grant store on top of the platform's store.
func NewGrantStore(s store.Store) *GrantStore { return &GrantStore{store: s} }

// Acquire acquires a grant for host in every given service, in a fixed order. If
// one fails, it releases those already acquired. It returns *RefusedError if a
// budget does not allow the disruption and *ContendedError after too many
// conflicts. The callback returns the state of a service without its grants, which
// Acquire fills in.
func (g *GrantStore) Acquire(ctx context.Context, host string, grant Grant, services []string, state func(service string) ServiceState) error {
	ordered := slices.Sorted(slices.Values(services))
	for i, service := range ordered {
		err := g.acquireOne(ctx, host, grant, service, state(service))
		if err == nil {
			continue
		}
		acquired := ordered[:i]
		if store.IsUnknownOutcome(err) {
			acquired = ordered[:i+1]
		}
		for _, acquiredService := range acquired {
			if releaseErr := g.Release(ctx, acquiredService, host, grant.Operation); releaseErr != nil {
				// The grant stays counted, which is safe. The next sweep for
				// orphaned grants releases it.
				return releaseErr
			}
		}
		return err
	}
	return nil
}

func (g *GrantStore) acquireOne(ctx context.Context, host string, grant Grant, service string, state ServiceState) error {
	entry, err := g.cache.lock(ctx, service)
	if err != nil {
		return err
	}
	defer entry.unlock()
	for range maxSwapAttempts {
		if err := entry.load(ctx, g.store, anyAge); err != nil {
			return err
		}
		refusal := entry.refusal(host, grant, state)
		if refusal != nil && entry.stale() {
			// Another controller may have released grants in the meantime.
			if err := entry.load(ctx, g.store, 0); err != nil {
				return err
			}
			refusal = entry.refusal(host, grant, state)
		}
		switch {
		case refusal != nil:
			return refusal
		case entry.isGranted(host, grant.Operation):
			return nil
		}
		err := entry.swap(ctx, g.store, entry.grants.with(host, grant))
		if !store.IsConflict(err) {
			return err
		}
	}
	return &ContendedError{Service: service}
}

// refusal returns *RefusedError as an error, or nil.
func (e *cacheEntry) refusal(host string, grant Grant, state ServiceState) error {
	refused := func(reason string) error {
		return &RefusedError{Service: e.service, Host: host, Reason: reason}
	}
	if granted, ok := e.grants.ByHost[host]; ok {
		if granted.Operation == grant.Operation {
			return nil
		}
		return refused("granted to operation " + granted.Operation)
	}
	if state.Revision > 0 && state.Revision < e.grants.MinRevision {
		return refused("this controller's configuration is behind the ledger")
	}
	state.Grants = e.grants
	if decision := Decide(state, host); !decision.Allowed {
		return refused(decision.Reason)
	}
	return nil
}

// Release releases a grant whose host was never marked out. Releasing a grant that
// does not exist is not an error.
func (g *GrantStore) Release(ctx context.Context, service, host, operation string) error {
	return g.ReleaseAfter(ctx, service, host, operation, 0)
}

// ReleaseAfter releases the grant of a host that serves again according to its
// record at the given revision. From then on, controllers whose configuration is
// older than that revision are refused.
func (g *GrantStore) ReleaseAfter(ctx context.Context, service, host, operation string, minRevision store.Revision) error {
	entry, err := g.cache.lock(ctx, service)
	if err != nil {
		return err
	}
	defer entry.unlock()
	for range maxSwapAttempts {
		age := anyAge
		if !entry.isGranted(host, operation) {
			// The cached grant set may be older than the grant.
			age = 0
		}
		if err := entry.load(ctx, g.store, age); err != nil {
			return err
		}
		if !entry.isGranted(host, operation) {
			return nil
		}
		err := entry.swap(ctx, g.store, entry.grants.without(host, minRevision))
		if !store.IsConflict(err) {
			return err
		}
	}
	return &ContendedError{Service: service}
}

// IsGranted reports whether the operation holds its grant. It only reads the store
// if the cache does not contain the grant: a cached grant stays valid until its
// operation ends.
func (g *GrantStore) IsGranted(ctx context.Context, service, host, operation string) (bool, error) {
	entry, err := g.cache.lock(ctx, service)
	if err != nil {
		return false, err
	}
	defer entry.unlock()
	if entry.isGranted(host, operation) {
		return true, nil
	}
	err = entry.load(ctx, g.store, 0)
	return err == nil && entry.isGranted(host, operation), err
}

// List reads all grant sets in one call, by service. Corrupt ones are omitted;
// nothing is granted in them.
func (g *GrantStore) List(ctx context.Context) (map[string]GrantSet, error) {
	listing, err := g.store.List(ctx, storekeys.GrantSetPrefix)
	if err != nil {
		return nil, err
	}
	all := make(map[string]GrantSet, len(listing.Entries))
	for _, storedEntry := range listing.Entries {
		grantSet, err := ParseGrantSet(storedEntry.Key, storedEntry.Value)
		if err != nil {
			continue
		}
		service := storedEntry.Key[len(storekeys.GrantSetPrefix):]
		all[service] = grantSet
		entry, err := g.cache.lock(ctx, service)
		if err != nil {
			return nil, err
		}
		entry.update(grantSet, storedEntry.ModRevision)
		entry.unlock()
	}
	return all, nil
}

// swap replaces the cached grant set in the store by the given one.
func (e *cacheEntry) swap(ctx context.Context, s store.Store, grantSet GrantSet) error {
	grantSet.WriteID = uuid.NewString()
	revision, err := store.IdempotentCAS(ctx, s, store.SwapRequest{
		Key: storekeys.GrantSet(e.service), Expect: e.revision, Value: grantSet.encode(),
	})
	if err != nil {
		e.invalidate()
		return err
	}
	e.update(grantSet, revision)
	return nil
}
