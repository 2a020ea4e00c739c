package telemetry

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// sinkBytes bounds the lines that wait for a reader of the log.
	sinkBytes = 256 << 10
	// sinkFlush is how long a line may wait: one write for many lines costs a
	// small part of one for each.
	sinkFlush = 200 * time.Millisecond
)

// Sink writes log lines without ever blocking whoever logs. A reader that
// stops reading would otherwise stop the process at its next line; lines that
// find no room are dropped and counted instead.
type Sink struct {
	out     io.Writer
	dropped prometheus.Counter
	// perSecond bounds the lines of a second; the rest is dropped and counted.
	perSecond int

	mu      sync.Mutex
	buffer  []byte
	second  time.Time
	lines   int
	skipped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewSink starts a sink before out. registerer may be nil.
func NewSink(out io.Writer, perSecond int, registerer prometheus.Registerer) *Sink {
	s := &Sink{
		out: out, perSecond: perSecond, wake: make(chan struct{}, 1), done: make(chan struct{}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_log_lines_dropped_total", Help: "Log lines left out, for their rate or for want of a reader."}),
	}
	if registerer != nil {
		registerer.MustRegister(s.dropped)
	}
	go s.run()
	return s
}

// Write takes one line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.second) >= time.Second {
		s.second, s.lines = now, 0
	}
	s.lines++
	if s.lines > s.perSecond || len(s.buffer)+len(line) > sinkBytes || s.closed {
		s.skipped++
		s.dropped.Inc()
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is left, but waits for a reader no longer than a second.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	for range s.wake {
		s.mu.Lock()
		resting := !s.closed
		s.mu.Unlock()
		if resting {
			time.Sleep(sinkFlush)
		}
		full, closed := s.take(spare)
		if _, err := s.out.Write(full); err != nil {
			// Nobody reads the log any more; there is nowhere to say so but
			// in the counter.
			s.dropped.Inc()
		}
		spare = full[:0]
		if closed {
			return
		}
	}
}

// take returns what is buffered, gives the buffer other memory, and tells
// whether the sink is closed.
func (s *Sink) take(spare []byte) (full []byte, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	full, s.buffer = s.buffer, spare[:0]
	if s.skipped > 0 {
		full = append(full, skippedLine(s.skipped)...)
		s.skipped = 0
	}
	return full, s.closed
}

// skippedLine tells how many lines were left out.
func skippedLine(count int) []byte {
	return []byte(`{"level":"warn","part":"log","skipped":` + strconv.Itoa(count) + `,"message":"Lines were left out."}` + "\n")
}
