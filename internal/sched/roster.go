package sched

import (
	"maps"
	"time"
)

// Roster is the stored set of hosts on which tasks may run.
type Roster struct {
	InUse []string
	// Unresponsive holds those of them that could not be reached, with the
	// milliseconds after which every run there has certainly expired.
	Unresponsive map[string]int64
}

// Roster returns the hosts that may run tasks of this holder or of an earlier one.
func (p *Pool) Roster(now time.Time) Roster {
	var ids []string
	unresponsive := make(map[string]int64)
	for id, until := range p.unreached {
		ids = append(ids, id)
		unresponsive[id] = millisLeft(until, now)
	}
	for id, h := range p.hosts {
		// An empty host that is drained or unlisted is left out, since a successor
		// would wait for it without need. It gets no work until it is stored as in
		// use again.
		omitted := (h.unschedulable || !h.listed) && len(h.runs) == 0
		if _, pending := p.unreached[id]; !pending && !omitted && (h.reached || len(h.runs) > 0) {
			ids = append(ids, id)
			if p.unresponsive(h, now) {
				unresponsive[id] = millisLeft(p.leasesExpireAt(h), now)
			}
		}
	}
	return Roster{ids, unresponsive}
}

// millisLeft returns the milliseconds until a time. It rounds up, since a successor
// must wait long enough.
func millisLeft(until, now time.Time) int64 { return max(0, until.Sub(now).Milliseconds()+1) }

// HasDrainedInRoster reports whether the stored roster still has drained hosts,
// which cannot leave the pool before they are removed from it.
func (p *Pool) HasDrainedInRoster() bool {
	for id := range p.storedRoster {
		if h := p.hosts[id]; h != nil && h.unschedulable && h.reached && len(h.runs) == 0 {
			return true
		}
	}
	return false
}

// RosterSent records the roster that is being stored. The hosts that it leaves out,
// and those that it lists as unresponsive, get no work and no lease renewals from
// now on, although the store may still list them: a run that is started or renewed
// there while the roster is being stored would be on a host for which no successor
// waits.
func (p *Pool) RosterSent(r Roster) {
	sent := make(map[string]bool, len(r.InUse))
	for _, id := range r.InUse {
		_, unresponsive := r.Unresponsive[id]
		sent[id] = p.roster[id] && !unresponsive
	}
	p.roster = sent
	for id := range r.Unresponsive {
		p.frozen[id] = true
	}
	p.confirming, p.restarted = p.restarted, make(map[string]bool)
}

// awaitRoster keeps work from a host that has restarted under its ID, or may have since
// the takeover, until a roster that is sent from now on was stored. The host has
// forgotten all fencing tokens: only that shows that no other holder has taken over and
// called it before the restart.
func (p *Pool) awaitRoster(id string) {
	delete(p.roster, id)
	delete(p.confirming, id)
	p.restarted[id] = true
}

// AwaitsRoster reports whether a host in the roster gets no work before it was stored
// again.
func (p *Pool) AwaitsRoster() bool { return len(p.restarted) > 0 }

// RosterNotStored records that the roster that was sent was not stored; r still is.
func (p *Pool) RosterNotStored(r Roster) {
	maps.Copy(p.restarted, p.confirming)
	p.RosterStored(r)
}

// RosterStored records the roster that was stored. Other hosts get no work yet,
// since a successor would not wait for what runs there.
func (p *Pool) RosterStored(r Roster) {
	clear(p.roster)
	clear(p.frozen)
	clear(p.storedRoster)
	clear(p.confirming)
	for _, id := range r.InUse {
		p.storedRoster[id] = true
		if _, unresponsive := r.Unresponsive[id]; unresponsive {
			p.frozen[id] = true
		} else if !p.restarted[id] {
			p.roster[id] = true
		}
	}
}
