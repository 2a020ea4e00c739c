package poolmanager_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// weighted are organisations that have weights and no limits.
type weighted map[string]int

func (w weighted) Limits() quota.Limits         { return quota.Limits{Revision: 1, Weights: w} }
func (w weighted) LimitsCurrent(time.Time) bool { return true }
func (w weighted) ConfigKey() string            { return "config" }

// overloaded submits jobs of an organisation until one is refused, and returns the
// refusal and the job.
func (e *env) overloaded(m *runningManager, organisation string) (poolmanager.Reply, *work.JobRecord) {
	e.t.Helper()
	for range 200 {
		m.ConfirmClaim(time.Now())
		record := e.record(shortStep(16))
		record.Organisation = organisation
		if reply := m.Submit(e.ctx, record); reply.Result.ForRoom() {
			return reply, record
		}
	}
	e.t.Fatal("no job was refused")
	return poolmanager.Reply{}, nil
}

// Guards against a refused job that runs all the same, and against one that is refused
// while hosts are idle.
func TestRefusedJobNeitherStartsNorIsStored(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		e.limits = weighted{"loud": 1, "quiet": 3}
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		reply, record := e.overloaded(m, "loud")
		must.EqOp(t, poolmanager.OverShare, reply.Result)
		must.GreaterEq(t, time.Second, reply.RetryAfter)
		for range 60 {
			time.Sleep(time.Second)
			m.ConfirmClaim(time.Now())
		}
		_, known, ok := m.JobState(e.ctx, work.JobRef{ID: record.ID})
		must.True(t, ok)
		must.False(t, known)
		record.ArrivedMs = time.Now().UnixMilli()
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
		e.waitForState(m, record.ID, work.Done, 5*time.Second)
	})
}

// Guards against refusing a job that may be stored already: its client is told that it has
// not run, and it runs.
func TestJobThatIsKnownIsNotRefused(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		e.limits = weighted{"loud": 1}
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		m.ConfirmClaim(time.Now())
		first := e.record(shortStep(16))
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, first).Result)
		e.overloaded(m, "loud")
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, first).Result)
	})
}

// Guards against refusals by a holder that has no store and so can't see what other entry
// hosts have stored for it.
func TestHolderWithoutStoreRefusesNothingForRoom(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		e.limits = weighted{"loud": 1}
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		e.overloaded(m, "loud")
		time.Sleep(2 * time.Second)
		record := e.record(shortStep(16))
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
	})
}

// Guards against a deployment without weights that is served in another way.
func TestNothingIsRefusedForRoomWithoutWeights(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		for range 100 {
			m.ConfirmClaim(time.Now())
			e.submit(m, shortStep(16))
		}
	})
}

// Guards against a pool with idle hosts that refuses jobs after an outage of the store, for
// the ones that the store refused.
func TestJobsThatStoreRefusedTakeNoRoom(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		e.limits = weighted{"loud": 1}
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		m.ConfirmClaim(time.Now())
		e.store.SetDown(true)
		var refused sync.WaitGroup
		for range 200 {
			record := e.record(shortStep(16))
			refused.Go(func() { must.NotEqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result) })
		}
		refused.Wait()
		e.store.SetDown(false)
		time.Sleep(2 * time.Second)
		m.ConfirmClaim(time.Now())
		record := e.record(shortStep(16))
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
	})
}

// inboxlessStore fails all reads of the pool's inbox.
type inboxlessStore struct{ store.Transactor }

func (s inboxlessStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	if strings.HasPrefix(prefix, poolstore.InboxPrefix(pool)) {
		return store.Listing{}, &store.UnavailableError{Op: "list", Cause: context.DeadlineExceeded}
	}
	return s.Transactor.List(ctx, prefix)
}

// Guards against refusals by a holder that can't read its inbox, where another entry host
// may have left the same job, although the store confirms its claim.
func TestHolderWithoutInboxRefusesNothingForRoom(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		e.limits = weighted{"loud": 1}
		e.through = inboxlessStore{e.store}
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		for range 100 {
			m.ConfirmClaim(time.Now())
			e.submit(m, shortStep(16))
		}
	})
}
