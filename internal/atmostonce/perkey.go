package atmostonce

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// PerKeyStore is the ledger with one store record per claim: a write before the
// request is forwarded, and one after it. Gateways use Grouped; this one is the
// plain way that it is measured and tested against.
type PerKeyStore struct {
	store     store.Store
	retention time.Duration

	mu      sync.Mutex
	lease   store.LeaseID
	granted time.Time
	// open holds each claim made here and not settled, by identity, so that
	// settling needs no read.
	open map[uuid.UUID]openRecord
}

type openRecord struct {
	record   keyRecord
	revision store.Revision
}

var _ ClaimStore = (*PerKeyStore)(nil)

// NewPerKeyStore returns a ledger over s. A zero retention means DefaultRetention.
func NewPerKeyStore(s store.Store, retention time.Duration) *PerKeyStore {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &PerKeyStore{store: s, retention: retention, open: make(map[uuid.UUID]openRecord)}
}

// Serve implements Ledger; this one has no work of its own.
func (p *PerKeyStore) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// keyRecord is the stored claim.
type keyRecord struct {
	Identity    uuid.UUID   `json:"identity"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Result      Result      `json:"result,omitempty"`
	Answer      *Response   `json:"answer,omitempty"`
	// UntilUnixMs only chooses the words of a refusal: wall clocks differ.
	UntilUnixMs int64 `json:"untilUnixMs"`
}

// Claim implements Ledger.
func (p *PerKeyStore) Claim(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	lease, err := p.currentLease(ctx)
	if err != nil {
		return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, Cause: err}
	}
	record := keyRecord{
		Identity: claim.Nonce, Fingerprint: claim.Fingerprint,
		UntilUnixMs: time.Now().Add(claim.Window).UnixMilli(),
	}
	write := store.Write{Key: recordKey(claim.ID), Value: encodeRecord(record), Lease: lease}
	revision, err := store.IdempotentCAS(ctx, p.store, write)
	switch {
	case err == nil:
		p.remember(record, revision)
		return ClaimOutcome{State: Granted}, nil
	case store.IsConflict(err):
		return p.judge(ctx, claim)
	case store.IsLeaseExpired(err):
		p.dropLease(lease)
	}
	return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, MayBeWritten: store.IsUnknownOutcome(err), Cause: err}
}

// judge reads the claim that was there first.
func (p *PerKeyStore) judge(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	record, revision, err := p.read(ctx, claim.ID)
	if err != nil {
		return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, Cause: err}
	}
	if record.Identity == claim.Nonce {
		p.remember(record, revision)
		return ClaimOutcome{State: Granted}, nil
	}
	if record.Fingerprint != claim.Fingerprint {
		return ClaimOutcome{State: KeyReused}, nil
	}
	left := time.Until(time.UnixMilli(record.UntilUnixMs))
	switch {
	case record.Result == ResultAnswered:
		return ClaimOutcome{State: Answered, Response: record.Answer}, nil
	case record.Result == ResultUnknown || left <= 0:
		return ClaimOutcome{State: OutcomeUnknown}, nil
	}
	return ClaimOutcome{State: InProgress, RetryAfter: min(left, claim.Window)}, nil
}

const settleTries = 3

// Settle implements Ledger.
func (p *PerKeyStore) Settle(ctx context.Context, settlement Settlement) error {
	current, known := p.opened(settlement.Nonce)
	var err error
	for range settleTries {
		if !known {
			current, err = p.find(ctx, settlement)
		}
		if err == nil && current.revision != 0 {
			err = p.writeSettled(ctx, settlement, current)
		}
		if err == nil {
			p.forget(settlement.Nonce)
			return nil
		}
		if !store.IsConflict(err) && !store.IsUnknownOutcome(err) && !store.IsLeaseExpired(err) {
			break
		}
		known = false
	}
	return &UnconfirmedError{ID: settlement.ID, MayBeWritten: true, Cause: err}
}

// find reads the claim to settle; its revision is zero when there is none left
// that is this settlement's own.
func (p *PerKeyStore) find(ctx context.Context, settlement Settlement) (openRecord, error) {
	record, revision, err := p.read(ctx, settlement.ID)
	if store.IsNotFound(err) {
		return openRecord{}, nil
	}
	if err != nil {
		return openRecord{}, err
	}
	if record.Identity != settlement.Nonce || record.Result != 0 {
		return openRecord{}, nil
	}
	return openRecord{record: record, revision: revision}, nil
}

func (p *PerKeyStore) writeSettled(ctx context.Context, settlement Settlement, current openRecord) error {
	write := store.Write{Key: recordKey(settlement.ID), Expect: current.revision, Delete: settlement.Result == ResultNotRun}
	if !write.Delete {
		lease, err := p.currentLease(ctx)
		if err != nil {
			return err
		}
		record := current.record
		record.Result, record.Answer = settlement.Result, settlement.Response
		write.Value, write.Lease = encodeRecord(record), lease
	}
	_, err := store.IdempotentCAS(ctx, p.store, write)
	if store.IsLeaseExpired(err) {
		p.dropLease(write.Lease)
	}
	return err
}

func (p *PerKeyStore) read(ctx context.Context, id ID) (keyRecord, store.Revision, error) {
	var record keyRecord
	entry, err := p.store.Get(ctx, recordKey(id))
	if err != nil {
		return record, 0, err
	}
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, 0, &CorruptError{Key: entry.Key, Cause: err}
	}
	return record, entry.ModRevision, nil
}

// currentLease returns a lease that lasts at least the retention. It is never
// kept alive: the store's own clock removes the claims written under it, so
// that removing them costs no write.
func (p *PerKeyStore) currentLease(ctx context.Context) (store.LeaseID, error) {
	p.mu.Lock()
	current, fresh := p.lease, time.Since(p.granted) < p.retention
	p.mu.Unlock()
	if current != 0 && fresh {
		return current, nil
	}
	asked := time.Now()
	lease, err := p.store.Grant(ctx, 2*p.retention)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease, p.granted = lease.ID, asked
	return p.lease, nil
}

func (p *PerKeyStore) dropLease(id store.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == id {
		p.lease = 0
	}
}

func (p *PerKeyStore) remember(record keyRecord, revision store.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[record.Identity] = openRecord{record: record, revision: revision}
}

func (p *PerKeyStore) opened(identity uuid.UUID) (openRecord, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.open[identity]
	return current, ok
}

func (p *PerKeyStore) forget(identity uuid.UUID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, identity)
}

func recordKey(id ID) string { return storekeys.IdempotencyPrefix + "key/" + id.String() }

func encodeRecord(record keyRecord) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		// A keyRecord holds strings, numbers and bytes only.
		panic(err)
	}
	return data
}
