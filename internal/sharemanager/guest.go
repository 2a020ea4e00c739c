package sharemanager

import (
	"context"
	"time"
)

// probeLenders asks the others, once per promiseProbeInterval, whether they lend to
// this gateway while it has no share. That is the case when it started during a store
// outage, in which no other gateway can shrink for it. After it has a lease it
// continues only if it could borrow before, until its join has completed.
func (mgr *Manager) probeLenders(ctx context.Context) {
	current := &mgr.active.Load().agreement
	joinPending := mgr.Lease.LeaseValid() && !mgr.canBorrow()
	hasNoShare := current.Revision != 0 && !current.Committed.Has(mgr.Self.ID)
	if mgr.Lenders == nil || !hasNoShare || joinPending || mgr.leaving.Load() || time.Since(mgr.lendersProbedAt) < promiseProbeInterval {
		return
	}
	probedAt := time.Now()
	mgr.lendersProbedAt = probedAt
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if mgr.Lenders.CanBorrow(ctx) {
		mgr.canBorrowAt.Store(&probedAt)
	}
}

// canBorrow reports whether others have responded within promiseTTL that they lend to
// this gateway.
func (mgr *Manager) canBorrow() bool {
	at := mgr.canBorrowAt.Load()
	return at != nil && !mgr.leaving.Load() && time.Since(*at) < promiseTTL
}

// LendsTo reports whether slots may be lent to a gateway, and whether connections are
// included because it has no share. A gateway that is not in the view may borrow only
// while this one cannot reach the store either. While the store is available it must
// join and be in the membership, where maintenance waves wait for it.
func (mgr *Manager) LendsTo(id string) (allowed, connections bool) {
	current := &mgr.active.Load().agreement
	connections = !current.Committed.Has(id)
	mayBorrow := current.Target().Has(id) || connections && (mgr.Lease.Failing() || !mgr.Lease.LeaseValid())
	return mayBorrow && mgr.sharesUsable(), connections
}
