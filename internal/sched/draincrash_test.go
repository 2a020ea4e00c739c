package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Guards against a task that crashes its hosts and starts without limit because each was
// to be drained as it crashed: a suspect has its host to itself, and a host with little on
// it is drained first.
func TestCrashOfHostToBeDrainedCounts(t *testing.T) {
	s := newCrashScript(t, 6, work.Step{}, nil)
	lost := s.executed(100 * time.Millisecond)
	s.p.Drain(lost, s.now)
	s.silent[lost] = true
	s.p.HeartbeatFailed(worker.Target{ID: lost}, worker.NotSent, s.now, s.now)
	s.crash(lost)
	must.Len(t, 1, s.proofs())
}
