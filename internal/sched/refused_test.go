package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// Guards against starts on a host that refuses connections during the time until it
// counts as unresponsive.
func TestNoStartOnAnUnreachableHost(t *testing.T) {
	p, _, lastReply := oneHost(t)
	now := lastReply.Add(time.Millisecond)
	p.HeartbeatFailed(worker.Target{ID: "w"}, worker.NotSent, now, now)
	accept(p, now)
	must.SliceEmpty(t, p.Plan(now, now).Orders)
	later := now.Add(20 * time.Millisecond)
	p.ApplyHeartbeat("w", later, worker.HeartbeatReply{ClockMs: 30}, later, later)
	must.Len(t, 1, p.Plan(later, later).Orders)
}

// Guards against retrying a start that could not be sent on the same host.
func TestUnsentStartIsNotRetriedOnTheSameHost(t *testing.T) {
	p, _, lastReply := oneHost(t)
	now := lastReply.Add(time.Millisecond)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome(worker.Target{ID: "w"}, order.Task, order.Run, worker.NotSent, now, now)
	later := now.Add(refusalPause + time.Millisecond)
	must.SliceEmpty(t, p.Plan(later, later).Orders)
}

// Guards against losing the record of a host crash when the holder fails right after
// it: a run on a host that refuses connections is stored as a crash at once.
func TestRunOnAnUnreachableHostIsStoredAsACrash(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome(worker.Target{ID: "w"}, order.Task, order.Run, worker.Accepted, now, now)
	p.HeartbeatFailed(worker.Target{ID: "w"}, worker.NotSent, now, now)
	changes := p.Changes(1, nil)
	must.Len(t, 1, changes)
	must.Eq(t, []int{order.Run}, changes[0].Progress.Tasks[0].Crashed)
}
