package sched

import (
	"cmp"
	"slices"
)

// OrganisationStats summarizes what one organisation has in a pool.
type OrganisationStats struct {
	// Name is empty for the jobs without an organisation.
	Name string
	// Weight is zero where no organisation has one.
	Weight float64
	// Waiting counts its tasks that could start, Starts those that this holder has
	// ordered to start.
	Waiting, Starts int
	// RunningMilliCPU is the thousandths of a core that its tasks use.
	RunningMilliCPU int
}

// Organisations summarizes the organisations that have or had jobs since the takeover, by
// name. Long-running tasks don't count.
func (p *Pool) Organisations() []OrganisationStats {
	accounts := p.shares.Accounts()
	byName := make(map[string]*OrganisationStats, len(accounts))
	list := make([]OrganisationStats, len(accounts))
	for i, a := range accounts {
		list[i] = OrganisationStats{Name: a.Name(), Weight: a.Weight(), Starts: a.Starts(), RunningMilliCPU: a.MilliCPU()}
		byName[a.Name()] = &list[i]
	}
	for _, j := range p.active {
		if j.record.Spec.LongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready() {
					byName[j.record.Organisation].Waiting += s.waiting
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b OrganisationStats) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
