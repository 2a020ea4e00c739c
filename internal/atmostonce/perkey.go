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

// PerKeyStore is the claim store with one store record per claim: one write
// before the request is forwarded, and one after it. Gateways use BatchedStore;
// PerKeyStore is the simple reference implementation to compare it with.
type PerKeyStore struct {
	store     store.Store
	retention time.Duration

	mu             sync.Mutex
	lease          store.LeaseID
	leaseGrantedAt time.Time
	// unsettled holds each unsettled claim made by this process, by nonce, so
	// that settling it needs no read.
	unsettled map[uuid.UUID]openRecord
}

type openRecord struct {
	record   keyRecord
	revision store.Revision
}

var _ ClaimStore = (*PerKeyStore)(nil)

// NewPerKeyStore returns a claim store backed by s. A zero retention means
// DefaultRetention.
func NewPerKeyStore(s store.Store, retention time.Duration) *PerKeyStore {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &PerKeyStore{store: s, retention: retention, unsettled: make(map[uuid.UUID]openRecord)}
}

// Serve implements ClaimStore; there is no background work.
func (p *PerKeyStore) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// keyRecord is the stored claim.
type keyRecord struct {
	ClaimNonce    uuid.UUID   `json:"identity"`
	Fingerprint   Fingerprint `json:"fingerprint"`
	Result        Result      `json:"result,omitempty"`
	FirstResponse *Response   `json:"answer,omitempty"`
	// UntilUnixMs only selects between InProgress and OutcomeUnknown: wall
	// clocks differ between processes.
	UntilUnixMs int64 `json:"untilUnixMs"`
}

// Claim implements ClaimStore.
func (p *PerKeyStore) Claim(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	lease, err := p.currentLease(ctx)
	if err != nil {
		return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, Cause: err}
	}
	record := keyRecord{
		ClaimNonce: claim.Nonce, Fingerprint: claim.Fingerprint,
		UntilUnixMs: time.Now().Add(claim.Window).UnixMilli(),
	}
	write := store.SwapRequest{Key: recordKey(claim.ID), Value: encodeRecord(record), Lease: lease}
	revision, err := store.IdempotentCAS(ctx, p.store, write)
	switch {
	case err == nil:
		p.trackUnsettled(record, revision)
		return ClaimOutcome{State: Granted}, nil
	case store.IsConflict(err):
		return p.resolve(ctx, claim)
	case store.IsLeaseExpired(err):
		p.forgetLease(lease)
	}
	return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, MayBeWritten: store.IsUnknownOutcome(err), Cause: err}
}

// resolve reads the existing claim and derives the outcome from it.
func (p *PerKeyStore) resolve(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	record, revision, err := p.read(ctx, claim.ID)
	if err != nil {
		return ClaimOutcome{}, &UnconfirmedError{ID: claim.ID, Cause: err}
	}
	if record.ClaimNonce == claim.Nonce {
		p.trackUnsettled(record, revision)
		return ClaimOutcome{State: Granted}, nil
	}
	if record.Fingerprint != claim.Fingerprint {
		return ClaimOutcome{State: KeyReused}, nil
	}
	left := time.Until(time.UnixMilli(record.UntilUnixMs))
	switch {
	case record.Result == ResultAnswered:
		return ClaimOutcome{State: Answered, Response: record.FirstResponse}, nil
	case record.Result == ResultUnknown || left <= 0:
		return ClaimOutcome{State: OutcomeUnknown}, nil
	}
	return ClaimOutcome{State: InProgress, RetryAfter: min(left, claim.Window)}, nil
}

const settleTries = 3

// Settle implements ClaimStore.
func (p *PerKeyStore) Settle(ctx context.Context, settlement Settlement) error {
	current, known := p.unsettledRecord(settlement.Nonce)
	var err error
	for range settleTries {
		if !known {
			current, err = p.find(ctx, settlement)
		}
		if err == nil && current.revision != 0 {
			err = p.writeSettled(ctx, settlement, current)
		}
		if err == nil {
			p.untrackUnsettled(settlement.Nonce)
			return nil
		}
		if !store.IsConflict(err) && !store.IsUnknownOutcome(err) && !store.IsLeaseExpired(err) {
			break
		}
		known = false
	}
	return &UnconfirmedError{ID: settlement.ID, MayBeWritten: true, Cause: err}
}

// find reads the claim to settle. The returned revision is zero when the claim
// no longer exists or isn't this settlement's own.
func (p *PerKeyStore) find(ctx context.Context, settlement Settlement) (openRecord, error) {
	record, revision, err := p.read(ctx, settlement.ID)
	if store.IsNotFound(err) {
		return openRecord{}, nil
	}
	if err != nil {
		return openRecord{}, err
	}
	if record.ClaimNonce != settlement.Nonce || record.Result != 0 {
		return openRecord{}, nil
	}
	return openRecord{record: record, revision: revision}, nil
}

func (p *PerKeyStore) writeSettled(ctx context.Context, settlement Settlement, current openRecord) error {
	write := store.SwapRequest{Key: recordKey(settlement.ID), Expect: current.revision, Delete: settlement.Result == ResultNotRun}
	if !write.Delete {
		lease, err := p.currentLease(ctx)
		if err != nil {
			return err
		}
		record := current.record
		record.Result, record.FirstResponse = settlement.Result, settlement.Response
		write.Value, write.Lease = encodeRecord(record), lease
	}
	_, err := store.IdempotentCAS(ctx, p.store, write)
	if store.IsLeaseExpired(err) {
		p.forgetLease(write.Lease)
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
// renewed: the claims written under it expire with it, so that removing them
// costs no write.
func (p *PerKeyStore) currentLease(ctx context.Context) (store.LeaseID, error) {
	p.mu.Lock()
	current, fresh := p.lease, time.Since(p.leaseGrantedAt) < p.retention
	p.mu.Unlock()
	if current != 0 && fresh {
		return current, nil
	}
	requestedAt := time.Now()
	lease, err := p.store.Grant(ctx, 2*p.retention)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease, p.leaseGrantedAt = lease.ID, requestedAt
	return p.lease, nil
}

func (p *PerKeyStore) forgetLease(id store.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == id {
		p.lease = 0
	}
}

func (p *PerKeyStore) trackUnsettled(record keyRecord, revision store.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsettled[record.ClaimNonce] = openRecord{record: record, revision: revision}
}

func (p *PerKeyStore) unsettledRecord(nonce uuid.UUID) (openRecord, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.unsettled[nonce]
	return current, ok
}

func (p *PerKeyStore) untrackUnsettled(nonce uuid.UUID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unsettled, nonce)
}

func recordKey(id ID) string { return storekeys.IdempotencyPrefix + "key/" + id.String() }

func encodeRecord(record keyRecord) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		// A keyRecord holds only strings, numbers and bytes.
		panic(err)
	}
	return data
}
