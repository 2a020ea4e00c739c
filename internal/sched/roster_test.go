package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// oneHost is a pool with one host in use and a job that waits for it.
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
	p.Accept(&work.Record{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}}, now, now)
}

// A task runs twice after a takeover. A host was emptied, and a roster without
// it is on its way to the store; the host is taken back into use and gets a
// task; the roster is stored, and the next holder, which reads it, doesn't wait
// for the host to answer.
func TestNoStartOnAHostThatARosterUnderWayLeavesOut(t *testing.T) {
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

// After a takeover lasting tasks stand still for eleven seconds. The former
// holder had lost the store; hosts of its pool that it called empty moved away
// all the same, and the next one waits for all that the store names. So a host
// isn't called empty while the store names it.
func TestAHostTheStoreNamesIsNotCalledEmpty(t *testing.T) {
	p, _, now := oneHost(t)
	empty, known, _ := p.Drain("w", now)
	must.True(t, known)
	must.False(t, empty)
	must.True(t, p.HasDrainedInRoster())
	roster := p.Roster(now)
	p.RosterSent(roster)
	empty, _, _ = p.Drain("w", now)
	must.False(t, empty, must.Sprint("the store may still refuse it"))
	p.RosterStored(roster)
	empty, _, _ = p.Drain("w", now)
	must.True(t, empty)
	must.False(t, p.HasDrainedInRoster())
}

// After a takeover the jobs found wait for seconds. Hosts that had moved away
// were still named as in use, and the new holder waited for them in vain.
func TestHostsThatHaveLeftAreNotInTheRoster(t *testing.T) {
	p, list, now := oneHost(t)
	p.SetHosts(nil, now)
	must.SliceEmpty(t, p.Roster(now).InUse)
	p.SetHosts(list, now)
	accept(p, now)
	must.Len(t, 1, p.Plan(now, now).Orders)
	p.SetHosts(nil, now)
	must.Eq(t, []string{"w"}, p.Roster(now).InUse, must.Sprint("something runs there"))
}

// The pool looks idle to whoever has just taken it over: without this its hosts
// went elsewhere, and the turn that it was in found three left.
func TestAPoolJustTakenOverSaysSo(t *testing.T) {
	p, _, now := oneHost(t)
	must.True(t, p.Load(now).WarmingUp)
	must.False(t, p.Load(now.Add(warmupPeriod)).WarmingUp)
}
