package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// ask applies a census that says that a host is in a state and all others are up.
func (s *crashScript) ask(host string, state worker.CensusState) {
	census := make(worker.Census)
	for _, id := range s.hosts {
		census[id] = worker.Up
	}
	if state == worker.NotListed {
		delete(census, host)
	} else {
		census[host] = state
	}
	s.p.ApplyCensus(census, s.now, s.now, s.now)
}

// lose has the task run for a while and its host fall silent until it is in doubt.
func (s *crashScript) lose() Order {
	order := s.serve(3 * time.Second)
	s.silent[order.To.ID] = true
	s.pass(unresponsiveAfter+100*time.Millisecond, nil)
	must.True(s.t, s.p.HasHostsInDoubt(s.now))
	return order
}

func (s *crashScript) runsOn(host string) bool {
	h := s.p.hosts[host]
	return h != nil && len(h.runs) > 0
}

// Guards against waiting for the leases of a host that the platform knows to be down.
func TestHostThatIsDownIsNotWaitedFor(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.lose()
	s.ask(order.To.ID, worker.Up)
	must.True(t, s.runsOn(order.To.ID))
	s.ask(order.To.ID, worker.Down)
	must.False(t, s.runsOn(order.To.ID))
	must.EqOp(t, HostDown, s.p.Losses()[0].Evidence)
	next, ok := s.start()
	must.True(t, ok)
	must.NotEqOp(t, order.To.ID, next.To.ID)
}

// Guards against a run that is started again while it goes on, on a host that a list read
// page by page has left out.
func TestHostMustBeMissingFromTwoCensuses(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.lose()
	s.ask(order.To.ID, worker.NotListed)
	must.True(t, s.runsOn(order.To.ID))
	s.ask(order.To.ID, worker.Up)
	s.ask(order.To.ID, worker.NotListed)
	must.True(t, s.runsOn(order.To.ID))
	s.ask(order.To.ID, worker.NotListed)
	must.False(t, s.runsOn(order.To.ID))
}

// Guards against a census that ends a host which has answered since it was asked for, or
// a run whose order may yet be carried out by the next incarnation under the ID.
func TestOldCensusEndsNoRun(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.lose()
	down := worker.Census{order.To.ID: worker.Down}
	s.p.ApplyCensus(down, s.p.hosts[order.To.ID].repliedAt, s.now, s.now)
	must.True(t, s.runsOn(order.To.ID))
	s.p.hosts[order.To.ID].runs[order.Task].orderedAt = s.now.Add(time.Millisecond - attemptsOutlast)
	s.ask(order.To.ID, worker.Down)
	must.True(t, s.runsOn(order.To.ID))
}

// Guards against waiting after a takeover for a host that has gone with the holder before.
func TestUnreachedHostThatIsDownIsNotWaitedFor(t *testing.T) {
	s := newCrashScript(t, 2, work.Step{LongRunning: true}, nil)
	s.takeOver()
	s.p.unreached["gone"] = s.now.Add(time.Minute)
	s.pass(takeoverReplyTime+100*time.Millisecond, nil)
	must.True(t, s.p.HasHostsInDoubt(s.now))
	s.ask("gone", worker.Up)
	must.MapContainsKey(t, s.p.unreached, "gone")
	s.ask("gone", worker.Down)
	must.EqOp(t, HostDown, s.p.UnansweredHosts()[0].Evidence)
	_, ok := s.start()
	must.True(t, ok)
}

// Guards against a late reply of a host that was removed, whose ID is still listed: its
// runs would be taken for present ones.
func TestLateReplyOfARemovedHostIsIgnored(t *testing.T) {
	s := newCrashScript(t, 3, work.Step{LongRunning: true}, nil)
	order := s.serve(3 * time.Second)
	sent := s.now
	s.silent[order.To.ID] = true
	s.pass(unresponsiveAfter+100*time.Millisecond, nil)
	s.ask(order.To.ID, worker.Down)
	s.list()
	reply := worker.HeartbeatReply{ClockMs: s.now.Sub(s.began).Milliseconds(), Running: []worker.Report{{Task: order.Task, Run: order.Run, Percent: fullPercent}}}
	s.p.ApplyHeartbeat(order.To.ID, sent, reply, s.now, s.now)
	must.False(t, s.runsOn(order.To.ID))
}
