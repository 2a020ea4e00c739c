package gateway

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests       *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
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
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.failedAttempts)
	}
	return m
}
