package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// oneHost returns a pool with one host in use and no jobs.
func oneHost(t *testing.T) (p *Pool, list []worker.Host, now time.Time) {
	t.Helper()
	now = time.Now()
	p = New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Minute}, Roster{}, now)
	list = []worker.Host{{ID: "w", Address: "w", Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}}}
	p.SetHosts(list, now)
	p.ApplyHeartbeat("w", now, worker.HeartbeatReply{ClockMs: 1}, now, now)
	must.Eq(t, []string{"w"}, p.Roster(now).InUse)
	p.RosterStored(p.Roster(now))
	return p, list, now
}

func accept(p *Pool, now time.Time) {
	p.Accept(&work.JobRecord{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}}, now, now)
}

// Guards against a task that runs twice after a takeover: a drained host is left out
// of a roster that is being stored, is undrained and gets a task; the next holder
// reads that roster and doesn't wait for the host to respond.
func TestNoStartOnAHostMissingFromAPendingRoster(t *testing.T) {
	p, _, now := oneHost(t)
	p.Drain("w", now)
	roster := p.Roster(now)
	must.SliceEmpty(t, roster.InUse)
	p.RosterSent(roster)
	p.Undrain("w")
	accept(p, now)
	must.SliceEmpty(t, p.Plan(now, now).Orders)
	p.RosterStored(roster)
	must.SliceEmpty(t, p.Plan(now, now).Orders)
	must.Eq(t, []string{"w"}, p.Roster(now).InUse)
	p.RosterStored(p.Roster(now))
	must.Len(t, 1, p.Plan(now, now).Orders)
}

// Guards against long-running tasks that are down for eleven seconds after a
// takeover: a holder that has lost the store reports hosts as drained, they leave the
// pool, and the next holder waits for them because the stored roster still lists
// them. A host must not be reported as drained while the stored roster lists it.
func TestHostInTheStoredRosterIsNotDrained(t *testing.T) {
	p, _, now := oneHost(t)
	drained, known := p.Drain("w", now)
	must.True(t, known)
	must.False(t, drained)
	must.True(t, p.HasDrainedInRoster())
	roster := p.Roster(now)
	p.RosterSent(roster)
	drained, _ = p.Drain("w", now)
	must.False(t, drained, must.Sprint("the roster may still fail to be stored"))
	p.RosterStored(roster)
	drained, _ = p.Drain("w", now)
	must.True(t, drained)
	must.False(t, p.HasDrainedInRoster())
}

// Guards against restored jobs that wait for seconds after a takeover: if hosts that
// have left the pool stay in the roster, the new holder waits for responses from them.
func TestRemovedHostsAreNotInTheRoster(t *testing.T) {
	p, list, now := oneHost(t)
	p.SetHosts(nil, now)
	must.SliceEmpty(t, p.Roster(now).InUse)
	p.SetHosts(list, now)
	accept(p, now)
	must.Len(t, 1, p.Plan(now, now).Orders)
	p.SetHosts(nil, now)
	must.Eq(t, []string{"w"}, p.Roster(now).InUse, must.Sprint("a task may be running there"))
}

// Guards against moving a pool's hosts away right after a takeover, when the new
// holder has not yet measured its load: a demand burst that is under way would find
// only three of the hosts left.
func TestLoadReportsWarmupAfterATakeover(t *testing.T) {
	p, _, now := oneHost(t)
	must.True(t, p.Load(now).WarmingUp)
	must.False(t, p.Load(now.Add(warmupPeriod)).WarmingUp)
}
