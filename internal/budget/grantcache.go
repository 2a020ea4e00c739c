package budget

import (
	"context"
	"math"
	"sync"
	"time"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	// maxRefusalAge is the maximum age of a cached grant set that a refusal may be
	// based on. With refusals in S services, a controller makes at most
	// S/maxRefusalAge reads per second, however many hosts are refused.
	maxRefusalAge = 2 * time.Second
	// anyAge accepts a cached grant set of any age. It is used before a write, whose
	// compare-and-swap fails if the cache is out of date.
	anyAge = time.Duration(math.MaxInt64)
)

// grantCache caches one grant set per service. The zero value is ready to use.
type grantCache struct {
	mu      sync.Mutex
	entries map[string]*cacheEntry
}

// cacheEntry is the last known grant set of one service. A caller locks it for the
// whole of a read-decide-write, so that the calls of one controller do not conflict
// with each other.
type cacheEntry struct {
	service  string
	sem      chan struct{}
	valid    bool
	grants   GrantSet
	revision store.Revision
	readAt   time.Time
}

func (c *grantCache) entry(service string) *cacheEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = make(map[string]*cacheEntry)
	}
	entry := c.entries[service]
	if entry == nil {
		entry = &cacheEntry{service: service, sem: make(chan struct{}, 1)}
		c.entries[service] = entry
	}
	return entry
}

// lock locks the entry of the service, which the caller unlocks. It returns
// *ContendedError if ctx ends first.
func (c *grantCache) lock(ctx context.Context, service string) (*cacheEntry, error) {
	entry := c.entry(service)
	select {
	case entry.sem <- struct{}{}:
		return entry, nil
	case <-ctx.Done():
		return nil, &ContendedError{Service: service}
	}
}

func (e *cacheEntry) unlock() { <-e.sem }

func (e *cacheEntry) set(grantSet GrantSet, revision store.Revision, readAt time.Time) {
	e.grants, e.revision, e.valid, e.readAt = grantSet, revision, true, readAt
}

func (e *cacheEntry) stale() bool { return time.Since(e.readAt) > maxRefusalAge }

func (e *cacheEntry) isGranted(host, operation string) bool {
	grant, ok := e.grants.ByHost[host]
	return ok && grant.Operation == operation
}

// load makes sure that the cached grant set is at most maxAge old. A grant set that
// is not stored is empty at revision zero.
func (e *cacheEntry) load(ctx context.Context, s store.Store, maxAge time.Duration) error {
	if e.valid && time.Since(e.readAt) <= maxAge && maxAge > 0 {
		return nil
	}
	requestedAt := time.Now()
	key := storekeys.GrantSet(e.service)
	stored, err := s.Get(ctx, key)
	if store.IsNotFound(err) {
		e.set(GrantSet{}, 0, requestedAt)
		return nil
	}
	if err != nil {
		return err
	}
	grantSet, err := ParseGrantSet(key, stored.Value)
	if err != nil {
		return err
	}
	e.set(grantSet, stored.ModRevision, requestedAt)
	return nil
}

// update caches a grant set that was read or written elsewhere, unless the cached
// one is newer.
func (e *cacheEntry) update(grantSet GrantSet, revision store.Revision) {
	if e.valid && revision < e.revision {
		return
	}
	e.set(grantSet, revision, time.Now())
}

// invalidate requires a read before the next decision. The cached grant set is kept
// for isGranted.
func (e *cacheEntry) invalidate() { e.valid = false }
