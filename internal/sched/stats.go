package sched

import "time"

// Stats is a pool at a glance, for the log.
type Stats struct {
	Jobs, Hosts, Usable, Unreached, Runs, WaitingTasks int
	// UsedCores and Cores are of the usable hosts.
	UsedCores, Cores int
	// LongRunningWaiting is how many lasting tasks have nowhere to run.
	LongRunningWaiting int
	// UnusableReasons tells for each host that isn't usable what keeps it from work.
	UnusableReasons map[string]int
}

// Stats describes the pool.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Jobs: len(p.active), Hosts: len(p.hosts), Unreached: len(p.unreached), UnusableReasons: make(map[string]int)}
	for _, h := range p.hosts {
		s.Runs += len(h.runs)
		if why := p.unusable(h, now); why != "" {
			s.UnusableReasons[why]++
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
