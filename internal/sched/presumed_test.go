package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// takeOver has another holder continue with what this one stored.
func (s *crashScript) takeOver() {
	j := s.p.jobs[scriptTask.Job]
	stored, err := work.DecodeProgress(work.EncodeProgress(j.progress()))
	must.NoError(s.t, err)
	config := s.p.Config
	config.Fence++
	s.p = New(config, Roster{}, s.now)
	s.list()
	s.p.Restore(j.record, stored, s.now, s.now)
	s.p.addDueOccurrences(s.p.jobs[scriptTask.Job], s.now, s.now)
}

// cutOff has the task start on a host that refuses connections from then on, and
// another holder take over.
func (s *crashScript) cutOff() (host string) {
	host = s.executed(200 * time.Millisecond)
	s.silent[host] = true
	s.pass(300*time.Millisecond, nil)
	s.takeOver()
	return host
}

func (s *crashScript) proofs() (proofs []Proof) {
	for _, c := range s.p.jobs[scriptTask.Job].find(scriptTask).crashes {
		proofs = append(proofs, c.Proof)
	}
	return proofs
}

// Guards against giving up a job for hosts that were only cut off when their holders were
// lost: one crash is the only one.
func TestHostsCutOffFromLostHoldersDoNotFailJobs(t *testing.T) {
	s := newCrashScript(t, 6, work.Step{}, nil)
	s.cutOff()
	s.cutOff()
	crashed := s.executed(200 * time.Millisecond)
	s.silent[crashed] = true
	s.pass(2*time.Second, nil)
	s.p.RemoveHost(crashed, s.now, s.now)
	s.pass(time.Second, nil)
	s.mustNotFail()
}

// Guards against proof that is lost with the holder that had it: the next one calls the
// incarnation, although it is listed no more, and learns that it has ended.
func TestPresumedCrashIsProvenByTheNextHolder(t *testing.T) {
	s := newCrashScript(t, 6, work.Step{}, nil)
	crashed := s.executed(200 * time.Millisecond)
	s.silent[crashed] = true
	s.pass(300*time.Millisecond, nil)
	s.hosts = slices.DeleteFunc(s.hosts, func(id string) bool { return id == crashed })
	s.takeOver()
	s.takeOver()
	must.Eq(t, []Proof{Presumed}, s.proofs())
	s.pass(removalDelay+time.Second, nil)
	must.SliceContains(t, s.p.HeartbeatTargets(), worker.Target{ID: crashed, Address: crashed, Fence: s.p.hosts[crashed].fence})
	s.p.HeartbeatFailed(worker.Target{ID: crashed}, worker.Gone, s.now, s.now)
	must.Eq(t, []Proof{Proven}, s.proofs())
	must.MapNotContainsKey(t, s.p.hosts, crashed)
}

// Guards against a task that crashes its hosts and starts once more, though the end of a
// host has just proven that.
func TestProofByTheNextHolderFailsTheJob(t *testing.T) {
	stored := work.TaskProgress{Crashed: []int{1, 2, 3}, CrashesProven: []int{1}, CrashesDecisive: []int{1}, Run: 3,
		CrashesPresumed: []work.PresumedCrash{{Run: 3, Host: "gone", Address: "address"}}}
	s := newCrashScript(t, 4, work.Step{}, &work.Progress{Tasks: []work.TaskProgress{stored}})
	s.p.Plan(s.now, s.now)
	s.pass(time.Second, nil)
	s.mustNotFail()
	s.p.HeartbeatFailed(worker.Target{ID: "gone"}, worker.Gone, s.now, s.now)
	s.pass(time.Second, nil)
	state, _ := s.p.VisibleState(scriptTask.Job)
	must.EqOp(t, work.Failed, state)
}

// Guards against proof of a crash under an incarnation that answers after all.
func TestPresumedCrashIsRefutedByAReply(t *testing.T) {
	s := newCrashScript(t, 6, work.Step{}, nil)
	cut := s.cutOff()
	s.reply(cut)
	must.Eq(t, []Proof{Unproven}, s.proofs())
	s.p.RemoveHost(cut, s.now, s.now)
	must.Eq(t, []Proof{Unproven}, s.proofs())
}

// Guards against proof by a host that may have left as planned, unknown to a holder whose
// claim is not confirmed.
func TestPresumedCrashStaysSoWhileTheClaimIsUnconfirmed(t *testing.T) {
	s := newCrashScript(t, 6, work.Step{}, nil)
	cut := s.cutOff()
	s.p.SetConfirmed(s.now.Add(-s.p.LeaseTTL), s.now)
	s.p.RemoveHost(cut, s.now, s.now)
	must.Eq(t, []Proof{Presumed}, s.proofs())
}

// Guards against calling a host that was only watched for its end for ever.
func TestWatchedHostIsForgotten(t *testing.T) {
	stored := work.TaskProgress{Crashed: []int{1}, Run: 1, CrashesPresumed: []work.PresumedCrash{{Run: 1, Host: "gone", Address: "address"}}}
	s := newCrashScript(t, 4, work.Step{}, &work.Progress{Tasks: []work.TaskProgress{stored}})
	s.p.Plan(s.now, s.now)
	s.pass(time.Second, nil)
	must.MapContainsKey(t, s.p.hosts, "gone")
	s.pass(presumedRetention+time.Second, nil)
	must.MapNotContainsKey(t, s.p.hosts, "gone")
}
