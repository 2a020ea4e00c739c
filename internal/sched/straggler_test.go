package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// A copy of a task that is long by itself, a run left on a slow host, or a hang that is
// taken for either.
func TestVerdictsOnStragglers(t *testing.T) {
	const limit = hangTimeout
	for _, c := range []struct {
		name    string
		in      StragglerInputs
		verdict StragglerVerdict
	}{
		{"long task beside ordinary ones", StragglerInputs{Pace: 0.14, OnHost: 1.1, OnHostRuns: 2, TailRatio: 1, StillLimit: limit}, LongTask},
		{"long task beside ordinary ones, host alone with the step", StragglerInputs{Pace: 0.14, OnHost: 0.9, OnHostRuns: 1, Elsewhere: 1, ElsewhereRuns: 1, TailRatio: 6, StillLimit: limit}, LongTask},
		{"slow host", StragglerInputs{Pace: 0.2, OnHost: 0.25, OnHostRuns: 3, OtherJobs: 1, TailRatio: 6, StillLimit: limit}, SlowHost},
		{"slow host, the step ordinary elsewhere", StragglerInputs{Pace: 0.2, OnHost: 0.25, OnHostRuns: 1, Elsewhere: 1, ElsewhereRuns: 5, TailRatio: 6, StillLimit: limit}, SlowHost},
		{"slow host without others, slower than any task", StragglerInputs{Pace: 0.05, TailRatio: 6, StillLimit: limit}, SlowHost},
		{"host and step slow, nothing to compare with", StragglerInputs{Pace: 0.2, OnHost: 0.2, OnHostRuns: 3, TailRatio: 1, StillLimit: limit}, Unclear},
		{"alone on its host, may be long", StragglerInputs{Pace: 0.14, TailRatio: 6, StillLimit: limit}, Unclear},
		{"host neither ordinary nor far behind", StragglerInputs{Pace: 0.3, OnHost: 0.6, OnHostRuns: 3, TailRatio: 6, StillLimit: limit}, Unclear},
		{"declared times too low for the whole step", StragglerInputs{Pace: 0.2, OnHost: 0.2, OnHostRuns: 3, Elsewhere: 0.21, ElsewhereRuns: 9, TailRatio: 1, StillLimit: limit}, LongTask},
		{"hang among ordinary runs", StragglerInputs{Pace: 0.5, OnHost: 1, OnHostRuns: 3, Still: limit + 1, StillLimit: limit, TailRatio: 6}, Hanging},
		{"late report of a very long task", StragglerInputs{Pace: 0.14, OnHost: 1, OnHostRuns: 3, Still: limit + 1, StillLimit: 2 * limit, TailRatio: 6}, LongTask},
	} {
		must.EqOp(t, c.verdict, judgeStraggler(c.in), must.Sprint(c.name))
	}
}

// A copy of a task while the other runs of its host progress as expected.
func TestNoCopyBesideOrdinaryRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		verdict := judgeStraggler(StragglerInputs{
			Pace:          rapid.Float64Range(0, 2).Draw(t, "pace"),
			OnHost:        rapid.Float64Range(asExpected, 3).Draw(t, "on host"),
			OnHostRuns:    rapid.IntRange(1, 9).Draw(t, "runs on host"),
			Elsewhere:     rapid.Float64Range(0, 3).Draw(t, "elsewhere"),
			ElsewhereRuns: rapid.IntRange(0, 9).Draw(t, "runs elsewhere"),
			TailRatio:     rapid.Float64Range(1, 10).Draw(t, "tail"),
			StillLimit:    hangTimeout,
		})
		must.EqOp(t, LongTask, verdict)
	})
}

// stragglerScript is a pool of two hosts with eight cores and one job, whose tasks take
// a core each and are expected to take a second.
type stragglerScript struct {
	p       *Pool
	began   time.Time
	now     time.Time
	running map[string]map[work.TaskName]*scriptedRun
	ended   map[string][]worker.RunEnd
}

// scriptedRun is a run on one of the two hosts.
type scriptedRun struct {
	worker.Report
	// done is its progress in percent.
	done float64
}

const scriptTick = 100 * time.Millisecond

func newStragglerScript(t *testing.T, step work.Step) *stragglerScript {
	now := time.Now()
	s := &stragglerScript{began: now, now: now, running: map[string]map[work.TaskName]*scriptedRun{"a": {}, "b": {}}, ended: make(map[string][]worker.RunEnd)}
	s.p = New(Config{Fence: 1, LeaseTTL: 4500 * time.Millisecond, StatusRetention: time.Minute}, Roster{}, now)
	capacity := work.Resources{MilliCPU: 8000, MemMB: 8000}
	s.p.SetHosts([]worker.Host{{ID: "a", Address: "a", Capacity: capacity}, {ID: "b", Address: "b", Capacity: capacity}}, now)
	s.reply()
	s.p.RosterStored(s.p.Roster(now))
	step.Resources, step.Estimate = work.Resources{MilliCPU: 1000}, time.Second
	s.submit("0000000000000001", step)
	return s
}

func (s *stragglerScript) submit(id string, step work.Step) {
	s.p.Accept(&work.JobRecord{
		ID: id, Queue: work.Queue{Name: "q", MaxAttempts: 1, Stretch: 1, Slack: time.Minute}, ArrivedMs: s.now.UnixMilli(),
		Spec: work.Spec{Steps: []work.Step{step}},
	}, s.now, s.now)
}

// reply has both hosts report their runs.
func (s *stragglerScript) reply() {
	for id, runs := range s.running {
		var reports []worker.Report
		for _, r := range runs {
			reports = append(reports, r.Report)
		}
		clock := s.now.Sub(s.began).Milliseconds() + 1
		s.p.ApplyHeartbeat(id, s.now, worker.HeartbeatReply{ClockMs: clock, Running: reports, Ended: s.ended[id]}, s.now, s.now)
	}
}

// pass lets time pass and returns the copies and decisions.
func (s *stragglerScript) pass(length time.Duration, rate func(host string, task int) float64) (copies []Order, decisions []StragglerDecision) {
	copies, plans := s.passPlans(length, rate)
	for _, plan := range plans {
		decisions = append(decisions, plan.Stragglers...)
	}
	return copies, decisions
}

// passPlans lets time pass and returns the copies and plans. Runs that start gain what
// rate returns for their host and task, in percent in a tick.
func (s *stragglerScript) passPlans(length time.Duration, rate func(host string, task int) float64) (copies []Order, plans []Plan) {
	for end := s.now.Add(length); s.now.Before(end); {
		plan := s.p.Plan(s.now, s.now)
		for _, o := range plan.Orders {
			if r := s.running[o.To.ID][o.Task]; o.Verb == Stop && r != nil && r.Run == o.Run {
				s.p.StopOutcome(o.To, o.Task, o.Run, worker.Accepted, s.now, s.now)
				s.end(o.To.ID, o.Task, work.EndStopped)
			}
			if o.Verb != Start {
				continue
			}
			s.p.StartOutcome(o.To, o.Task, o.Run, worker.Accepted, s.now, s.now)
			s.running[o.To.ID][o.Task] = &scriptedRun{Report: worker.Report{Task: o.Task, Run: o.Run}}
			if o.Speculative {
				copies = append(copies, o)
			}
		}
		plans = append(plans, plan)
		s.now = s.now.Add(scriptTick)
		for id, runs := range s.running {
			for name, r := range runs {
				r.done += rate(id, name.Index)
				r.Percent = int(r.done)
				if r.done >= fullPercent {
					s.end(id, name, work.EndDone)
				}
			}
		}
		s.reply()
		s.p.Tick(s.now, s.now)
	}
	return copies, plans
}

// end ends a run on its host.
func (s *stragglerScript) end(host string, name work.TaskName, reason work.EndReason) {
	r := s.running[host][name]
	delete(s.running[host], name)
	s.ended[host] = append(s.ended[host], worker.RunEnd{Seq: int64(len(s.ended[host]) + 1), Task: name, Run: r.Run, Reason: reason})
}
