package duty

import (
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
		k.Confirm()
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
		k.Confirm()
		must.True(t, k.acts())
	})
}
