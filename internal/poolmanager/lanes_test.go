package poolmanager_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// slowAnswer is what the store takes for an answer while it is slow.
const slowAnswer = 250 * time.Millisecond

// submitAll hands jobs in at once and returns their ids and what became of each.
func (w *world) submitAll(k *kept, count int) (ids []string, results func() map[string]poolmanager.Result) {
	var mu sync.Mutex
	var open sync.WaitGroup
	told := make(map[string]poolmanager.Result)
	for range count {
		record := w.record(quick(1))
		ids = append(ids, record.ID)
		open.Go(func() {
			result := k.Submit(w.ctx, record)
			mu.Lock()
			defer mu.Unlock()
			told[record.ID] = result
		})
	}
	return ids, func() map[string]poolmanager.Result {
		open.Wait()
		return told
	}
}

// A turn of demand in a large pool: six hundred jobs are handed in within a
// moment. The store answers at once, yet with a pause after each full commit the
// last clients waited eight tenths of a second for their answer, and as long
// again to be told that their jobs were done.
func TestManyJobsAtOnceAreStoredSoon(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 12, func(w *world) {
		k := w.take(true)
		w.store.SetLatency(4 * time.Millisecond)
		w.submit(k, quick(1))
		began := time.Now()
		_, results := w.submitAll(k, 600)
		for _, result := range results() {
			must.EqOp(t, poolmanager.Stored, result)
		}
		must.Less(t, 500*time.Millisecond, time.Since(began))
		w.store.SetLatency(0)
		k.kill()
	})
}

// The store takes a quarter of a second for an answer, and many jobs come at
// once. With one commit at a time clients waited three seconds to be told that
// their job is accepted, and as long again to be told that it is done.
func TestASlowStoreCarriesManyJobs(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 12, func(w *world) {
		k := w.take(true)
		w.store.SetLatency(slowAnswer)
		w.submit(k, quick(1))
		began := time.Now()
		ids, results := w.submitAll(k, 300)
		for _, result := range results() {
			must.EqOp(t, poolmanager.Stored, result)
		}
		must.Less(t, 900*time.Millisecond, time.Since(began))
		time.Sleep(20 * time.Second)
		for _, id := range ids {
			must.EqOp(t, work.Done, w.state(k, id))
		}
		w.store.SetLatency(0)
		k.kill()
		<-k.ended
		k = w.take(true)
		for _, id := range ids {
			must.EqOp(t, work.Done, w.state(k, id))
		}
	})
}

// Another process takes the pool over while many commits of the old holder are
// on their way in a slow store. Those that arrive after the takeover must change
// nothing: the new holder has read the pool and would not know what they store.
func TestCommitsAsideEndWithTheTakeover(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 4, func(w *world) {
		k := w.take(true)
		w.store.SetLatency(slowAnswer)
		w.submit(k, quick(1))
		ids, results := w.submitAll(k, 200)
		// Some lanes have sent their second commit by now.
		time.Sleep(slowAnswer + 150*time.Millisecond)
		w.store.SetLatency(0)
		next := w.take(false)
		told := results()
		accepted := 0
		for _, id := range ids {
			_, err := w.store.Get(w.ctx, poolstore.JobKey(pool, id))
			_, known, ok := next.JobState(w.ctx, id)
			must.True(t, ok)
			must.EqOp(t, known, !store.IsNotFound(err), must.Sprint("what is stored is known to the new holder"))
			if told[id] == poolmanager.Stored {
				accepted++
				must.True(t, known)
			}
		}
		must.Between(t, 1, accepted, len(ids)-1)
	})
}

// An answer is lost on a lane beside the head's: the commit is sent again, and
// the lane's own record tells that it had happened.
func TestLostAnswersAsideAreSettled(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 4, func(w *world) {
		k := w.take(true)
		w.store.SetLatency(slowAnswer)
		w.submit(k, quick(1))
		w.store.SetResponseLossRate(0.4, 7)
		_, results := w.submitAll(k, 200)
		for _, result := range results() {
			must.EqOp(t, poolmanager.Stored, result)
		}
	})
}
