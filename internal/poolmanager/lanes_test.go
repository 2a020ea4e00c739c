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

// slowResponse is the latency of the store while it is slow.
const slowResponse = 250 * time.Millisecond

// submitAll submits jobs concurrently and returns their IDs, and a function that
// waits for and returns their results by ID.
func (e *env) submitAll(m *runningManager, count int) (ids []string, results func() map[string]poolmanager.Result) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	byID := make(map[string]poolmanager.Result)
	for range count {
		record := e.record(shortStep(1))
		ids = append(ids, record.ID)
		pending.Go(func() {
			result := m.Submit(e.ctx, record).Result
			mu.Lock()
			defer mu.Unlock()
			byID[record.ID] = result
		})
	}
	return ids, func() map[string]poolmanager.Result {
		pending.Wait()
		return byID
	}
}

// 600 jobs are submitted within a moment in a large pool, and the store responds
// at once. A pause after each full commit would delay the last responses by 800
// ms, and the notification that their jobs are done by as much again.
func TestJobBurstIsStoredQuickly(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 12, func(e *env) {
		m := e.takeOver(true)
		e.store.SetLatency(4 * time.Millisecond)
		e.submit(m, shortStep(1))
		began := time.Now()
		_, results := e.submitAll(m, 600)
		for _, result := range results() {
			must.EqOp(t, poolmanager.Stored, result)
		}
		must.Less(t, 500*time.Millisecond, time.Since(began))
		e.store.SetLatency(0)
		m.kill()
	})
}

// The store responds after 250 ms while many jobs are submitted. With one commit
// at a time, clients would wait 3 s until their job is accepted and as long again
// until it is shown as done.
func TestJobBurstWithSlowStore(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 12, func(e *env) {
		m := e.takeOver(true)
		e.store.SetLatency(slowResponse)
		e.submit(m, shortStep(1))
		began := time.Now()
		ids, results := e.submitAll(m, 300)
		for _, result := range results() {
			must.EqOp(t, poolmanager.Stored, result)
		}
		must.Less(t, 900*time.Millisecond, time.Since(began))
		time.Sleep(20 * time.Second)
		for _, id := range ids {
			must.EqOp(t, work.Done, e.state(m, id))
		}
		e.store.SetLatency(0)
		m.kill()
		<-m.ended
		m = e.takeOver(true)
		for _, id := range ids {
			must.EqOp(t, work.Done, e.state(m, id))
		}
	})
}

// Another process takes over the pool while many commits of the old holder are in
// flight to a slow store. Those that arrive after the takeover must not be
// applied: the new holder has already loaded the pool and would miss them.
func TestTakeoverFencesSideLaneCommits(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		e.store.SetLatency(slowResponse)
		e.submit(m, shortStep(1))
		ids, results := e.submitAll(m, 200)
		// Some lanes have sent their second commit after this time.
		time.Sleep(slowResponse + 150*time.Millisecond)
		e.store.SetLatency(0)
		next := e.takeOver(false)
		resultOf := results()
		accepted := 0
		for _, id := range ids {
			_, err := e.store.Get(e.ctx, poolstore.JobKey(pool, id))
			_, known, ok := next.JobState(e.ctx, work.JobRef{ID: id})
			must.True(t, ok)
			must.EqOp(t, known, !store.IsNotFound(err), must.Sprint("the new holder has exactly the jobs that are stored"))
			if resultOf[id] == poolmanager.Stored {
				accepted++
				must.True(t, known)
			}
		}
		must.Between(t, 1, accepted, len(ids)-1)
	})
}

// Guards against a holder that takes itself for replaced: another pool gets jobs of the
// queue while commits are in flight on side lanes that were never used, or by an earlier
// holder only.
func TestChangedQueueOnASideLaneKeepsTheHolder(t *testing.T) {
	for name, takeovers := range map[string]int{"unused lanes": 1, "lanes of an earlier holder": 2} {
		t.Run(name, func(t *testing.T) {
			runEnv(t, emulate.WorkersConfig{Seed: 1}, 12, func(e *env) {
				var m *runningManager
				for range takeovers {
					if m != nil {
						m.kill()
						<-m.ended
					}
					m = e.takeOver(true)
					e.store.SetLatency(slowResponse)
					e.submit(m, shortStep(1))
					_, results := e.submitAll(m, 200)
					results()
					e.store.SetLatency(0)
				}
				e.store.SetLatency(slowResponse)
				_, results := e.submitAll(m, 200)
				time.Sleep(100 * time.Millisecond)
				e.store.SetLatency(0)
				path := "host/" + pool + "/"
				queue, err := poolstore.ReadQueuePools(e.ctx, e.store, path)
				must.NoError(t, err)
				_, err = e.store.Commit(e.ctx, store.Txn{Puts: []store.Put{{Key: poolstore.QueueKey(path), Value: queue.With("other").Encode()}}})
				must.NoError(t, err)
				for _, result := range results() {
					must.EqOp(t, poolmanager.Stored, result)
				}
				must.EqOp(t, 0, len(m.ended))
			})
		})
	}
}

// A response is lost on a side lane. The commit must be sent again, and the
// lane's own key must show that it was applied.
func TestLostSideLaneResponsesAreResolved(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		e.store.SetLatency(slowResponse)
		e.submit(m, shortStep(1))
		e.store.SetResponseLossRate(0.4, 7)
		_, results := e.submitAll(m, 200)
		for _, result := range results() {
			must.EqOp(t, poolmanager.Stored, result)
		}
	})
}
