package storeaccess

import (
	"context"
	"flag"
	"maps"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/store"
)

// TestMain fixes the seed of the random checks unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// view is what a follower knows.
type view struct {
	revision store.Revision
	values   map[string]store.Revision
}

func (v *view) list(t *rapid.T, c *cache) {
	listing, err := c.list(time.Now())
	if err != nil || listing.Revision < v.revision {
		return
	}
	v.values = make(map[string]store.Revision)
	for _, entry := range listing.Entries {
		v.values[entry.Key] = entry.ModRevision
	}
	v.revision = listing.Revision
}

func (v *view) watch(t *rapid.T, c *cache) {
	batch, _, _, err := c.eventsAfter(v.revision, time.Now())
	if store.IsCompacted(err) {
		v.list(t, c)
		return
	}
	if err != nil {
		return
	}
	for _, event := range batch.Events {
		if event.Deleted {
			delete(v.values, event.Entry.Key)
			continue
		}
		if event.Entry.ModRevision < v.values[event.Entry.Key] {
			t.Fatalf("%s went back from %d to %d", event.Entry.Key, v.values[event.Entry.Key], event.Entry.ModRevision)
		}
		v.values[event.Entry.Key] = event.Entry.ModRevision
	}
	if batch.Revision < v.revision {
		t.Fatalf("the revision went back from %d to %d", v.revision, batch.Revision)
	}
	v.revision = batch.Revision
}

// Guards against a follower of two relays that goes back to an older version or misses a
// change.
func TestFollowerOfTwoRelaysNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		current := make(map[string]store.Revision)
		var history []store.Event
		revision := store.Revision(0)
		relays := []*cache{newCache(""), newCache("")}
		follower := view{values: make(map[string]store.Revision)}
		read := func(c *cache, list bool) {
			if !list && c.revision > 0 {
				batch := store.WatchBatch{Revision: revision}
				for _, event := range history {
					if event.Entry.ModRevision > c.revision {
						batch.Events = append(batch.Events, event)
					}
				}
				c.watched(batch, true, time.Now())
				return
			}
			listing := store.Listing{Revision: revision}
			for key, at := range current {
				listing.Entries = append(listing.Entries, store.Entry{Key: key, ModRevision: at})
			}
			c.listed(listing, true, time.Now())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			relay := relays[rapid.IntRange(0, 1).Draw(t, "relay")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				revision++
				event := store.Event{Entry: store.Entry{Key: keys.Draw(t, "key"), ModRevision: revision}}
				if rapid.Bool().Draw(t, "delete") {
					event.Deleted = true
					delete(current, event.Entry.Key)
				} else {
					current[event.Entry.Key] = revision
				}
				history = append(history, event)
			case 2:
				read(relay, rapid.Bool().Draw(t, "list"))
			default:
				follower.watch(t, relay)
			}
		}
		for _, relay := range relays {
			read(relay, false)
			follower.watch(t, relay)
		}
		if !maps.Equal(current, follower.values) {
			t.Fatalf("the follower knows %v, the store has %v", follower.values, current)
		}
	})
}

// Guards against a follower that goes on knowing a key that was written and deleted between
// two lists of its relay.
func TestFollowerInTheGapBetweenTwoListsIsSentToList(t *testing.T) {
	c := newCache("p")
	c.listed(store.Listing{Revision: 10}, true, time.Now())
	c.listed(store.Listing{Revision: 20}, true, time.Now())
	for after, complete := range map[store.Revision]bool{10: true, 15: false, 20: true, 21: true} {
		_, _, _, err := c.eventsAfter(after, time.Now())
		must.EqOp(t, complete, !store.IsCompacted(err), must.Sprint(after))
	}
}

// Guards against a follower that takes the moment of the relay's answer for the age of what
// it knows.
func TestRelayPassesOnTheAgeOfWhatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCache("p")
		confirmed := time.Now()
		c.listed(store.Listing{Revision: 5}, true, confirmed)
		time.Sleep(700 * time.Millisecond)
		sent := time.Now()
		listing, err := c.list(sent)
		must.NoError(t, err)
		must.EqOp(t, 0, sent.Add(listing.Quiet).Sub(confirmed))
		time.Sleep(maxSilence)
		_, err = c.list(time.Now())
		must.True(t, isNotCurrent(err))
	})
}

// Guards against followers that a relay sends away since its last answer was large, and took
// longer to arrive than a silent store is waited for.
func TestRelayServesAnAnswerThatTookLongToArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCache("p")
		sent := time.Now()
		for range 10 {
			time.Sleep(maxSilence / 2)
			c.progressed(true)
		}
		c.listed(store.Listing{Revision: 5}, true, sent)
		received := time.Now()
		listing, err := c.list(received)
		must.NoError(t, err)
		must.EqOp(t, sent, received.Add(listing.Quiet))
	})
}

// Guards against followers that wait for a relay without the store, or leave it for a single
// lost answer.
func TestRelayWithoutStoreSendsFollowersAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCache("p")
		c.listed(store.Listing{Revision: 5}, true, time.Now())
		answered := make(chan error, 1)
		go func() {
			_, err := c.watch(context.Background(), 5)
			answered <- err
		}()
		synctest.Wait()
		c.failed()
		time.Sleep(50 * time.Millisecond)
		must.EqOp(t, 0, len(answered))
		c.failed()
		synctest.Wait()
		must.True(t, isNotCurrent(<-answered))
	})
}

// Guards against a follower whose knowledge is twice as old as its relay's.
func TestFollowerIsAnsweredByConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCache("p")
		c.listed(store.Listing{Revision: 5}, true, time.Now())
		sent := time.Now()
		go func() {
			time.Sleep(600 * time.Millisecond)
			c.watched(store.WatchBatch{Revision: 9}, true, time.Now())
		}()
		batch, err := c.watch(t.Context(), 5)
		must.NoError(t, err)
		must.EqOp(t, 600*time.Millisecond, time.Since(sent))
		must.EqOp(t, 600*time.Millisecond, batch.Quiet)
		must.EqOp(t, 9, batch.Revision)
	})
}

// Guards against memory that grows with the size of configurations.
func TestHistoryIsBounded(t *testing.T) {
	c := newCache("p")
	c.listed(store.Listing{Revision: 1}, true, time.Now())
	for revision := store.Revision(2); revision < 40; revision++ {
		event := store.Event{Entry: store.Entry{Key: "config", Value: make([]byte, 200<<10), ModRevision: revision}}
		c.watched(store.WatchBatch{Events: []store.Event{event}, Revision: revision}, true, time.Now())
		must.LessEq(t, maxHistoryBytes, c.historyBytes)
	}
	_, _, _, err := c.eventsAfter(2, time.Now())
	must.True(t, store.IsCompacted(err))
	batch, _, _, err := c.eventsAfter(38, time.Now())
	must.NoError(t, err)
	must.Len(t, 1, batch.Events)
}

func isNotCurrent(err error) bool {
	_, ok := err.(*NotCurrentError)
	return ok
}
