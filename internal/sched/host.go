package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// host is one life of a host.
type host struct {
	worker.Host
	// listed: the platform's list shows it; missing is since when it doesn't.
	listed  bool
	missing time.Time
	// reached: it has answered a hold with our fence.
	reached bool
	used    work.Resources
	runs    map[work.TaskName]*run
	// lasting counts the lasting runs among them, lastingCPU is what they use in
	// thousandths of a core. Both are kept as runs come and go: a plan asks for
	// them again and again.
	lasting, lastingCPU int
	// strays are the runs among them whose size isn't known, suspects those whose
	// task may crash its hosts.
	strays, suspects int
	// since is when this life was first heard of.
	since time.Time
	// quietFor is a suspect for which the host takes no other work until
	// quietUntil, so that it can be alone there.
	quietFor   *task
	quietUntil time.Time
	// told is when it last reported what runs there, toldClock its clock then, in
	// milliseconds.
	told      time.Time
	toldClock int64
	// heard is when its last answer arrived, granted when a hold with a
	// deadline last left.
	heard, granted time.Time
	// refused is when a call last found no connection to it.
	refused time.Time
	// clock is its clock at heard, in milliseconds.
	clock int64
	// noted is the last end that was applied, seen the last one whose outcome
	// is stored, marks the ends between.
	noted, seen int64
	marks       []endMark
	// rested: no starts before this time, after refusals or failures.
	rested time.Time
	health health
	// promised is for whom room is being made on it.
	promised promise
	// closed: no new work, it is to be emptied; until bounds that.
	closed      bool
	closedUntil time.Time
	// due is until when it is known to be due for maintenance.
	due time.Time
}

// endMark is an end that isn't known to be stored yet.
type endMark struct {
	number  int64
	job     *job
	version uint64
}

// unreachable reports whether no connection to it could be opened since it was
// last heard.
func (h *host) unreachable() bool { return h.refused.After(h.heard) }

// refuse notes that no connection could be opened.
func (h *host) refuse(now time.Time) {
	h.refused = now
	h.suspectAll()
}

func (h *host) free() work.Resources { return h.Capacity.Minus(h.used) }

// put counts a run that may be on the host from now on.
func (h *host) put(r *run) {
	s := r.task.step
	h.runs[r.task.name] = r
	h.used = h.used.Plus(s.spec.Reserved())
	s.onHost[h]++
	r.task.placed++
	if s.spec.LongRunning {
		h.lasting++
		h.lastingCPU += s.spec.Reserved().MilliCPU
	}
	if s.unknown {
		h.strays++
	}
	if r.suspect {
		h.suspects++
	}
}

// take counts a run no more that has certainly ended.
func (h *host) take(r *run) {
	s := r.task.step
	delete(h.runs, r.task.name)
	h.used = h.used.Minus(s.spec.Reserved())
	s.leave(h)
	r.task.placed--
	if s.spec.LongRunning {
		h.lasting--
		h.lastingCPU -= s.spec.Reserved().MilliCPU
	}
	if s.unknown {
		h.strays--
	}
	if r.suspect {
		h.suspects--
	}
}

// deadline is the host's clock in some time from now. It is no less than that,
// as the host's clock may run slow and never runs fast by much.
func (h *host) deadline(in time.Duration, now time.Time) int64 {
	return h.clock + (now.Sub(h.heard) + in).Milliseconds()
}
