package cluster

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// Guards against a pool that counts as one in which nothing runs, although a holder that
// this process has not seen may have had it.
func TestUnheldPoolsAreThoseSeenWithoutAClaimAllTheWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Self: Member{Node: "self", Incarnation: "1"}, Log: zerolog.Nop()})
		value, err := json.Marshal(Claim{Member: Member{Node: "n", Incarnation: "1"}, Fence: 1})
		must.NoError(t, err)
		claimed := store.Event{Entry: store.Entry{Key: poolstore.ClaimKey("p"), Value: value, ModRevision: 1}}
		// look lets the store show members and claims for a while.
		look := func(length time.Duration) {
			for range int(length / time.Second) {
				c.current(time.Now())
				time.Sleep(time.Second)
			}
		}
		must.EqOp(t, 0, c.UnheldFor("p"))
		look(5 * time.Second)
		must.EqOp(t, 5*time.Second, c.UnheldFor("p"))
		c.applyEvents([]store.Event{claimed})
		look(5 * time.Second)
		must.EqOp(t, 0, c.UnheldFor("p"))
		c.applyEvents([]store.Event{{Entry: store.Entry{Key: poolstore.ClaimKey("p")}, Deleted: true}})
		look(3 * time.Second)
		must.EqOp(t, 3*time.Second, c.UnheldFor("p"))
		c.applyEvents([]store.Event{claimed})
		c.applyList(nil)
		look(2 * time.Second)
		must.EqOp(t, 2*time.Second, c.UnheldFor("p"))
		time.Sleep(2 * leaseTTL)
		must.EqOp(t, 0, c.UnheldFor("p"), must.Sprint("the store shows nothing"))
		look(time.Second)
		must.EqOp(t, time.Second, c.UnheldFor("p"))
	})
}
