package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a late reply of a host that was removed, whose ID is still listed: its
// runs would be taken for present ones.
func TestLateReplyOfARemovedHostIsIgnored(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.serve(3 * time.Second)
	sent := s.now
	s.silent[order.To.ID] = true
	s.pass(unresponsiveAfter+100*time.Millisecond, nil)
	s.p.RemoveHost(order.To.ID, s.now, s.now)
	s.list()
	reply := worker.HeartbeatReply{ClockMs: s.now.Sub(s.began).Milliseconds(), Running: []worker.Report{{Task: order.Task, Run: order.Run, Percent: fullPercent}}}
	s.p.ApplyHeartbeat(order.To.ID, sent, reply, s.now, s.now)
	must.MapEmpty(t, s.p.hosts[order.To.ID].runs)
}
