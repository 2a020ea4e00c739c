package poolmanager

import (
	"context"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/work"
)

// Result is what became of a job that was handed in or of its cancel.
type Result int

// The results of Submit and Cancel.
const (
	// ResultUnknown: it may yet be stored.
	ResultUnknown Result = iota
	// Stored: it is stored.
	Stored
	// Refused: it was not stored and never will be by this call.
	Refused
	// JobNotFound: there is no such job to cancel.
	JobNotFound
)

var resultNames = [...]string{"unknown", "stored", "refused", "no job"}

func (r Result) String() string { return resultNames[r] }

// submission is a job on its way into the store.
type submission struct {
	record *work.Record
	waiters
	// exposed: a commit that may have happened contains it.
	exposed bool
	// carrier is the batch on its way that contains it, nil for none.
	carrier *batch
	// since is when it was handed in.
	since time.Time
	// withdrawn: nobody waits for it any more; it goes with the next commit
	// that the store refuses.
	withdrawn bool
	// left: it is in the inbox, so that it is accepted whatever becomes of a
	// commit. Dropped like others when the store refused one, it stayed there
	// and never ran.
	left bool
}

// refuseAfter is how old a job must be for the store's refusal to be passed
// on. The entry host that handed it in may be served by the store though this
// one isn't, and leaves the job there for the pool's next holder.
const refuseAfter = 400 * time.Millisecond

// cancellation is a cancel that waits until it is stored.
type cancellation struct{ waiters }

// waiters are told the result once.
type waiters struct{ replies []chan Result }

func (w *waiters) wait() <-chan Result {
	reply := make(chan Result, 1)
	w.replies = append(w.replies, reply)
	return reply
}

func (w *waiters) tell(result Result) {
	for _, reply := range w.replies {
		reply <- result
	}
	w.replies = nil
}

// Submit stores a job and takes it into the pool. When ctx ends first, the
// result tells whether it may still happen.
func (k *Manager) Submit(ctx context.Context, record *work.Record) Result {
	reply, result := k.handIn(ctx, func() <-chan Result { return k.submit(record) })
	if reply == nil {
		return result
	}
	result = k.settleSubmit(ctx, record.ID, reply)
	k.Metrics.submits.WithLabelValues(result.String()).Inc()
	return result
}

// handIn runs act in the pool's goroutine and returns where its result will
// come, or, when that can't be had in time, what is certain: refused when act
// will not run any more. A keeper that still reads its pool runs nothing.
func (k *Manager) handIn(ctx context.Context, act func() <-chan Result) (<-chan Result, Result) {
	const (
		open = iota
		taken
		givenUp
	)
	var turn atomic.Int32
	reply, ok := query(ctx, k, func() <-chan Result {
		if !turn.CompareAndSwap(open, taken) {
			return nil
		}
		return act()
	})
	switch {
	case ok:
		return reply, ResultUnknown
	case turn.CompareAndSwap(open, givenUp):
		return nil, Refused
	}
	return nil, ResultUnknown
}

func (k *Manager) submit(record *work.Record) <-chan Result {
	s := k.submits[record.ID]
	if s == nil {
		s = &submission{record: record, since: time.Now()}
	}
	s.withdrawn = false
	reply := s.wait()
	if s.left || k.pool.Has(record.ID) {
		s.tell(Stored)
		return reply
	}
	if k.closing != nil {
		s.tell(Refused)
		return reply
	}
	k.submits[record.ID] = s
	k.pool.NoteSubmitted(record, s.since)
	return reply
}

func (k *Manager) settleSubmit(ctx context.Context, id string, reply <-chan Result) Result {
	select {
	case result := <-reply:
		return result
	case <-k.ended:
		return lastWord(reply)
	case <-ctx.Done():
	}
	withdrawn := make(chan Result, 1)
	ok := k.do(context.WithoutCancel(ctx), func() { withdrawn <- k.withdraw(id) })
	if !ok {
		return lastWord(reply)
	}
	select {
	case result := <-withdrawn:
		if result != ResultUnknown {
			return result
		}
	case <-k.ended:
		return lastWord(reply)
	}
	select {
	case result := <-reply:
		return result
	case <-k.ended:
		return lastWord(reply)
	case <-time.After(withdrawGrace):
		return ResultUnknown
	}
}

// withdrawGrace is how long a commit under way gets to end before the outcome
// of a job that is given up counts as unknown: the store answers within some
// milliseconds, and the client may be told "not stored" instead.
const withdrawGrace = 200 * time.Millisecond

// lastWord is the result of a keeper that has ended: abandon told it, or
// nothing is known.
func lastWord(reply <-chan Result) Result {
	select {
	case result := <-reply:
		return result
	default:
		return ResultUnknown
	}
}

// withdraw takes back a job that no commit can have stored. Others who handed
// in the same job may still wait for it; then it stays.
func (k *Manager) withdraw(id string) Result {
	s := k.submits[id]
	switch {
	case s == nil && k.pool.Has(id):
		return Stored
	case s == nil:
		return Refused
	case s.left:
		return Stored
	case len(s.replies) > 1:
		return ResultUnknown
	case s.exposed:
		s.withdrawn = true
		return ResultUnknown
	}
	delete(k.submits, id)
	return Refused
}

// Cancel ends a job for its client once that is stored.
func (k *Manager) Cancel(ctx context.Context, id string) Result {
	reply, result := k.handIn(ctx, func() <-chan Result { return k.cancel(id) })
	if reply == nil {
		return result
	}
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return ResultUnknown
	case <-k.ended:
		return lastWord(reply)
	}
}

func (k *Manager) cancel(id string) <-chan Result {
	c := k.cancels[id]
	if c == nil {
		c = &cancellation{}
	}
	reply := c.wait()
	switch {
	case k.submits[id] != nil:
		// It is being stored: cancel it right after.
		k.cancels[id] = c
	case !k.pool.Cancel(id, time.Now(), k.WallClock()):
		c.tell(JobNotFound)
	case k.pool.Stored(id):
		c.tell(Stored)
	default:
		k.Log.Info().Str("job", id).Msg("Cancels a job.")
		k.cancels[id] = c
	}
	return reply
}
