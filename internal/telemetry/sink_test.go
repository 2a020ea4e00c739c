package telemetry

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// stuckWriter blocks until it is freed, like a pipe that nobody reads.
type stuckWriter struct {
	free chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *stuckWriter) Write(data []byte) (int, error) {
	<-w.free
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(data)
}

func (w *stuckWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// The reader of the log stops reading. Whoever logs must go on at once, what
// finds no room is dropped, and when the reader is back a line says how many.
func TestReaderThatStopsReadingBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{free: make(chan struct{})}
		sink := NewSink(out, 1_000_000, nil)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 3 * sinkBytes / len(line) {
			_, err := sink.Write(line)
			must.NoError(t, err)
		}
		close(out.free)
		time.Sleep(2 * sinkFlush)
		sink.Close()
		must.StrContains(t, out.String(), "Lines were left out.")
	})
}

// A fault logs a line for each of thousands of requests. Only so many a second
// are written.
func TestLinesOfASecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{free: make(chan struct{})}
		close(out.free)
		sink := NewSink(out, 10, nil)
		for range 100 {
			_, err := sink.Write([]byte("line\n"))
			must.NoError(t, err)
		}
		time.Sleep(2 * sinkFlush)
		sink.Close()
		must.EqOp(t, 10, strings.Count(out.String(), "line\n"))
		must.StrContains(t, out.String(), `"skipped":90`)
	})
}
