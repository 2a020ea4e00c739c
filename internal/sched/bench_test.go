package sched

import (
	"fmt"
	"testing"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// loadedPool returns a pool whose hosts are full, with twice as many jobs waiting as
// running: the peak of a demand burst.
func loadedPool(hosts int) (*Pool, time.Time) {
	now := time.Now()
	p := New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StopGrace: 400 * time.Millisecond, RemoteFactor: 3, StatusRetention: time.Minute}, Roster{}, now)
	var list []worker.Host
	var ids []string
	for i := range hosts {
		id := fmt.Sprintf("w-%d", i)
		ids = append(ids, id)
		list = append(list, worker.Host{ID: id, Address: id, Rack: fmt.Sprint(i / 20), Capacity: work.Resources{MilliCPU: 64_000, MemMB: 256_000}})
	}
	p.SetHosts(list, now)
	p.RosterStored(Roster{InUse: ids})
	for _, id := range ids {
		p.ApplyHeartbeat(id, now, worker.HeartbeatReply{ClockMs: 1}, now, now)
	}
	for i := range hosts * 6 {
		p.Accept(&work.JobRecord{
			ID: fmt.Sprintf("%016x", i), Queue: work.Queue{Name: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond},
			ArrivedMs: now.UnixMilli(),
			Spec: work.Spec{Steps: []work.Step{{
				Count: 8, Resources: work.Resources{MilliCPU: 3000 + i%4000, MemMB: 10_000}, Estimate: 800 * time.Millisecond,
			}}},
		}, now, now)
	}
	p.Plan(now, now)
	return p, now
}

// BenchmarkPlan measures one plan of a full pool by number of hosts.
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

// BenchmarkPlanWithShares measures one plan of a full pool whose jobs belong to twenty
// organisations and can't all be in time, by number of hosts.
func BenchmarkPlanWithShares(b *testing.B) {
	for _, hosts := range []int{9, 85, 250, 1000} {
		for _, weighted := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/weighted=%t", hosts, weighted), func(b *testing.B) {
				p, now := loadedPool(hosts)
				weights := make(map[string]int)
				for i, j := range p.active {
					name := fmt.Sprint("o", i%20)
					j.account = p.shares.Account(name)
					weights[name] = 1 + i%20
				}
				if weighted {
					p.SetShares(weights)
				}
				p.Plan(now, now)
				b.ReportAllocs()
				for b.Loop() {
					p.Plan(now, now)
				}
			})
		}
	}
}

// BenchmarkDemandBurst measures the cost of a pool in a demand burst by number of
// hosts: for each plan, 20 tasks end and each job that is done is replaced by a new
// one.
func BenchmarkDemandBurst(b *testing.B) {
	for _, hosts := range []int{9, 85, 250} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p, now := loadedPool(hosts)
			simulation := newLoadSimulation(p, now)
			for b.Loop() {
				simulation.step(20)
			}
		})
	}
}

// loadSimulation simulates a pool under constant load whose tasks end in the order
// of their start.
type loadSimulation struct {
	*Pool
	now     time.Time
	running []Order
	ends    map[string]int64
	jobs    int
}

func newLoadSimulation(p *Pool, now time.Time) *loadSimulation {
	t := &loadSimulation{Pool: p, now: now, ends: make(map[string]int64), jobs: len(p.jobs)}
	for _, h := range p.hosts {
		for _, r := range h.runs {
			t.running = append(t.running, Order{To: worker.Target{ID: h.ID}, Task: r.task.name, Run: r.number})
		}
	}
	return t
}

func (t *loadSimulation) step(ends int) {
	t.now = t.now.Add(10 * time.Millisecond)
	active := len(t.active)
	for _, order := range t.running[:ends] {
		t.ends[order.To.ID]++
		t.ApplyHeartbeat(order.To.ID, t.now, worker.HeartbeatReply{ClockMs: t.now.UnixMilli(), Ended: []worker.RunEnd{
			{Seq: t.ends[order.To.ID], Task: order.Task, Run: order.Run, Reason: work.EndDone},
		}}, t.now, t.now)
	}
	t.running = t.running[ends:]
	for range active - len(t.active) {
		t.jobs++
		record := *t.active[0].record
		record.ID, record.ArrivedMs = fmt.Sprintf("%016x", t.jobs), t.now.UnixMilli()
		t.Accept(&record, t.now, t.now)
	}
	for _, order := range t.Plan(t.now, t.now).Orders {
		if order.Verb == Start {
			t.running = append(t.running, order)
		}
	}
}
