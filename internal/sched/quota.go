package sched

import (
	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/work"
)

// usage is what one organisation's tasks use in the pool.
type usage struct {
	quota.Use
	quota   quota.Quota
	limited bool
	// waiting, next and task are the demand of the last plan.
	waiting, next, task work.Resources
}

// add counts a run, or with sign -1 discounts it. Of a best-effort task the CPU counts
// too: it uses what others leave.
func (u *usage) add(r *run, sign int) {
	if u == nil {
		return
	}
	resources := r.task.step.spec.Resources
	if sign < 0 {
		resources = work.Resources{}.Minus(resources)
	}
	if r.adopted {
		u.Adopted = u.Adopted.Plus(resources)
	} else {
		u.Own = u.Own.Plus(resources)
	}
}

// usageOf returns the usage of an organisation, nil for a job without one.
func (p *Pool) usageOf(organisation string) *usage {
	if organisation == "" {
		return nil
	}
	u := p.usages[organisation]
	if u == nil {
		u = &usage{Use: quota.Use{Inherited: p.inherited.Of(organisation)}}
		p.setQuota(organisation, u)
		p.usages[organisation] = u
	}
	return u
}

// SetInherited sets what the ledger said of the pool when it was taken over.
func (p *Pool) SetInherited(inherited quota.Inheritance) {
	p.inherited = inherited
	for _, name := range inherited.Organisations() {
		p.usageOf(name)
	}
	for name, u := range p.usages {
		u.Inherited = inherited.Of(name)
	}
}

// SetQuotas sets the quotas of the organisations that have a limit. frozen, if not empty,
// is why no task of any other organisation may start.
func (p *Pool) SetQuotas(quotas map[string]quota.Quota, frozen quota.Reason) {
	p.quotas, p.othersFrozen = quotas, frozen
	for name, u := range p.usages {
		p.setQuota(name, u)
	}
}

func (p *Pool) setQuota(organisation string, u *usage) {
	u.quota, u.limited = p.quotas[organisation]
	if !u.limited && p.othersFrozen != "" {
		u.quota, u.limited = quota.Quota{Frozen: p.othersFrozen}, true
	}
}

// QuotaDemands returns the demands of the organisations that have a limit, as of the
// last plan.
func (p *Pool) QuotaDemands() map[string]quota.Demand {
	demands := make(map[string]quota.Demand, len(p.usages))
	hidden := p.hiddenRoom()
	for name, u := range p.usages {
		if u.limited {
			demands[name] = quota.Demand{Used: u.Total(hidden), Waiting: u.waiting, Next: u.next, Task: u.task}
		}
	}
	return demands
}

// hiddenRoom returns the most that runs of earlier holders can use on hosts that have
// not answered since the takeover.
func (p *Pool) hiddenRoom() (room work.Resources) {
	if len(p.unreached) == 0 {
		return room
	}
	var largest work.Resources
	for _, h := range p.hosts {
		largest = largest.Max(h.Capacity)
	}
	if largest == (work.Resources{}) {
		return quota.Unbounded
	}
	for id := range p.unreached {
		capacity := largest
		if h := p.hosts[id]; h != nil && h.Capacity != (work.Resources{}) {
			capacity = h.Capacity
		}
		room = room.Plus(capacity)
	}
	return room
}

// forgetDemands starts the demands of a new plan.
func (p *Pool) forgetDemands() {
	for _, u := range p.usages {
		u.waiting, u.next, u.task = work.Resources{}, work.Resources{}, work.Resources{}
	}
}

// withinQuota reports whether the organisation of a step may start count more of its
// tasks, and otherwise counts all that wait as its demand.
func (pl *planner) withinQuota(s *step, count int) bool {
	if pl.quotaAllows(s, count) {
		return true
	}
	u, more := s.occurrence.job.usage, s.spec.Resources.Times(count)
	u.waiting = u.waiting.Plus(s.spec.Resources.Times(s.waiting))
	if u.next == (work.Resources{}) {
		u.next, u.task = more, s.spec.Resources
	}
	return false
}

// quotaAllows reports whether the organisation of a step may run count more of its tasks.
func (pl *planner) quotaAllows(s *step, count int) bool {
	u := s.occurrence.job.usage
	if u == nil || !u.limited {
		return true
	}
	more, used := s.spec.Resources.Times(count), u.Total(pl.hidden)
	return u.quota.Allows(used, more) || u.quota.AllowsExtra(used, more, s.spec.Resources) && !pl.startsPending(u)
}

// startsPending reports whether a start of an organisation's task has no answer yet.
func (p *Pool) startsPending(u *usage) bool {
	for _, h := range p.hosts {
		for _, r := range h.runs {
			if r.startedAt.IsZero() && r.task.job().usage == u {
				return true
			}
		}
	}
	return false
}
