package telemetry

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// sinkBytes bounds the buffered log lines, in bytes.
	sinkBytes = 256 << 10
	// atomicBytes is the most that a pipe takes in one piece (PIPE_BUF on Linux). Where
	// several processes write to one pipe, longer writes are torn by those of others.
	atomicBytes = 4096
	// sinkFlushInterval is how long a line may be buffered: one write for many
	// lines is much cheaper than one for each.
	sinkFlushInterval = 200 * time.Millisecond
	// warningShare of the lines per second is reserved for warnings and errors. When
	// many hosts are lost at once, the lines of all jobs that wait or start again
	// would otherwise displace those that say why.
	warningShare = 0.25
)

// Sink writes log lines without blocking the caller. Otherwise a log reader that
// stops reading would block the process at its next log line. Lines that do not
// fit into the buffer are dropped and counted.
type Sink struct {
	out     io.Writer
	dropped prometheus.Counter
	// perSecond bounds the lines per second, ordinaryPerSecond those below the level
	// of a warning; further lines are dropped and counted.
	perSecond, ordinaryPerSecond int

	mu                 sync.Mutex
	buffer             []byte
	windowStart        time.Time
	windowLines        int
	windowOrdinary     int
	droppedSinceReport int
	wake               chan struct{}
	done               chan struct{}
	closed             bool
}

// NewSink starts a sink that writes to out. registerer may be nil.
func NewSink(out io.Writer, perSecond int, registerer prometheus.Registerer) *Sink {
	s := &Sink{
		out: out, perSecond: perSecond, ordinaryPerSecond: perSecond - int(warningShare*float64(perSecond)), wake: make(chan struct{}, 1), done: make(chan struct{}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_log_lines_dropped_total", Help: "Log lines left out, for their rate or for want of a reader."}),
	}
	if registerer != nil {
		registerer.MustRegister(s.dropped)
	}
	go s.run()
	return s
}

// Write buffers or drops one line; it never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) { return s.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It is Write for a line of a known level.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(level, time.Now()) || len(line) > atomicBytes || len(s.buffer)+len(line) > sinkBytes || s.closed {
		s.droppedSinceReport++
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

// admit counts a line and reports whether its rate allows it.
func (s *Sink) admit(level zerolog.Level, now time.Time) bool {
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowLines, s.windowOrdinary = now, 0, 0
	}
	if level < zerolog.WarnLevel {
		if s.windowOrdinary >= s.ordinaryPerSecond {
			return false
		}
		s.windowOrdinary++
	}
	s.windowLines++
	return s.windowLines <= s.perSecond
}

// Close writes the buffered lines, and waits for that at most one second.
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
		open := !s.closed
		s.mu.Unlock()
		if open {
			time.Sleep(sinkFlushInterval)
		}
		data, closed := s.swapBuffer(spare)
		s.flush(data)
		spare = data[:0]
		if closed {
			return
		}
	}
}

// flush writes lines in pieces of whole lines that a pipe takes at once.
func (s *Sink) flush(data []byte) {
	for len(data) > 0 {
		piece := data
		if end := bytes.LastIndexByte(data[:min(len(data), atomicBytes)], '\n'); end >= 0 {
			piece = data[:end+1]
		}
		data = data[len(piece):]
		if _, err := s.out.Write(piece); err != nil {
			// The log can't be written; only the counter can report it.
			s.dropped.Inc()
		}
	}
}

// swapBuffer returns the buffered lines and whether the sink is closed, and
// makes spare the new buffer.
func (s *Sink) swapBuffer(spare []byte) (data []byte, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, s.buffer = s.buffer, spare[:0]
	if s.droppedSinceReport > 0 {
		data = append(data, droppedLinesRecord(s.droppedSinceReport)...)
		s.droppedSinceReport = 0
	}
	return data, s.closed
}

// droppedLinesRecord returns the log line that reports how many lines were
// dropped.
func droppedLinesRecord(count int) []byte {
	return []byte(`{"level":"warn","part":"log","skipped":` + strconv.Itoa(count) + `,"message":"Lines were left out."}` + "\n")
}
