package sched

import "time"

// Stats summarizes a pool for the log.
type Stats struct {
	Jobs, Hosts, Usable, Unreached, Runs, WaitingTasks int
	// UsedCores and Cores cover the usable hosts.
	UsedCores, Cores int
	// LongRunningWaiting counts the long-running tasks that have no host.
	LongRunningWaiting int
	// UnusableReasons counts the hosts that are not usable, by reason.
	UnusableReasons map[string]int
}

// Stats returns a summary of the pool.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Jobs: len(p.active), Hosts: len(p.hosts), Unreached: len(p.unreached), UnusableReasons: make(map[string]int)}
	for _, h := range p.hosts {
		s.Runs += len(h.runs)
		if reason := p.unusable(h, now); reason != "" {
			s.UnusableReasons[reason]++
			continue
		}
		s.Usable++
		s.UsedCores += h.used.MilliCPU / 1000
		s.Cores += h.Capacity.MilliCPU / 1000
	}
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if step.waiting > 0 && step.ready() {
					s.WaitingTasks += step.waiting
					if step.spec.LongRunning {
						s.LongRunningWaiting += step.waiting
					}
				}
			}
		}
	}
	return s
}
