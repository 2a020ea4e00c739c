package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// restore adds a job of an earlier holder whose tasks may have crashed that many hosts.
func (s *roomScript) restore(step work.Step, length time.Duration, crashes int) string {
	id, record := s.newRecord(0, step, length)
	progress := &work.Progress{}
	for i := range step.Count {
		stored := work.TaskProgress{Index: i, Run: crashes}
		for run := 1; run <= crashes; run++ {
			stored.Crashed = append(stored.Crashed, run)
		}
		progress.Tasks = append(progress.Tasks, stored)
	}
	s.p.Restore(record, progress, s.now, s.now)
	return id
}

// Guards against accepted jobs that stand still beside idle cores for half a minute: the hosts
// of a rack crashed twice together, and each of the tasks that ran there gets a host for itself.
func TestTasksOfARackThatCrashedTwiceDoNotStartOneByOne(t *testing.T) {
	s := newRoomScript(t, 4)
	var jobs []string
	for range 15 {
		jobs = append(jobs, s.restore(tasks(4, 1), 3*time.Second, 2))
	}
	other := s.submit(tasks(4, 1), time.Second)
	s.pass(12 * time.Second)
	must.Less(t, 2*mostStill, s.waited(other))
	for _, id := range jobs {
		must.EqOp(t, work.Done, s.p.jobs[id].state, must.Sprint(id))
	}
}

// Guards against a suspect that shares its host at once though one is quiet, so that the next
// crash shows nothing.
func TestStrongSuspectHasAHostForItselfWhileOthersAreFree(t *testing.T) {
	s := newRoomScript(t, 4)
	suspect := s.restore(tasks(1, 1), 3*time.Second, 2)
	s.submit(tasks(6, 1), 3*time.Second)
	s.pass(time.Second)
	must.False(t, s.startedAt[suspect].IsZero())
	for _, h := range s.hosts {
		for name := range h.runs {
			if name.Job == suspect {
				must.MapLen(t, 1, h.runs)
			}
		}
	}
}

// Guards against jobs that stand still beside idle cores: each host proves its health after a
// quarantine by one task, which takes long.
func TestLongTasksOnProbationHoldUpNoOther(t *testing.T) {
	s := newRoomScript(t, 4)
	for _, h := range s.p.hosts {
		h.health.probation, h.health.quarantinedUntil = true, s.now
	}
	s.submit(tasks(4, 1), time.Minute)
	s.pass(4 * time.Second)
	for _, h := range s.hosts {
		must.MapLen(t, 1, h.runs)
	}
	for range 3 {
		id := s.submit(tasks(1, 1), 800*time.Millisecond)
		s.pass(mostStill)
		must.Less(t, mostStill, s.waited(id))
	}
}

// Guards against a flood of tasks on hosts that may still fail all that they start.
func TestHostOnProbationGetsOneTaskAtATime(t *testing.T) {
	s := newRoomScript(t, 1)
	h := s.p.hosts["h00"]
	h.health.probation, h.health.quarantinedUntil = true, s.now
	s.submit(tasks(10, 1), time.Minute)
	s.pass(time.Second)
	must.MapLen(t, 1, s.hosts[0].runs)
	s.pass(4 * time.Second)
	must.LessEq(t, 3, len(s.hosts[0].runs))
}
