package operatorapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a Server.
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

// instrument wraps a ResponseWriter to record the status and duration of a
// request. The caller calls the returned function when the request ends.
func (m *metrics) instrument(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, func()) {
	start := time.Now()
	recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	method := methodLabel(r.Method)
	return recorder, func() {
		m.requests.WithLabelValues(method, strconv.Itoa(recorder.status)).Inc()
		if method == http.MethodPut || method == http.MethodDelete {
			m.seconds.WithLabelValues(method).Observe(time.Since(start).Seconds())
		}
	}
}

// methodLabel returns the metric label of an HTTP method. Unknown methods share
// one label, so that clients can't create an unbounded number of time series.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}
