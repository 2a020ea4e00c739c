package emulate

import (
	"fmt"
	"time"

	"auburnglade.example/glade/internal/work"
)

// limitApply is how long a replaced limit may still be in force.
const limitApply = 3 * time.Second

// limits checks what organisations run on all hosts together against their limits.
type limits struct {
	// byOrganisation holds each organisation's limits, the newest last.
	byOrganisation map[string][]setLimit
	running        map[string]work.Resources
}

// setLimit is a limit and when it was set.
type setLimit struct {
	at    time.Time
	limit work.Resources
}

func newLimits() limits {
	return limits{byOrganisation: make(map[string][]setLimit), running: make(map[string]work.Resources)}
}

// SetLimit records that the operator has set an organisation's limit.
func (c *Checker) SetLimit(organisation string, limit work.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.byOrganisation[organisation] = append(c.limits.byOrganisation[organisation], setLimit{time.Now(), limit})
}

// Limit returns an organisation's newest limit and whether one was ever set.
func (c *Checker) Limit(organisation string) (limit work.Resources, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.limits.byOrganisation[organisation]
	if len(set) == 0 {
		return work.Resources{}, false
	}
	return set[len(set)-1].limit, true
}

// RunningOf returns what an organisation's tasks use on all hosts.
func (c *Checker) RunningOf(organisation string) work.Resources {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.running[organisation]
}

// started counts a start and returns how it breaks the limit, or an empty string.
func (l *limits) started(organisation string, size work.Resources) (breach string) {
	before := l.running[organisation]
	l.running[organisation] = before.Plus(size)
	set := l.byOrganisation[organisation]
	if len(set) == 0 {
		return ""
	}
	most := set[len(set)-1].limit
	for i := range set[:len(set)-1] {
		if time.Since(set[i+1].at) <= limitApply {
			most = HigherLimit(most, set[i].limit)
		}
	}
	if within(before, most) {
		return ""
	}
	return fmt.Sprintf("%s had %+v running of at most %+v", organisation, before, most)
}

// HigherLimit returns the higher of two limits in each resource. Zero is no limit.
func HigherLimit(a, b work.Resources) work.Resources {
	higher := func(a, b int) int {
		if a == 0 || b == 0 {
			return 0
		}
		return max(a, b)
	}
	return work.Resources{MilliCPU: higher(a.MilliCPU, b.MilliCPU), MemMB: higher(a.MemMB, b.MemMB), GPU: higher(a.GPU, b.GPU)}
}

// within reports whether an amount is within a limit.
func within(amount, limit work.Resources) bool {
	fits := func(amount, limit int) bool { return limit == 0 || amount <= limit }
	return fits(amount.MilliCPU, limit.MilliCPU) && fits(amount.MemMB, limit.MemMB) && fits(amount.GPU, limit.GPU)
}

func (l *limits) ended(organisation string, size work.Resources) {
	l.running[organisation] = l.running[organisation].Minus(size)
}
