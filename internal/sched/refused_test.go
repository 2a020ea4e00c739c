package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// Guards against work for a host where nothing listens, until it counts as silent.
func TestNoWorkForAHostThatTakesNoConnections(t *testing.T) {
	p, _, heard := oneHost(t)
	now := heard.Add(time.Millisecond)
	p.HeartbeatFailed("w", worker.NotSent, now, now)
	accept(p, now)
	must.SliceEmpty(t, p.Plan(now, now).Orders)
	later := now.Add(20 * time.Millisecond)
	p.ApplyHeartbeat("w", later, worker.HeartbeatReply{ClockMs: 30}, later, later)
	must.Len(t, 1, p.Plan(later, later).Orders)
}

// Guards against a start that comes back unsent and goes to the same host again.
func TestAnUnsentStartIsNotSentThereAgain(t *testing.T) {
	p, _, heard := oneHost(t)
	now := heard.Add(time.Millisecond)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome("w", order.Task, order.Run, worker.NotSent, now, now)
	later := now.Add(refusalPause + time.Millisecond)
	must.SliceEmpty(t, p.Plan(later, later).Orders)
}

// Guards against a crash that is forgotten when its holder is lost right after it.
func TestARunWhereNothingListensIsStoredAsACrash(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome("w", order.Task, order.Run, worker.Accepted, now, now)
	p.HeartbeatFailed("w", worker.NotSent, now, now)
	changes := p.Changes(1, nil)
	must.Len(t, 1, changes)
	must.Eq(t, []int{order.Run}, changes[0].Progress.Tasks[0].Crashed)
}
