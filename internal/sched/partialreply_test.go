package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Every heartbeat reply lists the ended runs, but only some list the running ones.
// Guards against runs that are taken as vanished because a reply without the list of
// running tasks doesn't show them.
func TestReplyWithoutRunningKeepsRuns(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome(worker.Target{ID: "w"}, order.Task, order.Run, worker.Accepted, now, now)
	heartbeat, _ := p.NextHeartbeat("w", time.Second, now)
	must.True(t, heartbeat.OmitRunning, must.Sprint("a full report was just received"))
	soon := now.Add(100 * time.Millisecond)
	p.ApplyHeartbeat("w", soon, worker.HeartbeatReply{ClockMs: 100, RunningOmitted: true}, soon, soon)
	must.SliceEmpty(t, p.Plan(soon, soon).Orders)
	done := worker.HeartbeatReply{ClockMs: 200, RunningOmitted: true, Ended: []worker.RunEnd{{Seq: 1, Task: order.Task, Run: order.Run, Reason: work.EndDone}}}
	p.ApplyHeartbeat("w", soon, done, soon, soon)
	must.MapEmpty(t, p.hosts["w"].runs)
	heartbeat, _ = p.NextHeartbeat("w", time.Second, now.Add(fullReportInterval))
	must.False(t, heartbeat.OmitRunning)
}
