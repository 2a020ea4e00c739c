package carrier

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics is shared by all pool holders and the carrier of a process.
type Metrics struct {
	exchanges *prometheus.CounterVec
	calls     prometheus.Counter
	seconds   prometheus.Histogram
	carried   *prometheus.CounterVec
	hosts     *prometheus.GaugeVec
}

// exchangeBuckets range from a network hop within a zone to the timeout of an
// exchange, in seconds.
var exchangeBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1}

// NewMetrics returns the metrics, registered unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_carrier_exchanges_total", Help: "Exchanges with carriers, by whether they were answered.",
		}, []string{"outcome"}),
		calls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_carrier_calls_total", Help: "Calls to hosts that went through carriers.",
		}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_carrier_exchange_seconds", Help: "Time of exchanges with carriers.", Buckets: exchangeBuckets,
		}),
		carried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_carried_calls_total", Help: "Calls to hosts made here for holders elsewhere, by outcome.",
		}, []string{"outcome"}),
		hosts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_pool_carried_hosts", Help: "Hosts of a pool held here that carriers call.",
		}, []string{"pool"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.exchanges, m.calls, m.seconds, m.carried, m.hosts)
	}
	return m
}

func (m *Metrics) exchanged(err error, calls int, took time.Duration) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.exchanges.WithLabelValues(outcome).Inc()
	m.calls.Add(float64(calls))
	m.seconds.Observe(took.Seconds())
}
