package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Whatever ends is told with every answer, what runs only from time to time: an
// answer without reports says nothing of runs that it doesn't show.
func TestABriefAnswerTakesNoRunAway(t *testing.T) {
	p, _, now := oneHost(t)
	accept(p, now)
	order := p.Plan(now, now).Orders[0]
	p.StartOutcome("w", order.Task, order.Run, worker.Accepted, now, now)
	hold, _ := p.NextHeartbeat("w", time.Second, true, now)
	must.True(t, hold.OmitRunning, must.Sprint("it has just told what runs"))
	soon := now.Add(100 * time.Millisecond)
	p.ApplyHeartbeat("w", soon, worker.HeartbeatReply{ClockMs: 100, RunningOmitted: true}, soon, soon)
	must.SliceEmpty(t, p.Plan(soon, soon).Orders)
	done := worker.HeartbeatReply{ClockMs: 200, RunningOmitted: true, Ended: []worker.RunEnd{{Number: 1, Task: order.Task, Run: order.Run, Reason: work.EndDone}}}
	p.ApplyHeartbeat("w", soon, done, soon, soon)
	must.MapEmpty(t, p.hosts["w"].runs)
	hold, _ = p.NextHeartbeat("w", time.Second, true, now.Add(fullReportInterval))
	must.False(t, hold.OmitRunning)
}
