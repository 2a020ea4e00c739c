package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// Guards against runs that are started again while they go on: the reply of their host
// names no incarnation, and its entry is still that of the one before.
func TestReplyWithoutAnIncarnationEndsNoRun(t *testing.T) {
	s := newRestartScript(t)
	listed := s.host
	s.pass(15 * time.Second)
	s.restart()
	s.list()
	s.reply(worker.HeartbeatReply{})
	s.pass(15 * time.Second)
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	s.started()
	s.pass(2 * time.Second)
	running := worker.HeartbeatReply{Running: []worker.Report{{Task: restartTask, Run: 1}}}
	s.reply(running)
	must.EqOp(t, 1, len(s.p.hosts["w"].runs))
	// A listing that was under way, of before the restart.
	s.p.SetHosts([]worker.Host{listed}, s.now)
	s.pass(10 * time.Millisecond)
	sent := s.now
	s.pass(10 * time.Millisecond)
	s.p.ApplyHeartbeat("w", sent, worker.HeartbeatReply{ClockMs: s.now.Sub(s.up).Milliseconds(), RunningOmitted: true}, s.now, s.now)
	must.EqOp(t, 1, len(s.p.hosts["w"].runs), must.Sprintf("%v", s.p.Losses()))
}
