package sched

import "time"

// Roster is what the store knows of the hosts on which tasks may run.
type Roster struct {
	InUse []string
	// Unresponsive are those of them that couldn't be asked, with the milliseconds
	// after which all that may run there has certainly lapsed.
	Unresponsive map[string]int64
}

// Roster tells which hosts may run tasks of ours or of an earlier holder.
func (p *Pool) Roster(now time.Time) Roster {
	var ids []string
	silent := make(map[string]int64)
	for id, until := range p.unreached {
		ids = append(ids, id)
		silent[id] = millisLeft(until, now)
	}
	for id, h := range p.hosts {
		// An empty host that is to go or has gone is left out: a successor
		// would wait for it in vain. It gets no work until it is stored as in
		// use again.
		leaves := (h.closed || !h.listed) && len(h.runs) == 0
		if _, waits := p.unreached[id]; !waits && !leaves && (h.reached || len(h.runs) > 0) {
			ids = append(ids, id)
			if p.silent(h, now) {
				silent[id] = millisLeft(p.lapsesAt(h), now)
			}
		}
	}
	return Roster{ids, silent}
}

// millisLeft rounds up: a successor must not wait too short.
func millisLeft(until, now time.Time) int64 { return max(0, until.Sub(now).Milliseconds()+1) }

// HasDrainedInRoster reports whether the store still names hosts that are emptied and
// wait for that to change before they go.
func (p *Pool) HasDrainedInRoster() bool {
	for id := range p.named {
		if h := p.hosts[id]; h != nil && h.closed && h.reached && len(h.runs) == 0 {
			return true
		}
	}
	return false
}

// RosterSent notes which hosts a roster on its way to the store names. The
// others, and those it calls silent, get no work and no holds from now on,
// although the store may name them still: what is started or kept alive on one
// while the roster is stored would run where no successor looks for it.
func (p *Pool) RosterSent(r Roster) {
	sent := make(map[string]bool, len(r.InUse))
	for _, id := range r.InUse {
		_, silent := r.Unresponsive[id]
		sent[id] = p.roster[id] && !silent
	}
	p.roster = sent
	for id := range r.Unresponsive {
		p.frozen[id] = true
	}
}

// RosterStored notes which hosts the store names as in use. Others get no
// work yet: a successor would not know to wait for what runs there.
func (p *Pool) RosterStored(r Roster) {
	clear(p.roster)
	clear(p.frozen)
	clear(p.named)
	for _, id := range r.InUse {
		p.named[id] = true
		if _, silent := r.Unresponsive[id]; silent {
			p.frozen[id] = true
		} else {
			p.roster[id] = true
		}
	}
}
