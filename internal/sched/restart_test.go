package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// restartScript plays one task on host "w", which restarts under its ID.
type restartScript struct {
	t    *testing.T
	p    *Pool
	now  time.Time
	host worker.Host
	// up is when the present incarnation started.
	up time.Time
}

var restartTask = work.TaskName{Job: "0000000000000001"}

// firstBorn is when the first incarnation started, long before the pool was taken over.
const firstBorn = 1_000

func newRestartScript(t *testing.T) *restartScript {
	t.Helper()
	now := time.Now()
	s := &restartScript{t: t, now: now, up: now.Add(-time.Minute)}
	s.host = worker.Host{ID: "w", Born: firstBorn, Address: "w", Capacity: work.Resources{MilliCPU: 8000, MemMB: 8000}}
	s.p = New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, MaxLeaseTTL: 10 * time.Second, StatusRetention: time.Minute}, Roster{}, now)
	s.list()
	s.pass(time.Millisecond)
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	return s
}

func (s *restartScript) pass(d time.Duration) { s.now = s.now.Add(d) }

func (s *restartScript) list() { s.p.SetHosts([]worker.Host{s.host}, s.now) }

// reply has the present incarnation reply to a heartbeat that was sent just now.
func (s *restartScript) reply(reply worker.HeartbeatReply) {
	reply.Born, reply.ClockMs = s.host.Born, s.now.Sub(s.up).Milliseconds()
	s.p.ApplyHeartbeat("w", s.now, reply, s.now, s.now)
}

func (s *restartScript) storeRoster() {
	r := s.p.Roster(s.now)
	s.p.RosterSent(r)
	s.p.RosterStored(r)
}

// restart ends the incarnation. The next one is up at once, and the heartbeat in flight
// fails.
func (s *restartScript) restart() {
	to, ok := s.p.Target("w")
	must.True(s.t, ok)
	s.host.Born += 2500
	s.up = s.now
	s.pass(100 * time.Millisecond)
	s.p.HeartbeatFailed(to, worker.Unknown, s.now, s.now)
}

// orders returns what the pool orders now.
func (s *restartScript) orders() []Order { return s.p.Plan(s.now, s.now).Orders }

// started accepts the job and has its task start.
func (s *restartScript) started() Order {
	accept(s.p, s.now)
	orders := s.orders()
	must.Len(s.t, 1, orders)
	s.p.StartOutcome(orders[0].To, orders[0].Task, orders[0].Run, worker.Accepted, s.now, s.now)
	return orders[0]
}

func (s *restartScript) ended(run int, seq int64) worker.HeartbeatReply {
	return worker.HeartbeatReply{Ended: []worker.RunEnd{{Seq: seq, Task: restartTask, Run: run, Reason: work.EndDone}}}
}

func (s *restartScript) heartbeat() worker.Heartbeat {
	s.t.Helper()
	heartbeat, ok := s.p.NextHeartbeat("w", 0, s.now)
	must.True(s.t, ok)
	return heartbeat
}

// Guards against ends of a host's next incarnation that are acknowledged unseen by the
// count of the one before, so that tasks run again.
func TestEndsOfARestartedHostAreAppliedBeforeTheyAreAcknowledged(t *testing.T) {
	s := newRestartScript(t)
	s.reply(worker.HeartbeatReply{Ended: []worker.RunEnd{{Seq: 57, Task: work.TaskName{Job: "other"}, Reason: work.EndDone}}})
	must.EqOp(t, 57, s.heartbeat().AckedEnd)
	s.restart()
	must.EqOp(t, 0, s.heartbeat().AckedEnd)
	s.list()
	s.reply(worker.HeartbeatReply{})
	must.EqOp(t, 0, s.heartbeat().AckedEnd)
	s.pass(15 * time.Second)
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	order := s.started()
	s.pass(time.Second)
	s.reply(s.ended(order.Run, 1))
	state, _ := s.p.VisibleState(restartTask.Job)
	must.EqOp(t, work.Running, state)
	s.p.ChangesStored(s.p.Changes(1, nil))
	state, _ = s.p.VisibleState(restartTask.Job)
	must.EqOp(t, work.Done, state)
	must.EqOp(t, 1, s.heartbeat().AckedEnd)
}

// Guards against a restarted host that gets no work until its clock has caught up with
// the one of the incarnation before, and against runs that ended with that one and are
// waited for.
func TestRunsOfTheEarlierIncarnationAreLostAtOnce(t *testing.T) {
	s := newRestartScript(t)
	s.started()
	s.pass(3 * time.Second)
	s.reply(worker.HeartbeatReply{Running: []worker.Report{{Task: restartTask, Run: 1}}})
	s.restart()
	s.pass(2 * time.Second)
	s.list()
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	must.EqOp(t, 0, len(s.p.hosts["w"].runs))
	losses := s.p.Losses()
	must.Len(t, 1, losses)
	must.EqOp(t, s.host.Born, losses[0].Restarted)
	s.p.ChangesStored(s.p.Changes(1, nil))
	s.orders()
	s.p.ChangesStored(s.p.Changes(1, nil))
	orders := s.orders()
	must.Len(t, 1, orders)
	must.EqOp(t, Start, orders[0].Verb)
	must.EqOp(t, s.host.Born, orders[0].To.Born)
	must.LessEq(t, s.now.Sub(s.up).Milliseconds()+4500, orders[0].DeadlineMs)
}

// Guards against a late reply of an earlier incarnation that brings it back: its runs
// would be taken for those of the present one.
func TestLateReplyOfAnEarlierIncarnationIsDropped(t *testing.T) {
	s := newRestartScript(t)
	sent, born := s.now, s.host.Born
	s.restart()
	s.reply(worker.HeartbeatReply{})
	late := worker.HeartbeatReply{Born: born, ClockMs: 60_000, Running: []worker.Report{{Task: restartTask, Run: 1}}}
	s.p.ApplyHeartbeat("w", sent, late, s.now, s.now)
	must.EqOp(t, s.host.Born, s.p.hosts["w"].life.incarnation)
	must.EqOp(t, 0, len(s.p.hosts["w"].runs))
}

// Guards against a host that is ignored for ever because its time of day stepped back
// before it restarted.
func TestIncarnationWithAnEarlierStartIsRecognized(t *testing.T) {
	s := newRestartScript(t)
	s.restart()
	s.host.Born = firstBorn - 500
	s.reply(worker.HeartbeatReply{})
	must.EqOp(t, firstBorn-500, s.p.hosts["w"].life.incarnation)
}

// Guards against a task that runs twice: an attempt to send its start reaches the host's
// next incarnation, which knows of no stop of the one before.
func TestUnansweredStartIsSettledWithTheNextIncarnation(t *testing.T) {
	s := newRestartScript(t)
	accept(s.p, s.now)
	start := s.orders()[0]
	s.p.StartOutcome(start.To, start.Task, start.Run, worker.Unknown, s.now, s.now)
	before := s.orders()
	must.Len(t, 1, before)
	must.EqOp(t, Stop, before[0].Verb)
	s.restart()
	s.list()
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	stops := s.orders()
	must.Len(t, 1, stops)
	must.EqOp(t, Stop, stops[0].Verb)
	must.EqOp(t, s.host.Born, stops[0].To.Born)
	// The stop of the earlier incarnation was answered by that one.
	s.p.StopOutcome(before[0].To, start.Task, start.Run, worker.Accepted, s.now, s.now)
	s.pass(10 * time.Millisecond)
	s.reply(worker.HeartbeatReply{})
	must.EqOp(t, 1, len(s.p.hosts["w"].runs))
	s.p.StopOutcome(stops[0].To, start.Task, start.Run, worker.Accepted, s.now, s.now)
	s.pass(10 * time.Millisecond)
	s.reply(worker.HeartbeatReply{})
	must.EqOp(t, 0, len(s.p.hosts["w"].runs))
}

// Guards against more work than a host has room for: it restarted as another kind, and
// the list still has the room of the incarnation before.
func TestRestartedHostGetsNoWorkBeforeItIsListedAnew(t *testing.T) {
	s := newRestartScript(t)
	s.pass(5 * time.Second)
	s.restart()
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	accept(s.p, s.now)
	must.SliceEmpty(t, s.orders())
	s.host.Capacity.MilliCPU = 2000
	s.list()
	must.Len(t, 1, s.orders())
}

// Guards against a task that runs twice: a replaced holder reaches a host that has
// forgotten its successor's fencing token.
func TestRestartedHostGetsNoWorkBeforeTheRosterIsStored(t *testing.T) {
	s := newRestartScript(t)
	s.pass(5 * time.Second)
	underWay := s.p.Roster(s.now)
	s.p.RosterSent(underWay)
	s.restart()
	s.list()
	s.reply(worker.HeartbeatReply{})
	accept(s.p, s.now)
	s.p.RosterStored(underWay)
	must.SliceEmpty(t, s.orders())
	must.True(t, s.p.AwaitsRoster())
	r := s.p.Roster(s.now)
	s.p.RosterSent(r)
	s.p.RosterNotStored(r)
	must.SliceEmpty(t, s.orders())
	must.True(t, s.p.AwaitsRoster())
	s.storeRoster()
	must.Len(t, 1, s.orders())
}

// Guards against the same by a holder that first reaches the host after its restart.
func TestHostThatStartedAfterTheTakeoverAwaitsTheRoster(t *testing.T) {
	for name, age := range map[string]time.Duration{"before": time.Minute, "after": time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newRestartScript(t)
			s.p = New(s.p.Config, Roster{InUse: []string{"w"}}, s.now)
			s.pass(2 * time.Second)
			s.up = s.now.Add(-age)
			s.list()
			s.reply(worker.HeartbeatReply{})
			must.EqOp(t, name == "after", s.p.AwaitsRoster())
		})
	}
}

// Guards against deadlines on the clock of an earlier incarnation: a lease that a
// successor does not wait for.
func TestLeaseThatAStrayOrderMayHaveExtendedIsWaitedFor(t *testing.T) {
	s := newRestartScript(t)
	must.NotEqOp(t, 0, s.heartbeat().DeadlineMs)
	s.restart()
	must.EqOp(t, 0, s.heartbeat().DeadlineMs)
	s.list()
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	accept(s.p, s.now)
	must.SliceEmpty(t, s.orders())
	s.pass(LeaseUpperBound(10 * time.Second))
	s.reply(worker.HeartbeatReply{})
	must.Len(t, 1, s.orders())
}

// Guards against outcomes of orders to an earlier incarnation: the host is taken for gone
// with its present runs.
func TestOutcomeForAnEarlierIncarnationIsIgnored(t *testing.T) {
	s := newRestartScript(t)
	before, _ := s.p.Target("w")
	s.restart()
	s.reply(worker.HeartbeatReply{})
	s.p.HeartbeatFailed(before, worker.Gone, s.now, s.now)
	must.MapContainsKey(t, s.p.hosts, "w")
	s.p.HeartbeatFailed(before, worker.NotSent, s.now, s.now)
	must.False(t, s.p.hosts["w"].unreachable())
}

// Guards against a presumed crash that is refuted by the host's next incarnation, which
// proves it, and one that is proven by the same.
func TestPresumedCrashIsSettledByTheIncarnationThatAnswers(t *testing.T) {
	for name, want := range map[string]Proof{"same": Unproven, "next": Proven} {
		t.Run(name, func(t *testing.T) {
			s := newRestartScript(t)
			stored := work.TaskProgress{Crashed: []int{1}, Run: 1, CrashesPresumed: []work.PresumedCrash{{Run: 1, Host: "w", Address: "w", Born: firstBorn}}}
			record := &work.JobRecord{ID: restartTask.Job, Queue: work.Queue{MaxAttempts: 3}, Spec: work.Spec{Steps: []work.Step{{Count: 1}}}}
			s.p = New(s.p.Config, Roster{}, s.now)
			s.p.Restore(record, &work.Progress{Tasks: []work.TaskProgress{stored}}, s.now, s.now)
			s.orders()
			if name == "next" {
				s.host.Born += 2500
			}
			s.pass(time.Second)
			s.reply(worker.HeartbeatReply{})
			must.EqOp(t, want, s.p.jobs[restartTask.Job].find(restartTask).crashes[0].Proof)
		})
	}
}

// Guards against a crash that is stored twice, since its run is still being settled on
// the next incarnation: the next holder would fail the job for it.
func TestCrashOfARunBeingSettledIsStoredOnce(t *testing.T) {
	s := newRestartScript(t)
	s.started()
	s.restart()
	s.list()
	s.reply(worker.HeartbeatReply{})
	changes := s.p.Changes(1, nil)
	must.Len(t, 1, changes)
	must.Eq(t, []int{1}, changes[0].Progress.Tasks[0].Crashed)
}
