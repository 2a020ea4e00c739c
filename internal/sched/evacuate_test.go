package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// A host is emptied for maintenance, and so will most others be. A lasting task
// that moved to one of those would be taken away a second time.
func TestLastingTasksAvoidHostsDueForMaintenance(t *testing.T) {
	now := time.Now()
	p := New(Config{Fence: 1, HoldFor: 4500 * time.Millisecond, KeepStatus: time.Minute}, nil, now)
	var list []worker.Host
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		list = append(list, worker.Host{ID: id, Address: id, Rack: id, Capacity: work.Size{MilliCPU: 8000, MemMB: 8000}})
	}
	p.SetHosts(list, now)
	for _, id := range ids {
		p.Held(id, now, worker.Answer{ClockMs: 1}, now, now)
	}
	p.RosterStored(ids)
	p.Due([]string{"a", "b", "d"}, now)
	p.Accept(&work.Record{ID: "0000000000000001", Queue: work.Queue{Attempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Size: work.Size{MilliCPU: 1000}, Lasting: true}},
	}}, now, now)
	orders := p.Plan(now, now).Orders
	must.Len(t, 1, orders)
	must.EqOp(t, "c", orders[0].To.ID)
}
