package sharemanager

import (
	"context"
	"time"
)

// seek asks the others, once a second, whether they lend to this gateway while
// it has no share: it started in a store outage, when nobody can shrink for it.
// Once it has a lease it only goes on asking until its join is done.
func (k *Manager) seek(ctx context.Context) {
	current := &k.inForce.Load().agreement
	joining := k.Lease.Valid() && !k.borrows()
	known := current.Revision != 0 && !current.Committed.Has(k.Self.ID)
	if k.Lenders == nil || !known || joining || k.left.Load() || time.Since(k.lentAsked) < holdInterval {
		return
	}
	asked := time.Now()
	k.lentAsked = asked
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if k.Lenders.CanBorrow(ctx) {
		k.willingAt.Store(&asked)
	}
}

// borrows reports whether others have said lately that they lend to this
// gateway.
func (k *Manager) borrows() bool {
	at := k.willingAt.Load()
	return at != nil && !k.left.Load() && time.Since(*at) < promiseLife
}

// LendsTo reports whether slots may be lent to a gateway, and whether
// connections go with them because it has no share. One that isn't in the view
// borrows only while this one can't reach the store either: with the store
// there it joins, and must be in the membership, where waves wait for it.
func (k *Manager) LendsTo(id string) (may, connections bool) {
	current := &k.inForce.Load().agreement
	connections = !current.Committed.Has(id)
	invited := current.Target().Has(id) || connections && (k.Lease.Failing() || !k.Lease.Valid())
	return invited && k.usable(), connections
}
