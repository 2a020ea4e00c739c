package sched

// A holder that is lost together with a host cannot learn whether the host crashed or
// was only cut off. It stores what it saw, and the next holder calls the same
// incarnation until it knows: if another one answers, the crash is proven; if it
// answers itself, nothing is.

import (
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// presumedRetention is how long a holder calls an incarnation that is not listed to
// learn whether it ended. A crashed host restarts sooner.
const presumedRetention = 20 * time.Second

// presumedEnd is a host whose end would prove crashes.
type presumedEnd struct {
	tasks []*task
	until time.Time
}

// presumedCrashes returns the crashes of a task to store as presumed: those that are,
// and current runs that had just started on hosts that refuse connections.
func (t *task) presumedCrashes() (presumed []work.PresumedCrash) {
	for _, c := range t.crashes {
		if c.Proof == Presumed {
			presumed = append(presumed, work.PresumedCrash{Run: c.Run, Host: c.Host, Address: c.Address})
		}
	}
	for _, r := range t.currentRuns() {
		if h := r.host; r.executedUntilRefusal() && r.justStarted() && !h.Draining {
			presumed = append(presumed, work.PresumedCrash{Run: r.number, Host: h.ID, Address: h.Address})
		}
	}
	return presumed
}

// watchPresumed adds the hosts under which the restored tasks of an occurrence have
// presumed crashes, so that they are called. The platform may list them no more.
func (p *Pool) watchPresumed(o *occurrence, now time.Time) {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			for _, c := range t.crashes {
				if c.Proof == Presumed {
					p.watchEnd(t, c, now)
				}
			}
		}
	}
}

func (p *Pool) watchEnd(t *task, c Crash, now time.Time) {
	end := p.presumed[c.Host]
	if end == nil {
		end = &presumedEnd{until: now.Add(presumedRetention)}
		p.presumed[c.Host] = end
	}
	end.tasks = append(end.tasks, t)
	if p.hosts[c.Host] == nil {
		p.hosts[c.Host] = &host{
			Host: worker.Host{ID: c.Host, Address: c.Address}, runs: make(map[work.TaskName]*run), health: newHealth(),
			firstSeen: now, unlistedSince: now,
		}
		p.hostsChanged = true
	}
}

// forgetPresumed stops waiting for the ends of hosts that take too long.
func (p *Pool) forgetPresumed(now time.Time) {
	for id, end := range p.presumed {
		if h := p.hosts[id]; now.After(end.until) && (h == nil || !h.listed) {
			delete(p.presumed, id)
		}
	}
}

// provePresumed counts the presumed crashes under a host as proven, since its
// incarnation has certainly ended, and fails the jobs for which that is enough.
func (p *Pool) provePresumed(h *host, now, wall time.Time) {
	end := p.presumed[h.ID]
	delete(p.presumed, h.ID)
	if end == nil || p.claimUnconfirmed || !h.lossMayBeCrash(InstanceReplaced) {
		return
	}
	for _, t := range end.tasks {
		t.settlePresumed(h.ID, Proven)
		if t.job().state == "" && !t.done && t.crashesHosts() {
			p.failForCrashes(t, now, wall)
		}
	}
}

// refutePresumed counts the presumed crashes under a host as unproven, since the same
// incarnation has answered.
func (p *Pool) refutePresumed(id string) {
	end := p.presumed[id]
	if end == nil {
		return
	}
	delete(p.presumed, id)
	for _, t := range end.tasks {
		t.settlePresumed(id, Unproven)
	}
}

// settlePresumed sets the proof of a task's presumed crashes under a host.
func (t *task) settlePresumed(host string, proof Proof) {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.Proof == Presumed && c.Host == host {
			c.Proof = proof
			t.job().version++
		}
	}
}
