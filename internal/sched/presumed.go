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
	crashes []presumedCrash
	until   time.Time
}

// presumedCrash is a task's presumed crash of one incarnation of a host.
type presumedCrash struct {
	task *task
	born int64
}

// presumedCrashes returns the crashes of a task to store as presumed: those that are,
// and current runs that had just started on hosts that refuse connections.
func (t *task) presumedCrashes() (presumed []work.PresumedCrash) {
	for _, c := range t.crashes {
		if c.Proof == Presumed {
			presumed = append(presumed, work.PresumedCrash{Run: c.Run, Host: c.Host, Address: c.Address, Born: c.Born})
		}
	}
	for _, r := range t.currentRuns() {
		if h := r.host; t.crashIndex(r.number) < 0 && r.executedUntilRefusal() && r.justStarted() && !h.leaving {
			presumed = append(presumed, work.PresumedCrash{Run: r.number, Host: h.ID, Address: h.Address, Born: h.life.incarnation})
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
	end.crashes = append(end.crashes, presumedCrash{t, c.Born})
	if p.hosts[c.Host] == nil {
		h := p.newHost(worker.Host{ID: c.Host, Address: c.Address}, now)
		h.unlistedSince = now
		p.hosts[c.Host] = h
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
	for _, c := range end.crashes {
		p.proveCrash(c, h.ID, now, wall)
	}
}

func (p *Pool) proveCrash(c presumedCrash, host string, now, wall time.Time) {
	t := c.task
	t.settlePresumed(host, c.born, Proven)
	if t.job().state == "" && !t.done && t.crashesHosts() {
		p.failForCrashes(t, now, wall)
	}
}

// settlePresumed settles the presumed crashes under a host that has answered. They are
// unproven if the same incarnation did, proven if a later one did.
func (p *Pool) settlePresumed(h *host, now, wall time.Time) {
	end := p.presumed[h.ID]
	if end == nil {
		return
	}
	delete(p.presumed, h.ID)
	for _, c := range end.crashes {
		switch {
		case sameIncarnation(c.born, h.life.incarnation):
			c.task.settlePresumed(h.ID, c.born, Unproven)
		case !p.claimUnconfirmed:
			p.proveCrash(c, h.ID, now, wall)
		}
	}
}

// settlePresumed sets the proof of a task's presumed crashes of one incarnation of a
// host.
func (t *task) settlePresumed(host string, born int64, proof Proof) {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.Proof == Presumed && c.Host == host && c.Born == born {
			c.Proof = proof
			t.job().version++
		}
	}
}
