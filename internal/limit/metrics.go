package limit

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	queued          *prometheus.GaugeVec
	waited          *prometheus.HistogramVec
	refused         *prometheus.CounterVec
	connectionsFull prometheus.Counter
	lent            prometheus.Counter
	borrowed        prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		queued: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_limit_queued_requests",
			Help: "Requests that wait for a slot, by service.",
		}, []string{"service"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "glade_limit_wait_seconds",
			Help:    "Time that admitted requests waited for a slot, by service; those that found one at once are left out.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"service"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_limit_refused_requests_total",
			Help: "Requests refused as not run before any attempt, by service and reason.",
		}, []string{"service", "reason"}),
		connectionsFull: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_limit_connections_full_total",
			Help: "Dials given up because this gateway's share of an endpoint's connections was in use.",
		}),
		lent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_limit_lent_slots_total",
			Help: "Slots lent to other gateways.",
		}),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_limit_borrowed_slots_total",
			Help: "Slots borrowed from other gateways.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.queued, m.waited, m.refused, m.connectionsFull, m.lent, m.borrowed)
	}
	return m
}
