package sched

import (
	"time"

	"auburnglade.example/glade/internal/worker"
)

// A host that does not answer may be cut off or gone, and its leases tell that apart
// only after seconds; after a takeover, those of the holder before count as well. The
// platform knows at once: its census is asked while a host is in doubt.

// HasHostsInDoubt reports whether tasks may run on hosts that do not answer.
func (p *Pool) HasHostsInDoubt(now time.Time) bool {
	if len(p.unreached) > 0 && now.Sub(p.started) > takeoverReplyTime {
		return true
	}
	for _, h := range p.hosts {
		if p.inDoubt(h, now) {
			return true
		}
	}
	return false
}

// inDoubt reports whether runs may go on at a host that does not answer.
func (p *Pool) inDoubt(h *host, now time.Time) bool { return len(h.runs) > 0 && p.unresponsive(h, now) }

// ApplyCensus removes the hosts in doubt that have ended by a census, which was asked
// for at sent.
func (p *Pool) ApplyCensus(census worker.Census, sent, now, wall time.Time) {
	missing := make(map[string]bool)
	for id := range p.unreached {
		if evidence, ended := p.endedBy(census, id, missing); ended && p.hosts[id].mayEnd(sent, now) {
			p.unanswered = append(p.unanswered, UnansweredHost{id, evidence, now.Sub(p.started)})
			p.removeHost(id, evidence, now, wall)
		}
	}
	for id, h := range p.hosts {
		if !p.inDoubt(h, now) {
			continue
		}
		if evidence, ended := p.endedBy(census, id, missing); ended && h.mayEnd(sent, now) {
			p.removeHost(id, evidence, now, wall)
		}
	}
	p.missing = missing
}

// endedBy reports whether a host has ended by a census. The list is not read at one
// moment, so a host that it leaves out must be missing from the one before, too; missing
// collects those.
func (p *Pool) endedBy(census worker.Census, id string, missing map[string]bool) (evidence Evidence, ended bool) {
	switch census[id] {
	case worker.Down:
		return HostDown, true
	case worker.NotListed:
		missing[id] = true
		return HostRemoved, p.missing[id]
	}
	return "", false
}

// mayEnd reports whether a census that was asked for at sent may end an incarnation: it
// has not answered since, and no order to it is under way, which another incarnation
// under its ID might carry out. h is nil for a host that was never called.
func (h *host) mayEnd(sent, now time.Time) bool {
	if h == nil {
		return true
	}
	if !h.repliedAt.Before(sent) {
		return false
	}
	for _, r := range h.runs {
		if now.Sub(r.orderedAt) < attemptsOutlast {
			return false
		}
	}
	return true
}
