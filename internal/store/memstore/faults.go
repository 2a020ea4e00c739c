package memstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"auburnglade.example/glade/internal/store"
)

const (
	opGet   = "get"
	opList  = "list"
	opWrite = "compare-and-swap"
	opWatch = "watch"
	opLease = "lease"
)

// FaultError is the cause reported for an injected fault.
type FaultError struct{ Reason string }

func (e *FaultError) Error() string { return e.Reason }

var (
	errDown         = &FaultError{Reason: "the store is down"}
	errResponseLost = &FaultError{Reason: "the answer was lost"}
)

// Counts holds the numbers of calls as counted by the store.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	LeaseCalls  int64 `json:"leaseCalls"`
	WatchCalls  int64 `json:"watchCalls"`
	Refused     int64 `json:"refused"`
	OpenWatches int64 `json:"openWatches"`
	// MaxOpenWatches is the highest number of concurrently open watches.
	MaxOpenWatches int64 `json:"mostWatches"`
}

type faultState struct {
	mu   sync.Mutex
	down bool
	// outage is closed while the store is down.
	outage   chan struct{}
	latency  time.Duration
	throttle bool
	// responsesToLose is how many of the next write responses are lost.
	responsesToLose int
	// responseLossRate is the share (0 to 1) of write responses lost at random.
	responseLossRate float64
	random           *rand.Rand
}

// SetDown starts or ends an outage, in which every call and waiting watch fails.
func (s *Store) SetDown(down bool) {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage == nil {
		f.outage = make(chan struct{})
	}
	if down && !f.down {
		close(f.outage)
	}
	if !down && f.down {
		f.outage = make(chan struct{})
	}
	f.down = down
}

// SetLatency delays every call by latency before it is processed.
func (s *Store) SetLatency(latency time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.latency = latency
}

// SetThrottled sets whether the store refuses every call as over its rate limit.
func (s *Store) SetThrottled(throttled bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.throttle = throttled
}

// LoseResponses drops the responses to the next n writes that take effect.
func (s *Store) LoseResponses(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.responsesToLose = n
}

// SetResponseLossRate drops a share (0 to 1) of the responses to writes that
// take effect, chosen at random from seed.
func (s *Store) SetResponseLossRate(share float64, seed uint64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.responseLossRate = share
	s.faults.random = rand.New(rand.NewPCG(seed, seed))
}

// CompactAll discards the retained history, so that every watch from an older
// revision has to list again.
func (s *Store) CompactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
}

// Snapshot returns the entries under prefix regardless of faults and without
// counting a call. It is for checking a run, not for the system under test.
func (s *Store) Snapshot(prefix string) []store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entriesLocked(prefix)
}

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) admit(ctx context.Context, op string) error {
	s.faults.mu.Lock()
	down, latency, throttle := s.faults.down, s.faults.latency, s.faults.throttle
	s.faults.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
		}
	}
	s.count(op, down || throttle || ctx.Err() != nil)
	switch {
	case ctx.Err() != nil:
		return &store.UnavailableError{Op: op, Cause: ctx.Err()}
	case down:
		return &store.UnavailableError{Op: op, Cause: errDown}
	case throttle:
		return &store.ThrottledError{Op: op, RetryAfter: time.Second}
	}
	return nil
}

func (s *Store) count(op string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		s.counts.Refused++
		return
	}
	switch op {
	case opGet, opList:
		s.counts.Reads++
	case opWrite:
		s.counts.Writes++
	case opWatch:
		s.counts.WatchCalls++
	case opLease:
		s.counts.LeaseCalls++
	}
}

func (s *Store) trackWatch(delta int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.OpenWatches += delta
	s.counts.MaxOpenWatches = max(s.counts.MaxOpenWatches, s.counts.OpenWatches)
}

func (s *Store) outage() <-chan struct{} {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage == nil {
		f.outage = make(chan struct{})
	}
	return f.outage
}

func (s *Store) loseResponse() bool {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToLose > 0 {
		f.responsesToLose--
		return true
	}
	return f.responseLossRate > 0 && f.random.Float64() < f.responseLossRate
}

// DeleteKey deletes a key regardless of its lease, as the platform itself may.
func (s *Store) DeleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
}
