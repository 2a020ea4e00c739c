package gateway

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests       *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
	retries        *prometheus.CounterVec
	retriesDenied  *prometheus.CounterVec
	attemptSeconds *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_gateway_requests_total",
			Help: "Callers' requests by service and outcome.",
		}, []string{"service", "outcome"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_gateway_failed_attempts_total",
			Help: "Attempts on endpoints that brought no answer, by service and reason.",
		}, []string{"service", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_gateway_retries_total",
			Help: "Further attempts by service and by the reason of the failure before.",
		}, []string{"service", "reason"}),
		retriesDenied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_gateway_retries_denied_total",
			Help: "Retries not made because the service's retry budget was empty.",
		}, []string{"service"}),
		attemptSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "glade_gateway_attempt_seconds",
			Help:    "Time from sending an attempt to its answer's header, by service.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.failedAttempts, m.retries, m.retriesDenied, m.attemptSeconds)
	}
	return m
}
