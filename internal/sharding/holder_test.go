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

// fixedFeed hands out one membership.
type fixedFeed struct{ snapshot *configstate.Snapshot }

func (f *fixedFeed) Snapshot() *configstate.Snapshot { return f.snapshot }

func (f *fixedFeed) show(t *testing.T, revision store.Revision, controllers ...string) {
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
	valid bool
	at    store.Revision
}

func (r *registration) Valid() bool                        { return r.valid }
func (r *registration) RegisteredRevision() store.Revision { return r.at }

func TestEachShardHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a", "b", "c"}
		feed := &fixedFeed{}
		feed.show(t, 5, members...)
		held := make(map[string]int)
		for _, id := range members {
			h := New(id, feed, &registration{valid: true, at: 5})
			must.False(t, h.Owns("wave/0"))
			time.Sleep(HandoverDelay)
			for shard := range 300 {
				if h.Owns(fmt.Sprintf("wave/%d", shard)) {
					held[id]++
				}
			}
		}
		must.Eq(t, 300, held["a"]+held["b"]+held["c"])
		for _, id := range members {
			must.Between(t, 70, held[id], 130)
		}
	})
}

// A controller is paused past its lease, and another takes its waves over. When
// it wakes it registers anew at once, and its lease is good again, but its
// configuration is still the one from before the pause, in which it is alone.
// It would go on with waves that the other one drives.
func TestWokenControllerHoldsNothingBeforeItSeesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, lease := &fixedFeed{}, &registration{valid: true, at: 5}
		feed.show(t, 5, "a")
		h := New("a", feed, lease)
		h.Owns("wave/1")
		time.Sleep(HandoverDelay)
		must.True(t, h.Owns("wave/1"))
		lease.valid = false
		must.False(t, h.Owns("wave/1"))
		lease.valid, lease.at = true, 9
		must.False(t, h.Owns("wave/1"))
		feed.show(t, 9, "a")
		must.True(t, h.Owns("wave/1"))
	})
}

// A controller joins. Until the one that held a wave has seen it, both would
// drive it; the new one waits as long as that takes.
func TestNewHolderWaitsForTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fixedFeed{}
		feed.show(t, 5, "a")
		joined := New("b", feed, &registration{valid: true, at: 6})
		must.False(t, joined.Owns("wave/1"))
		feed.show(t, 6, "b")
		must.False(t, joined.Owns("wave/1"))
		time.Sleep(HandoverDelay)
		must.True(t, joined.Owns("wave/1"))
	})
}

// A controller takes shards over from another one, and right after a third
// joins. The second change must not cut the wait short that the first one
// began: the old holder may not have seen it yet, and both would act.
func TestSecondChangeDoesNotCutTheWaitShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fixedFeed{}
		feed.show(t, 5, "a")
		h := New("b", feed, &registration{valid: true, at: 6})
		holds := func() (held int) {
			for shard := range 100 {
				if h.Owns(fmt.Sprintf("wave/%d", shard)) {
					held++
				}
			}
			return held
		}
		must.Zero(t, holds())
		time.Sleep(HandoverDelay)
		feed.show(t, 6, "b")
		must.Zero(t, holds())
		time.Sleep(HandoverDelay / 2)
		feed.show(t, 7, "b", "c")
		must.Zero(t, holds())
		time.Sleep(HandoverDelay / 2)
		must.Positive(t, holds())
	})
}
