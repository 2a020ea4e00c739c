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
//
// An order for an earlier incarnation may arrive however late: a process that was to send
// it may have been suspended. The next incarnation has seen no fencing token and would
// execute it, a start that was given up long ago too, beside the task's present run. So it
// gets a higher token than all before it, and once it has answered an order with that one
// it refuses every such order.

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
		p.hostRestarted(h, born, !reply.RunningOmitted, now, wall)
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
// listed is set if its reply lists what runs there.
func (p *Pool) hostRestarted(h *host, born int64, listed bool, now, wall time.Time) {
	p.raiseFence()
	loss := p.attributeRuns(h, InstanceReplaced, now, wall)
	loss.Restarted, loss.Fence = born, p.fence
	lastOrderAt := h.leaseSentAt
	var unsettled []*run
	for _, r := range h.runs {
		if r.mayStartLate(listed) {
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
	next := life{incarnation: born, fence: p.fence, health: newHealth(), firstSeen: now}
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

// raiseFence reserves the next fencing token. Without one left, the pool has to be taken
// over anew.
func (p *Pool) raiseFence() {
	if p.LastFence != 0 && p.fence >= p.LastFence {
		p.fenced = true
		return
	}
	p.fence++
}

// mayStartLate reports whether the host's present incarnation may execute a run that was
// started on an earlier one: an attempt to start it has no answer, or the present one has
// not listed its runs yet. Attempts of an earlier holder are refused since the present
// incarnation has answered this one; what it had executed before would be listed.
func (r *run) mayStartLate(listed bool) bool {
	return !listed || !r.adopted && (r.startedAt.IsZero() || r.attemptOpen)
}

// StartUnsettled records that an attempt to start a run has no answer, whatever came of
// the others: it may be executed at any time.
func (p *Pool) StartUnsettled(to worker.Target, name work.TaskName, number int) {
	h := p.hosts[to.ID]
	if h == nil {
		return
	}
	if r := h.runs[name]; r != nil && r.number == number {
		r.attemptOpen = true
	}
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
	h := p.hosts[to.ID]
	if outcome == worker.Fenced && !p.fencedByItself(h, to) {
		p.fenced = true
	}
	if h == nil || !sameIncarnation(to.Born, h.life.incarnation) {
		return nil
	}
	return h
}

// fencedByItself reports whether a host that refuses an order's fencing token may have
// seen a higher one of this holder.
func (p *Pool) fencedByItself(h *host, to worker.Target) bool {
	return to.Fence != 0 && to.Fence < p.fence && (h == nil || to.Fence < h.fence)
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
