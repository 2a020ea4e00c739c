package sched

import (
	"fmt"
	"testing"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// loadedPool is a pool whose hosts are full, with twice as many jobs waiting as
// run: the worst moment of a turn.
func loadedPool(hosts int) (*Pool, time.Time) {
	now := time.Now()
	p := New(Config{Fence: 1, HoldFor: 4500 * time.Millisecond, StopGrace: 400 * time.Millisecond, FarFactor: 3, KeepStatus: time.Minute}, Roster{}, now)
	var list []worker.Host
	var ids []string
	for i := range hosts {
		id := fmt.Sprintf("w-%d", i)
		ids = append(ids, id)
		list = append(list, worker.Host{ID: id, Address: id, Rack: fmt.Sprint(i / 20), Capacity: work.Size{MilliCPU: 64_000, MemMB: 256_000}})
	}
	p.SetHosts(list, now)
	p.RosterStored(Roster{InUse: ids})
	for _, id := range ids {
		p.Held(id, now, worker.Answer{ClockMs: 1}, now, now)
	}
	for i := range hosts * 6 {
		p.Accept(&work.Record{
			ID: fmt.Sprintf("%016x", i), Queue: work.Queue{Name: "q", Attempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond},
			ArrivedMs: now.UnixMilli(),
			Spec: work.Spec{Steps: []work.Step{{
				Count: 8, Size: work.Size{MilliCPU: 3000 + i%4000, MemMB: 10_000}, Estimate: 800 * time.Millisecond,
			}}},
		}, now, now)
	}
	p.Plan(now, now)
	return p, now
}

// BenchmarkPlan measures one plan of a full pool, by hosts.
func BenchmarkPlan(b *testing.B) {
	for _, hosts := range []int{9, 85, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p, now := loadedPool(hosts)
			for b.Loop() {
				p.Plan(now, now)
			}
		})
	}
}
