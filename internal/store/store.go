// Package store is the seam to the platform's key-value service: the one place
// where state outlives a process. It holds the interface, its messages and its
// typed errors; adapters and fakes live in packages below it.
package store

import (
	"context"
	"time"
)

// Revision orders all writes of one store. It only grows; zero means "absent"
// or "before the first write".
type Revision int64

// LeaseID names a lease granted by the store. Zero means "no lease".
type LeaseID int64

// MaxValueBytes is the largest value the platform's service takes.
const MaxValueBytes = 1 << 20

// Entry is one stored value with the revision that last wrote it.
type Entry struct {
	Key         string   `json:"key"`
	Value       []byte   `json:"value"`
	ModRevision Revision `json:"modRevision"`
	Lease       LeaseID  `json:"lease,omitempty"`
}

// Write asks for one compare-and-swap.
type Write struct {
	Key string `json:"key"`
	// Expect is the ModRevision the key must have; zero means it must be absent.
	Expect Revision `json:"expect"`
	// Value is at most MaxValueBytes long. Ignored when Delete is set.
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Lease, when set, deletes the key once the lease ends.
	Lease LeaseID `json:"lease,omitempty"`
}

// Listing is a consistent view of all keys under a prefix at Revision.
type Listing struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// Event is one change under a watched prefix. Deleted events carry no value.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// WatchBatch holds every event after the asked revision up to Revision, in
// order. An empty batch only moves Revision forward.
type WatchBatch struct {
	Events   []Event  `json:"events"`
	Revision Revision `json:"revision"`
}

// Lease is a granted lease. TTL counts from the moment the store answered, so
// a holder must count it from the moment it asked.
type Lease struct {
	ID  LeaseID       `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Store is what the system needs of the platform's service. Any call may
// return *UnavailableError or *ThrottledError (nothing happened), and any
// write may return *UnknownOutcomeError (it may have taken effect).
type Store interface {
	// Get returns *NotFoundError when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap returns the new revision, or *ConflictError when the key
	// was not at the expected revision, or *LeaseExpiredError.
	CompareAndSwap(ctx context.Context, write Write) (Revision, error)
	// Watch waits for events under prefix after the given revision and returns
	// an empty batch when there were none for some seconds. It returns
	// *CompactedError when the revision is older than the store's history.
	Watch(ctx context.Context, prefix string, after Revision) (WatchBatch, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive returns *LeaseExpiredError when the lease has ended.
	KeepAlive(ctx context.Context, id LeaseID) (Lease, error)
	Revoke(ctx context.Context, id LeaseID) error
}
