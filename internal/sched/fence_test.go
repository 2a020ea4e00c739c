package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// Guards against a start that was given up and is sent seconds later, to a host that has
// restarted under its ID: it must refuse it, as the task has run again elsewhere.
func TestGivenUpStartIsRefusedByTheNextIncarnation(t *testing.T) {
	s := newRestartScript(t)
	accept(s.p, s.now)
	start := s.orders()[0]
	fence := s.heartbeat().Fence
	s.p.StartOutcome(start.To, start.Task, start.Run, worker.Unknown, s.now, s.now)
	stop := s.orders()[0]
	s.p.StopOutcome(stop.To, stop.Task, stop.Run, worker.Accepted, s.now, s.now)
	s.pass(10 * time.Millisecond)
	s.reply(worker.HeartbeatReply{})
	must.EqOp(t, 0, len(s.p.hosts["w"].runs))
	s.pass(10 * time.Second)
	s.restart()
	s.reply(worker.HeartbeatReply{})
	must.Greater(t, fence, s.heartbeat().Fence, must.Sprint("the host's next incarnation is called with the token of the start"))
}

// Guards against a task that runs twice: one attempt to start it was answered, another one
// reaches the host's next incarnation seconds later.
func TestOpenAttemptIsSettledWithTheNextIncarnation(t *testing.T) {
	s := newRestartScript(t)
	accept(s.p, s.now)
	start := s.orders()[0]
	s.p.StartUnsettled(start.To, start.Task, start.Run)
	s.p.StartOutcome(start.To, start.Task, start.Run, worker.Accepted, s.now, s.now)
	s.pass(6 * time.Second)
	s.reply(worker.HeartbeatReply{Running: []worker.Report{{Task: restartTask, Run: 1}}})
	s.restart()
	s.reply(worker.HeartbeatReply{})
	must.EqOp(t, 1, len(s.p.hosts["w"].runs))
	stops := s.orders()
	must.Len(t, 1, stops)
	must.EqOp(t, Stop, stops[0].Verb)
	must.EqOp(t, s.host.Born, stops[0].To.Born)
}

// Guards against a task that runs twice: an earlier holder's start reached the host's next
// incarnation, whose first reply leaves out what runs.
func TestAdoptedRunIsNotLostBeforeTheNextIncarnationListsItsRuns(t *testing.T) {
	for name, omitted := range map[string]bool{"listed": false, "left out": true} {
		t.Run(name, func(t *testing.T) {
			s := newRestartScript(t)
			accept(s.p, s.now)
			s.p.hosts["w"].backoffUntil = s.now.Add(time.Minute)
			s.reply(worker.HeartbeatReply{Running: []worker.Report{{Task: restartTask, Run: 1}}})
			s.restart()
			s.reply(worker.HeartbeatReply{RunningOmitted: omitted})
			must.EqOp(t, omitted, len(s.p.hosts["w"].runs) == 1)
		})
	}
}

// Guards against a holder that takes the refusal of its own old order for a takeover by
// another one, and gives the pool up.
func TestOwnHigherFenceIsNotTakenForATakeover(t *testing.T) {
	s := newRestartScript(t)
	before, _ := s.p.Target("w")
	s.restart()
	s.reply(worker.HeartbeatReply{})
	start := Order{To: before, Task: restartTask, Run: 1}
	s.p.StartOutcome(start.To, start.Task, start.Run, worker.Fenced, s.now, s.now)
	s.p.ThrottleOutcome(start, worker.Fenced)
	s.p.HeartbeatFailed(before, worker.Fenced, s.now, s.now)
	must.False(t, s.p.Fenced())
	present, _ := s.p.Target("w")
	s.p.HeartbeatFailed(present, worker.Fenced, s.now, s.now)
	must.True(t, s.p.Fenced())
}

// Guards against the same start at a host that was removed and came back under its ID.
func TestHostThatComesBackGetsAHigherFence(t *testing.T) {
	s := newRestartScript(t)
	before, _ := s.p.Target("w")
	s.p.HeartbeatFailed(before, worker.Gone, s.now, s.now)
	s.host.Born += 2500
	s.list()
	back, ok := s.p.Target("w")
	must.True(t, ok)
	must.Greater(t, before.Fence, back.Fence)
}

// Guards against a fencing token that the next holder would use too.
func TestHolderWithoutAFenceLeftGivesThePoolUp(t *testing.T) {
	s := newRestartScript(t)
	s.p.LastFence = s.p.Fence + 1
	s.restart()
	s.reply(worker.HeartbeatReply{})
	must.False(t, s.p.Fenced())
	s.restart()
	s.reply(worker.HeartbeatReply{})
	must.True(t, s.p.Fenced())
	must.EqOp(t, s.p.LastFence, s.heartbeat().Fence)
}
