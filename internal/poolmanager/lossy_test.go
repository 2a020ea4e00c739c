package poolmanager_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// Healthy hosts leave 5% of calls unanswered. Each host receives several
// heartbeats per second, so that without faster retries a third of the hosts have
// no reply for a second at any time, and most jobs with eight tasks wait for the
// end of one of them.
func TestLostHeartbeatsDelayFewJobs(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 12, func(e *env) {
		m := e.takeOver(true)
		for _, id := range e.workers.IDs(pool) {
			e.workers.SetFaults(id, emulate.HostFaults{DelayRate: 0.05, HeartbeatLossRate: 0.05})
		}
		var ages []time.Duration
		done := make(chan time.Duration)
		const jobs = 80
		for range jobs {
			id := e.submit(m, shortStep(8))
			submitted := time.Now()
			go func() {
				for e.state(m, id) != work.Done {
					time.Sleep(10 * time.Millisecond)
				}
				done <- time.Since(submitted)
			}()
			time.Sleep(150 * time.Millisecond)
		}
		for range jobs {
			ages = append(ages, <-done)
		}
		slices.Sort(ages)
		t.Logf("p50 %v, p90 %v", ages[jobs/2], ages[jobs*9/10])
		must.Less(t, 1550*time.Millisecond, ages[jobs*9/10])
	})
}
