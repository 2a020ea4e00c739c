package poolmanager

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// part is a part of what the pool's goroutine does.
type part int

// The parts.
const (
	// partHolds takes over hosts' answers to holds.
	partHolds part = iota
	// partOrders takes over outcomes of starts, stops and paces.
	partOrders
	// partPlans decides what to do and sends it off.
	partPlans
	// partCommits puts together what is stored, and takes over that it is.
	partCommits
	// partTicks looks at time-outs.
	partTicks
	// partCalls are hand-ins, cancels, questions and whatever else was asked.
	partCalls
	parts
)

var partNames = [parts]string{"holds", "orders", "plans", "commits", "ticks", "calls"}

// busy is how long the pool's goroutine spent on each part: in the metrics since the
// process began, in spent since the pool was last described.
type busy struct {
	spent    [parts]time.Duration
	counters [parts]prometheus.Counter
}

func newBusy(m *Metrics) *busy {
	b := &busy{}
	for p, name := range partNames {
		b.counters[p] = m.busy.WithLabelValues(name)
	}
	return b
}

// spend does something and counts its time.
func (b *busy) spend(p part, act func()) {
	began := time.Now()
	act()
	took := time.Since(began)
	b.spent[p] += took
	b.counters[p].Add(took.Seconds())
}

// describe returns what was spent since the last time, in milliseconds by part.
func (b *busy) describe() *zerolog.Event {
	d := zerolog.Dict()
	for p, name := range partNames {
		d.Dur(name, b.spent[p])
	}
	b.spent = [parts]time.Duration{}
	return d
}
