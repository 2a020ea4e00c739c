package jobrouter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of clients' requests.
type Metrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewMetrics returns the metrics, registered unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_client_calls_total", Help: "Clients' calls about jobs by kind and result.",
		}, []string{"call", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "glade_client_call_seconds", Help: "Time until a client's call was answered, by kind.",
			Buckets: []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4},
		}, []string{"call"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.seconds)
	}
	return m
}

func (m *Metrics) call(call, result string, took time.Duration) {
	m.calls.WithLabelValues(call, result).Inc()
	m.seconds.WithLabelValues(call).Observe(took.Seconds())
}
