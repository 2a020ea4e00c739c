package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a long-running task being placed on a host that is due for
// maintenance, from where it would have to move a second time.
func TestLongRunningTasksAvoidHostsDueForMaintenance(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Minute}, Roster{}, now)
	var list []worker.Host
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		list = append(list, worker.Host{ID: id, Address: id, Rack: id, Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}})
	}
	p.SetHosts(list, now)
	for _, id := range ids {
		p.ApplyHeartbeat(id, now, worker.HeartbeatReply{ClockMs: 1}, now, now)
	}
	p.RosterStored(Roster{InUse: ids})
	p.MarkMaintenanceDue([]string{"a", "b", "d"}, now)
	p.Accept(&work.JobRecord{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, LongRunning: true}},
	}}, now, now)
	orders := p.Plan(now, now).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, "c", orders[0].To.ID)
}

// Guards against a gang that waits forever because it needs more hosts than its pool
// has left: after moving hosts to other pools, a pool with little work would request
// none.
func TestWaitingGangRequestsMinHosts(t *testing.T) {
	for name, c := range map[string]struct {
		step work.Step
		want int
	}{
		"one on a host": {work.Step{Count: 3, Gang: true, MaxPerHost: 1, Resources: work.Resources{MilliCPU: 10}}, 3},
		"by cores":      {work.Step{Count: 5, Gang: true, Resources: work.Resources{MilliCPU: 4000}}, 3},
		"by memory":     {work.Step{Count: 4, Gang: true, Resources: work.Resources{MilliCPU: 10, MemMB: 5000}}, 4},
		"no gang":       {work.Step{Count: 9, MaxPerHost: 1, Resources: work.Resources{MilliCPU: 4000}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, now := oneHost(t)
			c.step.Estimate = 100 * time.Millisecond
			p.Accept(&work.JobRecord{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{Steps: []work.Step{c.step}}}, now, now)
			if c.want > 0 {
				must.Len(t, 0, p.Plan(now, now).Orders)
			}
			p.addDueOccurrences(p.jobs["0000000000000001"], now, now)
			must.EqOp(t, c.want, p.Load(now).MinHosts)
		})
	}
}
