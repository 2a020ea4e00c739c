package atmostonce

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	claims  *prometheus.CounterVec
	seconds prometheus.Histogram
	retries prometheus.Counter
	dropped prometheus.Counter
}

var stateNames = map[State]string{
	Granted: "granted", InProgress: "in_progress", Answered: "answered", OutcomeUnknown: "unclear", KeyReused: "key_reused",
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_once_claims_total",
			Help: "Claims of idempotency keys by what they found; \"away\" means that the store could not make the claim certain.",
		}, []string{"found"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "glade_once_claim_seconds",
			Help:    "Time that a claim added to a request.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 11),
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_once_settle_retries_total",
			Help: "Tries to settle a claim that failed and were made again.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_once_settlements_dropped_total",
			Help: "Settlements given up for their number; their keys read unclear.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.claims, m.seconds, m.retries, m.dropped)
	}
	return m
}

func (m *metrics) observe(outcome ClaimOutcome, err error, took time.Duration) {
	found := "away"
	if err == nil {
		found = stateNames[outcome.State]
	}
	m.claims.WithLabelValues(found).Inc()
	m.seconds.Observe(took.Seconds())
}
