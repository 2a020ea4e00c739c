package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
)

// Jobs come every ten milliseconds, and for a moment the store answers nobody, so
// that none is stored. The pool tells all the while that they come: counted when
// they were stored, such a pause was taken for the end of a turn of demand, and
// the pool's idle hosts went elsewhere in the middle of it.
func TestJobsCountAsArrivedWhileTheyAreBeingStored(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 12, func(w *world) {
		k := w.take(true)
		for i := range 300 {
			switch i {
			case 150:
				w.store.SetLatency(slowAnswer)
			case 180:
				w.store.SetLatency(0)
			}
			record := w.record(quick(1))
			go k.Submit(w.ctx, record)
			time.Sleep(10 * time.Millisecond)
			if i < 100 {
				continue
			}
			load, ok := k.Load(w.ctx, nil)
			must.True(t, ok)
			must.Greater(t, load.Offered/2, load.RecentOffered)
		}
	})
}
