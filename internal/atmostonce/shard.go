package atmostonce

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

const (
	// maxBatch and maxBatchBytes bound the operations of one write.
	maxBatch      = 1000
	maxBatchBytes = 256 << 10
	// commitTries bounds the writes of one batch; each after the first needs
	// another writer at the same moment or a lost answer.
	commitTries = 8
	// commitTimeout bounds one batch in all.
	commitTimeout = 2 * time.Second
	// freshFor is how long after its last word from the store a shard may
	// answer repeats without asking again.
	freshFor = time.Second
	// While the store fails, a shard leaves it alone between two tries.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// operation is one claim or settlement that waits for its batch.
type operation struct {
	claim      *Claim
	settlement *Settlement
	// abandoned is set when nobody waits for the result any more.
	abandoned atomic.Bool
	done      chan operationResult
}

// urgent reports whether the operation is waited for: a claim holds a request
// up, and a freed key its caller's next try.
func (o *operation) urgent() bool {
	return o.claim != nil || o.settlement.Result == ResultNotRun
}

// shard batches the operations on one share of the keys: all that came in
// while the last write was under way go into the next one together.
type shard struct {
	journal *journal
	// pace is the least time between two writes.
	pace time.Duration
	// linger is how long settlements wait for company.
	linger time.Duration

	mu      sync.Mutex
	pending []*operation
	urgent  bool
	// stopped is set between the end of serving and its next start.
	stopped bool
	// blockedUntil and lastErr are set while the store fails.
	blockedUntil time.Time
	lastErr      error
	backoff      time.Duration

	wake  chan struct{}
	hurry chan struct{}
}

func newShard(j *journal, pace, linger time.Duration) *shard {
	return &shard{journal: j, pace: pace, linger: linger, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1)}
}

// do queues an operation and waits for its result or ctx's end.
func (s *shard) do(ctx context.Context, op *operation) operationResult {
	op.done = make(chan operationResult, 1)
	if err := s.add(op); err != nil {
		return operationResult{err: &UnconfirmedError{ID: op.id(), Cause: err}}
	}
	select {
	case result := <-op.done:
		return result
	case <-ctx.Done():
		op.abandoned.Store(true)
		return operationResult{err: &UnconfirmedError{ID: op.id(), MayBeWritten: true, Cause: ctx.Err()}}
	}
}

func (o *operation) id() ID {
	if o.claim != nil {
		return o.claim.ID
	}
	return o.settlement.ID
}

// bytes is about what the operation adds to the head.
func (o *operation) bytes() int {
	const entryBytes = 80
	if o.settlement == nil || o.settlement.Response == nil {
		return entryBytes
	}
	answer := o.settlement.Response
	total := entryBytes + len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

func (s *shard) add(op *operation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return &StoppedError{}
	}
	s.pending = append(s.pending, op)
	signal(s.wake)
	if op.urgent() {
		s.urgent = true
		signal(s.hurry)
	}
	return nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// serve writes batches until ctx ends.
func (s *shard) serve(ctx context.Context) {
	s.setStopped(false)
	defer s.setStopped(true)
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.awaitCompany(ctx)
		batch := s.take()
		if len(batch) == 0 {
			continue
		}
		began := time.Now()
		s.commit(ctx, batch)
		pause.For(ctx, s.pace-time.Since(began))
	}
}

// setStopped refuses what waits once the shard stops. What came in before its
// start waits.
func (s *shard) setStopped(stopped bool) {
	s.mu.Lock()
	s.stopped = stopped
	var left []*operation
	if stopped {
		left, s.pending = s.pending, nil
	}
	s.mu.Unlock()
	fail(left, &StoppedError{}, false)
}

// awaitCompany lets settlements wait for a while, unless someone is waiting.
func (s *shard) awaitCompany(ctx context.Context) {
	s.mu.Lock()
	urgent := s.urgent
	s.mu.Unlock()
	if urgent {
		return
	}
	timer := time.NewTimer(s.linger)
	defer timer.Stop()
	select {
	case <-s.hurry:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *shard) take() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, bytes := 0, 0
	for n < min(len(s.pending), maxBatch) && bytes < maxBatchBytes {
		bytes += s.pending[n].bytes()
		n++
	}
	batch := s.pending[:n:n]
	s.pending = s.pending[n:]
	s.urgent = len(s.pending) > 0
	if s.urgent {
		signal(s.wake)
	} else {
		s.pending = nil
	}
	return batch
}

func (s *shard) commit(ctx context.Context, batch []*operation) {
	if err := s.blocked(); err != nil {
		deliver(batch, s.journal.fromMemory(batch, err, false))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	results, mayBeWritten, err := s.journal.commit(ctx, batch)
	s.noteStore(err)
	if err != nil {
		results = s.journal.fromMemory(batch, err, mayBeWritten)
	}
	deliver(batch, results)
}

func deliver(batch []*operation, results []operationResult) {
	for i, op := range batch {
		op.done <- results[i]
	}
}

// blocked returns why the store is left alone just now, and nil when it isn't.
func (s *shard) blocked() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.blockedUntil) {
		return s.lastErr
	}
	return nil
}

// noteStore opens a breaker after a failure: while it is open the store is left
// alone, however many callers call, and claims are answered from memory.
func (s *shard) noteStore(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.backoff, s.lastErr = 0, nil
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.lastErr = err
	s.blockedUntil = time.Now().Add(pause.Jitter(s.backoff))
}

func fail(batch []*operation, err error, mayBeWritten bool) {
	for _, op := range batch {
		op.done <- operationResult{err: &UnconfirmedError{ID: op.id(), MayBeWritten: mayBeWritten, Cause: err}}
	}
}

// retriable reports whether a write's failure only means that the shard must
// look at the store again.
func retriable(err error) bool { return store.IsConflict(err) || store.IsUnknownOutcome(err) }
