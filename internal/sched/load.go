package sched

import (
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/work"
)

// Load tells how busy the pool is.
func (p *Pool) Load(now time.Time) hostmanager.Load {
	load := hostmanager.Load{WarmingUp: now.Sub(p.started) < warmupPeriod}
	var total work.Resources
	for id, h := range p.hosts {
		if !h.listed || h.Draining {
			continue
		}
		total = total.Plus(h.Capacity)
		one := hostmanager.HostLoad{
			Worker: id, Used: h.used.MilliCPU, LongRunning: h.lastingCPU, Unschedulable: h.closed || h.reached && p.silent(h, now),
		}
		for _, r := range h.runs {
			if !r.task.step.spec.LongRunning {
				one.Remaining = max(one.Remaining, r.left(now))
			}
		}
		if !one.Unschedulable {
			load.Capacity += h.Capacity.MilliCPU
		}
		load.Used += one.Used
		load.Hosts = append(load.Hosts, one)
	}
	for _, j := range p.active {
		for _, o := range j.occurrences {
			p.addNeed(&load, o, total, now)
		}
	}
	for _, a := range p.arrivals {
		load.Offered += int(a.cores(now) * milli)
		load.RecentOffered += int(a.recentCores(now) * milli)
	}
	peak, ago := p.history.peak(now)
	load.Peak, load.PeakAgo = int(peak*milli), ago
	return load
}

// left is how long a run should still take, as far as that can be known.
func (r *run) left(now time.Time) time.Duration {
	return max(leastLeft, r.task.step.expected()-now.Sub(r.asked))
}

// leastLeft is what a run is given that is over its time.
const leastLeft = 100 * time.Millisecond

// milli is how many thousandths a core has.
const milli = 1000

// addNeed adds what one occurrence of a job needs. Work that is too late to be
// worth anything asks for nothing: it takes what is free.
func (p *Pool) addNeed(load *hostmanager.Load, o *occurrence, total work.Resources, now time.Time) {
	lasting := o.job.record.Spec.LongRunning()
	worthless := !lasting && o.worthLeft(now) < 0
	for _, s := range o.steps {
		turn := s.waiting > 0 && s.ready()
		if turn && !worthless {
			load.Waiting += s.waiting * s.spec.Reserved().MilliCPU
		}
		switch {
		case s.spec.LongRunning:
			load.LongRunning += len(s.tasks) * s.spec.Reserved().MilliCPU
			load.MinHosts = max(load.MinHosts, s.hostsNeeded())
		case s.spec.Gang && turn:
			load.MinHosts = max(load.MinHosts, s.hostsNeeded(), s.hostsFilled(total, len(load.Hosts)))
		}
	}
	if !lasting && !worthless {
		load.DeadlineNeed += int(o.coresNeeded(now) * milli)
	}
}

// coresNeeded is how many cores an occurrence needs from now on to be done in
// time, and no more than it can use at once; a late one, until it is worth
// nothing any more.
func (o *occurrence) coresNeeded(now time.Time) float64 {
	left := o.remaining()
	within := o.deadline().Sub(now)
	if within < left.chain {
		within = left.chain + o.worthLeft(now)
	}
	return min(o.widest(), left.rest/max(within, left.chain, shortestRun).Seconds())
}

// widest is the most cores that the steps that are left can use, one at a time.
func (o *occurrence) widest() float64 {
	widest := 0
	for _, s := range o.steps {
		widest = max(widest, (len(s.tasks)-s.done)*s.spec.Reserved().MilliCPU)
	}
	return float64(widest) / milli
}

// warmupPeriod is how long after a takeover a pool doesn't know its need: callers
// whose call was broken off come again within about two seconds, and jobs start
// once the hosts have answered.
const warmupPeriod = 3 * time.Second

// hostsFilled is how many hosts of the mean size a step's tasks fill when all
// run at once. A gang waits for all of them, and would wait for ever in a pool
// that gave its hosts away while it had little to do.
func (s *step) hostsFilled(total work.Resources, hosts int) int {
	size, count := s.spec.Reserved(), len(s.tasks)
	filled := 0
	for _, part := range [][2]int{{size.MilliCPU, total.MilliCPU}, {size.MemMB, total.MemMB}} {
		if each := part[1] / max(1, hosts); part[0] > 0 && each > 0 {
			fit := max(1, each/part[0])
			filled = max(filled, (count+fit-1)/fit)
		}
	}
	return filled
}

// hostsNeeded is how many hosts a step's tasks have to be spread over.
func (s *step) hostsNeeded() int {
	if s.spec.MaxPerHost == 0 {
		return 1
	}
	return (len(s.tasks) + s.spec.MaxPerHost - 1) / s.spec.MaxPerHost
}
