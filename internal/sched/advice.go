package sched

import (
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/worker"
)

// ticketMargin is how long before its expiry a ticket is not used any more.
const ticketMargin = 500 * time.Millisecond

// advice is the state of a step's requests to the advice service.
type advice struct {
	requested bool
	tickets   map[string]ticketEntry
	// askedHosts holds the hosts that the service was asked about, allowed or not.
	askedHosts map[string]bool
	// retryAt is when to ask again after a failed request.
	retryAt time.Time
}

type ticketEntry struct {
	text  string
	until time.Time
}

// ticket returns the valid ticket for a host, or an empty string.
func (a *advice) ticket(host string, now time.Time) string {
	if a == nil {
		return ""
	}
	entry, ok := a.tickets[host]
	if !ok || now.After(entry.until) {
		return ""
	}
	return entry.text
}

func (s *step) adviceName() string {
	return fmt.Sprintf("%s.%d.%d", s.occurrence.job.record.ID, s.occurrence.number, s.index)
}

// hasTickets reports whether a step has valid tickets. It requests some when there
// are none, and more when none is for a host that can take a task now: hosts leave, and
// others come after the service was asked.
func (pl *planner) hasTickets(s *step) bool {
	if s.advice == nil {
		s.advice = &advice{tickets: make(map[string]ticketEntry), askedHosts: make(map[string]bool)}
	}
	a := s.advice
	valid, suitable := 0, false
	for id := range a.tickets {
		if a.ticket(id, pl.now) != "" {
			valid++
			suitable = suitable || pl.hasRoom(s, pl.hosts[id])
		}
	}
	if !a.requested && !pl.now.Before(a.retryAt) && (valid == 0 || !suitable && pl.mayAskFurther(s)) {
		pl.requestTickets(s)
	}
	return valid > 0
}

// hasRoom reports whether a host can take a task of a step now. h is nil for one that
// has left.
func (pl *planner) hasRoom(s *step, h *host) bool {
	return h != nil && pl.usable(h) && s.spec.Reserved().Fits(h.free()) && (s.spec.MaxPerHost == 0 || s.onHost[h] < s.spec.MaxPerHost)
}

// mayAskFurther reports whether a host that can take a task of a step was not asked about.
func (pl *planner) mayAskFurther(s *step) bool {
	for _, h := range pl.open {
		if !s.advice.askedHosts[h.ID] && pl.hasRoom(s, h) {
			return true
		}
	}
	return false
}

// maxAdviceHosts is the largest number of hosts in one request: each takes the
// service some time, and a step needs few.
const maxAdviceHosts = 30

// requestTickets requests tickets for hosts with room: first those allowed before,
// then those not asked about yet.
func (pl *planner) requestTickets(s *step) {
	var hosts []*host
	for _, h := range pl.hosts {
		if _, allowed := s.advice.tickets[h.ID]; pl.usable(h) && (allowed || !s.advice.askedHosts[h.ID]) {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		clear(s.advice.askedHosts)
		s.advice.retryAt = pl.now.Add(refusalPause)
		return
	}
	slices.SortFunc(hosts, func(a, b *host) int { return b.free().MilliCPU - a.free().MilliCPU })
	request := AdviceRequest{Step: s.adviceName()}
	for _, h := range hosts[:min(len(hosts), maxAdviceHosts)] {
		request.Hosts = append(request.Hosts, h.ID)
		s.advice.askedHosts[h.ID] = true
	}
	s.advice.requested = true
	pl.plan.AdviceRequests = append(pl.plan.AdviceRequests, request)
}

// ApplyAdvice applies the advice service's response to a request that was sent at
// sent. ok is false when the request failed.
func (p *Pool) ApplyAdvice(request AdviceRequest, tickets []worker.Ticket, validity time.Duration, ok bool, sent, now time.Time) {
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.advice == nil || s.adviceName() != request.Step {
					continue
				}
				s.advice.requested = false
				if !ok {
					s.advice.retryAt = now.Add(refusalPause)
					clear(s.advice.askedHosts)
				}
				for _, ticket := range tickets {
					s.advice.tickets[ticket.Host] = ticketEntry{ticket.Ticket, sent.Add(validity - ticketMargin)}
				}
			}
		}
	}
}
