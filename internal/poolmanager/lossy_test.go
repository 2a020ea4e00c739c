package poolmanager_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// Hosts that are well leave one call in twenty without an answer. Each of them
// is asked several times a second, so that a third were unheard for a second at
// any time, and of jobs with eight tasks most waited for the end of one.
func TestLostHoldsDelayFewJobs(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 12, func(w *world) {
		k := w.take(true)
		for _, id := range w.workers.IDs(pool) {
			w.workers.SetFaults(id, emulate.HostFaults{DelayRate: 0.05, HeartbeatLossRate: 0.05})
		}
		var ages []time.Duration
		told := make(chan time.Duration)
		const jobs = 80
		for range jobs {
			id := w.submit(k, quick(8))
			handedIn := time.Now()
			go func() {
				for w.state(k, id) != work.Done {
					time.Sleep(10 * time.Millisecond)
				}
				told <- time.Since(handedIn)
			}()
			time.Sleep(150 * time.Millisecond)
		}
		for range jobs {
			ages = append(ages, <-told)
		}
		slices.Sort(ages)
		t.Logf("half within %v, nine in ten within %v", ages[jobs/2], ages[jobs*9/10])
		must.Less(t, 1550*time.Millisecond, ages[jobs*9/10])
	})
}
