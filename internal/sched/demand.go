package sched

import (
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

// coreDemand is what jobs that aren't long-running could use, in cores: those that can
// still be in time, and those that are late and not yet worthless.
type coreDemand struct{ inTime, late float64 }

// add adds an occurrence of a job that isn't long-running.
func (d *coreDemand) add(o *occurrence, now time.Time) {
	switch o.value(now) {
	case hostmanager.InTimeValue:
		d.inTime += o.coresNeeded(now)
	case hostmanager.LateValue:
		d.late += o.coresNeeded(now)
	}
}

// tiers returns the demand in the order of value. The offered load counts as work that
// can be in time, as does what its jobs bring next.
func (d coreDemand) tiers(offeredMilliCPU int) []hostmanager.DemandTier {
	return []hostmanager.DemandTier{
		{MilliCPU: max(offeredMilliCPU, int(d.inTime*milli)), Value: hostmanager.InTimeValue},
		{MilliCPU: int(d.late * milli), Value: hostmanager.LateValue},
	}
}

// value is what a core brings that works on an occurrence, where 1 is work that can
// still be in time.
func (o *occurrence) value(now time.Time) float64 {
	switch {
	case o.slack(now) >= 0:
		return hostmanager.InTimeValue
	case o.timeUntilWorthless(now) >= 0:
		return hostmanager.LateValue
	}
	return 0
}

// workValue is the value of the runs on a host that aren't long-running, in
// millicores of work that can be in time.
func (h *host) workValue(now time.Time) int {
	value := 0.0
	for _, r := range h.runs {
		if s := r.task.step; !s.spec.LongRunning {
			value += float64(s.spec.Reserved().MilliCPU) * s.occurrence.value(now)
		}
	}
	return int(value)
}
