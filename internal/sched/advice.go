package sched

import (
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/worker"
)

// ticketMargin is how long before its end a ticket isn't used any more.
const ticketMargin = 500 * time.Millisecond

// advice is what the advice service has said of a step.
type advice struct {
	asking  bool
	tickets map[string]heldTicket
	// asked are the hosts it was asked about, allowed or not.
	asked map[string]bool
	// retry is when to ask again after no answer.
	retry time.Time
}

type heldTicket struct {
	text  string
	until time.Time
}

// ticket is the valid ticket for a host, or empty.
func (a *advice) ticket(host string, now time.Time) string {
	if a == nil {
		return ""
	}
	held, ok := a.tickets[host]
	if !ok || now.After(held.until) {
		return ""
	}
	return held.text
}

func (s *step) adviceName() string {
	return fmt.Sprintf("%s.%d.%d", s.of.job.record.ID, s.of.number, s.index)
}

// advised reports whether a step has tickets, and asks when it has none or
// they run out.
func (pl *planner) advised(s *step) bool {
	if s.advice == nil {
		s.advice = &advice{tickets: make(map[string]heldTicket), asked: make(map[string]bool)}
	}
	a := s.advice
	valid := 0
	for id := range a.tickets {
		if a.ticket(id, pl.now) != "" {
			valid++
		}
	}
	if !a.asking && !pl.now.Before(a.retry) && valid == 0 {
		pl.ask(s)
	}
	return valid > 0
}

// mostAsked is how many hosts one question names: each takes the service some
// time, and a step needs few.
const mostAsked = 30

// ask asks about hosts with room: those allowed before, then those not asked
// about yet.
func (pl *planner) ask(s *step) {
	var hosts []*host
	for _, h := range pl.hosts {
		if _, allowed := s.advice.tickets[h.ID]; pl.usable(h) && (allowed || !s.advice.asked[h.ID]) {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		clear(s.advice.asked)
		s.advice.retry = pl.now.Add(refusalPause)
		return
	}
	slices.SortFunc(hosts, func(a, b *host) int { return b.free().MilliCPU - a.free().MilliCPU })
	question := AdviceRequest{Step: s.adviceName()}
	for _, h := range hosts[:min(len(hosts), mostAsked)] {
		question.Hosts = append(question.Hosts, h.ID)
		s.advice.asked[h.ID] = true
	}
	s.advice.asking = true
	pl.plan.AdviceRequests = append(pl.plan.AdviceRequests, question)
}

// ApplyAdvice takes over what the advice service said at the end of a question
// that was sent at sent. ok is false when there was no answer.
func (p *Pool) ApplyAdvice(question AdviceRequest, tickets []worker.Ticket, validity time.Duration, ok bool, sent, now time.Time) {
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.advice == nil || s.adviceName() != question.Step {
					continue
				}
				s.advice.asking = false
				if !ok {
					s.advice.retry = now.Add(refusalPause)
					clear(s.advice.asked)
				}
				for _, ticket := range tickets {
					s.advice.tickets[ticket.Host] = heldTicket{ticket.Ticket, sent.Add(validity - ticketMargin)}
				}
			}
		}
	}
}
