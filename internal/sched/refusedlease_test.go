package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against runs that are started again while they go on: a start that the host
// refused for want of room has extended their lease, which nobody counts.
func TestRefusedStartExtendsTheLeasesOfOtherRuns(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	first := p.Plan(now, now).Orders
	must.Len(t, 1, first)
	p.StartOutcome(first[0].To, first[0].Task, first[0].Run, worker.Accepted, now, now)
	_, ok := p.NextHeartbeat("w", 600*time.Millisecond, now)
	must.True(t, ok)

	now = now.Add(1100 * time.Millisecond)
	p.Accept(&work.JobRecord{ID: "0000000000000002", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}}, now, now)
	second := p.Plan(now, now).Orders
	must.Len(t, 1, second)
	p.StartOutcome(second[0].To, second[0].Task, second[0].Run, worker.NoRoom, now, now)

	// The host's clock is exact: its lease lasts until the deadline of the refused start.
	lasts := time.Duration(second[0].DeadlineMs-p.hosts["w"].clock)*time.Millisecond - now.Sub(p.hosts["w"].repliedAt)
	now = now.Add(lasts - 50*time.Millisecond)
	p.Tick(now, now)
	must.EqOp(t, 1, len(p.hosts["w"].runs), must.Sprintf("lost %v before its lease ends", 50*time.Millisecond))
}
