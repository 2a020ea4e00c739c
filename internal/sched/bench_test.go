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
		p.Accept(&work.Record{
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

// BenchmarkTurn measures what a pool costs in a turn of demand, by hosts: for
// each plan twenty tasks end, and jobs are handed in as fast as others are done.
func BenchmarkTurn(b *testing.B) {
	for _, hosts := range []int{9, 85, 250} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p, now := loadedPool(hosts)
			turn := newTurn(p, now)
			for b.Loop() {
				turn.step(20)
			}
		})
	}
}

// turn plays a pool whose tasks end one after the other, in order of their start.
type turn struct {
	*Pool
	now     time.Time
	running []Order
	ends    map[string]int64
	jobs    int
}

func newTurn(p *Pool, now time.Time) *turn {
	t := &turn{Pool: p, now: now, ends: make(map[string]int64), jobs: len(p.jobs)}
	for _, h := range p.hosts {
		for _, r := range h.runs {
			t.running = append(t.running, Order{To: worker.Target{ID: h.ID}, Task: r.task.name, Run: r.number})
		}
	}
	return t
}

func (t *turn) step(ends int) {
	t.now = t.now.Add(10 * time.Millisecond)
	active := len(t.active)
	for _, order := range t.running[:ends] {
		t.ends[order.To.ID]++
		t.ApplyHeartbeat(order.To.ID, t.now, worker.HeartbeatReply{ClockMs: t.now.UnixMilli(), Ended: []worker.RunEnd{
			{Number: t.ends[order.To.ID], Task: order.Task, Run: order.Run, Reason: work.EndDone},
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
