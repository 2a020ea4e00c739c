package operatorapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are what a Server counts.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_operator_requests_total",
			Help: "Requests to the operators' API by method and HTTP status.",
		}, []string{"method", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "glade_operator_change_seconds",
			Help:    "Time that an operator's change takes, audit and store included.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"method"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.seconds)
	}
	return m
}

// count wraps an answer; call the returned function at its end.
func (m *metrics) count(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, func()) {
	began := time.Now()
	noted := &statusNoter{ResponseWriter: w, status: http.StatusOK}
	method := knownMethod(r.Method)
	return noted, func() {
		m.requests.WithLabelValues(method, strconv.Itoa(noted.status)).Inc()
		if method == http.MethodPut || method == http.MethodDelete {
			m.seconds.WithLabelValues(method).Observe(time.Since(began).Seconds())
		}
	}
}

// knownMethod keeps made-up methods from making a time series each.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

type statusNoter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (n *statusNoter) WriteHeader(status int) {
	n.status = status
	n.ResponseWriter.WriteHeader(status)
}
