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
	// maxBatch and maxBatchBytes limit the operations of one write.
	maxBatch      = 1000
	maxBatchBytes = 256 << 10
	// commitTries is the maximum number of writes for one batch. Each after the
	// first means a concurrent writer or a lost response.
	commitTries = 8
	// commitTimeout is the time limit of one batch including retries.
	commitTimeout = 2 * time.Second
	// freshFor is how long after the last response from the store a shard may
	// answer repeats without calling it again.
	freshFor = time.Second
	// minBackoff and maxBackoff bound the wait between attempts while the store
	// fails.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// operation is one claim or settlement waiting for its batch.
type operation struct {
	claim      *Claim
	settlement *Settlement
	// abandoned is set when no caller waits for the result any more.
	abandoned atomic.Bool
	done      chan operationResult
}

// urgent reports whether a caller waits for the operation: a claim blocks a
// request, and a freed key the caller's next attempt.
func (o *operation) urgent() bool {
	return o.claim != nil || o.settlement.Result == ResultNotRun
}

// shard batches the operations on one shard of the keys: all operations that
// arrive during a write go into the next one together.
type shard struct {
	journal *journal
	// minInterval is the minimum interval between the starts of two writes.
	minInterval time.Duration
	// batchDelay is how long settlements wait to be batched with others.
	batchDelay time.Duration

	mu      sync.Mutex
	pending []*operation
	urgent  bool
	// stopped is set between the end of serve and its next start.
	stopped bool
	// blockedUntil and lastErr are set while the store fails.
	blockedUntil time.Time
	lastErr      error
	backoff      time.Duration

	wake         chan struct{}
	urgentSignal chan struct{}
}

func newShard(j *journal, minInterval, batchDelay time.Duration) *shard {
	return &shard{journal: j, minInterval: minInterval, batchDelay: batchDelay, wake: make(chan struct{}, 1), urgentSignal: make(chan struct{}, 1)}
}

// do queues an operation and waits for its result or the end of ctx.
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

// bytes estimates the size that the operation adds to the head.
func (o *operation) bytes() int {
	const entryBytes = 80
	if o.settlement == nil || o.settlement.Response == nil {
		return entryBytes
	}
	response := o.settlement.Response
	total := entryBytes + len(response.Body)
	for name, values := range response.Header {
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
		signal(s.urgentSignal)
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
		s.awaitBatch(ctx)
		batch := s.nextBatch()
		if len(batch) == 0 {
			continue
		}
		began := time.Now()
		s.commit(ctx, batch)
		pause.For(ctx, s.minInterval-time.Since(began))
	}
}

// setStopped sets the stopped state. Stopping fails the pending operations;
// operations that arrive before the first start stay queued.
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

// awaitBatch delays settlements by batchDelay, unless a caller is waiting.
func (s *shard) awaitBatch(ctx context.Context) {
	s.mu.Lock()
	urgent := s.urgent
	s.mu.Unlock()
	if urgent {
		return
	}
	timer := time.NewTimer(s.batchDelay)
	defer timer.Stop()
	select {
	case <-s.urgentSignal:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *shard) nextBatch() []*operation {
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
		deliver(batch, s.journal.resultsFromIndex(batch, err, false))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	results, mayBeWritten, err := s.journal.commit(ctx, batch)
	s.recordStoreResult(err)
	if err != nil {
		results = s.journal.resultsFromIndex(batch, err, mayBeWritten)
	}
	deliver(batch, results)
}

func deliver(batch []*operation, results []operationResult) {
	for i, op := range batch {
		op.done <- results[i]
	}
}

// blocked returns the last error of the store while the circuit breaker is
// open, and nil otherwise.
func (s *shard) blocked() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.blockedUntil) {
		return s.lastErr
	}
	return nil
}

// recordStoreResult opens the circuit breaker after a failure. While it is
// open, no store call is made, regardless of the number of callers, and claims
// are answered from memory.
func (s *shard) recordStoreResult(err error) {
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

// retriable reports whether a failed write only requires reading the store
// again.
func retriable(err error) bool { return store.IsConflict(err) || store.IsUnknownOutcome(err) }
