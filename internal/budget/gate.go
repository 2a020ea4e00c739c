package budget

import (
	"context"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// maxSwapTries bounds the tries of one grant against racing controllers.
const maxSwapTries = 5

// RefusedError says that the budget doesn't allow a disruption now.
type RefusedError struct {
	Service string
	Host    string
	Reason  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("budget of %s refuses host %s: %s", e.Service, e.Host, e.Reason)
}

// ContendedError says that a ledger kept changing under the gate.
type ContendedError struct{ Service string }

func (e *ContendedError) Error() string {
	return fmt.Sprintf("ledger of %s is contended", e.Service)
}

// GrantStore is the one way to a disruption. It is safe for concurrent use by any
// number of controllers: the ledger's compare-and-swap decides. It remembers
// the ledgers it saw, so that a grant costs one write and no read as long as
// no other controller writes the same ledger.
type GrantStore struct {
	store   store.Store
	ledgers ledgers
}

// NewGrantStore returns a gate over the platform's store.
func NewGrantStore(s store.Store) *GrantStore { return &GrantStore{store: s} }

// Acquire takes a grant for host in every given service, in a fixed order, and
// gives back those it got when one is refused. It returns *RefusedError when a
// budget doesn't allow it. view returns what is known of a service apart from
// the ledger, which Acquire knows itself.
func (g *GrantStore) Acquire(ctx context.Context, host string, grant Grant, services []string, view func(service string) ServiceState) error {
	ordered := slices.Sorted(slices.Values(services))
	for i, service := range ordered {
		err := g.acquireOne(ctx, host, grant, service, view(service))
		if err == nil {
			continue
		}
		taken := ordered[:i]
		if store.IsUnknownOutcome(err) {
			taken = ordered[:i+1]
		}
		for _, held := range taken {
			if releaseErr := g.Release(ctx, held, host, grant.Operation); releaseErr != nil {
				// The grant stays counted: cautious, and found again by the
				// next pass over orphaned grants.
				return releaseErr
			}
		}
		return err
	}
	return nil
}

func (g *GrantStore) acquireOne(ctx context.Context, host string, grant Grant, service string, view ServiceState) error {
	entry, err := g.ledgers.take(ctx, service)
	if err != nil {
		return err
	}
	defer entry.done()
	for range maxSwapTries {
		if err := entry.load(ctx, g.store, anyAge); err != nil {
			return err
		}
		refusal := entry.refuse(host, grant, view)
		if refusal != nil && entry.old() {
			// Another controller may have given grants back since.
			if err := entry.load(ctx, g.store, 0); err != nil {
				return err
			}
			refusal = entry.refuse(host, grant, view)
		}
		switch {
		case refusal != nil:
			return refusal
		case entry.holds(host, grant.Operation):
			return nil
		}
		err := entry.swap(ctx, g.store, entry.ledger.with(host, grant))
		if !store.IsConflict(err) {
			return err
		}
	}
	return &ContendedError{Service: service}
}

// refuse returns *RefusedError as an error, or nil.
func (l *ledgerEntry) refuse(host string, grant Grant, view ServiceState) error {
	refused := func(reason string) error {
		return &RefusedError{Service: l.service, Host: host, Reason: reason}
	}
	if held, ok := l.ledger.ByHost[host]; ok {
		if held.Operation == grant.Operation {
			return nil
		}
		return refused("granted to operation " + held.Operation)
	}
	if view.Revision > 0 && view.Revision < l.ledger.MinRevision {
		return refused("this controller's configuration is behind the ledger")
	}
	view.Grants = l.ledger
	if decision := Decide(view, host); !decision.Allowed {
		return refused(decision.Reason)
	}
	return nil
}

// Release gives a grant back whose host was never marked out. Releasing one
// that isn't held is no error.
func (g *GrantStore) Release(ctx context.Context, service, host, operation string) error {
	return g.ReleaseAfter(ctx, service, host, operation, 0)
}

// ReleaseAfter gives a grant back once the host's record at the given revision
// says that it serves again. No controller that hasn't seen that revision is
// granted anything from then on.
func (g *GrantStore) ReleaseAfter(ctx context.Context, service, host, operation string, seen store.Revision) error {
	entry, err := g.ledgers.take(ctx, service)
	if err != nil {
		return err
	}
	defer entry.done()
	for range maxSwapTries {
		age := anyAge
		if !entry.holds(host, operation) {
			// What is remembered may be older than the grant.
			age = 0
		}
		if err := entry.load(ctx, g.store, age); err != nil {
			return err
		}
		if !entry.holds(host, operation) {
			return nil
		}
		err := entry.swap(ctx, g.store, entry.ledger.without(host, seen))
		if !store.IsConflict(err) {
			return err
		}
	}
	return &ContendedError{Service: service}
}

// IsGranted reports whether the operation has its grant. Only a "no" costs a read:
// a grant that this gate saw ends with its operation.
func (g *GrantStore) IsGranted(ctx context.Context, service, host, operation string) (bool, error) {
	entry, err := g.ledgers.take(ctx, service)
	if err != nil {
		return false, err
	}
	defer entry.done()
	if entry.holds(host, operation) {
		return true, nil
	}
	err = entry.load(ctx, g.store, 0)
	return err == nil && entry.holds(host, operation), err
}

// List reads every ledger in one call, by service. Damaged ones are left out:
// nothing is granted in them.
func (g *GrantStore) List(ctx context.Context) (map[string]GrantSet, error) {
	listing, err := g.store.List(ctx, storekeys.GrantSetPrefix)
	if err != nil {
		return nil, err
	}
	all := make(map[string]GrantSet, len(listing.Entries))
	for _, stored := range listing.Entries {
		ledger, err := ParseGrantSet(stored.Key, stored.Value)
		if err != nil {
			continue
		}
		service := stored.Key[len(storekeys.GrantSetPrefix):]
		all[service] = ledger
		entry, err := g.ledgers.take(ctx, service)
		if err != nil {
			return nil, err
		}
		entry.note(ledger, stored.ModRevision)
		entry.done()
	}
	return all, nil
}

// swap writes the ledger over the one remembered.
func (l *ledgerEntry) swap(ctx context.Context, s store.Store, ledger GrantSet) error {
	ledger.WriteID = uuid.NewString()
	revision, err := store.IdempotentCAS(ctx, s, store.Write{
		Key: storekeys.GrantSet(l.service), Expect: l.revision, Value: ledger.encode(),
	})
	if err != nil {
		l.forget()
		return err
	}
	l.note(ledger, revision)
	return nil
}
