package quota

import (
	"maps"
	"slices"
	"time"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// Limits are the limits in force. They are not modified once they are in use.
type Limits struct {
	// Revision is the store's revision of the configuration that sets them.
	Revision store.Revision
	// ByOrganisation holds the organisations that have a limit. A resource of zero
	// has none.
	ByOrganisation map[string]work.Resources
	// Weights holds the organisations' shares of what there is too little of, relative
	// to each other. It is empty where no organisation has one.
	Weights map[string]int
}

// Quota is what a pool may do with an organisation's tasks now.
type Quota struct {
	// Limit has the resources that are limited; the others are zero.
	Limit work.Resources
	// Held is what the tasks may use together, Extra the part of it that only the start
	// that goes beyond the rest may use.
	Held, Extra work.Resources
	// Frozen is why no task may start at all, empty if some may.
	Frozen Reason
}

// Allows reports whether tasks may start that use more beside what is used.
func (q *Quota) Allows(used, more work.Resources) bool {
	return q.Frozen == "" && fits(used.Plus(more), q.Held.Minus(q.Extra), q.Limit)
}

// AllowsExtra reports whether tasks of the size one may start in Extra. It was taken for
// one task: several small ones in it, each by itself within Held, would bring the
// organisation further over its limit than one task does. Starts on their way to hosts
// can overtake each other, so there must be none.
func (q *Quota) AllowsExtra(used, more, one work.Resources) bool {
	after := used.Plus(more)
	return q.Frozen == "" && fits(after, q.Held, q.Limit) && below(after.Minus(one), q.Limit, q.Held.Minus(q.Extra))
}

// Reason is why an organisation's tasks may not start in a pool.
type Reason string

// The reasons.
const (
	LimitsUnknown Reason = "the limits are not known yet"
	NotLoaded     Reason = "the ledger is not read yet"
	Taken         Reason = "another process holds the pool"
	Unconfirmed   Reason = "the limits may be out of date"
	// Unverified: with other limits, even some that this process has never seen, other
	// pools may have come to hold more than the limit leaves.
	Unverified Reason = "the ledger is not read since the limits changed"
	// Undeclared: other pools would not count what is used here.
	Undeclared Reason = "what is used here is not stored for the limits yet"
	// UndeclaredElsewhere: nobody knows how much of the limit is left.
	UndeclaredElsewhere Reason = "another pool has not stored yet what is used there"
	OverLimit           Reason = "the organisation is over its limit"
)

// OfAll reports whether the reason holds for all organisations alike.
func (r Reason) OfAll() bool {
	switch r {
	case "", Undeclared, UndeclaredElsewhere, OverLimit:
		return false
	}
	return true
}

const (
	// releaseInterval is the least time between two writes that only give back.
	releaseInterval = 200 * time.Millisecond
	// minRelease is the part (1/20) of a limit below which giving back isn't worth a
	// write.
	minRelease = 20
)

// Account is one pool's view of the ledger. Its owner reads and writes the ledger, and
// reports what the store says.
type Account struct {
	pool string
	// fence is the fencing token of the pool's holder.
	fence    int64
	limits   Limits
	ledger   *Ledger
	revision store.Revision
	// verified is the newest revision of the limits that were in force here when the
	// ledger was read or written.
	verified store.Revision
	// unresolved are the proposals that may be or become stored. Until the ledger has
	// moved on, the pool uses no more than it holds with and without each of them.
	unresolved []*Proposal
	// idle holds the other pools in which nothing runs.
	idle map[string]bool
	// releasedAt is when the pool last gave something back.
	releasedAt time.Time
}

// Proposal is a ledger to write on the condition that the ledger is still at Revision,
// and the configuration at Limits unless that is zero.
type Proposal struct {
	Ledger   *Ledger
	Revision store.Revision
	Limits   store.Revision
	// Changed holds what the pool holds afterwards, for the organisations for which
	// that changes.
	Changed map[string]Allocation
}

// NewAccount returns the account of a pool's holder with a fencing token. It has not read
// the ledger.
func NewAccount(pool string, fence int64) *Account { return &Account{pool: pool, fence: fence} }

// SetLimits sets the limits in force.
func (a *Account) SetLimits(limits Limits) { a.limits = limits }

// LimitsRevision returns the revision of the limits in force.
func (a *Account) LimitsRevision() store.Revision { return a.limits.Revision }

// Verified reports whether the ledger has been read or written with the limits in force.
func (a *Account) Verified() bool { return a.ledger != nil && a.verified == a.limits.Revision }

// Replaced reports whether a later holder of the pool has written the ledger. What the
// ledger allocates to the pool is that one's then: with both of them starting tasks
// within it, the pool would use it twice.
func (a *Account) Replaced() bool { return a.ledger != nil && a.ledger.Fences[a.pool] > a.fence }

// Loaded reports whether the ledger has been read.
func (a *Account) Loaded() bool { return a.ledger != nil }

// Read records the ledger at a revision of the store. limits is the revision of the
// limits that were in force here when the read was sent.
func (a *Account) Read(ledger *Ledger, revision, limits store.Revision) {
	a.verified = max(a.verified, limits)
	if a.ledger == nil || revision > a.revision {
		a.moveTo(ledger, revision)
	}
}

// moveTo sets the ledger. A proposal for an earlier revision can't be stored any more.
func (a *Account) moveTo(ledger *Ledger, revision store.Revision) {
	a.ledger, a.revision = ledger, revision
	a.unresolved = slices.DeleteFunc(a.unresolved, func(p *Proposal) bool { return p.Revision < revision })
}

// Quotas returns the quota of each organisation that has a limit, or had one that the pool
// still covers. confirmed is whether the limits are known to be the newest.
func (a *Account) Quotas(confirmed bool) map[string]Quota {
	quotas := make(map[string]Quota, len(a.limits.ByOrganisation))
	for name, limit := range a.limits.ByOrganisation {
		quotas[name] = a.quota(name, limit, confirmed)
	}
	if a.ledger == nil {
		return quotas
	}
	for _, name := range a.covered() {
		if _, limited := quotas[name]; !limited {
			quotas[name] = Quota{Frozen: Undeclared}
		}
	}
	return quotas
}

func (a *Account) quota(name string, limit work.Resources, confirmed bool) Quota {
	q := Quota{Limit: limit}
	switch {
	case a.ledger == nil:
		q.Frozen = NotLoaded
		return q
	case a.Replaced():
		q.Frozen = Taken
	case !confirmed:
		q.Frozen = Unconfirmed
	case a.verified != a.limits.Revision:
		q.Frozen = Unverified
	case !a.covers(name, limit):
		q.Frozen = Undeclared
	case !a.coveredElsewhere(name, limit):
		q.Frozen = UndeclaredElsewhere
	}
	mine, others := a.ledger.allocation(a.pool, name), a.ledger.others(a.pool, name)
	regular := mine.Held.Minus(mine.Extra)
	q.Held = mine.Held
	for _, p := range a.unresolved {
		other := p.Ledger.allocation(a.pool, name)
		q.Held, regular = smaller(q.Held, other.Held), smaller(regular, other.Held.Minus(other.Extra))
	}
	q.Extra = q.Held.Minus(regular)
	within := mine.Held.Minus(mine.Extra).Plus(others.Held.Minus(others.Extra))
	if q.Frozen == "" && over(within, limit) != (work.Resources{}) {
		q.Frozen = OverLimit
	}
	return q
}

func smaller(a, b work.Resources) work.Resources {
	return work.Resources{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemMB: min(a.MemMB, b.MemMB), GPU: min(a.GPU, b.GPU)}
}

// Propose returns the write that the pool's demands call for, or nil. While the outcome
// of an earlier one is unknown, another write is called for anyway: it decides that.
func (a *Account) Propose(demands map[string]Demand, now time.Time) *Proposal {
	if a.ledger == nil {
		return nil
	}
	p := a.declare(demands)
	if p == nil {
		changed, covers, needed := a.changes(demands, now)
		if !needed && len(a.unresolved) == 0 {
			return nil
		}
		p = a.proposal(changed, covers, a.limits.Revision)
	}
	a.unresolved = append(a.unresolved, p)
	return p
}

// proposal returns the ledger with changed allocations and other covers of the pool.
func (a *Account) proposal(changed map[string]Allocation, covers map[string]Cover, limits store.Revision) *Proposal {
	allocations := make(map[string]Allocation)
	maps.Copy(allocations, a.ledger.Pools[a.pool])
	for name, allocation := range changed {
		allocations[name] = allocation
		if allocation.Held == (work.Resources{}) {
			delete(allocations, name)
		}
	}
	return &Proposal{Ledger: a.ledger.with(a.pool, a.fence, allocations, covers), Revision: a.revision, Limits: limits, Changed: changed}
}

// changes returns the allocations to change and the pool's covers with them, and whether
// that is worth a write now.
func (a *Account) changes(demands map[string]Demand, now time.Time) (changed map[string]Allocation, covers map[string]Cover, needed bool) {
	changed, covers = make(map[string]Allocation), make(map[string]Cover)
	maps.Copy(covers, a.ledger.Covers[a.pool])
	mayRelease := now.Sub(a.releasedAt) >= releaseInterval
	for name, limit := range a.limits.ByOrganisation {
		current, demand := a.ledger.allocation(a.pool, name), demands[name]
		if !a.coveredElsewhere(name, limit) {
			// What is left of the limit is not known.
			demand = Demand{Used: demand.Used}
		}
		next := allocate(limit, a.ledger.others(a.pool, name), demand)
		if next == current {
			continue
		}
		growing := demand.Waiting != (work.Resources{}) && !fits(next.Held, current.Held, limit)
		if !growing && !(mayRelease && worthReleasing(next.Held, current.Held, limit)) {
			continue
		}
		changed[name], needed = next, true
	}
	// An organisation that is gone needs no allocation.
	for name := range a.ledger.Pools[a.pool] {
		if _, limited := a.limits.ByOrganisation[name]; !limited && mayRelease {
			changed[name], needed = Allocation{}, true
		}
	}
	if needed && mayRelease {
		a.releasedAt = now
	}
	return changed, covers, a.withdraw(changed, covers) || needed
}

// worthReleasing reports whether a pool gives back enough, or all that it holds.
func worthReleasing(next, current, limit work.Resources) bool {
	released := current.Minus(next)
	one := func(released, next, limit int) bool {
		return released > 0 && (next == 0 || released >= max(1, limit/minRelease))
	}
	return one(released.MilliCPU, next.MilliCPU, limit.MilliCPU) || one(released.MemMB, next.MemMB, limit.MemMB) || one(released.GPU, next.GPU, limit.GPU)
}

// Written records that a proposal is stored at a revision.
func (a *Account) Written(p *Proposal, revision store.Revision) {
	a.moveTo(p.Ledger, revision)
	a.verified = max(a.verified, p.Limits)
}

// Dropped records that a proposal was certainly not stored and never will be.
func (a *Account) Dropped(p *Proposal) {
	a.unresolved = slices.DeleteFunc(a.unresolved, func(other *Proposal) bool { return other == p })
}
