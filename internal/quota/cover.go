package quota

import (
	"maps"
	"slices"

	"auburnglade.example/glade/internal/work"
)

// Cover is a set of resources. A pool covers them of an organisation while its allocation
// holds all that the organisation's tasks use of them there. What an allocation holds is
// only written when somebody wants more; without a cover, none of it says nothing of tasks
// that were started before the organisation had a limit.
type Cover uint8

const (
	coverCPU Cover = 1 << iota
	coverMemory
	coverGPU
)

// coverOf returns the resources that have a limit.
func coverOf(limit work.Resources) (c Cover) {
	if limit.MilliCPU != 0 {
		c |= coverCPU
	}
	if limit.MemMB != 0 {
		c |= coverMemory
	}
	if limit.GPU != 0 {
		c |= coverGPU
	}
	return c
}

func (c Cover) includes(other Cover) bool { return c&other == other }

// of returns the part of an amount that is in the resources.
func (c Cover) of(amount work.Resources) (part work.Resources) {
	if c.includes(coverCPU) {
		part.MilliCPU = amount.MilliCPU
	}
	if c.includes(coverMemory) {
		part.MemMB = amount.MemMB
	}
	if c.includes(coverGPU) {
		part.GPU = amount.GPU
	}
	return part
}

// covers reports whether the pool covers exactly the resources of an organisation that have
// a limit, with and without each of the unresolved proposals. With fewer, other pools don't
// know what its tasks use; with more, they believe that it uses no more than it holds.
func (a *Account) covers(name string, limit work.Resources) bool {
	exactly := func(l *Ledger) bool { return l.Covers[a.pool][name] == coverOf(limit) }
	return exactly(a.ledger) && !slices.ContainsFunc(a.unresolved, func(p *Proposal) bool { return !exactly(p.Ledger) })
}

// covered returns the organisations of which the pool covers something, with or without one
// of the unresolved proposals.
func (a *Account) covered() []string {
	names := slices.Collect(maps.Keys(a.ledger.Covers[a.pool]))
	for _, p := range a.unresolved {
		names = slices.AppendSeq(names, maps.Keys(p.Ledger.Covers[a.pool]))
	}
	return names
}

// present reports whether the pool is in the ledger, with and without each of the
// unresolved proposals. Until then it starts nothing: other pools take it for one in which
// no task of an organisation runs.
func (a *Account) present() bool {
	in := func(l *Ledger) bool { return l.Covers[a.pool] != nil }
	return in(a.ledger) && !slices.ContainsFunc(a.unresolved, func(p *Proposal) bool { return !in(p.Ledger) })
}

// FrozenOthers returns why no task of an organisation without a limit may start, empty if
// some may. confirmed is whether the limits are known to be the newest.
func (a *Account) FrozenOthers(confirmed bool) Reason {
	switch {
	case a.ledger == nil:
		return NotLoaded
	case a.Replaced():
		return Taken
	case !confirmed:
		return Unconfirmed
	case !a.present():
		return Undeclared
	}
	return ""
}

// coveredElsewhere reports whether every other pool covers the resources of an organisation
// that have a limit, but those in which nothing runs.
func (a *Account) coveredElsewhere(name string, limit work.Resources) bool {
	for pool, covers := range a.ledger.Covers {
		if pool != a.pool && !covers[name].includes(coverOf(limit)) && !a.idle[pool] {
			return false
		}
	}
	return true
}

// Uncovered returns the other pools that don't cover all that has a limit, sorted.
func (a *Account) Uncovered() (pools []string) {
	if a.ledger == nil {
		return nil
	}
	for pool, covers := range a.ledger.Covers {
		for name, limit := range a.limits.ByOrganisation {
			if pool != a.pool && !covers[name].includes(coverOf(limit)) {
				pools = append(pools, pool)
				break
			}
		}
	}
	slices.Sort(pools)
	return pools
}

// SetIdle sets the pools in which nothing runs, since none of their tasks was started or
// renewed for longer than any lease lasts. They are not waited for.
func (a *Account) SetIdle(pools map[string]bool) { a.idle = pools }

// declare returns the proposal that covers what has a limit and isn't covered yet, by what
// is used of it, or nil. It holds under any limits: it only binds this pool.
func (a *Account) declare(demands map[string]Demand) *Proposal {
	changed, covers := make(map[string]Allocation), make(map[string]Cover)
	maps.Copy(covers, a.ledger.Covers[a.pool])
	for name, limit := range a.limits.ByOrganisation {
		added := coverOf(limit) &^ covers[name]
		if added == 0 {
			continue
		}
		allocation := a.ledger.allocation(a.pool, name)
		allocation.Held = allocation.Held.Max(added.of(demands[name].Used))
		changed[name], covers[name] = allocation, covers[name]|added
	}
	if len(changed) == 0 && a.ledger.Covers[a.pool] != nil {
		return nil
	}
	return a.proposal(changed, covers, 0)
}

// withdraw removes what has no limit any more from changed allocations and covers. Without
// it the organisation's tasks stay within what the pool holds.
func (a *Account) withdraw(changed map[string]Allocation, covers map[string]Cover) (needed bool) {
	for name, cover := range covers {
		limited := coverOf(a.limits.ByOrganisation[name])
		if limited.includes(cover) {
			continue
		}
		needed = true
		if limited == 0 {
			changed[name] = Allocation{}
			delete(covers, name)
			continue
		}
		allocation := a.ledger.allocation(a.pool, name)
		changed[name] = Allocation{Held: limited.of(allocation.Held), Extra: limited.of(allocation.Extra)}
		covers[name] = limited
	}
	return needed
}

// Inheritance is what the ledger says of a pool when it is taken over.
type Inheritance struct {
	held   map[string]work.Resources
	covers map[string]Cover
}

// Inherited returns what the ledger, which was read, says of the pool.
func (a *Account) Inherited() Inheritance {
	in := Inheritance{held: make(map[string]work.Resources), covers: a.ledger.Covers[a.pool]}
	for name, allocation := range a.ledger.Pools[a.pool] {
		in.held[name] = allocation.Held
	}
	return in
}

// Unbounded is more than any pool has.
var Unbounded = work.Resources{MilliCPU: 1 << 40, MemMB: 1 << 40, GPU: 1 << 40}

// Of returns the most that earlier holders may have started of an organisation's tasks. What
// they did not cover has no bound, unless they were of a version that covers nothing or
// have started nothing.
func (in Inheritance) Of(name string) work.Resources {
	held := in.held[name]
	if in.covers == nil {
		return held
	}
	uncovered := (coverCPU | coverMemory | coverGPU) &^ in.covers[name]
	return held.Max(uncovered.of(Unbounded))
}

// Organisations returns the organisations of which the pool held something.
func (in Inheritance) Organisations() []string { return slices.Sorted(maps.Keys(in.held)) }
