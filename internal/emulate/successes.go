package emulate

import (
	"slices"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// success is a run that has ended as done. A start after it is a violation if the end is
// acknowledged at any time, unless the host's lease has expired between the two.
type success struct {
	host   string
	number int
	// later is a run that has started since, empty for none.
	later string
}

// succeeded records a run that has ended as done.
func (t *taskState) succeeded(host string, number int) {
	t.successes = append(t.successes, &success{host: host, number: number})
}

// startedAfterSuccess records a run that starts after others may have ended as done.
func (t *taskState) startedAfterSuccess(later string) {
	for _, s := range t.successes {
		s.later = later
	}
}

// takeSuccess removes and returns the success that an end reports, nil if there is none.
func (t *taskState) takeSuccess(host string, number int) *success {
	at := slices.IndexFunc(t.successes, func(s *success) bool { return s.host == host && s.number == number })
	if at < 0 {
		return nil
	}
	taken := t.successes[at]
	t.successes = slices.Delete(t.successes, at, at+1)
	return taken
}

// checkSuccess checks a success that is acknowledged.
func (c *Checker) checkSuccess(t *taskState, host string, end worker.RunEnd) {
	if s := t.takeSuccess(host, end.Run); s != nil && s.later != "" {
		c.addViolation(RuleDuplicateRun, "%s after the success of run %d on %s, which was acknowledged later", s.later, end.Run, host)
	}
}

// leaseExpired records that the lease of a host has expired, by which its ends that weren't
// acknowledged don't count any more.
func (c *Checker) leaseExpired(host string, ends []worker.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range ends {
		if end.Reason == work.EndDone {
			c.task(end.Task).takeSuccess(host, end.Run)
		}
	}
}
