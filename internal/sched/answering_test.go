package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a pool that accepts work for room that isn't there and asks for no hosts: an
// entry of another writer describes a very large host that never answers.
func TestHostThatNeverAnswersIsNoRoom(t *testing.T) {
	p, list, now := oneHost(t)
	p.SetHosts(append(list, worker.Host{ID: "none", Address: "none", Capacity: work.Resources{MilliCPU: 4_096_000, MemMB: 1 << 20}}), now)
	must.EqOp(t, 4104, p.listedCores(now))
	now = now.Add(answerTime)
	p.ApplyHeartbeat("w", now, worker.HeartbeatReply{ClockMs: now.UnixMilli()}, now, now)
	must.EqOp(t, 8, p.listedCores(now))
	load := p.Load(now)
	must.EqOp(t, 8000, load.Capacity)
	pl := &planner{Pool: p, now: now}
	pl.measurePool()
	must.EqOp(t, 8000, pl.reserved.poolMilliCPU)
}

// Guards against a pool that gives up on a host which answers late.
func TestHostThatStartedToAnswerIsRoom(t *testing.T) {
	p, list, now := oneHost(t)
	p.SetHosts(append(list, worker.Host{ID: "late", Address: "late", Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}}), now)
	now = now.Add(answerTime + time.Second)
	must.EqOp(t, 8, p.listedCores(now))
	p.ApplyHeartbeat("late", now, worker.HeartbeatReply{ClockMs: 1}, now, now)
	must.EqOp(t, 16, p.listedCores(now))
}
