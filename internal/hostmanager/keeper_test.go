package hostmanager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// The store hasn't shown for two seconds that the duty is held here: another
// process may hold it. Nothing is done to hosts until it shows that again.
func TestDutyRestsWhileUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(Config{}, 1, 1, nil)
		must.True(t, k.acts())
		time.Sleep(unconfirmedFor)
		must.False(t, k.acts())
		k.ConfirmClaim()
		must.True(t, k.acts())
		k.depose()
		must.False(t, k.acts())
	})
}

// The process was suspended: its steady clock says that it was confirmed a
// moment ago, the time of day that it was long ago.
func TestDutyRestsAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(Config{}, 1, 1, nil)
		// Round drops the steady clock's reading, so that only the time of day
		// tells how long ago this is.
		k.confirmed = time.Now().Round(0).Add(-unconfirmedFor)
		must.False(t, k.acts())
		k.ConfirmClaim()
		must.True(t, k.acts())
	})
}

// forgetful are pools that know none of the workers they are asked for.
type forgetful struct{ Pools }

func (forgetful) Drain(_ context.Context, _ string, workers []string) ([]DrainState, bool) {
	return make([]DrainState, len(workers)), true
}

// A host of a wave crashes while it is being emptied, and comes up in another
// life. Its pool has forgotten the life that the duty asks for, which therefore
// never empties: the host has to be taken up again as it is now.
func TestAHostThatLivesAnewIsTakenUpAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(Config{Pools: forgetful{}, HasHolder: func(string) bool { return true }}, 1, 1, nil)
		host := Host{Name: "h", Pool: "p", Up: true, Worker: "first"}
		k.take([]Host{host})
		time.AfterFunc(time.Second, func() {
			k.take([]Host{{Name: "h", Pool: "p", Up: true, Worker: "second"}})
		})
		began := time.Now()
		must.False(t, k.empty(t.Context(), host, emptyWithin))
		must.Less(t, 1200*time.Millisecond, time.Since(began))
	})
}
