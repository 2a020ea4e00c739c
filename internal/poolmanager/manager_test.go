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

func TestStepsRunInOrderAndJobIsDone(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, shortStep(6), after(shortStep(4), 0))
		e.waitForState(m, id, work.Done, 3*time.Second)
		must.True(t, e.workers.Checker.Finished(id))
		must.EqOp(t, 10, e.workers.Checker.Starts())
	})
}

// A client may submit the same job again through any entry host, while the first
// attempt is being stored and after the job is done. It must remain one job.
func TestRepeatedSubmitStoresOneJob(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		record := e.record(shortStep(2))
		results := make(chan poolmanager.Result, 2)
		for range 2 {
			go func() { results <- m.Submit(e.ctx, record).Result }()
		}
		must.EqOp(t, poolmanager.Stored, <-results)
		must.EqOp(t, poolmanager.Stored, <-results)
		e.waitForState(m, record.ID, work.Done, 3*time.Second)
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
		time.Sleep(3 * time.Second)
		must.EqOp(t, 2, e.workers.Checker.Starts())
	})
}

// The holder fails in the middle of a job. The next holder must adopt the running
// tasks and start none of them twice.
func TestNextHolderAdoptsRunningTasks(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, shortStep(6), after(shortStep(4), 0))
		longRunning := e.submit(m, longRunningStep(3))
		time.Sleep(500 * time.Millisecond)
		m.kill()
		<-m.ended
		next := e.takeOver(false)
		e.waitForState(next, id, work.Done, 5*time.Second)
		must.EqOp(t, 13, e.workers.Checker.Starts())
		must.EqOp(t, 3, e.workers.Checker.Running(longRunning))
	})
}

// Another process takes over the pool of a holder that is cut off. As soon as a
// host rejects the old fencing token, the old holder must stop.
func TestFencedHolderStops(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		e.submit(m, longRunningStep(2))
		time.Sleep(time.Second)
		e.takeOver(false)
		var deposed *poolmanager.ClaimLostError
		must.True(t, errors.As(<-m.ended, &deposed))
	})
}

// The store applies a commit and its response is lost. The job must be accepted
// once, and the stored commit must not be mistaken for a change by another
// holder.
func TestLostCommitResponseIsResolved(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		e.store.LoseResponses(1)
		id := e.submit(m, shortStep(1))
		e.waitForState(m, id, work.Done, 4*time.Second)
	})
}

// The store becomes unavailable while a commit is in flight, so that its outcome
// stays open. Jobs submitted later are in no commit and must be refused at once
// rather than held until their callers time out.
func TestJobsBehindStuckCommitAreRefused(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		e.store.LoseResponses(1)
		record := e.record(shortStep(1))
		stuck := make(chan poolmanager.Result, 1)
		go func() { stuck <- m.Submit(e.ctx, record).Result }()
		time.Sleep(10 * time.Millisecond)
		e.store.SetDown(true)
		time.Sleep(time.Second)
		began := time.Now()
		must.EqOp(t, poolmanager.Refused, m.Submit(e.ctx, e.record(shortStep(1))).Result)
		must.Less(t, 300*time.Millisecond, time.Since(began))
		e.store.SetDown(false)
		must.EqOp(t, poolmanager.Stored, <-stuck)
	})
}

// A job submitted while the store is down cannot be stored and is refused. It
// must never run, also not once the store is back.
func TestRefusedJobNeverRuns(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		e.store.SetDown(true)
		ctx, cancel := context.WithTimeout(e.ctx, time.Second)
		defer cancel()
		record := e.record(shortStep(1))
		must.EqOp(t, poolmanager.Refused, m.Submit(ctx, record).Result)
		e.store.SetDown(false)
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, e.workers.Checker.Starts())
		_, err := e.store.Get(e.ctx, poolstore.JobKey(pool, record.ID))
		must.True(t, store.IsNotFound(err))
	})
}

// The store goes down while a job runs. Later steps must start all the same, and
// the job must be shown as done only once that is stored.
func TestStepsStartWhileStoreIsDown(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, shortStep(2), after(shortStep(2), 0))
		time.Sleep(200 * time.Millisecond)
		e.store.SetDown(true)
		time.Sleep(4 * time.Second)
		must.True(t, e.workers.Checker.Finished(id))
		must.EqOp(t, work.Running, e.state(m, id))
		e.store.SetDown(false)
		e.waitForState(m, id, work.Done, 2*time.Second)
	})
}

// A holder that is cut off from the store may have been replaced by one that
// cannot reach the same hosts and relies on leases there having expired. Once its
// claim is no longer confirmed, it must start nothing, or the task would run
// twice.
func TestUnconfirmedHolderStartsNothing(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		chain := []work.Step{shortStep(1), shortStep(1)}
		chain[0].Estimate, chain[1].After = leaseTTL+time.Second, []int{0}
		e.submit(m, chain...)
		time.Sleep(500 * time.Millisecond)
		e.store.SetDown(true)
		time.Sleep(4 * leaseTTL)
		must.EqOp(t, 1, e.workers.Checker.Starts())
	})
}

// A host with a long-running task becomes unresponsive for good. The task may go
// on running there until its lease has expired and must start elsewhere after
// that: not before, and not never, as would happen if its lease were still
// renewed.
func TestTaskOfUnresponsiveHostRestartsAfterLeaseExpiry(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(1))
		time.Sleep(2 * time.Second)
		unresponsive := e.hostOf(id)
		e.workers.SetFaults(unresponsive, emulate.HostFaults{Unresponsive: true})
		for range 12 {
			// The store keeps confirming the claim.
			time.Sleep(time.Second)
			m.ConfirmClaim(time.Now())
		}
		must.EqOp(t, 1, e.workers.Checker.Running(id))
		must.NotEqOp(t, unresponsive, e.hostOf(id))
	})
}

// A task fails, the failure is stored, and the holder fails before the end is
// acknowledged to the host. The next holder receives the same failure again and
// must not count it twice, or the job would fail with attempts left.
func TestFailureReportedTwiceCountsOnce(t *testing.T) {
	config := emulate.WorkersConfig{Seed: 1, Fails: func(_ work.TaskName, run int) bool { return run == 1 }}
	runEnv(t, config, 1, func(e *env) {
		m := e.takeOver(true)
		record := e.record(shortStep(1))
		record.Queue.MaxAttempts = 2
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
		// The failure is reported after half a second. The heartbeat after the
		// commit would acknowledge it; the holder is killed before that.
		for {
			entry, err := e.store.Get(e.ctx, poolstore.ProgressKey(pool, record.ID))
			if err == nil && len(entry.Value) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		m.kill()
		<-m.ended
		next := e.takeOver(true)
		e.waitForState(next, record.ID, work.Done, 10*time.Second)
	})
}

// Hosts leave some orders unanswered and carry them out seconds later. No task
// may run twice, and no host may be given more than its capacity.
func TestDelayedOrdersAreHarmless(t *testing.T) {
	for seed := range uint64(8) {
		runEnv(t, emulate.WorkersConfig{Seed: seed}, 4, func(e *env) {
			for _, id := range e.workers.IDs(pool) {
				e.workers.SetFaults(id, emulate.HostFaults{DelayRate: 0.15})
			}
			m := e.takeOver(true)
			var ids []string
			for range 10 {
				ids = append(ids, e.submit(m, shortStep(5), after(shortStep(3), 0)))
				time.Sleep(300 * time.Millisecond)
			}
			for _, id := range ids {
				e.waitForState(m, id, work.Done, 40*time.Second)
			}
		})
	}
}

// A job whose tasks always fail must be shown as failed after its attempts, and
// the host that ran it must stay in use.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	config := emulate.WorkersConfig{Seed: 1, Fails: func(name work.TaskName, _ int) bool { return name.Job == "0000000000000001" }}
	runEnv(t, config, 2, func(e *env) {
		m := e.takeOver(true)
		failing, good := e.submit(m, shortStep(2)), e.submit(m, shortStep(2))
		e.waitForState(m, failing, work.Failed, 5*time.Second)
		e.waitForState(m, good, work.Done, 3*time.Second)
	})
}

// A running job is cancelled. Once the cancellation is stored, its tasks must end
// and none may start, also under the next holder.
func TestCancelledJobStops(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(2))
		time.Sleep(time.Second)
		must.EqOp(t, poolmanager.Stored, m.Cancel(e.ctx, work.JobRef{ID: id}))
		e.workers.Checker.Cancelled(id)
		must.EqOp(t, work.Cancelled, e.state(m, id))
		m.kill()
		<-m.ended
		next := e.takeOver(true)
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, e.workers.Checker.Running(id))
		must.EqOp(t, work.Cancelled, e.state(next, id))
		must.EqOp(t, poolmanager.JobNotFound, next.Cancel(e.ctx, work.JobRef{ID: "00000000000000ff"}))
	})
}

// A host is drained. Its long-running task must move without exceeding
// MaxUnavailable, and nothing new may start there.
func TestDrainedHostEmpties(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(3))
		time.Sleep(2 * time.Second)
		draining := e.hostOf(id)
		for range 30 {
			if empty, known, ok := e.drain(m, draining); ok && known && empty {
				break
			}
			must.GreaterEq(t, 2, e.workers.Checker.Running(id))
			time.Sleep(100 * time.Millisecond)
		}
		must.EqOp(t, 0, e.workers.Running(draining))
		time.Sleep(time.Second)
		must.EqOp(t, 3, e.workers.Checker.Running(id))
	})
}

// A holder that is cut off from the store may be replaced at any moment by one
// that waits for every host in the stored roster. It must report none of these as
// empty until the store is back.
func TestHolderWithoutStoreReportsNoHostEmpty(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 4, func(e *env) {
		m := e.takeOver(true)
		e.submit(m, longRunningStep(1))
		time.Sleep(time.Second)
		host := e.idleHost()
		e.store.SetDown(true)
		for range 20 {
			empty, _, ok := e.drain(m, host)
			must.True(t, ok)
			must.False(t, empty)
			time.Sleep(100 * time.Millisecond)
		}
		e.store.SetDown(false)
		time.Sleep(300 * time.Millisecond)
		empty, _, ok := e.drain(m, host)
		must.True(t, ok && empty)
	})
}

// A new holder has no state of a host before its first heartbeat reply. If it
// reported the host as empty, the host would go to maintenance with a
// long-running task on it.
func TestNextHolderReportsNoHostEmptyBeforeHeartbeat(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 3, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(1))
		time.Sleep(time.Second)
		host := e.hostOf(id)
		m.kill()
		<-m.ended
		next := e.startTakeover(true)
		for range 200 {
			empty, _, ok := e.drain(next, host)
			must.True(t, ok)
			if empty {
				must.EqOp(t, 0, e.workers.Running(host))
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// A new holder has nothing to store when a host fails. The host's long-running
// task must start elsewhere all the same, although no commit after the platform's
// host list marks the other hosts as in use.
func TestNextHolderUsesHostsInUse(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 3, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(1))
		time.Sleep(time.Second)
		m.kill()
		<-m.ended
		e.takeOver(true)
		e.workers.Kill(e.hostOf(id))
		time.Sleep(2 * time.Second)
		must.EqOp(t, 1, e.workers.Checker.Running(id))
	})
}

// A holder stops a long-running task to drain its host and releases the pool
// before the task has ended. The next holder still finds the task reported as
// running and is asked to drain another host. Stopping a second task at once
// would exceed MaxUnavailable.
func TestNextHolderKeepsMaxUnavailable(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 5, func(e *env) {
		m := e.takeOver(true)
		id := e.submit(m, longRunningStep(3))
		time.Sleep(2 * time.Second)
		first := e.hostOf(id)
		e.drain(m, first)
		time.Sleep(20 * time.Millisecond)
		m.kill()
		<-m.ended
		next := e.startTakeover(true)
		for range 40 {
			for _, host := range e.workers.IDs(pool) {
				if host != first && e.workers.Checker.RunsOn(host, id) > 0 {
					e.drain(next, host)
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A job was left in the inbox while the pool had no holder. The next holder must
// accept it and delete the inbox entry only with the commit that stores the job.
func TestInboxJobRuns(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		record := e.record(shortStep(2))
		key := poolstore.InboxJobKey(pool, record.ID)
		_, err := e.store.CompareAndSwap(e.ctx, store.SwapRequest{Key: key, Value: work.EncodeRecord(record)})
		must.NoError(t, err)
		m := e.takeOver(true)
		time.Sleep(3 * time.Second)
		e.waitForState(m, record.ID, work.Done, 5*time.Second)
		_, err = e.store.Get(e.ctx, key)
		must.True(t, store.IsNotFound(err))
	})
}

// The members of a gang must start together; when one of them cannot be placed,
// none may start.
func TestGangStartsAllOrNothing(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		blocking := e.submit(m, work.Step{Count: 2, Resources: work.Resources{MilliCPU: 12_000, MemMB: 100}, Estimate: 2 * time.Second})
		time.Sleep(100 * time.Millisecond)
		gang := shortStep(6)
		gang.Gang = true
		id := e.submit(m, gang)
		time.Sleep(500 * time.Millisecond)
		must.EqOp(t, 0, e.workers.Checker.Running(id))
		e.waitForState(m, blocking, work.Done, 5*time.Second)
		e.waitForState(m, id, work.Done, 5*time.Second)
	})
}

// hostOf returns a host on which a run of the job is active, or an empty string.
func (e *env) hostOf(job string) string {
	for _, id := range e.workers.IDs(pool) {
		if e.workers.Checker.RunsOn(id, job) > 0 {
			return id
		}
	}
	return ""
}

// idleHost returns a host on which nothing runs, or an empty string.
func (e *env) idleHost() string {
	for _, id := range e.workers.IDs(pool) {
		if e.workers.Running(id) == 0 {
			return id
		}
	}
	return ""
}

// A fenced holder that has not noticed yet is asked whether a host is empty. Its
// own state says so, but the next holder has started a task there: the host must
// not be reported as empty.
func TestFencedHolderReportsNoHostEmpty(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 1, func(e *env) {
		old := e.takeOver(true)
		id := e.submit(e.startTakeover(false), longRunningStep(1))
		for e.hostOf(id) == "" {
			time.Sleep(time.Millisecond)
		}
		empty, known, _ := e.drain(old, e.hostOf(id))
		must.True(t, known)
		must.False(t, empty)
	})
}

// A job in the inbox counts as accepted. If it were dropped when the store
// refuses its commit for longer than a caller waits, it would never run although
// its client was told that it would.
func TestInboxJobSurvivesRefusedCommit(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		m := e.takeOver(true)
		record := e.record(shortStep(1))
		_, err := e.store.Commit(e.ctx, store.Txn{Puts: []store.Put{{
			Key: poolstore.InboxJobKey(pool, record.ID), Value: work.EncodeRecord(record),
		}}})
		must.NoError(t, err)
		// The watch has reported the entry; the commit follows within milliseconds.
		time.Sleep(time.Millisecond)
		e.store.SetThrottled(true)
		time.Sleep(1500 * time.Millisecond)
		e.store.SetThrottled(false)
		time.Sleep(500 * time.Millisecond)
		e.waitForState(m, record.ID, work.Done, 4*time.Second)
	})
}
