package atmostonce

import (
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/atmostonce/claimpb"
	"auburnglade.example/glade/internal/store"
)

// slot is what a shard knows of one claimed key.
type slot struct {
	fingerprint Fingerprint
	identity    uuid.UUID
	// atMs and windowMs are on the shard's clock.
	atMs     int64
	windowMs int64
	result   Result
	// answer is the first answer while it is in the head; archive names the
	// archive that has it afterwards.
	answer  *claimpb.Answer
	archive store.Revision
}

// index is a shard's claims folded from its entries. It does no I/O and reads
// no clock. The zero slot in changed means a freed key.
type index struct {
	slots map[ID]slot
}

func newIndex() *index { return &index{slots: make(map[ID]slot)} }

// fold applies one stored entry. A claim replaces what was there: it was only
// stored because the key was free then. So folding the first entries of a list
// once more before the whole list changes nothing, and an archive that was
// written twice does no harm. archive is zero for entries of the head.
func (x *index) fold(e *claimpb.Entry, archive store.Revision) {
	id, identity := ID(e.Id), uuid.UUID(e.Identity)
	if e.Kind == claimpb.Kind_CLAIMED {
		x.slots[id] = slot{
			fingerprint: Fingerprint(e.Fingerprint), identity: identity, atMs: e.AtMs, windowMs: e.WindowMs,
		}
		return
	}
	known, ok := x.slots[id]
	if !ok || known.identity != identity {
		return
	}
	if e.Kind == claimpb.Kind_NOT_RUN {
		delete(x.slots, id)
		return
	}
	known.result = ResultUnknown
	if e.Kind == claimpb.Kind_ANSWERED {
		known.result = ResultAnswered
		known.answer, known.archive = e.Answer, 0
		if e.Answer != nil && archive != 0 {
			known.answer, known.archive = nil, archive
		}
	}
	x.slots[id] = known
}

// moved notes that the head's entries are now in an archive.
func (x *index) moved(entries []*claimpb.Entry, archive store.Revision) {
	for _, e := range entries {
		known, ok := x.slots[ID(e.Id)]
		if ok && known.answer != nil {
			known.answer, known.archive = nil, archive
			x.slots[ID(e.Id)] = known
		}
	}
}

// sweep drops what has expired.
func (x *index) sweep(nowMs, retentionMs int64) {
	for id, known := range x.slots {
		if nowMs-known.atMs >= retentionMs {
			delete(x.slots, id)
		}
	}
}

// plan is what a batch of operations comes to: the entries to write, and each
// operation's result once they are written.
type plan struct {
	entries []*claimpb.Entry
	results []operationResult
}

type operationResult struct {
	verdict ClaimOutcome
	// archive, when set, holds the answer of an Answered verdict.
	archive store.Revision
	err     error
}

// decider works out one batch against an index that stays as it is.
type decider struct {
	index       *index
	nowMs       int64
	retentionMs int64
	// changed holds the keys that this batch changes; nil means freed.
	changed map[ID]*slot
	plan    plan
}

// decide is pure. Settlements go first, so that a repeat in the same batch
// finds them.
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
	known, ok := d.index.slots[id]
	return known, ok && d.nowMs-known.atMs < d.retentionMs
}

func (d *decider) claim(claim *Claim) operationResult {
	known, ok := d.lookup(claim.ID)
	if ok {
		return d.judge(claim, known)
	}
	fresh := slot{
		fingerprint: claim.Fingerprint, identity: claim.Nonce,
		atMs: d.nowMs, windowMs: claim.Window.Milliseconds(),
	}
	d.changed[claim.ID] = &fresh
	d.plan.entries = append(d.plan.entries, &claimpb.Entry{
		Kind: claimpb.Kind_CLAIMED, Id: claim.ID[:], Identity: claim.Nonce[:],
		Fingerprint: claim.Fingerprint[:], WindowMs: fresh.windowMs, AtMs: d.nowMs,
	})
	return operationResult{verdict: ClaimOutcome{State: Granted}}
}

// repeatAfter is told to a caller whose first attempt is still running.
const repeatAfter = time.Second

func (d *decider) judge(claim *Claim, known slot) operationResult {
	switch {
	case known.identity == claim.Nonce && known.result == 0:
		// Written before, with its answer lost.
		return operationResult{verdict: ClaimOutcome{State: Granted}}
	case known.fingerprint != claim.Fingerprint:
		return operationResult{verdict: ClaimOutcome{State: KeyReused}}
	case known.result == ResultAnswered:
		return operationResult{
			verdict: ClaimOutcome{State: Answered, Response: decodeAnswer(known.answer)}, archive: known.archive,
		}
	case known.result == ResultUnknown || d.nowMs-known.atMs >= known.windowMs:
		return operationResult{verdict: ClaimOutcome{State: OutcomeUnknown}}
	}
	return operationResult{verdict: ClaimOutcome{State: InProgress, RetryAfter: repeatAfter}}
}

func (d *decider) settle(settlement *Settlement) {
	known, ok := d.lookup(settlement.ID)
	if !ok || known.identity != settlement.Nonce || known.result != 0 {
		return
	}
	entry := encodeSettlement(settlement)
	entry.AtMs = d.nowMs
	d.plan.entries = append(d.plan.entries, entry)
	if settlement.Result == ResultNotRun {
		d.changed[settlement.ID] = nil
		return
	}
	known.result, known.answer = settlement.Result, entry.Answer
	d.changed[settlement.ID] = &known
}

// prune drops from a head's entries what has expired, and claims that were
// freed together with their freeing.
func prune(entries []*claimpb.Entry, nowMs, retentionMs int64) []*claimpb.Entry {
	claimed, freed := make(map[uuid.UUID]bool), make(map[uuid.UUID]bool)
	for _, e := range entries {
		claimed[uuid.UUID(e.Identity)] = claimed[uuid.UUID(e.Identity)] || e.Kind == claimpb.Kind_CLAIMED
		freed[uuid.UUID(e.Identity)] = freed[uuid.UUID(e.Identity)] || e.Kind == claimpb.Kind_NOT_RUN
	}
	var kept []*claimpb.Entry
	for _, e := range entries {
		identity := uuid.UUID(e.Identity)
		if nowMs-e.AtMs < retentionMs && !(claimed[identity] && freed[identity]) {
			kept = append(kept, e)
		}
	}
	return kept
}
