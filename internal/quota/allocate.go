package quota

import "auburnglade.example/glade/internal/work"

// Demand is what a pool needs of one organisation's limit.
type Demand struct {
	// Used is what the organisation's tasks may be using on the pool's hosts.
	Used work.Resources
	// Waiting is the size of the tasks that wait for an allocation only, Next that of
	// the first of them, or of the first gang, and Task that of one task in it.
	Waiting, Next, Task work.Resources
}

const (
	// reserveShare is the part (1/4) of the room left that a growing pool takes beyond
	// its need, so that it doesn't have to ask for each job. It takes no more than its
	// need again.
	reserveShare = 4
)

// allocate returns what a pool should hold of an organisation's limit, where zero means
// no limit. The result is at least what is used, and beyond that within the room that
// the other pools leave, but for one task of any size while no other pool holds anything
// and the organisation is below its limit.
func allocate(limit work.Resources, others Allocation, d Demand) Allocation {
	held := work.Resources{
		MilliCPU: hold(limit.MilliCPU, others.Held.MilliCPU, d.Used.MilliCPU, d.Waiting.MilliCPU),
		MemMB:    hold(limit.MemMB, others.Held.MemMB, d.Used.MemMB, d.Waiting.MemMB),
		GPU:      hold(limit.GPU, others.Held.GPU, d.Used.GPU, d.Waiting.GPU),
	}
	next := d.Used.Plus(d.Next)
	if d.Next.IsZero() || fits(next, held, limit) {
		return Allocation{Held: held}
	}
	// Another pool that holds something would go on starting small tasks although the
	// organisation is beyond its limit.
	if !others.Held.IsZero() || !below(next.Minus(d.Task), limit, limit) {
		return Allocation{Held: held}
	}
	held = limitedOnly(next, limit)
	return Allocation{held, over(held, limit)}
}

// hold is allocate for one resource.
func hold(limit, others, used, waiting int) int {
	if limit == 0 {
		return 0
	}
	room := max(0, limit-others)
	need := used + waiting
	want := need + min(need, max(0, room-need)/reserveShare)
	return max(used, min(want, room))
}

// fits reports whether an amount is within what is held, for the resources that have a
// limit.
func fits(amount, held, limit work.Resources) bool {
	return (limit.MilliCPU == 0 || amount.MilliCPU <= held.MilliCPU) &&
		(limit.MemMB == 0 || amount.MemMB <= held.MemMB) && (limit.GPU == 0 || amount.GPU <= held.GPU)
}

// below reports whether an amount is below a bound in each resource that has a limit.

func below(amount, limit, bound work.Resources) bool {
	one := func(amount, limit, bound int) bool { return limit == 0 || amount < bound }
	return one(amount.MilliCPU, limit.MilliCPU, bound.MilliCPU) && one(amount.MemMB, limit.MemMB, bound.MemMB) && one(amount.GPU, limit.GPU, bound.GPU)
}

// limitedOnly returns the resources of an amount that have a limit.
func limitedOnly(amount, limit work.Resources) work.Resources {
	if limit.MilliCPU == 0 {
		amount.MilliCPU = 0
	}
	if limit.MemMB == 0 {
		amount.MemMB = 0
	}
	if limit.GPU == 0 {
		amount.GPU = 0
	}
	return amount
}

// over returns by how much an amount exceeds the limit in each resource that has one.
func over(amount, limit work.Resources) work.Resources {
	excess := amount.Minus(limit)
	return limitedOnly(work.Resources{MilliCPU: max(0, excess.MilliCPU), MemMB: max(0, excess.MemMB), GPU: max(0, excess.GPU)}, limit)
}
