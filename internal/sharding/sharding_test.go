package sharding

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// fixedFeed provides a fixed membership.
type fixedFeed struct{ snapshot *configstate.Snapshot }

func (f *fixedFeed) Snapshot() *configstate.Snapshot { return f.snapshot }

func (f *fixedFeed) setMembers(t *testing.T, revision store.Revision, controllers ...string) {
	t.Helper()
	listing := store.Listing{Revision: revision}
	for _, id := range controllers {
		value, err := json.Marshal(member.Member{ID: id, Role: member.RoleController})
		must.NoError(t, err)
		listing.Entries = append(listing.Entries, store.Entry{Key: storekeys.Member(id), Value: value, ModRevision: 1})
	}
	f.snapshot = configstate.FromListing(nil, listing)
}

type registration struct {
	valid              bool
	registeredRevision store.Revision
}

func (r *registration) LeaseValid() bool                   { return r.valid }
func (r *registration) RegisteredRevision() store.Revision { return r.registeredRevision }

func TestEachShardHasOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a", "b", "c"}
		feed := &fixedFeed{}
		feed.setMembers(t, 5, members...)
		owned := make(map[string]int)
		for _, id := range members {
			o := New(id, feed, &registration{valid: true, registeredRevision: 5})
			must.False(t, o.Owns("wave/0"))
			time.Sleep(HandoverDelay)
			for shard := range 300 {
				if o.Owns(fmt.Sprintf("wave/%d", shard)) {
					owned[id]++
				}
			}
		}
		must.Eq(t, 300, owned["a"]+owned["b"]+owned["c"])
		for _, id := range members {
			must.Between(t, 70, owned[id], 130)
		}
	})
}

// A controller is paused past its lease, and another one takes over its waves.
// When it resumes it registers at once and its lease is valid again, but its
// configuration still shows it as the only controller. It must not continue
// with waves that the other one now drives.
func TestResumedControllerOwnsNothingBeforeItsRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, lease := &fixedFeed{}, &registration{valid: true, registeredRevision: 5}
		feed.setMembers(t, 5, "a")
		o := New("a", feed, lease)
		o.Owns("wave/1")
		time.Sleep(HandoverDelay)
		must.True(t, o.Owns("wave/1"))
		lease.valid = false
		must.False(t, o.Owns("wave/1"))
		lease.valid, lease.registeredRevision = true, 9
		must.False(t, o.Owns("wave/1"))
		feed.setMembers(t, 9, "a")
		must.True(t, o.Owns("wave/1"))
	})
}

// A controller joins. Until the previous owner of a wave has seen that, both
// would drive it, so the new owner must wait for HandoverDelay.
func TestNewOwnerWaitsForHandoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fixedFeed{}
		feed.setMembers(t, 5, "a")
		newOwner := New("b", feed, &registration{valid: true, registeredRevision: 6})
		must.False(t, newOwner.Owns("wave/1"))
		feed.setMembers(t, 6, "b")
		must.False(t, newOwner.Owns("wave/1"))
		time.Sleep(HandoverDelay)
		must.True(t, newOwner.Owns("wave/1"))
	})
}

// A controller takes over shards, and a third controller joins right after. The
// second change must not cut short the wait started by the first: the previous
// owner may not have seen it yet, and both would act.
func TestSecondChangeDoesNotShortenHandoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fixedFeed{}
		feed.setMembers(t, 5, "a")
		o := New("b", feed, &registration{valid: true, registeredRevision: 6})
		countOwned := func() (owned int) {
			for shard := range 100 {
				if o.Owns(fmt.Sprintf("wave/%d", shard)) {
					owned++
				}
			}
			return owned
		}
		must.Zero(t, countOwned())
		time.Sleep(HandoverDelay)
		feed.setMembers(t, 6, "b")
		must.Zero(t, countOwned())
		time.Sleep(HandoverDelay / 2)
		feed.setMembers(t, 7, "b", "c")
		must.Zero(t, countOwned())
		time.Sleep(HandoverDelay / 2)
		must.Positive(t, countOwned())
	})
}
