package storelimit

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of a call that wasn't made.
const (
	outcomeMade      = "made"
	outcomeThrottled = "throttled"
	outcomeAway      = "away"
)

type metrics struct {
	calls *prometheus.CounterVec
	rate  prometheus.Gauge
	away  prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_store_calls_total",
			Help: "Calls to the store by class, and whether they were made, throttled by this process, or not made because the store was away.",
		}, []string{"class", "outcome"}),
		rate: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_store_call_rate_limit",
			Help: "Calls a second that this process allows itself at present.",
		}),
		away: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_store_away",
			Help: "1 while this process takes the store to be away.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.rate, m.away)
	}
	return m
}

func (m *metrics) made(class Class) { m.calls.WithLabelValues(class.String(), outcomeMade).Inc() }

func (m *metrics) refused(class Class, outcome string) {
	m.calls.WithLabelValues(class.String(), outcome).Inc()
}
