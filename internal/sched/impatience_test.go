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
