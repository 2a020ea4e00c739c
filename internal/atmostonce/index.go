package atmostonce

import (
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/atmostonce/claimpb"
	"auburnglade.example/glade/internal/store"
)

// slot is the recorded state of one claimed key.
type slot struct {
	fingerprint Fingerprint
	nonce       uuid.UUID
	// atMs and windowMs are in milliseconds on the shard's clock.
	atMs     int64
	windowMs int64
	result   Result
	// response is the first response while it is in the head; archive is the
	// revision of the archive that holds it afterwards, or zero.
	response *claimpb.Answer
	archive  store.Revision
}

// index holds the claims of a shard, built by folding its entries. It does no
// I/O and reads no clock.
type index struct {
	slots map[ID]slot
}

func newIndex() *index { return &index{slots: make(map[ID]slot)} }

// fold applies one stored entry. A claim replaces an existing slot: it was only
// stored because the key was free then. Folding the first entries of a list
// again before the whole list therefore changes nothing, so an archive that was
// written twice is harmless. archive is zero for entries of the head.
func (x *index) fold(e *claimpb.Entry, archive store.Revision) {
	id, nonce := ID(e.Id), uuid.UUID(e.Identity)
	if e.Kind == claimpb.Kind_CLAIMED {
		x.slots[id] = slot{
			fingerprint: Fingerprint(e.Fingerprint), nonce: nonce, atMs: e.AtMs, windowMs: e.WindowMs,
		}
		return
	}
	existing, ok := x.slots[id]
	if !ok || existing.nonce != nonce {
		return
	}
	if e.Kind == claimpb.Kind_NOT_RUN {
		delete(x.slots, id)
		return
	}
	existing.result = ResultUnknown
	if e.Kind == claimpb.Kind_ANSWERED {
		existing.result = ResultAnswered
		existing.response, existing.archive = e.Answer, 0
		if e.Answer != nil && archive != 0 {
			existing.response, existing.archive = nil, archive
		}
	}
	x.slots[id] = existing
}

// markArchived records that the head's entries are now in an archive.
func (x *index) markArchived(entries []*claimpb.Entry, archive store.Revision) {
	for _, e := range entries {
		existing, ok := x.slots[ID(e.Id)]
		if ok && existing.response != nil {
			existing.response, existing.archive = nil, archive
			x.slots[ID(e.Id)] = existing
		}
	}
}

// sweep removes expired slots.
func (x *index) sweep(nowMs, retentionMs int64) {
	for id, existing := range x.slots {
		if nowMs-existing.atMs >= retentionMs {
			delete(x.slots, id)
		}
	}
}

// plan is the result of a batch of operations: the entries to write, and the
// result of each operation once they are written.
type plan struct {
	entries []*claimpb.Entry
	results []operationResult
}

type operationResult struct {
	outcome ClaimOutcome
	// archive, when set, is the archive that holds the response of an Answered
	// outcome.
	archive store.Revision
	err     error
}

// decider evaluates one batch against an index without modifying the index.
type decider struct {
	index       *index
	nowMs       int64
	retentionMs int64
	// changed holds the keys that this batch changes; nil means freed.
	changed map[ID]*slot
	plan    plan
}

// decide returns the plan of a batch and has no side effects outside the
// decider. Settlements go first, so that a repeat in the same batch sees them.
func (d *decider) decide(batch []*operation) plan {
	d.changed = make(map[ID]*slot)
	d.plan.results = make([]operationResult, len(batch))
	for _, op := range batch {
		if op.settlement != nil {
			d.settle(op.settlement)
		}
	}
	for i, op := range batch {
		if op.claim != nil && !op.abandoned.Load() {
			d.plan.results[i] = d.claim(op.claim)
		}
	}
	return d.plan
}

func (d *decider) lookup(id ID) (slot, bool) {
	if changed, ok := d.changed[id]; ok {
		if changed == nil {
			return slot{}, false
		}
		return *changed, true
	}
	existing, ok := d.index.slots[id]
	return existing, ok && d.nowMs-existing.atMs < d.retentionMs
}

func (d *decider) claim(claim *Claim) operationResult {
	existing, ok := d.lookup(claim.ID)
	if ok {
		return d.resolve(claim, existing)
	}
	fresh := slot{
		fingerprint: claim.Fingerprint, nonce: claim.Nonce,
		atMs: d.nowMs, windowMs: claim.Window.Milliseconds(),
	}
	d.changed[claim.ID] = &fresh
	d.plan.entries = append(d.plan.entries, &claimpb.Entry{
		Kind: claimpb.Kind_CLAIMED, Id: claim.ID[:], Identity: claim.Nonce[:],
		Fingerprint: claim.Fingerprint[:], WindowMs: fresh.windowMs, AtMs: d.nowMs,
	})
	return operationResult{outcome: ClaimOutcome{State: Granted}}
}

// repeatAfter is the delay returned to a caller whose first attempt is still
// running.
const repeatAfter = time.Second

func (d *decider) resolve(claim *Claim, existing slot) operationResult {
	switch {
	case existing.nonce == claim.Nonce && existing.result == 0:
		// The claim was written before; the response to that write was lost.
		return operationResult{outcome: ClaimOutcome{State: Granted}}
	case existing.fingerprint != claim.Fingerprint:
		return operationResult{outcome: ClaimOutcome{State: KeyReused}}
	case existing.result == ResultAnswered:
		return operationResult{
			outcome: ClaimOutcome{State: Answered, Response: decodeResponse(existing.response)}, archive: existing.archive,
		}
	case existing.result == ResultUnknown || d.nowMs-existing.atMs >= existing.windowMs:
		return operationResult{outcome: ClaimOutcome{State: OutcomeUnknown}}
	}
	return operationResult{outcome: ClaimOutcome{State: InProgress, RetryAfter: repeatAfter}}
}

func (d *decider) settle(settlement *Settlement) {
	existing, ok := d.lookup(settlement.ID)
	if !ok || existing.nonce != settlement.Nonce || existing.result != 0 {
		return
	}
	entry := encodeSettlement(settlement)
	entry.AtMs = d.nowMs
	d.plan.entries = append(d.plan.entries, entry)
	if settlement.Result == ResultNotRun {
		d.changed[settlement.ID] = nil
		return
	}
	existing.result, existing.response = settlement.Result, entry.Answer
	d.changed[settlement.ID] = &existing
}

// prune removes expired entries from a head, and the claims that were freed
// together with the entries that freed them.
func prune(entries []*claimpb.Entry, nowMs, retentionMs int64) []*claimpb.Entry {
	claimed, freed := make(map[uuid.UUID]bool), make(map[uuid.UUID]bool)
	for _, e := range entries {
		claimed[uuid.UUID(e.Identity)] = claimed[uuid.UUID(e.Identity)] || e.Kind == claimpb.Kind_CLAIMED
		freed[uuid.UUID(e.Identity)] = freed[uuid.UUID(e.Identity)] || e.Kind == claimpb.Kind_NOT_RUN
	}
	var kept []*claimpb.Entry
	for _, e := range entries {
		nonce := uuid.UUID(e.Identity)
		if nowMs-e.AtMs < retentionMs && !(claimed[nonce] && freed[nonce]) {
			kept = append(kept, e)
		}
	}
	return kept
}
