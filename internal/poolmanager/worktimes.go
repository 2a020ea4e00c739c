package poolmanager

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// part is a kind of work that the pool's goroutine does.
type part int

// The kinds of work.
const (
	// partHeartbeats is the processing of heartbeat replies.
	partHeartbeats part = iota
	// partOrders is the processing of the outcomes of starts, stops and
	// throttles.
	partOrders
	// partPlans is planning and the sending of orders.
	partPlans
	// partCommits is the assembly of commits and the processing of their results.
	partCommits
	// partTicks is the checking of timeouts.
	partTicks
	// partCalls are submissions, cancellations, queries and all other calls.
	partCalls
	partCount
)

var partNames = [partCount]string{"holds", "orders", "plans", "commits", "ticks", "calls"}

// workTimes is the time that the pool's goroutine spent on each part: since the
// start of the process in the counters, since the last statistics in spent.
type workTimes struct {
	spent    [partCount]time.Duration
	counters [partCount]prometheus.Counter
}

func newWorkTimes(m *Metrics) *workTimes {
	w := &workTimes{}
	for p, name := range partNames {
		w.counters[p] = m.partSeconds.WithLabelValues(name)
	}
	return w
}

// measure runs fn and adds its duration to part p.
func (w *workTimes) measure(p part, fn func()) {
	began := time.Now()
	fn()
	took := time.Since(began)
	w.spent[p] += took
	w.counters[p].Add(took.Seconds())
}

// takeSpent returns the time spent by part since the previous call, in
// milliseconds, and resets it.
func (w *workTimes) takeSpent() *zerolog.Event {
	d := zerolog.Dict()
	for p, name := range partNames {
		d.Dur(name, w.spent[p])
	}
	w.spent = [partCount]time.Duration{}
	return d
}
