package budget

import (
	"context"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/store"
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

// Gate is the one way to a disruption. It is safe for concurrent use by any
// number of controllers: the ledger's compare-and-swap decides.
type Gate struct {
	store store.Store
}

// NewGate returns a gate over the platform's store.
func NewGate(s store.Store) *Gate { return &Gate{store: s} }

// Acquire takes a grant for host in every given service, in a fixed order, and
// gives back those it got when one is refused. It returns *RefusedError when a
// budget doesn't allow it. view returns what is known of a service apart from
// the ledger, which Acquire reads itself.
func (g *Gate) Acquire(ctx context.Context, host string, grant Grant, services []string, view func(service string) View) error {
	ordered := slices.Sorted(slices.Values(services))
	for i, service := range ordered {
		err := g.acquireOne(ctx, host, grant, service, view(service))
		if err == nil {
			continue
		}
		for _, held := range ordered[:i] {
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

func (g *Gate) acquireOne(ctx context.Context, host string, grant Grant, service string, view View) error {
	for range maxSwapTries {
		ledger, revision, err := g.Ledger(ctx, service)
		if err != nil {
			return err
		}
		if held, ok := ledger.Grants[host]; ok {
			if held.Operation == grant.Operation {
				return nil
			}
			return &RefusedError{Service: service, Host: host, Reason: "granted to operation " + held.Operation}
		}
		view.Ledger = ledger
		if decision := Decide(view, host); !decision.Allowed {
			return &RefusedError{Service: service, Host: host, Reason: decision.Reason}
		}
		err = g.swap(ctx, service, revision, ledger.with(host, grant))
		if !store.IsConflict(err) {
			return err
		}
	}
	return &ContendedError{Service: service}
}

// Release gives a grant back. Releasing one that isn't held is no error.
func (g *Gate) Release(ctx context.Context, service, host, operation string) error {
	for range maxSwapTries {
		ledger, revision, err := g.Ledger(ctx, service)
		if err != nil {
			return err
		}
		held, ok := ledger.Grants[host]
		if !ok || held.Operation != operation {
			return nil
		}
		err = g.swap(ctx, service, revision, ledger.without(host))
		if !store.IsConflict(err) {
			return err
		}
	}
	return &ContendedError{Service: service}
}

// Ledger reads a service's ledger; an absent one is empty at revision zero.
func (g *Gate) Ledger(ctx context.Context, service string) (Ledger, store.Revision, error) {
	key := keys.Ledger(service)
	entry, err := g.store.Get(ctx, key)
	if store.IsNotFound(err) {
		return Ledger{}, 0, nil
	}
	if err != nil {
		return Ledger{}, 0, err
	}
	ledger, err := ParseLedger(key, entry.Value)
	return ledger, entry.ModRevision, err
}

func (g *Gate) swap(ctx context.Context, service string, revision store.Revision, ledger Ledger) error {
	ledger.WriteID = uuid.NewString()
	_, err := store.Swap(ctx, g.store, store.Write{
		Key: keys.Ledger(service), Expect: revision, Value: ledger.encode(),
	})
	return err
}
