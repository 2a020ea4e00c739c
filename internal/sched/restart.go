package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// A host may restart under the ID that it had. Its next incarnation runs nothing,
// numbers its ends from 1, has another clock and refuses no run that the one before had
// ended or was told to stop. All that was known of the one before ends with it; only a
// start that it may never have received is still open, since that one may yet arrive.

// sameIncarnation reports whether two starts of a host may be of one incarnation. Zero
// is unknown.
func sameIncarnation(a, b int64) bool { return a == 0 || b == 0 || a == b }

// describedByEntry reports whether the platform's entry is of the incarnation that
// replied last. The room and labels of another one may differ.
func (h *host) describedByEntry() bool { return sameIncarnation(h.Host.Born, h.life.incarnation) }

// recognize reports whether a reply to a heartbeat sent at sent is of a host's present
// incarnation, and starts a later one. A late reply of an earlier one must not bring it
// back: only an incarnation that answers what was sent after the last reply is later.
// Its own start is no measure, as a host's time of day may step.
func (p *Pool) recognize(h *host, reply *worker.HeartbeatReply, sent, now, wall time.Time) bool {
	born := reply.Born
	if born == 0 && !h.describedByEntry() {
		// Relayed by a process of a version that does not know incarnations.
		born = h.Host.Born
	}
	switch {
	case born == 0 || born == h.life.incarnation:
	case h.life.incarnation == 0:
		h.life.incarnation = born
		if !p.upAtTakeover(reply.ClockMs, now) {
			p.awaitRoster(h.ID)
		}
	case !sent.After(h.repliedAt):
		return false
	default:
		p.hostRestarted(h, born, now, wall)
	}
	return true
}

// takeoverMargin is how long before TakenOverAt the store may have taken the claim.
const takeoverMargin = 5 * time.Second

// upAtTakeover reports whether a host was up with that clock when the pool was taken
// over. Its clock starts at its start and does not run fast.
func (p *Pool) upAtTakeover(clockMs int64, now time.Time) bool {
	takenOverAt := p.TakenOverAt
	if takenOverAt.IsZero() {
		takenOverAt = p.started
	}
	return time.Duration(clockMs)*time.Millisecond > now.Sub(takenOverAt)+takeoverMargin
}

// hostRestarted begins a host's next incarnation: the runs of the one before are lost.
func (p *Pool) hostRestarted(h *host, born int64, now, wall time.Time) {
	loss := p.attributeRuns(h, InstanceReplaced, now, wall)
	loss.Restarted = born
	lastOrderAt := h.leaseSentAt
	var unsettled []*run
	for _, r := range h.runs {
		if r.mayStartLate(now) {
			unsettled = append(unsettled, r)
			if r.orderedAt.After(lastOrderAt) {
				lastOrderAt = r.orderedAt
			}
			continue
		}
		r.giveUp(InstanceReplaced, now)
		p.endRun(r, work.EndExpired, "", now)
	}
	loss.Unsettled = len(unsettled)
	p.losses = append(p.losses, loss)
	next := life{incarnation: born, health: newHealth(), firstSeen: now}
	if now.Sub(lastOrderAt) < worker.AttemptsOutlast {
		next.strayLeaseUntil = now.Add(LeaseUpperBound(p.MaxLeaseTTL))
	}
	h.life = next
	p.awaitRoster(h.ID)
	h.leaving = h.describedByEntry() && h.Draining
	for _, r := range unsettled {
		p.settleStart(r)
	}
	p.dropTickets(h.ID)
}

// mayStartLate reports whether a run's start may yet reach the host, whose present
// incarnation would not refuse it.
func (r *run) mayStartLate(now time.Time) bool {
	return !r.adopted && (r.startedAt.IsZero() || now.Sub(r.orderedAt) < worker.AttemptsOutlast)
}

// settleStart stops a run on the host's present incarnation, so that a late start is
// refused there.
func (p *Pool) settleStart(r *run) {
	p.stop(r, "its host restarted before its start was settled")
	r.startedAt, r.unansweredAt, r.stopSentAt, r.stopAnsweredAt, r.doubtedStopAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	r.stopsInDoubt, r.percent, r.progressClock = 0, 0, 0
}

// addressee returns the host that an order was addressed to, or nil if the pool does not
// have it. It is nil also for an earlier incarnation: what came of that order is settled
// with the present one.
func (p *Pool) addressee(to worker.Target, outcome worker.Outcome) *host {
	if outcome == worker.Fenced {
		p.fenced = true
	}
	h := p.hosts[to.ID]
	if h == nil || !sameIncarnation(to.Born, h.life.incarnation) {
		return nil
	}
	return h
}

// dropTickets drops the tickets for a host, which are valid for one incarnation.
func (p *Pool) dropTickets(host string) {
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.advice != nil {
					delete(s.advice.tickets, host)
					delete(s.advice.askedHosts, host)
				}
			}
		}
	}
}
