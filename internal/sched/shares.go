package sched

import "auburnglade.example/glade/internal/fairshare"

// SetShares sets the weights of organisations. The caller doesn't change the map later.
// Without a weight above zero, jobs are ordered as if all were of one organisation.
func (p *Pool) SetShares(weights map[string]int) {
	p.shares.SetWeights(weights)
}

// admitByShare drops applicants until the hosts can do the others in time, each time
// work of the organisation that is furthest beyond its share. It answers one organisation
// that sends several times its usual: its own jobs are late, those of others in time.
// Late work that will soon be worth nothing is dropped like all other: in a long overload
// it would take all room, and each job would be done only when it is late.
func (pl *planner) admitByShare(waiting []*applicant, cores float64) {
	selected := &pl.scratch.selection
	selected.Begin()
	work, short := 0.0, false
	for i, a := range waiting {
		room := cores * a.roomWithin().Seconds()
		if a.coreSeconds > room {
			// Counted as admitted, it would push out all others and be late still.
			a.postpone()
			short = short || a.waits()
			continue
		}
		selected.Add(a.job.account, fairshare.Entry{ID: i, CoreSeconds: a.coreSeconds, Rank: a.shareRank()})
		for work += a.coreSeconds; work > room; {
			dropped, ok := selected.Remove()
			if !ok {
				break
			}
			waiting[dropped.ID].postpone()
			work -= dropped.CoreSeconds
			short = short || waiting[dropped.ID].waits()
		}
	}
	if short {
		pl.tagAdmitted(waiting)
	}
}

// tagAdmitted gives the admitted applicants their start tags, those that are late after
// those in time. By slack alone each would start at the last moment while some have to
// wait, and any error of an estimate makes it late, also for an organisation that is far
// below its share. Late work that went before all else would take the hosts from that one
// too, for as long as the backlog lasts.
func (pl *planner) tagAdmitted(waiting []*applicant) {
	tags := &pl.scratch.selection
	tags.Begin()
	for _, a := range waiting {
		if a.admitted {
			a.startTag, a.tagged = tags.Next(a.job.account, a.coreSeconds), true
		}
	}
	for _, a := range waiting {
		if a.atRiskNow && !a.postponed {
			a.startTag, a.tagged = tags.Next(a.job.account, a.coreSeconds), true
		}
	}
}

// waits reports whether any task could start if there were room.
func (o *occurrence) waits() bool {
	for _, s := range o.steps {
		if s.waiting > 0 && s.ready() {
			return true
		}
	}
	return false
}

// postpone puts an applicant behind all admitted ones.
func (a *applicant) postpone() { a.admitted, a.postponed = false, a.atRiskNow }

// lateRank is more than the core-seconds of any job.
const lateRank = 1e12

// shareRank orders the applicants of one organisation, those to be dropped first highest:
// late ones, which are worth little, and then those with most remaining work.
func (a *applicant) shareRank() float64 {
	if a.atRiskNow {
		return lateRank + a.weight
	}
	return a.weight
}
