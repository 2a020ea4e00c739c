package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// advised has the advice service allow hosts, for a minute each, whenever it is asked.
func (s *crashScript) advised(limit time.Duration, allowed func(host string) bool) (order Order, ok bool) {
	s.p.jobs[scriptTask.Job].record.Queue.Advice = &work.AdvicePolicy{}
	for began := s.now; s.now.Sub(began) < limit; {
		s.pass(100*time.Millisecond, nil)
		plan := s.p.Plan(s.now, s.now)
		for _, request := range plan.AdviceRequests {
			var tickets []worker.Ticket
			for _, host := range request.Hosts {
				if allowed(host) {
					tickets = append(tickets, worker.Ticket{Host: host, Ticket: "ticket"})
				}
			}
			s.p.ApplyAdvice(request, tickets, time.Minute, true, s.now, s.now)
		}
		for _, o := range plan.Orders {
			if o.Verb == Start {
				return o, true
			}
		}
	}
	return Order{}, false
}

// Guards against a task that waits for tickets to expire: they are for hosts that have gone,
// and others came after the service was asked.
func TestTicketsAreRequestedForHostsThatCameLater(t *testing.T) {
	for name, longRunning := range map[string]bool{"short": false, "long-running": true} {
		t.Run(name, func(t *testing.T) {
			s := newCrashScript(t, 2, work.Step{LongRunning: longRunning}, nil)
			all := func(string) bool { return true }
			order, ok := s.advised(2*time.Second, all)
			must.True(t, ok)
			s.p.StartOutcome(order.To, order.Task, order.Run, worker.Accepted, s.now, s.now)
			s.crash(s.hosts...)
			_, ok = s.advised(3*time.Second, all)
			must.True(t, ok)
		})
	}
}
