package storelimit

import "github.com/prometheus/client_golang/prometheus"

// Values of the outcome label: whether a call was made, and why not.
const (
	outcomeMade        = "made"
	outcomeThrottled   = "throttled"
	outcomeUnavailable = "away"
)

type metrics struct {
	calls       *prometheus.CounterVec
	rate        prometheus.Gauge
	unavailable prometheus.Gauge
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
		unavailable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_store_away",
			Help: "1 while this process takes the store to be away.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.rate, m.unavailable)
	}
	return m
}

func (m *metrics) recordMade(class Class) { m.calls.WithLabelValues(class.String(), outcomeMade).Inc() }

func (m *metrics) recordRefused(class Class, outcome string) {
	m.calls.WithLabelValues(class.String(), outcome).Inc()
}
