package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// advised has the advice service allow the hosts that allowed returns for a job, and plans as
// passWith does.
func (s *roomScript) advised(length time.Duration, allowed func(job, host string) bool) {
	s.onPlan = func(plan Plan) {
		for _, request := range plan.AdviceRequests {
			var tickets []worker.Ticket
			for _, id := range request.Hosts {
				if allowed(request.Step[:16], id) {
					tickets = append(tickets, worker.Ticket{Host: id, Ticket: "ticket"})
				}
			}
			s.p.ApplyAdvice(request, tickets, 3*time.Second, true, s.now, s.now)
		}
	}
	s.pass(length)
}

// Guards against jobs that stand still beside idle hosts: another job of their size may run on
// one host only, which is full, and is searched for first in every plan.
func TestStepThatWaitsForAnAllowedHostHoldsUpNoOther(t *testing.T) {
	s := newRoomScript(t, 4)
	s.queue.Advice = &work.AdvicePolicy{}
	onlyFirst := make(map[string]bool)
	allowed := func(job, host string) bool { return onlyFirst[job] == (host == "h00") }
	submit := func(count int, first bool) string {
		id := s.submit(tasks(count, 4), 50*time.Second)
		onlyFirst[id] = first
		return id
	}
	submit(4, true)
	s.advised(2*time.Second, allowed)
	must.MapLen(t, 4, s.hosts[0].runs)
	for range 4 {
		submit(1, true)
		s.advised(700*time.Millisecond, allowed)
	}
	for range 2 {
		id := submit(1, false)
		s.advised(mostStill, allowed)
		must.Less(t, mostStill, s.waited(id))
	}
}

// Guards against work of a high priority that never starts on the room that was made for it:
// less urgent work of its size is searched for first, and may not have that room.
func TestLessUrgentStepWithoutRoomHoldsUpNoUrgentOne(t *testing.T) {
	s := newRoomScript(t, 1)
	s.p.hosts["h00"].roomReservation = roomReservation{priority: 0, until: s.now.Add(time.Minute)}
	s.queue.Priority = 1
	s.submitAgo(7500*time.Millisecond, tasks(1, 1), time.Second)
	s.queue.Priority = 0
	urgent := s.submit(tasks(1, 1), time.Second)
	s.pass(200 * time.Millisecond)
	must.False(t, s.startedAt[urgent].IsZero())
}

// Guards against work that has waited long enough for a host near its data and is held up by
// newer work that still waits for one.
func TestStepThatWaitsForAHostNearItsDataHoldsUpNoOther(t *testing.T) {
	s := newRoomScript(t, 1)
	s.p.RemoteFactor = 3
	near := func(slack time.Duration) string {
		s.queue.Slack = slack
		step := tasks(1, 1)
		step.DataRack = "elsewhere"
		return s.submit(step, 900*time.Millisecond)
	}
	waiting := near(time.Minute)
	tick := 0
	s.passWith(mostStill, func() {
		if tick++; tick%5 == 0 {
			near(0)
		}
	})
	must.Less(t, mostStill, s.waited(waiting))
}

// Guards against tasks of a step that are held up by one of them whose copy runs on the only
// host with room.
func TestTaskThatRunsOnTheOnlyHostWithRoomHoldsUpNoOther(t *testing.T) {
	s := newRoomScript(t, 2)
	step := tasks(1, 2)
	step.Speculative = true
	first := s.submit(step, time.Minute)
	s.pass(time.Second)
	task := s.p.jobs[first].occurrences[0].steps[0].tasks[0]
	for _, h := range s.p.hosts {
		if h != task.run.host {
			h.unschedulable, h.unschedulableUntil = true, s.now.Add(time.Hour)
		}
	}
	task.copies, task.run = []*run{task.run}, nil
	task.step.waiting++
	s.queue.Slack = time.Hour
	second := s.submit(step, time.Second)
	s.pass(time.Second)
	must.False(t, s.startedAt[second].IsZero())
}
