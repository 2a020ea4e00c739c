package sched

import (
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/work"
)

// Load returns how busy the pool is.
func (p *Pool) Load(now time.Time) hostmanager.Load {
	load := hostmanager.Load{WarmingUp: now.Sub(p.started) < warmupPeriod}
	var total work.Resources
	for id, h := range p.hosts {
		if !h.listed || h.Draining {
			continue
		}
		if h.mayAnswer(now) {
			total = total.Plus(h.Capacity)
		}
		hostLoad := hostmanager.HostLoad{
			Worker: id, Used: h.used.MilliCPU, LongRunning: h.longRunningUsed.MilliCPU, Unschedulable: h.unschedulable || !h.mayAnswer(now) || h.reached && p.unresponsive(h, now),
			WorkValue: h.workValue(now),
		}
		for _, r := range h.runs {
			if !r.task.step.spec.LongRunning {
				hostLoad.Remaining = max(hostLoad.Remaining, r.timeLeft(now))
			}
		}
		if !hostLoad.Unschedulable {
			load.Capacity += h.Capacity.MilliCPU
		}
		load.Used += hostLoad.Used
		load.Hosts = append(load.Hosts, hostLoad)
	}
	var demand coreDemand
	for _, j := range p.active {
		for _, o := range j.occurrences {
			p.addDemand(&load, o, total, now)
			if !j.record.Spec.LongRunning() {
				demand.add(o, now)
			}
		}
	}
	for _, a := range p.arrivals {
		load.Offered += int(a.cores(now) * milli)
		load.RecentOffered += int(a.recentCores(now) * milli)
	}
	load.Demand = demand.tiers(load.Offered)
	peak, ago := p.history.peak(now)
	load.Peak, load.SincePeak = int(peak*milli), ago
	return load
}

// timeLeft estimates how much longer a run will take.
func (r *run) timeLeft(now time.Time) time.Duration {
	return max(minTimeLeft, r.task.step.expectedRuntime()-now.Sub(r.orderedAt))
}

// minTimeLeft is the remaining time assumed for a run that exceeds its expected
// time.
const minTimeLeft = 100 * time.Millisecond

// milli is the number of thousandths in a core.
const milli = 1000

// addDemand adds the demand of one occurrence of a job. Work that is too late to be
// worth anything adds none; it uses free resources.
func (p *Pool) addDemand(load *hostmanager.Load, o *occurrence, total work.Resources, now time.Time) {
	longRunning := o.job.record.Spec.LongRunning()
	worthless := !longRunning && o.timeUntilWorthless(now) < 0
	for _, s := range o.steps {
		ready := s.waiting > 0 && s.ready()
		if ready && !worthless {
			load.Waiting += s.waiting * s.spec.Reserved().MilliCPU
		}
		switch {
		case s.spec.LongRunning:
			load.LongRunning += len(s.tasks) * s.spec.Reserved().MilliCPU
			load.MinHosts = max(load.MinHosts, s.hostsNeeded())
		case s.spec.Gang && ready:
			load.MinHosts = max(load.MinHosts, s.hostsNeeded(), s.hostsFilled(total, len(load.Hosts)))
		}
	}
	if !longRunning && !worthless {
		load.DeadlineNeed += int(o.coresNeeded(now) * milli)
	}
}

// coresNeeded returns the cores that an occurrence needs from now on to be done in
// time, limited to what it can use at once; for a late one, to be done before it is
// worth nothing.
func (o *occurrence) coresNeeded(now time.Time) float64 {
	left := o.remaining()
	within := o.deadline().Sub(now)
	if within < left.chain {
		within = left.chain + o.timeUntilWorthless(now)
	}
	return min(o.maxParallelCores(), left.coreSeconds/max(within, left.chain, minRuntime).Seconds())
}

// maxParallelCores returns the largest number of cores that one of the remaining
// steps can use.
func (o *occurrence) maxParallelCores() float64 {
	milliCPU := 0
	for _, s := range o.steps {
		milliCPU = max(milliCPU, (len(s.tasks)-s.done)*s.spec.Reserved().MilliCPU)
	}
	return float64(milliCPU) / milli
}

// warmupPeriod is how long after a takeover a pool under-reports its demand:
// callers whose call was interrupted retry within about two seconds, and jobs start
// once the hosts have answered.
const warmupPeriod = 3 * time.Second

// hostsFilled returns how many hosts of average size a step's tasks fill when all
// run at once. A gang waits for all of them, and would wait forever in a pool that
// gives its hosts away while it has little to do.
func (s *step) hostsFilled(total work.Resources, hosts int) int {
	resources, count := s.spec.Reserved(), len(s.tasks)
	filled := 0
	for _, part := range [][2]int{{resources.MilliCPU, total.MilliCPU}, {resources.MemMB, total.MemMB}} {
		if each := part[1] / max(1, hosts); part[0] > 0 && each > 0 {
			fit := max(1, each/part[0])
			filled = max(filled, (count+fit-1)/fit)
		}
	}
	return filled
}

// hostsNeeded returns the least number of hosts over which a step's tasks have to
// be spread.
func (s *step) hostsNeeded() int {
	if s.spec.MaxPerHost == 0 {
		return 1
	}
	return (len(s.tasks) + s.spec.MaxPerHost - 1) / s.spec.MaxPerHost
}
