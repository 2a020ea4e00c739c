package poolmanager

import (
	"context"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Result is the result of Submit or Cancel.
type Result int

// The results of Submit and Cancel.
const (
	// ResultUnknown means that the job or its cancellation may still be stored.
	ResultUnknown Result = iota
	// Stored means that the job or its cancellation is stored.
	Stored
	// Refused means that the job was not stored and will not be stored by this
	// call.
	Refused
	// JobNotFound means that there is no such job to cancel.
	JobNotFound
	// Conflict means that a job of another organisation has the submitted ID.
	Conflict
	// NoRoom means that the job was refused since the pool can't do it while it is
	// worth anything. It was not stored.
	NoRoom
	// OverShare is NoRoom for a job whose organisation has used up its share.
	OverShare
	// Elsewhere means that another pool has accepted a job of the queue with the
	// submitted ID.
	Elsewhere
)

var resultNames = [...]string{"unknown", "stored", "refused", "no job", "conflict", "no room", "over share", "elsewhere"}

func (r Result) String() string { return resultNames[r] }

// ForRoom reports whether a job was refused because the pool has too little room.
func (r Result) ForRoom() bool { return r == NoRoom || r == OverShare }

// submission is a submitted job that is not stored yet.
type submission struct {
	record *work.JobRecord
	waiters
	// maybeStored is set while a commit that contains the job may have been
	// applied.
	maybeStored bool
	// absentFrom are the other pools of its queue that must not have the job, as of its
	// last batch.
	absentFrom []string
	// batch is the batch in flight that contains the job, or nil.
	batch *batch
	// submittedAt is when the job was submitted.
	submittedAt time.Time
	// withdrawn is set when no caller waits for the job any more; it is dropped
	// with the next commit that the store refuses.
	withdrawn bool
	// inInbox is set for a job from the inbox, which counts as accepted whatever
	// the outcome of a commit. If it were dropped with a refused commit like
	// other jobs, it would remain in the inbox and never run.
	inInbox bool
}

// refuseMinAge is the least age of a submission at which a refusal by the store
// is returned to the caller. The entry host that received the job may reach the
// store although this one cannot; it then leaves the job in the inbox for the
// pool's next holder.
const refuseMinAge = 400 * time.Millisecond

// cancellation is a cancel request that waits to be stored.
type cancellation struct{ waiters }

// waiters are callers that each receive the result once.
type waiters struct{ replies []chan Result }

func (w *waiters) add() <-chan Result {
	reply := make(chan Result, 1)
	w.replies = append(w.replies, reply)
	return reply
}

func (w *waiters) resolve(result Result) {
	for _, reply := range w.replies {
		reply <- result
	}
	w.replies = nil
}

// resolved returns a channel with a result.
func resolved(result Result) <-chan Result {
	reply := make(chan Result, 1)
	reply <- result
	return reply
}

// Submit stores a job and adds it to the pool, or refuses it for want of room. When ctx
// ends first, the result is Refused if the job will not be stored by this call, and
// ResultUnknown if it may be.
func (m *Manager) Submit(ctx context.Context, record *work.JobRecord) Reply {
	var refusal Reply
	reply, result := m.call(ctx, func() <-chan Result {
		var accepted *work.JobRecord
		if accepted, refusal = m.refusal(record); accepted == nil {
			return resolved(refusal.Result)
		}
		return m.submit(accepted)
	})
	if reply == nil {
		return Reply{Result: result}
	}
	result = m.awaitSubmit(ctx, record.ID, reply)
	m.Metrics.submits.WithLabelValues(result.String()).Inc()
	if result.ForRoom() {
		return refusal
	}
	return Reply{Result: result}
}

// call runs fn in the pool's goroutine and returns the channel that will receive
// its result. If the manager stops or ctx ends before that, it returns a nil
// channel, and Refused when fn will not run any more, ResultUnknown otherwise.
// Nothing runs while the pool is still being loaded.
func (m *Manager) call(ctx context.Context, fn func() <-chan Result) (<-chan Result, Result) {
	const (
		pending = iota
		started
		abandoned
	)
	var state atomic.Int32
	reply, ok := query(ctx, m, func() <-chan Result {
		if !state.CompareAndSwap(pending, started) {
			return nil
		}
		return fn()
	})
	switch {
	case ok:
		return reply, ResultUnknown
	case state.CompareAndSwap(pending, abandoned):
		return nil, Refused
	}
	return nil, ResultUnknown
}

func (m *Manager) submit(record *work.JobRecord) <-chan Result {
	s := m.submissions[record.ID]
	if s != nil && !s.record.BelongsTo(record.Organisation) || m.pool.Has(record.ID) && !m.pool.Owned(record.ID, record.Organisation) {
		return resolved(Conflict)
	}
	if s == nil {
		s = &submission{record: record, submittedAt: time.Now()}
	}
	s.withdrawn = false
	reply := s.add()
	if s.inInbox || m.pool.Has(record.ID) {
		s.resolve(Stored)
		return reply
	}
	if m.releaseDone != nil {
		s.resolve(Refused)
		return reply
	}
	m.submissions[record.ID] = s
	m.pool.NoteSubmitted(record, s.submittedAt)
	return reply
}

func (m *Manager) awaitSubmit(ctx context.Context, id string, reply <-chan Result) Result {
	select {
	case result := <-reply:
		return result
	case <-m.stopped:
		return finalResult(reply)
	case <-ctx.Done():
	}
	withdrawn := make(chan Result, 1)
	ok := m.enqueue(context.WithoutCancel(ctx), func() { withdrawn <- m.withdraw(id, reply) })
	if !ok {
		return finalResult(reply)
	}
	select {
	case result := <-withdrawn:
		if result != ResultUnknown {
			return result
		}
	case <-m.stopped:
		return finalResult(reply)
	}
	select {
	case result := <-reply:
		return result
	case <-m.stopped:
		return finalResult(reply)
	case <-time.After(withdrawGrace):
		return ResultUnknown
	}
}

// withdrawGrace is how long Submit waits for a commit in flight after its context
// has ended before it returns ResultUnknown: the store usually responds within
// milliseconds, and the caller may then learn that the job was not stored.
const withdrawGrace = 200 * time.Millisecond

// finalResult returns the result after the manager has stopped: the one that was
// sent by resolveWaiters or before, or ResultUnknown.
func finalResult(reply <-chan Result) Result {
	select {
	case result := <-reply:
		return result
	default:
		return ResultUnknown
	}
}

// withdraw drops a submitted job that no commit can have stored, for the caller who
// waits for reply. The job stays while other callers that submitted it are waiting. A
// caller who has its result already is none of them: the job may be another's.
func (m *Manager) withdraw(id string, reply <-chan Result) Result {
	select {
	case result := <-reply:
		return result
	default:
	}
	s := m.submissions[id]
	switch {
	case s == nil && m.pool.Has(id):
		return Stored
	case s == nil:
		return Refused
	case s.inInbox:
		return Stored
	case len(s.replies) > 1:
		return ResultUnknown
	case s.maybeStored:
		s.withdrawn = true
		return ResultUnknown
	}
	m.dropSubmission(id)
	return Refused
}

// dropSubmission forgets a submitted job that is not and will not be stored.
func (m *Manager) dropSubmission(id string) {
	delete(m.submissions, id)
	m.pool.NoteNotStored(id)
}

// Cancel cancels a job and returns once the cancellation is stored.
func (m *Manager) Cancel(ctx context.Context, job work.JobRef) Result {
	reply, result := m.call(ctx, func() <-chan Result { return m.cancelFor(job) })
	if reply == nil {
		return result
	}
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return ResultUnknown
	case <-m.stopped:
		return finalResult(reply)
	}
}

// cancelFor cancels a job for an organisation.
func (m *Manager) cancelFor(job work.JobRef) <-chan Result {
	s := m.submissions[job.ID]
	if s != nil && !s.record.BelongsTo(job.Organisation) || m.pool.Has(job.ID) && !m.pool.Owned(job.ID, job.Organisation) {
		return resolved(JobNotFound)
	}
	return m.cancel(job.ID)
}

func (m *Manager) cancel(id string) <-chan Result {
	c := m.cancellations[id]
	if c == nil {
		c = &cancellation{}
	}
	reply := c.add()
	switch {
	case m.submissions[id] != nil:
		// The job is being stored and is cancelled right after.
		m.cancellations[id] = c
	case !m.pool.Cancel(id, time.Now(), m.WallClock()):
		c.resolve(JobNotFound)
	case m.pool.Stored(id):
		c.resolve(Stored)
	default:
		m.Log.Info().Str("job", id).Msg("Cancelling a job.")
		m.cancellations[id] = c
	}
	return reply
}
