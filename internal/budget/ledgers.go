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
	// refusalAge is how old a remembered ledger may be for a refusal to rest
	// on it: with S services contended by a controller, refusals cost it at
	// most S/refusalAge reads a second, however many hosts are refused.
	refusalAge = 2 * time.Second
	// anyAge accepts a remembered ledger however old: where the outcome is a
	// write, its compare-and-swap finds out.
	anyAge = time.Duration(math.MaxInt64)
)

// ledgers remembers one ledger per service. The zero value is ready to use.
type ledgers struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
}

// ledgerEntry is one service's ledger as last seen. One caller has its turn for
// the whole of a read-decide-write, so that a controller never contends with
// itself.
type ledgerEntry struct {
	service  string
	turn     chan struct{}
	known    bool
	ledger   GrantSet
	revision store.Revision
	at       time.Time
}

func (l *ledgers) of(service string) *ledgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries = make(map[string]*ledgerEntry)
	}
	entry := l.entries[service]
	if entry == nil {
		entry = &ledgerEntry{service: service, turn: make(chan struct{}, 1)}
		l.entries[service] = entry
	}
	return entry
}

// take waits for the service's turn, which the caller ends by done.
func (l *ledgers) take(ctx context.Context, service string) (*ledgerEntry, error) {
	entry := l.of(service)
	select {
	case entry.turn <- struct{}{}:
		return entry, nil
	case <-ctx.Done():
		return nil, &ContendedError{Service: service}
	}
}

func (l *ledgerEntry) done() { <-l.turn }

func (l *ledgerEntry) set(ledger GrantSet, revision store.Revision, at time.Time) {
	l.ledger, l.revision, l.known, l.at = ledger, revision, true, at
}

func (l *ledgerEntry) old() bool { return time.Since(l.at) > refusalAge }

func (l *ledgerEntry) holds(host, operation string) bool {
	held, ok := l.ledger.ByHost[host]
	return ok && held.Operation == operation
}

// load makes sure that the ledger remembered is at most maxAge old. An absent
// ledger is empty at revision zero.
func (l *ledgerEntry) load(ctx context.Context, s store.Store, maxAge time.Duration) error {
	if l.known && time.Since(l.at) <= maxAge && maxAge > 0 {
		return nil
	}
	asked := time.Now()
	key := storekeys.GrantSet(l.service)
	stored, err := s.Get(ctx, key)
	if store.IsNotFound(err) {
		l.set(GrantSet{}, 0, asked)
		return nil
	}
	if err != nil {
		return err
	}
	ledger, err := ParseGrantSet(key, stored.Value)
	if err != nil {
		return err
	}
	l.set(ledger, stored.ModRevision, asked)
	return nil
}

// note takes a ledger seen elsewhere unless a newer one is known.
func (l *ledgerEntry) note(ledger GrantSet, revision store.Revision) {
	if l.known && revision < l.revision {
		return
	}
	l.set(ledger, revision, time.Now())
}

// forget keeps what was seen for Known, but decides nothing on it any more.
func (l *ledgerEntry) forget() { l.known = false }
