package poolmanager_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

func TestStepsRunInOrderAndTheJobIsShownAsDone(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 4, func(w *world) {
		k := w.take(true)
		id := w.submit(k, quick(6), after(quick(4), 0))
		w.shown(k, id, work.Done, 3*time.Second)
		must.True(t, w.workers.Checker.Finished(id))
		must.EqOp(t, 10, w.workers.Checker.Starts())
	})
}

// A client hands the same job in again, through whatever entry host, while the
// first attempt is stored and after it is done. It stays one job.
func TestRepeatedSubmitIsOneJob(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		record := w.record(quick(2))
		results := make(chan poolmanager.Result, 2)
		for range 2 {
			go func() { results <- k.Submit(w.ctx, record) }()
		}
		must.EqOp(t, poolmanager.Stored, <-results)
		must.EqOp(t, poolmanager.Stored, <-results)
		w.shown(k, record.ID, work.Done, 3*time.Second)
		must.EqOp(t, poolmanager.Stored, k.Submit(w.ctx, record))
		time.Sleep(3 * time.Second)
		must.EqOp(t, 2, w.workers.Checker.Starts())
	})
}

// The holder dies in the middle of a job. The next one takes over what runs,
// starts nothing twice, and the job is done as if nothing had happened.
func TestNextHolderTakesOverWhatRuns(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 4, func(w *world) {
		k := w.take(true)
		id := w.submit(k, quick(6), after(quick(4), 0))
		last := w.submit(k, lasting(3))
		time.Sleep(500 * time.Millisecond)
		k.kill()
		<-k.ended
		next := w.take(false)
		w.shown(next, id, work.Done, 5*time.Second)
		must.EqOp(t, 13, w.workers.Checker.Starts())
		must.EqOp(t, 3, w.workers.Checker.Running(last))
	})
}

// A holder is cut off and another one takes the pool over. As soon as a host
// refuses the old fence, the old holder steps down and orders nothing more.
func TestDeposedHolderStepsDown(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		w.submit(k, lasting(2))
		time.Sleep(time.Second)
		w.take(false)
		var deposed *poolmanager.ClaimLostError
		must.True(t, errors.As(<-k.ended, &deposed))
	})
}

// The store takes a commit and its answer is lost. The job must be accepted
// once, and what was stored must not be taken for another holder's change.
func TestLostCommitAnswerIsSettled(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		w.store.LoseResponses(1)
		id := w.submit(k, quick(1))
		w.shown(k, id, work.Done, 4*time.Second)
	})
}

// A commit has no outcome, as the store went away under it. Jobs handed in after
// that are in no commit: their clients are told at once that they never run, and
// aren't held until their time is up.
func TestJobsBehindAStuckCommitAreRefusedAtOnce(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		w.store.LoseResponses(1)
		record := w.record(quick(1))
		stuck := make(chan poolmanager.Result, 1)
		go func() { stuck <- k.Submit(w.ctx, record) }()
		time.Sleep(10 * time.Millisecond)
		w.store.SetDown(true)
		time.Sleep(time.Second)
		began := time.Now()
		must.EqOp(t, poolmanager.Refused, k.Submit(w.ctx, w.record(quick(1))))
		must.Less(t, 300*time.Millisecond, time.Since(began))
		w.store.SetDown(false)
		must.EqOp(t, poolmanager.Stored, <-stuck)
	})
}

// The store is down. A job that is handed in can't be stored; the client is
// told that it never runs, and so it must be, also once the store is back.
func TestRefusedJobNeverRuns(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		w.store.SetDown(true)
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		defer cancel()
		record := w.record(quick(1))
		must.EqOp(t, poolmanager.Refused, k.Submit(ctx, record))
		w.store.SetDown(false)
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, w.workers.Checker.Starts())
		_, err := w.store.Get(w.ctx, poolstore.JobKey(pool, record.ID))
		must.True(t, store.IsNotFound(err))
	})
}

// The store goes down while a job runs. Its later steps start all the same;
// "done" is shown once the store has it.
func TestWorkGoesOnWhileTheStoreIsDown(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, quick(2), after(quick(2), 0))
		time.Sleep(200 * time.Millisecond)
		w.store.SetDown(true)
		time.Sleep(4 * time.Second)
		must.True(t, w.workers.Checker.Finished(id))
		must.EqOp(t, work.Running, w.state(k, id))
		w.store.SetDown(false)
		w.shown(k, id, work.Done, 2*time.Second)
	})
}

// A holder is cut off from the store and from one host, and another process takes
// its pool over, which can't ask the other host. The old holder starts nothing on
// that one any more once it can't be sure of its pool: the new one counts on what
// was held there to have lapsed, and starts it elsewhere.
func TestAHolderThatIsNotConfirmedStartsNothing(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		chain := []work.Step{quick(1), quick(1)}
		chain[0].Estimate, chain[1].After = poolmanager.ConfirmationTimeout+time.Second, []int{0}
		w.submit(k, chain...)
		time.Sleep(500 * time.Millisecond)
		w.store.SetDown(true)
		time.Sleep(3 * poolmanager.ConfirmationTimeout)
		must.EqOp(t, 1, w.workers.Checker.Starts())
	})
}

// A host goes silent for good with a lasting task on it. The task may work on
// there unheard until its hold has run out, and starts elsewhere after that:
// not before, and not never, as it did while holds went on being renewed.
func TestTaskOfASilentHostStartsElsewhereAfterItsHold(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(1))
		time.Sleep(2 * time.Second)
		silent := w.hostOf(id)
		w.workers.SetFaults(silent, emulate.HostFaults{Unresponsive: true})
		for range 12 {
			// The store goes on showing that the pool is held here.
			time.Sleep(time.Second)
			k.ConfirmClaim()
		}
		must.EqOp(t, 1, w.workers.Checker.Running(id))
		must.NotEqOp(t, silent, w.hostOf(id))
	})
}

// A task fails, the failure is stored, and the holder dies before the host
// knows that it was seen. The next holder hears of the same failure again and
// must not count it twice: the job would be shown as failed with attempts left.
func TestFailureHeardTwiceCountsOnce(t *testing.T) {
	config := emulate.WorkersConfig{Seed: 1, Fails: func(_ work.TaskName, run int) bool { return run == 1 }}
	play(t, config, 1, func(w *world) {
		k := w.take(true)
		record := w.record(quick(1))
		record.Queue.MaxAttempts = 2
		must.EqOp(t, poolmanager.Stored, k.Submit(w.ctx, record))
		// The failure comes after half a second; the host hears that it was
		// seen with the hold after the commit, which the kill comes before.
		for {
			entry, err := w.store.Get(w.ctx, poolstore.ProgressKey(pool, record.ID))
			if err == nil && len(entry.Value) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		k.kill()
		<-k.ended
		next := w.take(true)
		w.shown(next, record.ID, work.Done, 10*time.Second)
	})
}

// Hosts leave some orders unanswered and carry them out seconds later. Nothing
// may run twice, and no host may get more than it has.
func TestLateOrdersBreakNothing(t *testing.T) {
	for seed := range uint64(8) {
		play(t, emulate.WorkersConfig{Seed: seed}, 4, func(w *world) {
			for _, id := range w.workers.IDs(pool) {
				w.workers.SetFaults(id, emulate.HostFaults{DelayRate: 0.15})
			}
			k := w.take(true)
			var ids []string
			for range 10 {
				ids = append(ids, w.submit(k, quick(5), after(quick(3), 0)))
				time.Sleep(300 * time.Millisecond)
			}
			for _, id := range ids {
				w.shown(k, id, work.Done, 40*time.Second)
			}
		})
	}
}

// A job whose tasks always fail is shown as failed after its attempts, and the
// host that ran it stays in use.
func TestHopelessJobFails(t *testing.T) {
	config := emulate.WorkersConfig{Seed: 1, Fails: func(name work.TaskName, _ int) bool { return name.Job == "0000000000000001" }}
	play(t, config, 2, func(w *world) {
		k := w.take(true)
		hopeless, good := w.submit(k, quick(2)), w.submit(k, quick(2))
		w.shown(k, hopeless, work.Failed, 5*time.Second)
		w.shown(k, good, work.Done, 3*time.Second)
	})
}

// A client cancels a job that runs. It is acknowledged once stored, its tasks
// end, and no further one starts, also under the next holder.
func TestCancelledJobEnds(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(2))
		time.Sleep(time.Second)
		must.EqOp(t, poolmanager.Stored, k.Cancel(w.ctx, id))
		w.workers.Checker.Cancelled(id)
		must.EqOp(t, work.Cancelled, w.state(k, id))
		k.kill()
		<-k.ended
		next := w.take(true)
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, w.workers.Checker.Running(id))
		must.EqOp(t, work.Cancelled, w.state(next, id))
		must.EqOp(t, poolmanager.JobNotFound, next.Cancel(w.ctx, "00000000000000ff"))
	})
}

// A host is to be emptied. Its lasting task moves while the step misses no
// more than it may, and nothing new starts there.
func TestVacatedHostEmpties(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 4, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(3))
		time.Sleep(2 * time.Second)
		closed := w.hostOf(id)
		for range 30 {
			if empty, known, ok := w.vacate(k, closed); ok && known && empty {
				break
			}
			must.GreaterEq(t, 2, w.workers.Checker.Running(id))
			time.Sleep(100 * time.Millisecond)
		}
		must.EqOp(t, 0, w.workers.Running(closed))
		time.Sleep(time.Second)
		must.EqOp(t, 3, w.workers.Checker.Running(id))
	})
}

// The holder is cut off from the store and asked for a host. It may be replaced
// any moment by one that waits for every host that the store names, so that none
// of these may go; once the store is back, the host goes within a moment.
func TestHolderWithoutTheStoreGivesNoHostAway(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 4, func(w *world) {
		k := w.take(true)
		w.submit(k, lasting(1))
		time.Sleep(time.Second)
		host := w.idleHost()
		w.store.SetDown(true)
		for range 20 {
			empty, _, ok := w.vacate(k, host)
			must.True(t, ok)
			must.False(t, empty)
			time.Sleep(100 * time.Millisecond)
		}
		w.store.SetDown(false)
		time.Sleep(300 * time.Millisecond)
		empty, _, ok := w.vacate(k, host)
		must.True(t, ok && empty)
	})
}

// A new holder is asked whether a host is empty before it has asked the host
// itself. Were it to answer by what it knows, the host would go down with a
// lasting task on it.
func TestNextHolderDoesNotCallAnUnaskedHostEmpty(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 3, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(1))
		time.Sleep(time.Second)
		host := w.hostOf(id)
		k.kill()
		<-k.ended
		next := w.takeAtOnce(true)
		for range 200 {
			empty, _, ok := w.vacate(next, host)
			must.True(t, ok)
			if empty {
				must.EqOp(t, 0, w.workers.Running(host))
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// A new holder has nothing to store. A host dies, and its lasting task must
// start elsewhere all the same: it didn't while the hosts in use were only
// marked with a commit that came after the platform's list of hosts.
func TestNextHolderUsesTheHostsItFound(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 3, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(1))
		time.Sleep(time.Second)
		k.kill()
		<-k.ended
		w.take(true)
		w.workers.Kill(w.hostOf(id))
		time.Sleep(2 * time.Second)
		must.EqOp(t, 1, w.workers.Checker.Running(id))
	})
}

// A holder stops a lasting task to empty its host and gives the pool up before
// the task has ended. The next one still finds the task on its host, at work by
// all signs, and is asked to empty another host: were it to go by what it
// sees, two tasks of the step would be away where one may be.
func TestNextHolderDoesNotTakeASecondTaskAway(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 5, func(w *world) {
		k := w.take(true)
		id := w.submit(k, lasting(3))
		time.Sleep(2 * time.Second)
		first := w.hostOf(id)
		w.vacate(k, first)
		time.Sleep(20 * time.Millisecond)
		k.kill()
		<-k.ended
		next := w.takeAtOnce(true)
		for range 40 {
			for _, host := range w.workers.IDs(pool) {
				if host != first && w.workers.Checker.RunsOn(host, id) > 0 {
					w.vacate(next, host)
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A job was left in the store while the pool had no holder. The next one takes
// it over and clears the inbox only with the commit that stores the job.
func TestJobLeftInTheInboxRuns(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		record := w.record(quick(2))
		key := poolstore.InboxJobKey(pool, record.ID)
		_, err := w.store.CompareAndSwap(w.ctx, store.Write{Key: key, Value: work.EncodeRecord(record)})
		must.NoError(t, err)
		k := w.take(true)
		time.Sleep(3 * time.Second)
		w.shown(k, record.ID, work.Done, 5*time.Second)
		_, err = w.store.Get(w.ctx, key)
		must.True(t, store.IsNotFound(err))
	})
}

// A gang's members start all together; when one can't be placed, none starts.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		blocking := w.submit(k, work.Step{Count: 2, Resources: work.Resources{MilliCPU: 12_000, MemMB: 100}, Estimate: 2 * time.Second})
		time.Sleep(100 * time.Millisecond)
		gang := quick(6)
		gang.Gang = true
		id := w.submit(k, gang)
		time.Sleep(500 * time.Millisecond)
		must.EqOp(t, 0, w.workers.Checker.Running(id))
		w.shown(k, blocking, work.Done, 5*time.Second)
		w.shown(k, id, work.Done, 5*time.Second)
	})
}

// hostOf returns a host where a run of the job is.
func (w *world) hostOf(job string) string {
	for _, id := range w.workers.IDs(pool) {
		if w.workers.Checker.RunsOn(id, job) > 0 {
			return id
		}
	}
	return ""
}

// idleHost is a host on which nothing runs.
func (w *world) idleHost() string {
	for _, id := range w.workers.IDs(pool) {
		if w.workers.Running(id) == 0 {
			return id
		}
	}
	return ""
}

// A holder that was deposed and doesn't know it yet is asked whether a host is
// empty. By what it knows it is, but the next holder has started a task there:
// the host must not be called empty.
func TestDeposedHolderCallsNoHostEmpty(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 1, func(w *world) {
		old := w.take(true)
		id := w.submit(w.takeAtOnce(false), lasting(1))
		for w.hostOf(id) == "" {
			time.Sleep(time.Millisecond)
		}
		empty, known, _ := w.vacate(old, w.hostOf(id))
		must.True(t, known)
		must.False(t, empty)
	})
}

// A job was left in the inbox and so accepted. The store refuses the commit that
// would take it into the pool, for longer than a caller is kept waiting; the job
// was forgotten then and never ran, though its client had been told that it
// would.
func TestJobLeftInTheInboxOutlivesARefusal(t *testing.T) {
	play(t, emulate.WorkersConfig{Seed: 1}, 2, func(w *world) {
		k := w.take(true)
		record := w.record(quick(1))
		_, err := w.store.Commit(w.ctx, store.Txn{Puts: []store.Put{{
			Key: poolstore.InboxJobKey(pool, record.ID), Value: work.EncodeRecord(record),
		}}})
		must.NoError(t, err)
		// The watch has shown it, and the commit is a few milliseconds away.
		time.Sleep(time.Millisecond)
		w.store.SetThrottled(true)
		time.Sleep(1500 * time.Millisecond)
		w.store.SetThrottled(false)
		time.Sleep(500 * time.Millisecond)
		w.shown(k, record.ID, work.Done, 4*time.Second)
	})
}
