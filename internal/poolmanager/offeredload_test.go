package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
)

// Jobs are submitted every 10 ms while the store responds to nothing for a
// moment. If the offered load counted jobs only when they are stored, the pause
// would look like the end of a demand burst and the pool's idle hosts would be
// moved away.
func TestOfferedLoadCountsJobsNotYetStored(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 12, func(e *env) {
		m := e.takeOver(true)
		for i := range 300 {
			switch i {
			case 150:
				e.store.SetLatency(slowResponse)
			case 180:
				e.store.SetLatency(0)
			}
			record := e.record(shortStep(1))
			go m.Submit(e.ctx, record)
			time.Sleep(10 * time.Millisecond)
			if i < 100 {
				continue
			}
			load, ok := m.Load(e.ctx, nil)
			must.True(t, ok)
			must.Greater(t, load.Offered/2, load.RecentOffered)
		}
	})
}
