package cluster

import (
	"context"
	"encoding/json"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// A process's record is written under the condition that it is as this process knows it. A
// write of an earlier process of the node that the store executes late then changes nothing.
// Without that, it replaced the record of the present process under a lease that ends, and
// a process without a record claims no pools.

// registerAttempts bounds the writes of one registration: the first may find the record of
// an earlier process.
const registerAttempts = 3

func (c *Cluster) memberKey() string { return poolstore.MemberKey(c.Self.Zone, c.Self.Node) }

// register writes this process's record under a lease. It replaces that of an earlier
// process of the node, unless this one is leaving: then the other is a later one.
func (c *Cluster) register(ctx context.Context, lease store.LeaseID) error {
	var err error
	for range registerAttempts {
		self, expect := c.record()
		var revision store.Revision
		revision, err = c.Store.Commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: c.memberKey(), Expect: expect}},
			Puts:       []store.Put{{Key: c.memberKey(), Value: encode(self), Lease: lease}},
		})
		if err == nil {
			c.registered(revision)
			return nil
		}
		conflict, ok := err.(*store.TxnConflictError)
		if !ok {
			return err
		}
		current := conflict.Find(c.memberKey())
		if self.Draining && current.ModRevision != 0 && !c.isOwn(current) {
			return err
		}
		c.setRecordRevision(current.ModRevision)
	}
	return err
}

// record returns this process's record and the revision of the stored one.
func (c *Cluster) record() (Member, store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.Self
	self.Draining = c.leaving
	return self, c.recordRevision
}

func (c *Cluster) registered(revision store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRevision, c.registeredAt = revision, time.Now()
}

func (c *Cluster) setRecordRevision(revision store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRevision = revision
}

func (c *Cluster) isOwn(entry store.Entry) bool {
	var m Member
	return json.Unmarshal(entry.Value, &m) == nil && m.HolderID() == c.Self.HolderID()
}

// recordLost reports whether the store has shown, since this process registered, that its
// record is gone or another's.
func (c *Cluster) recordLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[c.Self.Node]
	return !c.leaving && c.lease != 0 && c.updatedAt.After(c.registeredAt) && (!ok || m.HolderID() != c.Self.HolderID())
}

// restoreRecord writes this process's record again once it was lost.
func (c *Cluster) restoreRecord(ctx context.Context, lease store.LeaseID) error {
	if !c.recordLost() {
		return nil
	}
	c.Log.Warn().Msg("The record of this process is lost; writing it again.")
	return c.register(ctx, lease)
}
