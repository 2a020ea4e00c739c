// Package store defines the interface to the platform's key-value service, which
// holds all state that outlives a process, with its request types and typed
// errors. Adapters and fakes are in other packages.
package store

import (
	"context"
	"time"
)

// Revision orders all writes to one store. It only increases; zero means that a
// key is absent, or the revision before the first write.
type Revision int64

// LeaseID identifies a lease granted by the store. Zero means no lease.
type LeaseID int64

// MaxValueBytes is the largest value that the platform's service accepts, in
// bytes.
const MaxValueBytes = 1 << 20

// Entry is a stored value with the revision of its last write.
type Entry struct {
	Key         string   `json:"key"`
	Value       []byte   `json:"value"`
	ModRevision Revision `json:"modRevision"`
	Lease       LeaseID  `json:"lease,omitempty"`
}

// SwapRequest describes one compare-and-swap.
type SwapRequest struct {
	Key string `json:"key"`
	// Expect is the ModRevision the key must have; zero means it must be absent.
	Expect Revision `json:"expect"`
	// Value has at most MaxValueBytes bytes. It is ignored when Delete is set.
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Lease, when set, deletes the key once the lease ends.
	Lease LeaseID `json:"lease,omitempty"`
}

// Listing is a consistent view of all keys under a prefix at Revision.
type Listing struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
	// Quiet is that of WatchBatch.
	Quiet time.Duration `json:"-"`
}

// Event is one change under a watched prefix. Deleted events carry no value.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// WatchBatch holds every event after the requested revision up to Revision, in
// order. An empty batch only advances Revision.
type WatchBatch struct {
	Events   []Event  `json:"events"`
	Revision Revision `json:"revision"`
	// Quiet is how long the store has waited, at least, before it answered without
	// events. All changes are known up to that long after the call was sent. It is
	// negative if an entry host answered that learned less.
	Quiet time.Duration `json:"-"`
}

// Lease is a granted lease. The store counts TTL from when it sends its
// response, so the holder must count from when it sent the request to be safe.
type Lease struct {
	ID  LeaseID       `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Store is the part of the platform's key-value service that the system uses.
// Any call may return *UnavailableError or *ThrottledError, after which nothing
// has happened; any write may return *UnknownOutcomeError, after which it may
// have taken effect.
type Store interface {
	// Get returns *NotFoundError when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap returns the new revision, or *ConflictError when the key
	// was not at the expected revision, or *LeaseExpiredError.
	CompareAndSwap(ctx context.Context, write SwapRequest) (Revision, error)
	// Watch waits for events under prefix after the given revision. It returns an
	// empty batch when there are none for some seconds, and *CompactedError when
	// the revision is older than the store's history.
	Watch(ctx context.Context, prefix string, after Revision) (WatchBatch, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive returns *LeaseExpiredError when the lease has ended.
	KeepAlive(ctx context.Context, id LeaseID) (Lease, error)
	Revoke(ctx context.Context, id LeaseID) error
}
