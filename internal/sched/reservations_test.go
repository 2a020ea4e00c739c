package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	roomCores = 16
	roomGPUs  = 2
	roomTick  = 50 * time.Millisecond
	// mostStill is how long a job may have nothing running while there is room for its
	// tasks twice over and less than half of the pool is in use.
	mostStill = 3 * time.Second
)

// roomScript plays jobs on hosts of 16 cores that run what they are told.
type roomScript struct {
	t     *testing.T
	p     *Pool
	now   time.Time
	began time.Time
	hosts []*roomHost
	jobs  int
	// lengths is how long the tasks of each job run, none for long-running ones.
	lengths map[string]time.Duration
	// startedAt is when the first task of each job started.
	startedAt map[string]time.Time
	absences  []Absence
	// queue is that of the next jobs, onPlan is called with each plan.
	queue  work.Queue
	onPlan func(Plan)
}

type roomHost struct {
	id    string
	runs  map[work.TaskName]roomRun
	ended []worker.RunEnd
}

type roomRun struct {
	number int
	endsAt time.Time
}

func newRoomScript(t *testing.T, hosts int) *roomScript {
	t.Helper()
	now := time.Now()
	s := &roomScript{
		t: t, now: now, began: now, lengths: make(map[string]time.Duration), startedAt: make(map[string]time.Time),
		queue: work.Queue{Name: "q", MaxAttempts: 3, Stretch: 2, Slack: time.Second}, onPlan: func(Plan) {},
		p: New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Hour, StopGrace: 400 * time.Millisecond}, Roster{}, now),
	}
	var list []worker.Host
	for i := range hosts {
		id := fmt.Sprintf("h%02d", i)
		s.hosts = append(s.hosts, &roomHost{id: id, runs: make(map[work.TaskName]roomRun)})
		list = append(list, worker.Host{ID: id, Address: id, Rack: "r", Capacity: work.Resources{MilliCPU: roomCores * milli, MemMB: 64_000, GPU: roomGPUs}})
	}
	s.p.SetHosts(list, now)
	s.pass(time.Second)
	return s
}

// submit accepts a job of one step whose tasks run for length, zero for long-running
// ones.
func (s *roomScript) submit(step work.Step, length time.Duration) string {
	return s.submitAgo(0, step, length)
}

// submitAgo accepts a job that was submitted some time ago.
func (s *roomScript) submitAgo(ago time.Duration, step work.Step, length time.Duration) string {
	id, record := s.newRecord(ago, step, length)
	must.True(s.t, s.p.Accept(record, s.now, s.now))
	return id
}

func (s *roomScript) newRecord(ago time.Duration, step work.Step, length time.Duration) (string, *work.JobRecord) {
	s.jobs++
	id := fmt.Sprintf("%016x", s.jobs)
	step.Estimate, step.LongRunning, s.lengths[id] = length, length == 0, length
	return id, &work.JobRecord{ID: id, ArrivedMs: s.now.Add(-ago).UnixMilli(), Queue: s.queue, Spec: work.Spec{Steps: []work.Step{step}}}
}

// tasks returns a step of tasks with that many cores each.
func tasks(count, cores int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: cores * milli, MemMB: 256}}
}

// pass lets time pass.
func (s *roomScript) pass(length time.Duration) {
	s.passWith(length, func() {})
}

// passWith lets time pass; each is called in every tick.
func (s *roomScript) passWith(length time.Duration, each func()) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(roomTick)
		each()
		for _, h := range s.hosts {
			s.reply(h)
		}
		s.p.Tick(s.now, s.now)
		roster := s.p.Roster(s.now)
		s.p.RosterSent(roster)
		s.p.RosterStored(roster)
		s.p.ChangesStored(s.p.Changes(1, nil))
		plan := s.p.Plan(s.now, s.now)
		s.absences = append(s.absences, plan.Absences...)
		s.onPlan(plan)
		s.carryOut(plan.Orders)
	}
}

func (s *roomScript) reply(h *roomHost) {
	reply := worker.HeartbeatReply{ClockMs: s.now.Sub(s.began).Milliseconds() + 1}
	for name, r := range h.runs {
		if !s.now.Before(r.endsAt) {
			h.end(name, work.EndDone)
			continue
		}
		reply.Running = append(reply.Running, worker.Report{Task: name, Run: r.number, Percent: s.percent(name, r)})
	}
	reply.Ended = slices.Clone(h.ended)
	s.p.ApplyHeartbeat(h.id, s.now, reply, s.now, s.now)
}

// percent is the progress of a run.
func (s *roomScript) percent(name work.TaskName, r roomRun) int {
	length := s.lengths[name.Job]
	if length == 0 {
		return fullPercent
	}
	return fullPercent - 1 - int((fullPercent-1)*r.endsAt.Sub(s.now)/length)
}

func (h *roomHost) end(name work.TaskName, reason work.EndReason) {
	r := h.runs[name]
	delete(h.runs, name)
	h.ended = append(h.ended, worker.RunEnd{Seq: int64(len(h.ended) + 1), Task: name, Run: r.number, Reason: reason})
}

func (s *roomScript) carryOut(orders []Order) {
	for _, o := range orders {
		h := s.hosts[slices.IndexFunc(s.hosts, func(h *roomHost) bool { return h.id == o.To.ID })]
		switch o.Verb {
		case Start:
			length := s.lengths[o.Task.Job]
			if length == 0 {
				length = 24 * time.Hour
			}
			h.runs[o.Task] = roomRun{o.Run, s.now.Add(length)}
			if s.startedAt[o.Task.Job].IsZero() {
				s.startedAt[o.Task.Job] = s.now
			}
			s.p.StartOutcome(o.To, o.Task, o.Run, worker.Accepted, s.now, s.now)
		case Stop:
			if _, there := h.runs[o.Task]; there {
				h.end(o.Task, work.EndStopped)
			}
		}
	}
}

// waited returns how long a job had nothing running, so far or until its first start.
func (s *roomScript) waited(id string) time.Duration {
	record := s.p.jobs[id].record
	until := s.now
	if at := s.startedAt[id]; !at.IsZero() {
		until = at
	}
	return until.Sub(time.UnixMilli(record.ArrivedMs))
}

// fill starts one task of that many cores on each host, and has it begin.
func (s *roomScript) fill(cores int, length time.Duration) string {
	step := tasks(len(s.hosts), cores)
	step.MaxPerHost = 1
	id := s.submit(step, length)
	s.pass(500 * time.Millisecond)
	for _, h := range s.hosts {
		must.MapLen(s.t, 1, h.runs)
	}
	return id
}

// Guards against a pool that takes no work: long-running tasks larger than what the other
// long-running tasks leave of any host reserve a host each, for room that never comes.
func TestLongRunningTasksWithoutRoomToComeCloseNoHost(t *testing.T) {
	s := newRoomScript(t, 4)
	s.fill(6, 0)
	for range 4 {
		s.submit(tasks(1, 12), 0)
	}
	s.pass(8 * time.Second)
	for range 3 {
		id := s.submit(tasks(2, 1), 800*time.Millisecond)
		s.pass(time.Second)
		must.Less(t, time.Second, s.waited(id))
	}
}

// Guards against a pool that takes no work: long-running tasks reserve all hosts, one for
// each, until long runs have ended there.
func TestLongRunningTasksThatWaitForLongRunsLeaveRoomForOthers(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 4, 9} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			s := newRoomScript(t, hosts)
			s.fill(6, time.Minute)
			for i := range 2 * hosts {
				s.submit(tasks(1, 11+i%5), 0)
			}
			s.pass(8 * time.Second)
			for range 6 {
				id := s.submit(tasks(1, 1), 800*time.Millisecond)
				s.pass(mostStill)
				must.Less(t, mostStill, s.waited(id))
			}
		})
	}
}

// Guards against a long-running task that starves beside a stream of small work: the room
// that each ended run leaves goes to the next small task.
func TestLongRunningTaskGetsRoomBesideAStreamOfSmallWork(t *testing.T) {
	for _, hosts := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			s := newRoomScript(t, hosts)
			tick := 0
			stream := func() {
				if tick++; tick%4 == 0 {
					s.submit(tasks(2*hosts, 1), 1500*time.Millisecond)
				}
			}
			s.passWith(3*time.Second, stream)
			lasting := s.submit(tasks(1, 12), 0)
			s.passWith(9*time.Second, stream)
			must.Less(t, 9*time.Second, s.waited(lasting))
		})
	}
}

// Guards against work that is kept from a reserved host though it needs nothing of what the
// long-running task there waits for.
func TestReservedHostTakesWorkThatFitsBeside(t *testing.T) {
	s := newRoomScript(t, 1)
	accelerated := tasks(1, 1)
	accelerated.Resources.GPU = roomGPUs
	s.submit(accelerated, 20*time.Second)
	s.pass(time.Second)
	accelerated.Resources.MilliCPU = 8 * milli
	lasting := s.submit(accelerated, 0)
	s.pass(time.Second)
	beside := s.submit(tasks(7, 1), 20*time.Second)
	s.pass(200 * time.Millisecond)
	must.False(t, s.startedAt[beside].IsZero())
	further := s.submit(tasks(1, 1), 20*time.Second)
	s.pass(time.Second)
	must.True(t, s.startedAt[further].IsZero())
	s.pass(20 * time.Second)
	must.False(t, s.startedAt[lasting].IsZero())
}

// Guards against a long-running task whose log lines don't tell whether room for it will
// come.
func TestAbsenceNamesTheReservedHost(t *testing.T) {
	s := newRoomScript(t, 2)
	s.fill(8, time.Minute)
	s.submit(tasks(1, 12), 0)
	s.pass(3 * time.Second)
	reports := s.absences
	must.SliceNotEmpty(t, reports)
	must.EqOp(t, WaitRoom, reports[0].Reason)
	must.NotEq(t, "", reports[0].Reserved)
}

// Guards against a long-running task that starves beside wide jobs, the later tasks of which
// have waited long though others of them run all the time.
func TestLongRunningTaskGetsRoomBesideWideJobs(t *testing.T) {
	s := newRoomScript(t, 4)
	wide := tasks(300, 2)
	wide.MaxPerHost = 1
	for i := range 3 {
		s.submit(wide, time.Duration(1100+170*i)*time.Millisecond)
		s.pass(300 * time.Millisecond)
	}
	s.pass(4 * time.Second)
	lasting := s.submit(tasks(1, 15), 0)
	s.pass(9 * time.Second)
	must.Less(t, 9*time.Second, s.waited(lasting))
}
